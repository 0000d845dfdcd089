"""Counters and latency histograms updated by every request.

The metrics library takes 50 ms to load and tens of microseconds a count, so
counts are kept here and copied to it when metrics are rendered.
"""

import bisect
import collections
import dataclasses
import typing

LabelPairs: typing.TypeAlias = tuple[tuple[str, str], ...]

#: Upper bounds of latency buckets; objectives are 100 to 1,200 ms.
LATENCY_BUCKETS_MS: typing.Final = (
    2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 150.0, 200.0, 300.0, 400.0, 600.0,
    1000.0, 2000.0, 5000.0,
)  # fmt: skip


@dataclasses.dataclass(kw_only=True, slots=True)
class LatencyHistogram:
    """Latency histogram of one time series.

    :param counts: observations in each bucket, the last one unbounded.
    :param sum_ms: sum of all observations in milliseconds.
    """

    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(LATENCY_BUCKETS_MS) + 1)
    )
    sum_ms: float = 0.0

    def add(self, latency_ms: float) -> None:
        """Count one observation."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_MS, latency_ms)] += 1
        self.sum_ms += latency_ms


class MetricStore:
    """Hold the counters and latency histograms of one process."""

    def __init__(self) -> None:
        self.counts: collections.Counter[tuple[str, LabelPairs]] = (
            collections.Counter()
        )
        self.latencies: dict[tuple[str, LabelPairs], LatencyHistogram] = {}

    def increment(self, name: str, **labels: str) -> None:
        """Add one to a counter."""
        self.counts[name, tuple(labels.items())] += 1

    def observe(self, name: str, latency_ms: float, **labels: str) -> None:
        """Add a latency to a histogram."""
        key = (name, tuple(labels.items()))
        series = self.latencies.get(key)
        if series is None:
            series = self.latencies.setdefault(key, LatencyHistogram())
        series.add(latency_ms)
