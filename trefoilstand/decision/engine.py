"""Choose targets, count own requests and track the health of targets."""

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
_NO_TARGET_RETRY_AFTER_MS: typing.Final = 1000


class LeavingTargetChosenError(exceptions.InvariantError):
    """Represent an attempt that was about to go to a leaving target."""


class UnmatchedAttemptError(exceptions.InvariantError):
    """Represent the end of an attempt that was not in progress."""


class DecisionEngine:
    """Choose targets for calls and keep the state behind the choice.

    All methods may be called from several threads.

    :param policy: policy that chooses one of several targets.
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
        self._leaving_targets = draining.LeavingTargets()
        self._retry_budgets: dict[str, retries.RetryBudget] = {}
        self._attempt_ids = itertools.count(1)

    def apply_configuration(
        self, configuration: configuration_models.Configuration
    ) -> None:
        """Apply a new configuration.

        :param configuration: configuration that replaces the current one.
        """
        with self._lock:
            self._targets.apply_configuration(configuration)
            self._retry_budgets = {
                name: retries.RetryBudget(ratio=service.retry_ratio)
                for name, service in configuration.services.items()
            }

    def begin_attempt(
        self,
        service_name: str,
        now_s: float,
        tried_addresses: frozenset[str] = frozenset(),
    ) -> models.Attempt | models.Refusal:
        """Choose a target and count the attempt as in flight there.

        :param service_name: service that the call requests.
        :param now_s: monotonic time in seconds.
        :param tried_addresses: addresses that earlier attempts went to.
        :returns: the attempt, which must be passed to
            :meth:`finish_attempt`, or why there is none.
        """
        with self._lock:
            targets = self._targets.targets_by_service.get(service_name, ())
            chosen: models.TargetEntity | models.Reason
            chosen = models.Reason.TARGETS_BUSY
            if len(targets) > const.MAX_SAMPLED_TARGETS:
                sample = self._random.sample(
                    targets, const.MAX_SAMPLED_TARGETS
                )
                chosen = self._choose_target(sample, tried_addresses, now_s)
            if isinstance(chosen, models.Reason):
                # All targets of a large service are considered only when
                # the sample has no target with free capacity.
                chosen = self._choose_target(targets, tried_addresses, now_s)
            if isinstance(chosen, models.Reason):
                return _make_refusal(chosen)
            if not tried_addresses:
                self._retry_budgets[service_name].record_call()
            return self._start_attempt(chosen, now_s)

    def _choose_target(
        self,
        targets: collections.abc.Sequence[models.TargetEntity],
        tried_addresses: frozenset[str],
        now_s: float,
    ) -> models.TargetEntity | models.Reason:
        """Return a target for the attempt, or why there is none."""
        available_targets = [
            target
            for target in targets
            if target.address not in tried_addresses
            and not self._is_leaving(target)
        ]
        if not available_targets:
            return models.Reason.NO_TARGET
        candidates = health.exclude_ejected(
            [
                self._targets.make_candidate(target, now_s)
                for target in available_targets
            ],
            now_s,
        )
        with_free_slots = [
            candidate
            for candidate in candidates
            if candidate.own_in_flight < candidate.target.slots
        ]
        if not with_free_slots:
            return models.Reason.TARGETS_BUSY
        return self._policy.choose(with_free_slots, now_s).target

    def finish_attempt(
        self,
        attempt: models.Attempt,
        result: models.AttemptResult,
        now_s: float,
    ) -> bool:
        """Finish an attempt and update the state of its target.

        :param attempt: attempt that :meth:`begin_attempt` returned.
        :param result: what was observed of the attempt.
        :param now_s: monotonic time in seconds.
        :returns: True where the result is the first sign that the target
            is leaving.
        :raises UnmatchedAttemptError: the attempt is not in progress.
        """
        address = attempt.target.address
        with self._lock:
            started_s_by_id = self._targets.in_flight_started_s.get(
                address, {}
            )
            if started_s_by_id.pop(attempt.attempt_id, None) is None:
                raise UnmatchedAttemptError(
                    f"cannot finish attempt {attempt.attempt_id} "
                    f"at {address}: it is not in progress"
                )
            return self._update_target(address, result, now_s)

    def observe(
        self, address: str, result: models.AttemptResult, now_s: float
    ) -> bool:
        """Update a target from a probe or a report of another entry host.

        :param address: address of the target with port.
        :param result: what was observed.
        :param now_s: monotonic time in seconds.
        :returns: True where the result is the first sign that the target
            is leaving.
        """
        with self._lock:
            return self._update_target(address, result, now_s)

    def try_spend_retry(self, service_name: str) -> bool:
        """Spend one retry of a service if its retry budget allows it.

        :param service_name: service of the call.
        :returns: True where the retry was allowed and is counted.
        """
        with self._lock:
            budget = self._retry_budgets.get(service_name)
            return budget is not None and budget.try_spend()

    def mark_leaving(
        self, address: str, incarnation: str, now_s: float
    ) -> bool:
        """Record that a target process is leaving.

        :param address: address of the target with port.
        :param incarnation: identity of the process, empty if unknown.
        :param now_s: monotonic time in seconds.
        :returns: True where this was not known before.
        """
        with self._lock:
            return self._leaving_targets.mark(address, incarnation, now_s)

    def record_listed_leaving(
        self, addresses: frozenset[str], now_s: float
    ) -> None:
        """Record the addresses that the platform lists as leaving.

        :param addresses: addresses of targets with port.
        :param now_s: monotonic time when the list was read, in seconds.
        """
        with self._lock:
            for address in addresses:
                self._leaving_targets.record_listed(address, now_s)

    def record_peer_listed_leaving(self, address: str, read_s: float) -> None:
        """Record that a peer read an address in the list of leaving targets.

        :param address: address of the target with port.
        :param read_s: monotonic time when the peer read the list, in
            seconds.
        """
        with self._lock:
            self._leaving_targets.record_listed(address, read_s)

    def listed_leaving(self) -> dict[str, float]:
        """Return when any entry host last read each listed address.

        :returns: monotonic time in seconds by address.
        """
        with self._lock:
            return self._leaving_targets.listed_read_times_s()

    def leaving_marks(self) -> list[tables.LeavingMark]:
        """Return the known leaving target processes, newest first."""
        with self._lock:
            return self._leaving_targets.marks()

    def tick(self, now_s: float) -> None:
        """Remove expired leaving marks.

        :param now_s: monotonic time in seconds.
        """
        with self._lock:
            self._leaving_targets.expire(now_s)

    def explain(
        self, service_name: str, now_s: float
    ) -> list[models.Explanation]:
        """Return whether each target of a service is eligible, and why not."""
        with self._lock:
            return [
                self._explain_target(target, now_s)
                for target in self._targets.targets_by_service.get(
                    service_name, ()
                )
            ]

    def probe_order(self, now_s: float) -> list[models.TargetEntity]:
        """Return all targets, ordered by how much a probe may change a choice.

        Ejected targets come first, then those with the oldest report.

        :param now_s: monotonic time in seconds.
        """
        with self._lock:
            return sorted(
                self._targets.targets_by_address.values(),
                key=lambda target: self._probe_rank(target, now_s),
            )

    def _probe_rank(
        self, target: models.TargetEntity, now_s: float
    ) -> tuple[bool, float, float]:
        current_health = self._targets.health[target.address]
        observed_s = (
            current_health.report.observed_s if current_health.report else 0.0
        )
        is_not_ejected = current_health.ejected_until_s <= now_s
        return (is_not_ejected, observed_s, self._random.random())

    def _explain_target(
        self, target: models.TargetEntity, now_s: float
    ) -> models.Explanation:
        candidate = self._targets.make_candidate(target, now_s)
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
        current_health = self._targets.health[target.address]
        return self._leaving_targets.is_leaving(
            target, current_health.incarnation
        )

    def _start_attempt(
        self, target: models.TargetEntity, now_s: float
    ) -> models.Attempt:
        if self._is_leaving(target):
            raise LeavingTargetChosenError(
                f"target {target.address} was chosen although it is leaving"
            )
        attempt = models.Attempt(
            attempt_id=next(self._attempt_ids),
            target=target,
            started_s=now_s,
        )
        started_s_by_id = self._targets.in_flight_started_s[target.address]
        started_s_by_id[attempt.attempt_id] = now_s
        return attempt

    def _update_target(
        self, address: str, result: models.AttemptResult, now_s: float
    ) -> bool:
        current_health = self._targets.health.get(address)
        if current_health is None:
            return False
        updated_health = health.update(current_health, result, now_s)
        self._targets.health[address] = updated_health
        if not result.is_leaving:
            return False
        return self._leaving_targets.mark(
            address, updated_health.incarnation, now_s
        )


def _make_refusal(reason: models.Reason) -> models.Refusal:
    retry_after_ms = _NO_TARGET_RETRY_AFTER_MS
    if reason is models.Reason.TARGETS_BUSY:
        retry_after_ms = _BUSY_RETRY_AFTER_MS
    return models.Refusal(reason=reason, retry_after_ms=retry_after_ms)
