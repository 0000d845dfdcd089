"""Select the target that is expected to finish a request first.

The load of a target changes within milliseconds, so targets are probed at
the moment of the selection.  The request is then sent on the connection of
the probe, whose response has shown that the connection works and that the
expected process is at its other end.
"""

import asyncio

from trefoilstand.gateway import candidates
from trefoilstand.gateway import const
from trefoilstand.gateway import models
from trefoilstand.gateway import placements
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import probing
from trefoilstand.gateway import targets
from trefoilstand.http import errors
from trefoilstand.util import clock as clocks
from trefoilstand.util import token_bucket


class TargetSelector:
    """Probe targets and select one with capacity.

    Targets of the own failure domain are *near* and are probed first; all
    others are *far*.

    :param finder: finds the targets that a request may be sent to.
    :param connections: connections to targets.
    :param prober: probes single targets.
    :param predictor: predicts processing times.
    :param budget: limits the rate of probes of this host.
    :param clock: source of the time.
    """

    def __init__(
        self,
        *,
        finder: candidates.CandidateFinder,
        connections: pool.ConnectionSource,
        prober: probing.TargetProber,
        predictor: prediction.Predictor,
        budget: token_bucket.TokenBucket,
        clock: clocks.Clock,
    ) -> None:
        self._finder = finder
        self._connections = connections
        self._prober = prober
        self._predictor = predictor
        self._budget = budget
        self._clock = clock
        self._probe_tasks: set[asyncio.Task[probing.ProbeResult | None]] = (
            set()
        )

    async def select(
        self, request: placements.SelectionRequest
    ) -> placements.Placement | models.Refusal:
        """Return the best target with capacity, or why there is none."""
        found = self._finder.find(request)
        if not (found.probed or found.limited):
            return self._finder.explain_absence(request)
        selected = await self._connect_first(
            request, self._finder.find_unconfirmed(found.limited)
        )
        if selected is not None:
            return selected
        refusal = models.Refusal.OVERLOADED
        if found.probed:
            probed = await self._select_probed(request, found)
            if isinstance(probed, placements.Placement):
                return probed
            refusal = probed
        return await self._connect_first(request, found.limited) or refusal

    async def _select_probed(
        self,
        request: placements.SelectionRequest,
        found: candidates.Candidates,
    ) -> placements.Placement | models.Refusal:
        """Probe targets and return the best one with capacity."""
        if self._is_load_unreported(found.probed):
            return await self._select_unprobed(request, found.probed)
        preferred, others = found.preferred, found.others
        results: list[probing.ProbeResult] = []
        try:
            await self._probe_in_rounds(
                request, preferred, results, const.FIRST_ROUND_PROBES
            )
            if not self._has_good_result(request, results):
                await self._probe_in_rounds(
                    request, others, results, const.FAR_ROUND_PROBES
                )
        except asyncio.CancelledError:
            self._release_all(results)
            raise
        if not results:
            return await self._select_unprobed(request, found.probed)
        return self._choose_result(request, results)

    def _is_load_unreported(self, probed: list[targets.Target]) -> bool:
        """Return whether no target reports its load, as far as is known.

        Health checks of such targets wait for a slot like any request, so
        probes would cost more than their results are worth.
        """
        reports_load = [target.reports_load for target in probed]
        return False in reports_load and True not in reports_load

    async def _select_unprobed(
        self,
        request: placements.SelectionRequest,
        probed: list[targets.Target],
    ) -> placements.Placement | models.Refusal:
        """Select by the known load reports, without sending a probe."""
        now_s = self._clock.now_s()
        selected = await self._connect_first(
            request,
            [
                target
                for target in probed
                if not target.failures
                and request.accepts(target, self._predictor, now_s)
            ],
        )
        return selected or models.Refusal.NO_ANSWER

    async def _connect_first(
        self,
        request: placements.SelectionRequest,
        accepted: list[targets.Target],
    ) -> placements.Placement | None:
        """Return the first target that can be connected to, if any."""
        now_s = self._clock.now_s()
        for target in accepted:
            try:
                connection = await self._connections.acquire(target)
            except errors.ConnectionQuotaError:
                continue
            except errors.LinkError:
                target.record_failure(self._clock.now_s())
                continue
            return placements.make_placement(
                target, connection, request.route, self._predictor, now_s
            )
        return None

    async def _probe_in_rounds(
        self,
        request: placements.SelectionRequest,
        probed: list[targets.Target],
        results: list[probing.ProbeResult],
        first_round_size: int,
    ) -> None:
        """Probe candidates in rounds until a good result has come in."""
        probed_count = 0
        round_size = first_round_size
        while probed_count < min(len(probed), const.MAX_PROBES):
            group = probed[probed_count : probed_count + round_size]
            probed_count += len(group)
            round_size = first_round_size + 1
            await self._probe_group(request, group, results)
            if self._has_good_result(request, results):
                return
            if self._clock.now_s() >= request.latest_s:
                return

    def _spend_probe(self, request: placements.SelectionRequest) -> bool:
        """Spend a probe of the budget and return whether there was one.

        Repeated searches leave a share of the budget to new requests.
        """
        reserve_share = (
            const.REPEATED_SEARCH_RESERVE_SHARE if request.is_repeated else 0.0
        )
        return self._budget.try_acquire(
            self._clock.now_s(), reserve_share=reserve_share
        )

    async def _probe_group(
        self,
        request: placements.SelectionRequest,
        group: list[targets.Target],
        results: list[probing.ProbeResult],
    ) -> None:
        """Probe some targets and collect the results that come in time."""
        tasks: list[asyncio.Task[probing.ProbeResult | None]] = []
        for target in group:
            if not self._spend_probe(request):
                break
            tasks.append(
                asyncio.get_running_loop().create_task(
                    self._prober.probe(target)
                )
            )
        self._probe_tasks.update(tasks)
        pending = set(tasks)
        round_end_s = self._clock.now_s() + const.PROBE_ROUND_TIMEOUT_S
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending,
                    timeout=max(round_end_s - self._clock.now_s(), 0),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    break
                # In the order of probing, so that seeded runs are repeatable.
                for task in tasks:
                    if task not in done:
                        continue
                    self._probe_tasks.discard(task)
                    result = task.result()
                    if result is None:
                        continue
                    if self._finder.may_send(result.target):
                        results.append(result)
                    else:
                        # The probe has shown that the target is cold.
                        self._connections.release(
                            result.target, result.connection
                        )
                if self._has_ideal_result(request, results):
                    break
        finally:
            for task in pending:
                task.add_done_callback(self._release_late_result)

    def _release_late_result(
        self, task: asyncio.Task[probing.ProbeResult | None]
    ) -> None:
        """Release the connection of a probe that missed its round."""
        self._probe_tasks.discard(task)
        if task.cancelled():
            return
        result = task.result()
        if result is not None:
            self._connections.release(result.target, result.connection)

    def _has_ideal_result(
        self,
        request: placements.SelectionRequest,
        results: list[probing.ProbeResult],
    ) -> bool:
        """Return whether waiting for further results is of no use."""
        now_s = self._clock.now_s()
        usual_s = self._predictor.processing_time_s(request.route)
        return any(
            result.is_healthy
            and self._finder.is_near(result.target)
            and self._predictor.has_capacity(result.target, now_s)
            and self._predictor.predict_s(result.target, request.route, now_s)
            <= usual_s * const.EQUAL_PREDICTION_FACTOR
            for result in results
        )

    def _has_good_result(
        self,
        request: placements.SelectionRequest,
        results: list[probing.ProbeResult],
    ) -> bool:
        """Return whether probing further targets is not worth its cost."""
        now_s = self._clock.now_s()
        return any(
            result.is_healthy
            and request.accepts(result.target, self._predictor, now_s)
            and self._predictor.cost(result.target, request.route, now_s)
            <= const.CROSS_DOMAIN_COST
            for result in results
        )

    def _choose_result(
        self,
        request: placements.SelectionRequest,
        results: list[probing.ProbeResult],
    ) -> placements.Placement | models.Refusal:
        """Choose the best result and release the connections of the others."""
        now_s = self._clock.now_s()
        if not results:
            return models.Refusal.NO_ANSWER
        best: probing.ProbeResult | None = None
        best_cost = float("inf")
        for result in results:
            if not request.accepts(result.target, self._predictor, now_s):
                continue
            if request.is_hedge and not result.is_healthy:
                continue
            cost = self._predictor.cost(result.target, request.route, now_s)
            if not self._finder.is_near(result.target):
                cost += const.CROSS_DOMAIN_COST
            if not result.is_healthy:
                cost += const.UNHEALTHY_COST
            if cost < best_cost:
                best, best_cost = result, cost
        self._release_all([result for result in results if result is not best])
        if best is None:
            return models.Refusal.OVERLOADED
        return placements.make_placement(
            best.target, best.connection, request.route, self._predictor, now_s
        )

    def _release_all(self, results: list[probing.ProbeResult]) -> None:
        for result in results:
            self._connections.release(result.target, result.connection)
