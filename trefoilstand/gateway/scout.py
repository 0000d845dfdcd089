"""Find the target that would finish a request first.

A target's load shifts within milliseconds, so only what it says at the
moment of the choice is worth much.  The request then goes out on the very
connection that has just answered, which shows that the connection works
and that the expected process is at its other end.
"""

import asyncio
import collections.abc
import dataclasses
import random

from trefoilstand.gateway import const
from trefoilstand.gateway import models
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import probing
from trefoilstand.gateway import targets
from trefoilstand.http import errors
from trefoilstand.util import clock as clocks
from trefoilstand.util import token_bucket


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """Pair the chosen target with a connection to it.

    :param target: where the request goes.
    :param link: connection that nobody else uses.
    :param predicted_s: expected time until the answer.
    :param report: what the target said of its load, None if nothing.
    :param report_age_s: age of that report.
    """

    target: targets.Target
    link: pool.ExchangeLink
    predicted_s: float
    report: models.LoadReport | None
    report_age_s: float | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Query:
    """State what a target is sought for.

    :param service: service that is to run the request.
    :param route: route of the request.
    :param excluded: targets that the request was already sent to.
    :param due_s: monotonic time up to which an answer meets the objective.
    :param latest_s: monotonic time after which nobody waits for it.
    :param is_repeated: whether it was sought before without success.
    """

    service: str
    route: models.Route
    excluded: collections.abc.Set[str]
    due_s: float
    latest_s: float
    is_repeated: bool = False

    def fits(
        self,
        target: targets.Target,
        predictor: prediction.Predictor,
        now_s: float,
    ) -> bool:
        """Return whether a target is good enough to be used now.

        As long as the objective can be met, only targets that promise to
        meet it are.  Later the request gets what others leave: targets at
        usual pace with room for one more.
        """
        if not predictor.has_room(target, now_s):
            return False
        end_s = now_s + predictor.predict_s(target, self.route, now_s)
        if not self.is_late(predictor, now_s):
            return end_s <= self.due_s
        return end_s <= min(
            self.latest_s, now_s + self.route.objective_s
        ) and predictor.has_spare_room(target, now_s)

    def is_late(self, predictor: prediction.Predictor, now_s: float) -> bool:
        """Return whether the objective can no longer be met."""
        return now_s + predictor.work_s(self.route) > self.due_s


class Scout:
    """Probe targets, near ones first, and choose one with room.

    :param table: registered targets.
    :param links: connections to them.
    :param prober: asks single targets.
    :param predictor: expected times.
    :param budget: probes that this host may send.
    :param clock: source of the time.
    :param random_source: breaks ties.
    :param own_domain: failure domain of this host.
    """

    def __init__(
        self,
        *,
        table: targets.TargetTable,
        links: pool.LinkSource,
        prober: probing.TargetProber,
        predictor: prediction.Predictor,
        budget: token_bucket.TokenBucket,
        clock: clocks.Clock,
        random_source: random.Random,
        own_domain: str,
    ) -> None:
        self._table = table
        self._links = links
        self._prober = prober
        self._predictor = predictor
        self._budget = budget
        self._clock = clock
        self._random = random_source
        self._own_domain = own_domain
        self._running: set[asyncio.Task[probing.Probed | None]] = set()

    async def find(self, query: Query) -> Placement | models.Refusal:
        """Return the best target with room, or why there is none."""
        near, far = self._order(query)
        if not near and not far:
            return self._explain_nothing(query)
        if self._is_mute(near, far):
            return await self._place_unprobed(query, [*near, *far])
        answered: list[probing.Probed] = []
        try:
            await self._search(query, near, answered, const.FIRST_ROUND_PROBES)
            if not self._is_satisfied(query, answered):
                await self._search(
                    query, far, answered, const.FAR_ROUND_PROBES
                )
        except asyncio.CancelledError:
            self._give_back(answered)
            raise
        if not answered and not query.is_repeated:
            return await self._place_unprobed(query, near or far)
        return self._choose(query, answered)

    def _is_mute(
        self, near: list[targets.Target], far: list[targets.Target]
    ) -> bool:
        """Return whether the targets do not tell their load.

        A health check then waits for a slot like any request, so that it
        would cost more than it tells.
        """
        told = [target.tells_load for target in (*near, *far)]
        return False in told and True not in told

    async def _place_unprobed(
        self, query: Query, order: list[targets.Target]
    ) -> Placement | models.Refusal:
        """Choose by known reports, as when no probe may be sent."""
        now_s = self._clock.now_s()
        for target in order:
            if target.failures or not query.fits(
                target, self._predictor, now_s
            ):
                continue
            try:
                used = await self._links.acquire(target)
            except errors.LinkError:
                target.record_failure(self._clock.now_s())
                continue
            return make_placement(
                target, used, query.route, self._predictor, now_s
            )
        return models.Refusal.NO_ANSWER

    async def _search(
        self,
        query: Query,
        order: list[targets.Target],
        answered: list[probing.Probed],
        first_size: int,
    ) -> None:
        """Ask round after round until a good target has answered."""
        asked = 0
        size = first_size
        while asked < min(len(order), const.MAX_PROBES):
            group = order[asked : asked + size]
            asked += len(group)
            size = first_size + 1
            await self._ask(query, group, answered)
            if self._is_satisfied(query, answered):
                return
            if self._clock.now_s() >= query.latest_s:
                return

    def _order(
        self, query: Query
    ) -> tuple[list[targets.Target], list[targets.Target]]:
        """Return near and far targets, each in the order to ask them.

        Targets of which nothing recent is known take their place by the
        typical pace, so that new ones and those that recovered are asked
        again.
        """
        now_s = self._clock.now_s()
        known = self._untried(query)
        usable = [
            target for target in known if target.ejected_until_s <= now_s
        ]
        if len(usable) < len(known) * (1 - const.MAX_EJECTED_SHARE):
            usable = known
        usable = [
            target
            for target in usable
            if not self._is_known_unfit(query, target, now_s)
        ]
        ranks = {
            target.target_id: self._predictor.cost(target, query.route, now_s)
            + const.ORDER_JITTER * self._random.random()
            for target in usable
        }
        usable.sort(key=lambda target: ranks[target.target_id])
        near = [target for target in usable if self._is_near(target)]
        far = [target for target in usable if not self._is_near(target)]
        return near, far

    def _untried(self, query: Query) -> list[targets.Target]:
        return [
            target
            for target in self._table.of_service(query.service)
            if target.target_id not in query.excluded
        ]

    def _explain_nothing(self, query: Query) -> models.Refusal:
        """Return why no target is worth a probe."""
        if self._untried(query):
            return models.Refusal.OVERLOADED
        return models.Refusal.NO_TARGET

    def _is_known_unfit(
        self, query: Query, target: targets.Target, now_s: float
    ) -> bool:
        """Return whether a target has just said that it is no use."""
        report = target.report
        if report is None or now_s - report.observed_s > const.ASK_AGAIN_S:
            return False
        return not query.fits(target, self._predictor, now_s)

    def _may_probe(self, query: Query) -> bool:
        """Spend a probe; repeated searches leave some for new ones."""
        reserve = const.REPEATED_RESERVE if query.is_repeated else 0.0
        return self._budget.take(self._clock.now_s(), reserve_share=reserve)

    def _is_near(self, target: targets.Target) -> bool:
        return target.record.failure_domain == self._own_domain

    async def _ask(
        self,
        query: Query,
        group: list[targets.Target],
        answered: list[probing.Probed],
    ) -> None:
        """Probe some targets and collect those that answer in time."""
        tasks: list[asyncio.Task[probing.Probed | None]] = []
        for target in group:
            if not self._may_probe(query):
                break
            tasks.append(
                asyncio.get_running_loop().create_task(
                    self._prober.probe(target)
                )
            )
        self._running.update(tasks)
        pending = set(tasks)
        until_s = self._clock.now_s() + const.ROUND_TIMEOUT_S
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending,
                    timeout=max(until_s - self._clock.now_s(), 0),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    break
                # In the order of asking, so that seeded runs repeat.
                for task in tasks:
                    if task not in done:
                        continue
                    self._running.discard(task)
                    probed = task.result()
                    if probed is not None:
                        answered.append(probed)
                if self._is_ideal(query, answered):
                    break
        finally:
            for task in pending:
                task.add_done_callback(self._take_late)

    def _take_late(self, task: asyncio.Task[probing.Probed | None]) -> None:
        """Return the connection of a probe that nobody waited for."""
        self._running.discard(task)
        if task.cancelled():
            return
        probed = task.result()
        if probed is not None:
            self._links.release(probed.target, probed.link)

    def _is_ideal(self, query: Query, answered: list[probing.Probed]) -> bool:
        """Return whether waiting for more answers cannot pay."""
        now_s = self._clock.now_s()
        work_s = self._predictor.work_s(query.route)
        return any(
            probed.is_well
            and self._is_near(probed.target)
            and self._predictor.has_room(probed.target, now_s)
            and self._predictor.predict_s(probed.target, query.route, now_s)
            <= work_s * const.EQUAL_PREDICTION
            for probed in answered
        )

    def _is_satisfied(
        self, query: Query, answered: list[probing.Probed]
    ) -> bool:
        """Return whether asking further targets is not worth its cost."""
        now_s = self._clock.now_s()
        return any(
            probed.is_well
            and query.fits(probed.target, self._predictor, now_s)
            and self._predictor.cost(probed.target, query.route, now_s)
            <= const.DISTANCE_COST
            for probed in answered
        )

    def _choose(
        self, query: Query, answered: list[probing.Probed]
    ) -> Placement | models.Refusal:
        """Keep the best connection and give the others back."""
        now_s = self._clock.now_s()
        if not answered:
            return models.Refusal.NO_ANSWER
        best: probing.Probed | None = None
        best_cost = float("inf")
        for probed in answered:
            if not query.fits(probed.target, self._predictor, now_s):
                continue
            cost = self._predictor.cost(probed.target, query.route, now_s)
            if not self._is_near(probed.target):
                cost += const.DISTANCE_COST
            if not probed.is_well:
                cost += const.UNWELL_COST
            if cost < best_cost:
                best, best_cost = probed, cost
        self._give_back([probed for probed in answered if probed is not best])
        if best is None:
            return models.Refusal.OVERLOADED
        return make_placement(
            best.target, best.link, query.route, self._predictor, now_s
        )

    def _give_back(self, answered: list[probing.Probed]) -> None:
        for probed in answered:
            self._links.release(probed.target, probed.link)


def make_placement(
    target: targets.Target,
    used: pool.ExchangeLink,
    route: models.Route,
    predictor: prediction.Predictor,
    now_s: float,
) -> Placement:
    """Return the placement of a request at a target."""
    report = target.report
    return Placement(
        target=target,
        link=used,
        predicted_s=predictor.predict_s(target, route, now_s),
        report=report,
        report_age_s=now_s - report.observed_s if report else None,
    )
