"""Start hedges, and send those within the operators' limit."""

import asyncio
import collections.abc
import dataclasses
import typing

from trefoilstand.gateway import calls
from trefoilstand.gateway import const
from trefoilstand.gateway import hedging
from trefoilstand.gateway import metrics_page
from trefoilstand.gateway import models
from trefoilstand.gateway import options
from trefoilstand.gateway import placements
from trefoilstand.gateway import prediction
from trefoilstand.gateway import repeats
from trefoilstand.gateway import scheduling
from trefoilstand.gateway import sending
from trefoilstand.telemetry import metric_store
from trefoilstand.util import clock as clocks

StartAttempt: typing.TypeAlias = collections.abc.Callable[
    [calls.Call], asyncio.Task[calls.AttemptResult]
]

_ABANDONED = calls.AttemptResult(
    outcome=models.Outcome.NOT_EXECUTED, is_hedge=True, is_abandoned=True
)


class Hedger:
    """Start hedges by the policy in force.

    A hedge within the operators' limit is given up where it would have to
    wait for a target.

    :param scheduler: queues of the services; finds targets that are free.
    :param sender: sends a hedge to its target.
    :param repeats: retry budget, which hedges share.
    :param predictor: predicts how long requests take.
    :param counts: metrics of hedges.
    :param clock: monotonic clock.
    """

    def __init__(
        self,
        *,
        scheduler: scheduling.RequestScheduler,
        sender: sending.Sender,
        repeats: repeats.RepeatLimiter,
        predictor: prediction.Predictor,
        counts: metric_store.MetricStore,
        clock: clocks.Clock,
    ) -> None:
        self._scheduler = scheduler
        self._sender = sender
        self._repeats = repeats
        self._predictor = predictor
        self._counts = counts
        self._clock = clock
        self.policy: hedging.HedgePolicy = hedging.ObjectivePolicy(
            predictor=predictor, clock=clock
        )

    def set_limits(self, limits: options.HedgingOptions | None) -> None:
        """Limit the hedges of new requests, or use the objective alone.

        :param limits: limit of the operators, None without one.
        """
        if limits is None:
            self.policy = hedging.ObjectivePolicy(
                predictor=self._predictor, clock=self._clock
            )
        elif isinstance(self.policy, hedging.LimitedPolicy):
            # It is kept, as it knows the durations and what was spent.
            self.policy.set_limits(limits)
        else:
            self.policy = hedging.LimitedPolicy(
                limits=limits, predictor=self._predictor, clock=self._clock
            )

    def start(
        self,
        call: calls.Call,
        policy: hedging.HedgePolicy,
        start_attempt: StartAttempt,
    ) -> asyncio.Task[calls.AttemptResult] | None:
        """Start a hedge, unless a limit or queued requests prevent it.

        :param call: request to hedge.
        :param policy: policy that the hedge is due by.
        :param start_attempt: starts an attempt that may wait in the queue.
        """
        if len(self._scheduler.queue_for(call.service)) > 0:
            return None
        now_s = self._clock.now_s()
        if not policy.try_spend(call.service, now_s):
            return None
        if not self._repeats.try_spend(call, share=const.HEDGE_BUDGET_SHARE):
            policy.refund(call.service, now_s)
            return None
        if policy.may_queue:
            return start_attempt(call)
        call.attempts += 1
        return asyncio.get_running_loop().create_task(
            self._send(call, policy, now_s)
        )

    async def _send(
        self, call: calls.Call, policy: hedging.HedgePolicy, spent_s: float
    ) -> calls.AttemptResult:
        """Send a hedge; what was spent is returned if it is not sent."""
        placement: placements.Placement | None = None
        try:
            placement = await self._find_target(call, policy)
            if placement is None:
                return _ABANDONED
            result = await self._sender.send(call, placement)
            if result is None or result.refusal is not None:
                return _ABANDONED
            return dataclasses.replace(result, is_hedge=True)
        except asyncio.CancelledError:
            if _was_sent(call, placement):
                self._count(metrics_page.HEDGES_CANCELLED, call)
            raise
        finally:
            if _was_sent(call, placement):
                self._count(metrics_page.HEDGES_SENT, call)
                self._count(metrics_page.REPEATED_SENDS, call)
            else:
                call.attempts -= 1
                policy.refund(call.service, spent_s)
                self._repeats.refund(call.service, spent_s)

    async def _find_target(
        self, call: calls.Call, policy: hedging.HedgePolicy
    ) -> placements.Placement | None:
        placement = await self._scheduler.find_free(call)
        if placement is None:
            return None
        if not policy.ends_sooner(call, placement.predicted_s):
            self._scheduler.release(call.service, placement)
            return None
        return placement

    def _count(self, name: str, call: calls.Call) -> None:
        self._counts.increment(name, service=call.service)


def _was_sent(
    call: calls.Call, placement: placements.Placement | None
) -> bool:
    """Return whether the hedge reached the connection to its target."""
    return (
        placement is not None
        and placement.target.target_id in call.tried_targets
    )
