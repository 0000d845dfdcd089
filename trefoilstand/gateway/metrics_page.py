"""Serve the metrics of a gateway process to Prometheus."""

import collections.abc
import itertools
import typing

from trefoilstand.http import handling
from trefoilstand.http import models
from trefoilstand.telemetry import metric_store

REQUESTS: typing.Final = "trefoilstand_requests_total"
REQUEST_LATENCY: typing.Final = "trefoilstand_request_latency_ms"
REPEATED_SENDS: typing.Final = "trefoilstand_repeated_sends_total"
ATTEMPTS: typing.Final = "trefoilstand_attempt_outcomes_total"
HEDGES_SENT: typing.Final = "trefoilstand_hedges_sent_total"
HEDGES_WON: typing.Final = "trefoilstand_hedges_won_total"
HEDGES_CANCELLED: typing.Final = "trefoilstand_hedges_cancelled_total"
LIMITED_MESSAGES: typing.Final = "trefoilstand_limited_target_messages_total"

_HELP: typing.Final = {
    REQUESTS: "Requests by service, status and outcome.",
    REQUEST_LATENCY: "Time from the first byte to the answer, by service.",
    REPEATED_SENDS: "Sends beyond the first of a request, by service.",
    HEDGES_SENT: "Hedges sent within the operators' limit, by service.",
    HEDGES_WON: "Hedges whose response was returned, by service.",
    HEDGES_CANCELLED: "Hedges cancelled before their response, by service.",
    LIMITED_MESSAGES: "Requests and probes sent to targets with a limit.",
    ATTEMPTS: "Ends of attempts at targets, by service and outcome.",
}
_PATH: typing.Final = b"/metrics"

Gauges: typing.TypeAlias = collections.abc.Callable[[], dict[str, float]]


class MetricsPage(handling.RequestHandler):
    """Serve counters, latency histograms and gauges.

    :param counts: counters and latencies of the process.
    :param gauges: returns the current value of each gauge by name.
    """

    def __init__(
        self, *, counts: metric_store.MetricStore, gauges: Gauges
    ) -> None:
        self._counts = counts
        self._gauges = gauges

    async def handle(self, request: models.Request) -> handling.CallerResponse:
        """Return all metrics in the text format of Prometheus.

        :param request: request of a metrics collector.
        """
        if request.path != _PATH:
            return handling.CallerResponse(status=404)
        content, content_type = self._render()
        return handling.CallerResponse(
            status=200,
            fields=[(b"content-type", content_type.encode())],
            body=content,
        )

    def _render(self) -> tuple[bytes, str]:
        # Imported on the first read: the import takes 50 ms, which would
        # delay the first requests of a starting process.
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
        for (name, labels), latency_counts in self._counts.latencies.items():
            if name not in latencies:
                latencies[name] = collectors.Histogram(
                    name,
                    _HELP[name],
                    buckets=list(metric_store.LATENCY_BUCKETS_MS),
                    registry=registry,
                )
            series = histogram.Histogram(*metric_store.LATENCY_BUCKETS_MS)
            cumulative_counts = itertools.accumulate(latency_counts.counts)
            for upper_bound, cumulative in zip(
                series.buckets, cumulative_counts, strict=True
            ):
                series.buckets[upper_bound] = cumulative
            series.sum = latency_counts.sum_ms
            series.observations = sum(latency_counts.counts)
            latencies[name].set_value(dict(labels), series)
        for name, current_value in self._gauges().items():
            collectors.Gauge(name, "Present value.", registry=registry).set(
                {}, current_value
            )
        content, headers = renderer.render(registry, ["*/*"])
        return content, headers["Content-Type"]
