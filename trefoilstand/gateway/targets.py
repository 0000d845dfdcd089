"""Table of registered targets and of this host's observations of them."""

import collections.abc
import itertools
import math

from trefoilstand.gateway import const
from trefoilstand.gateway import models


class Target:
    """Hold one target's registration, load, outcomes and own requests.

    :param record: its registration.
    :param now_s: monotonic time.
    """

    __slots__ = (
        "ejected_until_s",
        "error_rate",
        "error_s",
        "failures",
        "in_flight",
        "is_removed",
        "last_message_s",
        "last_request_s",
        "record",
        "report",
        "reports_load",
        "times_ejected",
        "warming_until_s",
    )

    def __init__(self, *, record: models.TargetRecord, now_s: float) -> None:
        self.record = record
        #: Whether it gets no new requests any more.
        self.is_removed = False
        #: Monotonic time up to which it is cold.
        self.warming_until_s = now_s + record.warmup_left_s
        self.report: models.LoadReport | None = None
        #: Monotonic time of the last own request or probe.
        self.last_message_s = -math.inf
        #: Monotonic time of the last own request.
        self.last_request_s = -math.inf
        #: Whether its responses carry its load, None before the first one.
        self.reports_load: bool | None = None
        #: Send times of own requests by attempt number.
        self.in_flight: dict[int, float] = {}
        #: Failures since the last success or ejection.
        self.failures = 0
        self.times_ejected = 0
        self.ejected_until_s = 0.0
        self.error_rate = 0.0
        #: Monotonic time at which the error rate was updated.
        self.error_s = now_s

    @property
    def host_field(self) -> bytes:
        """Return the address as value of a ``Host`` header field."""
        return f"{self.record.ip}:{self.record.port}".encode()

    @property
    def target_id(self) -> str:
        """Return the identity of the target's process."""
        return self.record.target_id

    def is_warming(self, now_s: float) -> bool:
        """Return whether the target is cold, as after its start."""
        return now_s < self.warming_until_s

    def unreported_count(self) -> int:
        """Return how many own requests the last load report cannot include."""
        if self.report is None:
            return len(self.in_flight)
        observed_s = self.report.observed_s
        return sum(sent_s >= observed_s for sent_s in self.in_flight.values())

    def current_error_rate(self, now_s: float) -> float:
        """Return the error rate, which decays without new outcomes."""
        age_s = now_s - self.error_s
        decay = math.pow(0.5, age_s / const.ERROR_HALF_LIFE_S)
        return self.error_rate * decay

    def record_success(self, now_s: float) -> None:
        """Update the error rate and failure count after a success."""
        rate = self.current_error_rate(now_s)
        self.error_rate = rate * (1 - const.ERROR_WEIGHT)
        self.error_s = now_s
        self.failures = 0
        self.times_ejected = 0

    def record_failure(self, now_s: float) -> bool:
        """Update the error rate and failure count after a failure.

        :param now_s: monotonic time.
        :returns: whether the target is ejected by this failure.
        """
        rate = self.current_error_rate(now_s)
        self.error_rate = rate + (1 - rate) * const.ERROR_WEIGHT
        self.error_s = now_s
        self.failures += 1
        if self.failures < const.EJECTION_FAILURES:
            return False
        self.failures = 0
        ejection_s = const.BASE_EJECTION_S * 2**self.times_ejected
        self.ejected_until_s = now_s + min(ejection_s, const.MAX_EJECTION_S)
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

    def warming_count(self, now_s: float) -> int:
        """Return how many targets are cold."""
        return sum(
            target.is_warming(now_s) for target in self._targets.values()
        )

    def replace(
        self, records: dict[str, models.TargetRecord], now_s: float
    ) -> list[Target]:
        """Replace the targets by those that may get new requests.

        Observations of a target are kept while its process is the same.

        :param records: registrations by identity of the target.
        :param now_s: monotonic time.
        :returns: targets that were removed.
        """
        targets: dict[str, Target] = {}
        for target_id, record in records.items():
            current = self._targets.get(target_id)
            if current is None or (
                current.record.incarnation,
                current.record.ip,
            ) != (
                record.incarnation,
                record.ip,
            ):
                current = Target(record=record, now_s=now_s)
            elif current.record is not record:
                current.record = record
                current.warming_until_s = now_s + record.warmup_left_s
            targets[target_id] = current
        removed = [
            target
            for target_id, target in self._targets.items()
            if targets.get(target_id) is not target
        ]
        for target in removed:
            target.is_removed = True
        self._targets = targets
        self._by_service = {}
        for target in targets.values():
            self._by_service.setdefault(target.record.service, []).append(
                target
            )
        return removed

    def remove(self, target: Target) -> None:
        """Remove one target that may get no new requests.

        :param target: target in this table.
        """
        target.is_removed = True
        del self._targets[target.target_id]
        service = target.record.service
        self._by_service[service] = [
            item for item in self._by_service[service] if item is not target
        ]

    def start_attempt(self, target: Target, now_s: float) -> int:
        """Count a request in flight at a target.

        :param target: where the request is sent.
        :param now_s: monotonic time.
        :returns: key of the attempt in :attr:`Target.in_flight`.
        """
        attempt_id = next(self._attempt_ids)
        target.in_flight[attempt_id] = now_s
        return attempt_id
