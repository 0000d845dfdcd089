"""Count call outcomes over the time windows of error budgets."""

import collections
import dataclasses
import threading
import typing

from trefoilstand.decision import models

BUCKET_S: typing.Final = 10.0
WINDOWS_S: typing.Final = (300.0, 3600.0, 21600.0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCounts:
    """Count the calls of one service in one window.

    :param answered: calls with a complete response.
    :param not_run: calls refused without having run.
    :param unknown: calls whose outcome is unknown.
    :param slow: answered calls that missed the latency objective.
    """

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    slow: int = 0

    @property
    def calls(self) -> int:
        """Return the number of all calls."""
        return self.answered + self.not_run + self.unknown

    def plus(self, other: "ServiceCounts") -> "ServiceCounts":
        """Return the sum of two counts."""
        return ServiceCounts(
            answered=self.answered + other.answered,
            not_run=self.not_run + other.not_run,
            unknown=self.unknown + other.unknown,
            slow=self.slow + other.slow,
        )


class _Bucket:
    """Count the calls of one service in a period of `BUCKET_S`."""

    __slots__ = ("answered", "not_run", "slow", "unknown")

    def __init__(self) -> None:
        self.answered = 0
        self.not_run = 0
        self.slow = 0
        self.unknown = 0

    def to_service_counts(self) -> ServiceCounts:
        return ServiceCounts(
            answered=self.answered,
            not_run=self.not_run,
            unknown=self.unknown,
            slow=self.slow,
        )


class BurnCounter:
    """Count calls by service for all windows; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._buckets: dict[str, collections.OrderedDict[int, _Bucket]] = {}

    def record(
        self,
        service_name: str,
        outcome: models.Outcome,
        is_slow: bool,
        now_s: float,
    ) -> None:
        """Count one call."""
        index = int(now_s / BUCKET_S)
        with self._lock:
            buckets = self._buckets.setdefault(
                service_name, collections.OrderedDict()
            )
            bucket = buckets.get(index)
            if bucket is None:
                bucket = buckets[index] = _Bucket()
                _drop_expired(buckets, index)
            if outcome is models.Outcome.ANSWERED:
                bucket.answered += 1
                bucket.slow += is_slow
            elif outcome is models.Outcome.NOT_RUN:
                bucket.not_run += 1
            else:
                bucket.unknown += 1

    def totals(self, now_s: float) -> dict[str, dict[float, ServiceCounts]]:
        """Return the counts by service and by window in seconds."""
        with self._lock:
            return {
                name: {
                    window_s: _sum_since(buckets, now_s - window_s)
                    for window_s in WINDOWS_S
                }
                for name, buckets in self._buckets.items()
            }


def _drop_expired(
    buckets: "collections.OrderedDict[int, _Bucket]", index: int
) -> None:
    oldest_index = index - int(WINDOWS_S[-1] / BUCKET_S)
    while buckets and next(iter(buckets)) < oldest_index:
        buckets.popitem(last=False)


def _sum_since(
    buckets: "collections.OrderedDict[int, _Bucket]", start_s: float
) -> ServiceCounts:
    total = ServiceCounts()
    for index, bucket in buckets.items():
        if (index + 1) * BUCKET_S > start_s:
            total = total.plus(bucket.to_service_counts())
    return total


def burn_rate(bad: int, calls: int, objective_ratio: float) -> float:
    """Return the burn rate; 1.0 uses up the budget in its period.

    :param bad: calls that missed the objective.
    :param calls: all calls of the window.
    :param objective_ratio: share of calls that must meet it.
    """
    if not calls:
        return 0.0
    return (bad / calls) / (1.0 - objective_ratio)
