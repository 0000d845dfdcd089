"""Metrics in the Prometheus format.

Every call updates counters, and the collectors of the library take tens of
microseconds, so counts are kept in dictionaries and copied to the collectors
only when metrics are rendered.
"""

import collections
import threading
import typing

from aioprometheus import collectors
from aioprometheus import histogram
from aioprometheus import renderer

LabelPairs = tuple[tuple[str, str], ...]

_LATENCY_BUCKETS_MS: typing.Final = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0, 2000.0
]  # fmt: skip
_ATTEMPTS: typing.Final = "trefoilstand_attempts_total"
_BROKEN_INVARIANTS: typing.Final = "trefoilstand_broken_invariants_total"
_CALLS: typing.Final = "trefoilstand_calls_total"
_LATENCY_MS: typing.Final = "trefoilstand_call_latency_ms"
_PEER_BYTES: typing.Final = "trefoilstand_peer_bytes_total"
_PEER_MESSAGES: typing.Final = "trefoilstand_peer_messages_total"
_PLATFORM_CALLS: typing.Final = "trefoilstand_platform_calls_total"
_PROBE_BYTES: typing.Final = "trefoilstand_probe_bytes_total"
_PROBES: typing.Final = "trefoilstand_probes_total"
_COUNTERS: typing.Final = {
    _ATTEMPTS: "Attempts by service and reason.",
    _BROKEN_INVARIANTS: "Broken promises found inside the program.",
    _CALLS: "Calls by service and outcome.",
    _PEER_BYTES: "Encoded bytes sent to and received from entry hosts.",
    _PEER_MESSAGES: "Messages to and from entry hosts.",
    _PLATFORM_CALLS: "Calls to the platform, a waiting watch being one.",
    _PROBE_BYTES: "Bytes charged to the measuring budget.",
    _PROBES: "Probes sent to targets.",
}


class Metrics:
    """Hold all metrics of one process; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._registry = collectors.Registry()
        self._counts: collections.Counter[tuple[str, LabelPairs]] = (
            collections.Counter()
        )
        self._counters = {
            name: collectors.Counter(name, help_text, registry=self._registry)
            for name, help_text in _COUNTERS.items()
        }
        self._latency_ms = collectors.Histogram(
            _LATENCY_MS,
            "Latency of calls in milliseconds.",
            buckets=_LATENCY_BUCKETS_MS,
            registry=self._registry,
        )
        self._latencies: dict[str, histogram.Histogram] = {}
        self._gauges: dict[str, collectors.Gauge] = {}

    def record_call(
        self, service: str, outcome: str, latency_ms: float
    ) -> None:
        """Count one finished call and record its latency."""
        labels = (("service", service), ("outcome", outcome))
        with self._lock:
            self._counts[_CALLS, labels] += 1
            series = self._latencies.get(service)
            if series is None:
                series = histogram.Histogram(*_LATENCY_BUCKETS_MS)
                self._latencies[service] = series
            series.observe(latency_ms)

    def record_attempt(self, service: str, reason: str) -> None:
        """Count one finished attempt."""
        labels = (("service", service), ("reason", reason))
        self._count((_ATTEMPTS, labels, 1))

    def record_probe(self, charged_bytes: int) -> None:
        """Count one probe and the bytes charged for it."""
        self._count((_PROBES, (), 1), (_PROBE_BYTES, (), charged_bytes))

    def record_platform_call(self, document: str) -> None:
        """Count one read or watch of the platform."""
        self._count((_PLATFORM_CALLS, (("document", document),), 1))

    def record_peer_message(self, method: str, size_bytes: int) -> None:
        """Count one message of the peer protocol."""
        labels = (("method", method),)
        self._count(
            (_PEER_MESSAGES, labels, 1), (_PEER_BYTES, labels, size_bytes)
        )

    def record_broken_invariant(self, error_type: str) -> None:
        """Count one broken invariant."""
        self._count((_BROKEN_INVARIANTS, (("error", error_type),), 1))

    def set_gauge(self, name: str, description: str, value: float) -> None:
        """Set a gauge and create it if necessary."""
        with self._lock:
            gauge = self._gauges.get(name)
            if gauge is None:
                gauge = collectors.Gauge(
                    name, description, registry=self._registry
                )
                self._gauges[name] = gauge
            gauge.set({}, value)

    def render(self, accept_header: str) -> tuple[bytes, str]:
        """Return all metrics and their content type.

        :param accept_header: value of the request's Accept field.
        """
        with self._lock:
            for (name, labels), value in self._counts.items():
                self._counters[name].set_value(dict(labels), value)
            for service, series in self._latencies.items():
                self._latency_ms.set_value({"service": service}, series)
            content, headers = renderer.render(
                self._registry, [accept_header or "*/*"]
            )
        return content, headers["Content-Type"]

    def _count(self, *increments: tuple[str, LabelPairs, int]) -> None:
        with self._lock:
            for name, labels, increment in increments:
                self._counts[name, labels] += increment
