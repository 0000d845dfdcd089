"""Find the targets that a request may be sent to, and order them."""

import collections.abc
import dataclasses
import random

from trefoilstand.gateway import const
from trefoilstand.gateway import domain_failures
from trefoilstand.gateway import models
from trefoilstand.gateway import placements
from trefoilstand.gateway import prediction
from trefoilstand.gateway import target_quota
from trefoilstand.gateway import targets
from trefoilstand.util import clock as clocks


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidates:
    """Hold the targets for one request, each group best first.

    :param preferred: targets to be probed first, those of the own failure
        domain unless most of them fail.
    :param others: targets to be probed if none of those is good enough.
    :param limited: targets with a request limit that may be sent to now.
        A probe would use up the limit, so they are used without one.
    """

    preferred: list[targets.Target]
    others: list[targets.Target]
    limited: list[targets.Target]

    @property
    def probed(self) -> list[targets.Target]:
        """Return the targets to be probed, preferred ones first."""
        return [*self.preferred, *self.others]


class CandidateFinder:
    """Find and order the candidates for requests.

    :param table: registered targets.
    :param predictor: predicts processing times.
    :param quota: tells when targets with a limit may be sent to.
    :param clock: source of the time.
    :param random_source: breaks ties.
    :param own_domain: failure domain of this host.
    """

    def __init__(
        self,
        *,
        table: targets.TargetTable,
        predictor: prediction.Predictor,
        quota: target_quota.TargetQuota,
        clock: clocks.Clock,
        random_source: random.Random,
        own_domain: str,
    ) -> None:
        self._table = table
        self._predictor = predictor
        self._quota = quota
        self._clock = clock
        self._random = random_source
        self._own_domain = own_domain

    def find(self, request: placements.SelectionRequest) -> Candidates:
        """Return the candidates for a request.

        Targets without a recent load report are ranked by the default
        slowdown, so that new and recovered ones are probed as well.  Of many
        candidates a sample is ranked.
        """
        now_s = self._clock.now_s()
        unlimited: list[targets.Target] = []
        limited: list[targets.Target] = []
        for target in self._untried_targets(request):
            if not self._quota.is_limited(target, now_s):
                unlimited.append(target)
            elif (
                target.ejected_until_s <= now_s
                and self._quota.may_send(target, now_s)
                and request.accepts(target, self._predictor, now_s)
            ):
                limited.append(target)
        usable = [
            target
            for target in _without_ejected(unlimited, now_s)
            if not request.rules_out(target, now_s)
            and not self._is_known_unacceptable(request, target, now_s)
        ]
        near = self._sample(
            [target for target in usable if self.is_near(target)]
        )
        far = self._sample(
            [target for target in usable if not self.is_near(target)]
        )
        chosen = {target.target_id for target in (*near, *far)}
        ranked = self._sort(
            [target for target in usable if target.target_id in chosen],
            request,
            now_s,
        )
        near = [target for target in ranked if self.is_near(target)]
        far = [target for target in ranked if not self.is_near(target)]
        is_failing = far and domain_failures.is_failing(
            (target for target in unlimited if self.is_near(target)), now_s
        )
        return Candidates(
            preferred=far if is_failing else near,
            others=near if is_failing else far,
            limited=self._sort(limited, request, now_s),
        )

    def is_near(self, target: targets.Target) -> bool:
        """Return whether a target is in the own failure domain."""
        return target.record.failure_domain == self._own_domain

    def may_send(self, target: targets.Target) -> bool:
        """Return whether the limits of a target allow a request now."""
        return self._quota.may_send(target, self._clock.now_s())

    def find_unconfirmed(
        self, limited: collections.abc.Iterable[targets.Target]
    ) -> list[targets.Target]:
        """Return the targets whose limit was not confirmed for some time.

        :param limited: targets with a limit.
        """
        now_s = self._clock.now_s()
        return [
            target
            for target in limited
            if self._quota.needs_recheck(target, now_s)
        ]

    def explain_absence(
        self, request: placements.SelectionRequest
    ) -> models.Refusal:
        """Return why a request has no candidates."""
        untried = self._untried_targets(request)
        if not untried:
            return models.Refusal.NO_TARGET
        now_s = self._clock.now_s()
        latest_start_s = request.latest_s - self._predictor.processing_time_s(
            request.route
        )
        if all(
            self._quota.is_limited(target, now_s)
            and self._quota.next_send_s(target, now_s) > latest_start_s
            for target in untried
        ):
            return models.Refusal.RATE_LIMITED
        return models.Refusal.OVERLOADED

    def _sort(
        self,
        candidates: list[targets.Target],
        request: placements.SelectionRequest,
        now_s: float,
    ) -> list[targets.Target]:
        costs = {
            target.target_id: self._predictor.cost(
                target, request.route, now_s
            )
            + const.PROBE_ORDER_JITTER * self._random.random()
            for target in candidates
        }
        return sorted(candidates, key=lambda target: costs[target.target_id])

    def _sample(
        self, candidates: list[targets.Target]
    ) -> list[targets.Target]:
        if len(candidates) <= const.MAX_RANKED_CANDIDATES:
            return candidates
        return self._random.sample(candidates, const.MAX_RANKED_CANDIDATES)

    def _untried_targets(
        self, request: placements.SelectionRequest
    ) -> list[targets.Target]:
        return [
            target
            for target in self._table.of_service(request.service)
            if target.target_id not in request.excluded
        ]

    def _is_known_unacceptable(
        self,
        request: placements.SelectionRequest,
        target: targets.Target,
        now_s: float,
    ) -> bool:
        """Return whether a very recent load report rules a target out."""
        report = target.report
        if report is None or now_s - report.observed_s > const.REPROBE_DELAY_S:
            return False
        return not request.accepts(target, self._predictor, now_s)


def _without_ejected(
    candidates: list[targets.Target], now_s: float
) -> list[targets.Target]:
    """Return the targets that are not ejected, all if too many are."""
    usable = [
        target for target in candidates if target.ejected_until_s <= now_s
    ]
    if len(usable) < len(candidates) * (1 - const.MAX_EJECTED_SHARE):
        return candidates
    return usable
