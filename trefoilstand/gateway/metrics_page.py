"""Serve the metrics of a gateway process."""

import collections.abc
import itertools
import typing

from trefoilstand.http import models
from trefoilstand.http import server
from trefoilstand.telemetry import tally

REQUESTS: typing.Final = "trefoilstand_requests_total"
REQUEST_LATENCY: typing.Final = "trefoilstand_request_latency_ms"
REPEATS: typing.Final = "trefoilstand_repeated_sends_total"
ATTEMPTS: typing.Final = "trefoilstand_attempt_outcomes_total"

_HELP: typing.Final = {
    REQUESTS: "Requests by service, status and outcome.",
    REQUEST_LATENCY: "Time from the first byte to the answer, by service.",
    REPEATS: "Sends beyond the first of a request, by service.",
    ATTEMPTS: "Ends of attempts at targets, by service and outcome.",
}
_PATH: typing.Final = b"/metrics"

Gauges: typing.TypeAlias = collections.abc.Callable[[], dict[str, float]]


class MetricsPage(server.RequestHandler):
    """Render counters, latencies and gauges.

    :param counts: counters and latencies of the process.
    :param gauges: reads the present values by name.
    """

    def __init__(self, *, counts: tally.Tally, gauges: Gauges) -> None:
        self._counts = counts
        self._gauges = gauges

    async def handle(self, request: models.Request) -> server.Answer:
        """Return all metrics in the text format of Prometheus."""
        if request.path != _PATH:
            return server.Answer(status=404)
        content, content_type = self._render()
        return server.Answer(
            status=200,
            fields=[(b"content-type", content_type.encode())],
            body=content,
        )

    def _render(self) -> tuple[bytes, str]:
        # Loaded with the first read: it takes 50 ms, which a starting
        # process owes to its callers.
        from aioprometheus import collectors
        from aioprometheus import histogram
        from aioprometheus import renderer

        registry = collectors.Registry()
        counters: dict[str, collectors.Counter] = {}
        for (name, labels), value in self._counts.counts.items():
            if name not in counters:
                counters[name] = collectors.Counter(
                    name, _HELP[name], registry=registry
                )
            counters[name].set_value(dict(labels), value)
        latencies: dict[str, collectors.Histogram] = {}
        for (name, labels), found in self._counts.latencies.items():
            if name not in latencies:
                latencies[name] = collectors.Histogram(
                    name,
                    _HELP[name],
                    buckets=list(tally.LATENCY_BUCKETS_MS),
                    registry=registry,
                )
            series = histogram.Histogram(*tally.LATENCY_BUCKETS_MS)
            totals = itertools.accumulate(found.counts)
            for bound, total in zip(series.buckets, totals, strict=True):
                series.buckets[bound] = total
            series.sum = found.sum_ms
            series.observations = sum(found.counts)
            latencies[name].set_value(dict(labels), series)
        for name, present in self._gauges().items():
            collectors.Gauge(name, "Present value.", registry=registry).set(
                {}, present
            )
        content, headers = renderer.render(registry, ["*/*"])
        return content, headers["Content-Type"]
