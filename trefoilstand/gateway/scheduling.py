"""Assign each request a target, at once or when one has capacity."""

import asyncio
import dataclasses
import random
import typing

from trefoilstand.gateway import calls
from trefoilstand.gateway import const
from trefoilstand.gateway import models
from trefoilstand.gateway import placements
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import request_queue
from trefoilstand.gateway import target_quota
from trefoilstand.gateway import target_selection
from trefoilstand.gateway import targets
from trefoilstand.util import clock as clocks

#: Refusals of a search after which waiting for capacity is of no use.
_FINAL_REFUSALS: typing.Final = frozenset(
    {models.Refusal.NO_TARGET, models.Refusal.RATE_LIMITED}
)


class RequestScheduler:
    """Select targets with capacity and queue requests while there are none.

    :param table: registered targets.
    :param selector: probes and selects targets.
    :param connections: connections to targets.
    :param predictor: predicts processing times.
    :param quota: tells when targets with a limit may be sent to.
    :param clock: source of the time.
    :param random_source: adds jitter to the intervals of repeated searches.
    """

    def __init__(
        self,
        *,
        table: targets.TargetTable,
        selector: target_selection.TargetSelector,
        connections: pool.ConnectionSource,
        predictor: prediction.Predictor,
        quota: target_quota.TargetQuota,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        self._table = table
        self._selector = selector
        self._connections = connections
        self._predictor = predictor
        self._quota = quota
        self._clock = clock
        self._random = random_source
        self._queues: dict[str, request_queue.RequestQueue] = {}

    def queue_for(self, service: str) -> request_queue.RequestQueue:
        """Return the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = request_queue.RequestQueue(predictor=self._predictor)
            self._queues[service] = queue
        return queue

    async def place(
        self, call: calls.Call
    ) -> placements.Placement | models.Refusal:
        """Return a placement, after queueing while no target has capacity.

        :returns: the reason if the request cannot wait for a target any
            longer or the service has none.
        """
        request = placements.SelectionRequest(
            service=call.service,
            route=call.route,
            excluded=call.tried_targets.keys(),
            due_s=call.due_s,
            latest_s=call.deadline_s,
        )
        queue = self.queue_for(call.service)
        if not queue.has_requests_ahead(call.route, self._clock.now_s()):
            selected = await self._selector.select(request)
            if isinstance(selected, placements.Placement):
                return selected
            if selected in _FINAL_REFUSALS:
                return selected
        return await self._wait_for_capacity(request, queue)

    async def find_free(self, call: calls.Call) -> placements.Placement | None:
        """Return a placement for a hedge, without queueing.

        :param call: request to hedge.
        :returns: None if no target is known to be free or requests wait for
            one.
        """
        selected = await self._selector.select(
            placements.SelectionRequest(
                service=call.service,
                route=call.route,
                excluded=call.tried_targets.keys(),
                due_s=call.due_s,
                latest_s=call.deadline_s,
                # First attempts go before hedges when probes are short.
                is_repeated=True,
                is_hedge=True,
            )
        )
        if not isinstance(selected, placements.Placement):
            return None
        if len(self.queue_for(call.service)):
            self.release(call.service, selected)
            return None
        return selected

    def release(self, service: str, placement: placements.Placement) -> None:
        """Offer a free target to a queued request or release its connection.

        :param service: service of the target.
        :param placement: placement whose request is finished or not sent.
        """
        target = placement.target
        now_s = self._clock.now_s()
        queue = self._queues.get(service)
        if (
            queue
            and placement.connection.is_reusable
            and self._table.get(target.target_id) is target
            and target.ejected_until_s <= now_s
            and self._quota.may_send(target, now_s)
            and queue.offer(target, placement.connection, now_s)
        ):
            return
        self._connections.release(target, placement.connection)

    def handle_absence(self, service: str) -> None:
        """Refuse the queued requests of a service without any target.

        :param service: service that has lost its last target.
        """
        queue = self._queues.get(service)
        if queue is not None:
            queue.refuse_all(models.Refusal.NO_TARGET)

    async def _wait_for_capacity(
        self,
        request: placements.SelectionRequest,
        queue: request_queue.RequestQueue,
    ) -> placements.Placement | models.Refusal:
        """Queue a request if it can still be answered in time."""
        now_s = self._clock.now_s()
        processing_s = (
            self._predictor.processing_time_s(request.route)
            * const.LATEST_START_FACTOR
        )
        wait_s = queue.expected_wait_s(request.route, now_s)
        if now_s + wait_s + processing_s > request.latest_s:
            return models.Refusal.OVERLOADED
        if not self._may_be_sent_in_time(request, queue, now_s):
            return models.Refusal.RATE_LIMITED
        queued = queue.enqueue(request, now_s)
        result: placements.Placement | models.Refusal | None = None
        try:
            result = await self._await_target(queued, queue)
        finally:
            queue.remove(
                queued,
                self._clock.now_s(),
                is_served=isinstance(result, placements.Placement),
            )
            offered = queued.offered_placement()
            if offered is not None and offered is not result:
                self.release(request.service, offered)
        return result

    def _may_be_sent_in_time(
        self,
        request: placements.SelectionRequest,
        queue: request_queue.RequestQueue,
        now_s: float,
    ) -> bool:
        """Return whether the limits of targets leave room for a request.

        Requests that are queued before it take what may be sent first, and
        once it is late, timely ones will.
        """
        end_s = request.latest_s
        if not request.misses_objective(self._predictor, now_s):
            end_s = request.due_s
        latest_start_s = end_s - self._predictor.processing_time_s(
            request.route
        )
        sends = sum(
            self._quota.count_sends(target, now_s, latest_start_s)
            for target in self._table.of_service(request.service)
            if target.target_id not in request.excluded
        )
        return sends > queue.count_ahead(request.route, now_s)

    async def _await_target(
        self,
        queued: request_queue.QueuedRequest,
        queue: request_queue.RequestQueue,
    ) -> placements.Placement | models.Refusal:
        """Wait for an offer and search for capacity from time to time."""
        request = dataclasses.replace(queued.request, is_repeated=True)
        while True:
            now_s = self._clock.now_s()
            processing_s = self._predictor.processing_time_s(request.route)
            if now_s + processing_s > request.latest_s:
                return models.Refusal.OVERLOADED
            pause_s = const.QUEUED_SEARCH_INTERVAL_S * (
                0.75 + 0.5 * self._random.random()
            )
            if request.misses_objective(self._predictor, now_s):
                if queue.has_timely_requests(queued, now_s):
                    # Capacity is short even for those, so the caller is told
                    # while it still has time for another host.
                    return models.Refusal.OVERLOADED
                pause_s *= const.LATE_SEARCH_FACTOR
            done, _ = await asyncio.wait({queued.future}, timeout=pause_s)
            if done:
                return queued.future.result()
            if not queue.is_first(queued, self._clock.now_s()):
                # What the most urgent request does not find, others rarely
                # do; their probes would use up the budget of all.
                continue
            selected = await self._selector.select(request)
            offered = queued.offered_placement()
            if offered is not None:
                if isinstance(selected, placements.Placement):
                    self._connections.release(
                        selected.target, selected.connection
                    )
                return offered
            if isinstance(selected, placements.Placement):
                return selected
            if selected in _FINAL_REFUSALS:
                return selected
