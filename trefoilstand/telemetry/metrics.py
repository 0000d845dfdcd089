"""Metrics in the format of Prometheus."""

import threading
import typing

from aioprometheus import collectors
from aioprometheus import renderer

_LATENCY_BUCKETS_MS: typing.Final = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0, 2000.0
]  # fmt: skip


class Metrics:
    """Hold all metrics of one process.

    The collectors are not safe for several threads by themselves, so one
    lock guards them.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._registry = collectors.Registry()
        self._calls = self._counter(
            "trefoilstand_calls_total", "Calls by service and outcome."
        )
        self._attempts = self._counter(
            "trefoilstand_attempts_total", "Attempts by service and reason."
        )
        self._latency_ms = collectors.Histogram(
            "trefoilstand_call_latency_ms",
            "Latency of calls in milliseconds.",
            buckets=_LATENCY_BUCKETS_MS,
            registry=self._registry,
        )
        self._probes = self._counter(
            "trefoilstand_probes_total", "Probes sent to targets."
        )
        self._probe_bytes = self._counter(
            "trefoilstand_probe_bytes_total",
            "Bytes charged to the measuring budget.",
        )
        self._platform_calls = self._counter(
            "trefoilstand_platform_calls_total",
            "Calls to the platform, a waiting watch being one.",
        )
        self._peer_messages = self._counter(
            "trefoilstand_peer_messages_total", "Messages to entry hosts."
        )
        self._peer_bytes = self._counter(
            "trefoilstand_peer_bytes_total",
            "Encoded bytes sent to and received from entry hosts.",
        )
        self._broken_invariants = self._counter(
            "trefoilstand_broken_invariants_total",
            "Broken promises found by checks inside the program.",
        )
        self._gauges: dict[str, collectors.Gauge] = {}

    def record_call(
        self, service: str, outcome: str, latency_ms: float
    ) -> None:
        """Count the end of one call."""
        with self._lock:
            self._calls.inc({"service": service, "outcome": outcome})
            self._latency_ms.observe({"service": service}, latency_ms)

    def record_attempt(self, service: str, reason: str) -> None:
        """Count the end of one attempt."""
        with self._lock:
            self._attempts.inc({"service": service, "reason": reason})

    def record_probe(self, charged_bytes: int) -> None:
        """Count one probe and the bytes charged for it."""
        with self._lock:
            self._probes.inc({})
            self._probe_bytes.add({}, charged_bytes)

    def record_platform_call(self, document: str) -> None:
        """Count one read or watch of the platform."""
        with self._lock:
            self._platform_calls.inc({"document": document})

    def record_peer_message(self, method: str, size_bytes: int) -> None:
        """Count one message of the peers' protocol."""
        with self._lock:
            self._peer_messages.inc({"method": method})
            self._peer_bytes.add({"method": method}, size_bytes)

    def record_broken_invariant(self, error_type: str) -> None:
        """Count one broken invariant."""
        with self._lock:
            self._broken_invariants.inc({"error": error_type})

    def set_gauge(self, name: str, description: str, value: float) -> None:
        """Set a gauge, which is created when it is first set."""
        with self._lock:
            gauge = self._gauges.get(name)
            if gauge is None:
                gauge = collectors.Gauge(
                    name, description, registry=self._registry
                )
                self._gauges[name] = gauge
            gauge.set({}, value)

    def render(self, accepted: str) -> tuple[bytes, str]:
        """Return all metrics and their content type.

        :param accepted: value of the request's Accept field.
        """
        with self._lock:
            content, headers = renderer.render(
                self._registry, [accepted or "*/*"]
            )
        return content, headers["Content-Type"]

    def _counter(self, name: str, description: str) -> collectors.Counter:
        return collectors.Counter(name, description, registry=self._registry)
