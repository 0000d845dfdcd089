"""Queue requests at the entry host until a target has capacity.

Targets that are nearly full slow down, and a request in a target's own queue
cannot be moved to another target.  Requests that find no capacity therefore
wait at the entry host.  Each response frees capacity at its target, which is
then offered to the most urgent queued request without a probe.
"""

import asyncio
import dataclasses

from trefoilstand.gateway import const
from trefoilstand.gateway import models
from trefoilstand.gateway import placements
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import targets


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class QueuedRequest:
    """Hold one queued request.

    :param request: describes the request and its deadlines.
    :param queued_s: monotonic time at which it was queued.
    :param future: completed with the placement that is offered, or with why
        there will be none.
    """

    request: placements.SelectionRequest
    queued_s: float
    future: asyncio.Future[placements.Placement | models.Refusal]

    def offered_placement(self) -> placements.Placement | None:
        """Return the offered placement, None if there was no offer yet."""
        if not self.future.done() or self.future.cancelled():
            return None
        result = self.future.result()
        return result if isinstance(result, placements.Placement) else None

    def is_late(self, now_s: float) -> bool:
        """Return whether the objective has passed."""
        return now_s > self.request.due_s

    def sort_key(self, now_s: float) -> tuple[bool, int, float]:
        """Return the key by which queued requests are served, lowest first.

        Requests that can still meet their objective go first, in the order
        of their routes' priorities; within one priority the oldest one.
        """
        return (
            self.is_late(now_s),
            self.request.route.priority,
            self.queued_s,
        )


class RequestQueue:
    """Queue the requests of one service on this host.

    :param predictor: predicts processing times.
    """

    def __init__(self, *, predictor: prediction.Predictor) -> None:
        self._predictor = predictor
        self._requests: list[QueuedRequest] = []
        self._last_served_s: float | None = None
        self._mean_interval_s = prediction.MovingMean(
            prior=const.PRIOR_DEQUEUE_INTERVAL_S,
            weight=const.DEQUEUE_INTERVAL_WEIGHT,
        )

    def __len__(self) -> int:
        return len(self._requests)

    def has_requests_ahead(self, route: models.Route, now_s: float) -> bool:
        """Return whether queued requests go before a new one of a route.

        :param route: route of the new request.
        :param now_s: monotonic time.
        """
        return self.count_ahead(route, now_s) > 0

    def expected_wait_s(self, route: models.Route, now_s: float) -> float:
        """Return the expected wait of a new request in seconds.

        :param route: route of the new request.
        :param now_s: monotonic time.
        """
        ahead = self.count_ahead(route, now_s)
        return (ahead + 1) * self._mean_interval_s.value

    def has_timely_requests(
        self, excluded: QueuedRequest, now_s: float
    ) -> bool:
        """Return whether others wait that can still meet their objective.

        :param excluded: request that is not counted.
        :param now_s: monotonic time.
        """
        return any(
            queued is not excluded
            and not queued.request.misses_objective(self._predictor, now_s)
            for queued in self._requests
        )

    def count_ahead(self, route: models.Route, now_s: float) -> int:
        """Return how many queued requests go before a new one of a route.

        Only those count that may still meet their objective.

        :param route: route of the new request.
        :param now_s: monotonic time.
        """
        return sum(
            queued.request.route.priority <= route.priority
            and not queued.is_late(now_s)
            for queued in self._requests
        )

    def is_first(self, queued: QueuedRequest, now_s: float) -> bool:
        """Return whether a request is the most urgent one without an offer.

        :param queued: request that waits.
        :param now_s: monotonic time.
        """
        first = min(
            (item for item in self._requests if not item.future.done()),
            key=lambda item: item.sort_key(now_s),
            default=None,
        )
        return first is queued

    def enqueue(
        self, request: placements.SelectionRequest, now_s: float
    ) -> QueuedRequest:
        """Add a request, which must be removed by :meth:`remove` later."""
        if not self._requests:
            # Time with an empty queue does not count as an interval.
            self._last_served_s = now_s
        queued = QueuedRequest(
            request=request,
            queued_s=now_s,
            future=asyncio.get_running_loop().create_future(),
        )
        self._requests.append(queued)
        return queued

    def remove(
        self, queued: QueuedRequest, now_s: float, *, is_served: bool
    ) -> None:
        """Remove a request.

        :param queued: the request.
        :param now_s: monotonic time.
        :param is_served: whether it got a target.
        """
        if queued in self._requests:
            self._requests.remove(queued)
        if not is_served:
            return
        if self._last_served_s is not None:
            self._mean_interval_s.add(now_s - self._last_served_s)
        self._last_served_s = now_s

    def refuse_all(self, refusal: models.Refusal) -> None:
        """End the wait of all requests that have no offer.

        :param refusal: why no target will be offered.
        """
        for queued in self._requests:
            if not queued.future.done():
                queued.future.set_result(refusal)

    def offer(
        self,
        target: targets.Target,
        connection: pool.TargetConnection,
        now_s: float,
    ) -> bool:
        """Offer a target to the most urgent request that accepts it.

        :param target: target with capacity.
        :param connection: connection to it, passed on with the placement.
        :param now_s: monotonic time.
        :returns: whether a request accepted it.
        """
        accepting = [
            queued
            for queued in self._requests
            if not queued.future.done()
            and target.target_id not in queued.request.excluded
            and queued.request.accepts(target, self._predictor, now_s)
        ]
        if not accepting:
            return False
        best = min(accepting, key=lambda queued: queued.sort_key(now_s))
        best.future.set_result(
            placements.make_placement(
                target, connection, best.request.route, self._predictor, now_s
            )
        )
        return True
