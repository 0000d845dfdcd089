"""Table of registered targets and what this host learned of them."""

import collections.abc
import itertools
import math

from trefoilstand.gateway import const
from trefoilstand.gateway import models


class Target:
    """Hold one target's registration, load, outcomes and own requests.

    :param record: its registration.
    """

    __slots__ = (
        "ejected_until_s",
        "error_rate",
        "error_s",
        "failures",
        "in_flight",
        "joined_s",
        "record",
        "report",
        "tells_load",
        "times_ejected",
    )

    def __init__(self, *, record: models.TargetRecord, now_s: float) -> None:
        self.record = record
        self.joined_s = now_s
        self.report: models.LoadReport | None = None
        #: Whether its answers carry its load, None before the first.
        self.tells_load: bool | None = None
        self.in_flight: dict[int, float] = {}
        self.failures = 0
        self.times_ejected = 0
        self.ejected_until_s = 0.0
        self.error_rate = 0.0
        self.error_s = now_s

    @property
    def host_field(self) -> bytes:
        """Return the address as a host header field."""
        return f"{self.record.ip}:{self.record.port}".encode()

    @property
    def target_id(self) -> str:
        """Return the identity of the target's process."""
        return self.record.target_id

    def is_warming(self, now_s: float) -> bool:
        """Return whether the target is still slow after its start."""
        return now_s < self.joined_s + self.record.warmup_left_s

    def unreported(self) -> int:
        """Return the own requests sent after the last report."""
        if self.report is None:
            return len(self.in_flight)
        observed_s = self.report.observed_s
        return sum(sent_s >= observed_s for sent_s in self.in_flight.values())

    def current_error_rate(self, now_s: float) -> float:
        """Return the error rate, which fades while nothing is heard."""
        age_s = now_s - self.error_s
        fading = math.pow(0.5, age_s / const.ERROR_HALF_LIFE_S)
        return self.error_rate * fading

    def record_success(self, now_s: float) -> None:
        """Learn from an answer that was not a failure."""
        rate = self.current_error_rate(now_s)
        self.error_rate = rate * (1 - const.ERROR_WEIGHT)
        self.error_s = now_s
        self.failures = 0
        self.times_ejected = 0

    def record_failure(self, now_s: float) -> bool:
        """Learn from a failure; return whether it sets the target aside."""
        rate = self.current_error_rate(now_s)
        self.error_rate = rate + (1 - rate) * const.ERROR_WEIGHT
        self.error_s = now_s
        self.failures += 1
        if self.failures < const.EJECT_FAILURES:
            return False
        self.failures = 0
        period_s = const.EJECT_S * 2**self.times_ejected
        self.ejected_until_s = now_s + min(period_s, const.MAX_EJECT_S)
        self.times_ejected = min(self.times_ejected + 1, 8)
        return True


class TargetTable:
    """Hold the targets of all services."""

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self._attempt_ids = itertools.count(1)

    def __len__(self) -> int:
        return len(self._targets)

    def get(self, target_id: str) -> Target | None:
        """Return a target by its identity."""
        return self._targets.get(target_id)

    def of_service(self, service: str) -> collections.abc.Sequence[Target]:
        """Return the targets of a service."""
        return self._by_service.get(service, ())

    def all(self) -> collections.abc.Iterable[Target]:
        """Return all targets."""
        return self._targets.values()

    def replace(
        self, records: dict[str, models.TargetRecord], now_s: float
    ) -> list[Target]:
        """Take over the registered targets that may get new work.

        What was learned of a target stays while its process is the same.

        :returns: targets that are gone.
        """
        kept: dict[str, Target] = {}
        for target_id, record in records.items():
            known = self._targets.get(target_id)
            if known is None or (
                known.record.incarnation,
                known.record.ip,
            ) != (
                record.incarnation,
                record.ip,
            ):
                known = Target(record=record, now_s=now_s)
            elif known.record is not record:
                known.record = record
                known.joined_s = now_s
            kept[target_id] = known
        gone = [
            target
            for target_id, target in self._targets.items()
            if kept.get(target_id) is not target
        ]
        self._targets = kept
        self._by_service = {}
        for target in kept.values():
            self._by_service.setdefault(target.record.service, []).append(
                target
            )
        return gone

    def begin(self, target: Target, now_s: float) -> int:
        """Count a request at a target and return its attempt number."""
        attempt_id = next(self._attempt_ids)
        target.in_flight[attempt_id] = now_s
        return attempt_id
