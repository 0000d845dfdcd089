"""Choose targets, count own requests and learn from their ends."""

import collections.abc
import itertools
import random
import threading
import typing

from trefoilstand import exceptions
from trefoilstand.configuration import models as configuration_models
from trefoilstand.decision import const
from trefoilstand.decision import draining
from trefoilstand.decision import health
from trefoilstand.decision import models
from trefoilstand.decision import retries
from trefoilstand.decision import selection
from trefoilstand.decision import tables

_BUSY_RETRY_AFTER_MS: typing.Final = 50
_EMPTY_RETRY_AFTER_MS: typing.Final = 1000


class LeavingTargetChosenError(exceptions.InvariantError):
    """Represent new work that was about to go to a leaving target."""


class UnmatchedAttemptError(exceptions.InvariantError):
    """Represent the end of an attempt that was not open."""


class DecisionEngine:
    """Run the decision systems over the tables of targets.

    All methods may be called from several threads.

    :param policy: how one of several targets is chosen.
    :param random_source: source of random numbers, seeded in replays.
    """

    def __init__(
        self,
        *,
        policy: selection.SelectionPolicy,
        random_source: random.Random,
    ) -> None:
        self._policy = policy
        self._random = random_source
        self._lock = threading.Lock()
        self._targets = tables.TargetTable()
        self._leaving = draining.LeavingTargets()
        self._retries: dict[str, retries.RetryBudget] = {}
        self._attempt_ids = itertools.count(1)

    def load(self, content: configuration_models.Configuration) -> None:
        """Put another configuration in force."""
        with self._lock:
            self._targets.load(content)
            self._retries = {
                name: retries.RetryBudget(ratio=service.retry_ratio)
                for name, service in content.services.items()
            }

    def begin(
        self,
        service_name: str,
        now_s: float,
        tried: frozenset[str] = frozenset(),
    ) -> models.Attempt | models.Refusal:
        """Choose a target and count the request there.

        :param service_name: service that the call asks for.
        :param now_s: monotonic time.
        :param tried: addresses that earlier attempts went to.
        :returns: the attempt, which must be ended by :meth:`finish`.
        """
        with self._lock:
            targets = self._targets.by_service.get(service_name, ())
            chosen: models.TargetEntity | models.Reason
            chosen = models.Reason.TARGETS_BUSY
            if len(targets) > const.CHOICE_SAMPLE:
                sample = self._random.sample(targets, const.CHOICE_SAMPLE)
                chosen = self._choose(sample, tried, now_s)
            if isinstance(chosen, models.Reason):
                # The whole list is looked at only when a sample of a
                # large service holds nothing free.
                chosen = self._choose(targets, tried, now_s)
            if isinstance(chosen, models.Reason):
                return _refuse(chosen)
            if not tried:
                self._retries[service_name].record_call()
            return self._open_attempt(chosen, now_s)

    def _choose(
        self,
        targets: collections.abc.Sequence[models.TargetEntity],
        tried: frozenset[str],
        now_s: float,
    ) -> models.TargetEntity | models.Reason:
        """Return a target, or why there is none."""
        open_targets = [
            target
            for target in targets
            if target.address not in tried and not self._is_leaving(target)
        ]
        if not open_targets:
            return models.Reason.NO_TARGET
        candidates = health.drop_ejected(
            [
                self._targets.candidate(target, now_s)
                for target in open_targets
            ],
            now_s,
        )
        free = [
            item
            for item in candidates
            if item.own_in_flight < item.target.slots
        ]
        if not free:
            return models.Reason.TARGETS_BUSY
        return self._policy.choose(free, now_s).target

    def finish(
        self,
        attempt: models.Attempt,
        result: models.AttemptResult,
        now_s: float,
    ) -> bool:
        """End an attempt and learn from it.

        :returns: True where the answer first told that a target leaves.
        :raises UnmatchedAttemptError: the attempt is not open.
        """
        address = attempt.target.address
        with self._lock:
            calls = self._targets.in_flight.get(address, {})
            if calls.pop(attempt.attempt_id, None) is None:
                raise UnmatchedAttemptError(
                    f"attempt {attempt.attempt_id} is not open"
                )
            return self._learn(address, result, now_s)

    def observe(
        self, address: str, result: models.AttemptResult, now_s: float
    ) -> bool:
        """Learn from a probe or from a report of another entry host.

        :returns: True where it first told that a target leaves.
        """
        with self._lock:
            return self._learn(address, result, now_s)

    def take_retry(self, service_name: str) -> bool:
        """Spend one retry of a service and return whether there was one."""
        with self._lock:
            budget = self._retries.get(service_name)
            return budget is not None and budget.take()

    def mark_leaving(
        self, address: str, incarnation: str, now_s: float
    ) -> bool:
        """Record that a target process leaves.

        :returns: True where this was not known before.
        """
        with self._lock:
            return self._leaving.mark(address, incarnation, now_s)

    def take_listed_leaving(
        self, addresses: frozenset[str], now_s: float
    ) -> None:
        """Take over the addresses that the platform lists as leaving."""
        with self._lock:
            for address in addresses:
                self._leaving.note_listed(address, now_s)

    def note_listed_leaving(self, address: str, read_s: float) -> None:
        """Record that a peer found an address listed as leaving."""
        with self._lock:
            self._leaving.note_listed(address, read_s)

    def listed_leaving(self) -> dict[str, float]:
        """Return when each listed address was read last, by anybody."""
        with self._lock:
            return self._leaving.listed()

    def leaving_marks(self) -> list[tables.LeavingMark]:
        """Return the known leaving target processes, newest first."""
        with self._lock:
            return self._leaving.marks()

    def tick(self, now_s: float) -> None:
        """Expire what is too old."""
        with self._lock:
            self._leaving.expire(now_s)

    def explain(
        self, service_name: str, now_s: float
    ) -> list[models.Explanation]:
        """Return how each target of a service stands right now."""
        with self._lock:
            return [
                self._explain_target(target, now_s)
                for target in self._targets.by_service.get(service_name, ())
            ]

    def probe_order(self, now_s: float) -> list[models.TargetEntity]:
        """Return targets, those first whose probe may change a choice."""
        with self._lock:
            return sorted(
                self._targets.entities.values(),
                key=lambda target: self._probe_rank(target, now_s),
            )

    def _probe_rank(
        self, target: models.TargetEntity, now_s: float
    ) -> tuple[bool, float, float]:
        known = self._targets.health[target.address]
        observed_s = known.report.observed_s if known.report else 0.0
        is_well = known.ejected_until_s <= now_s
        return (is_well, observed_s, self._random.random())

    def _explain_target(
        self, target: models.TargetEntity, now_s: float
    ) -> models.Explanation:
        candidate = self._targets.candidate(target, now_s)
        status = "eligible"
        if self._is_leaving(target):
            status = "leaving"
        elif candidate.health.ejected_until_s > now_s:
            status = "ejected"
        elif candidate.own_in_flight >= target.slots:
            status = "busy"
        return models.Explanation(
            address=target.address,
            status=status,
            own_in_flight=candidate.own_in_flight,
            health=candidate.health,
        )

    def _is_leaving(self, target: models.TargetEntity) -> bool:
        known = self._targets.health[target.address]
        return self._leaving.is_leaving(target, known.incarnation)

    def _open_attempt(
        self, target: models.TargetEntity, now_s: float
    ) -> models.Attempt:
        if self._is_leaving(target):
            raise LeavingTargetChosenError(target.address)
        attempt = models.Attempt(
            attempt_id=next(self._attempt_ids),
            target=target,
            started_s=now_s,
        )
        calls = self._targets.in_flight[target.address]
        calls[attempt.attempt_id] = now_s
        return attempt

    def _learn(
        self, address: str, result: models.AttemptResult, now_s: float
    ) -> bool:
        known = self._targets.health.get(address)
        if known is None:
            return False
        updated = health.update(known, result, now_s)
        self._targets.health[address] = updated
        if not result.is_leaving:
            return False
        return self._leaving.mark(address, updated.incarnation, now_s)


def _refuse(reason: models.Reason) -> models.Refusal:
    pause_ms = _EMPTY_RETRY_AFTER_MS
    if reason is models.Reason.TARGETS_BUSY:
        pause_ms = _BUSY_RETRY_AFTER_MS
    return models.Refusal(reason=reason, retry_after_ms=pause_ms)
