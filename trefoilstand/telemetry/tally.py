"""Count on the way of every request, without any library.

The metrics library takes 50 ms to load and tens of microseconds a count, so
counts are kept here and handed to it when they are read.
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
class LatencyCounts:
    """Hold the latencies of one series.

    :param counts: observations in each bucket, the last one unbounded.
    :param sum_ms: sum of all observations.
    """

    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(LATENCY_BUCKETS_MS) + 1)
    )
    sum_ms: float = 0.0

    def add(self, latency_ms: float) -> None:
        """Count one observation."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_MS, latency_ms)] += 1
        self.sum_ms += latency_ms


class Tally:
    """Hold the counters and latencies of one process."""

    def __init__(self) -> None:
        self.counts: collections.Counter[tuple[str, LabelPairs]] = (
            collections.Counter()
        )
        self.latencies: dict[tuple[str, LabelPairs], LatencyCounts] = {}

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter."""
        self.counts[name, tuple(labels.items())] += 1

    def observe(self, name: str, latency_ms: float, **labels: str) -> None:
        """Add a latency to a histogram."""
        key = (name, tuple(labels.items()))
        found = self.latencies.get(key)
        if found is None:
            found = self.latencies.setdefault(key, LatencyCounts())
        found.add(latency_ms)
