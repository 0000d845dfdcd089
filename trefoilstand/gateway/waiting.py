"""Let requests wait at the entry host for room at a target.

Targets that are nearly full slow down, and their queues cannot be left
again, so a request that finds no room waits here.  Each answer that comes
back tells that its target has room again, and hands the target to the most
urgent waiting request, with no probe.
"""

import asyncio
import dataclasses

from trefoilstand.gateway import const
from trefoilstand.gateway import models
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import scout
from trefoilstand.gateway import targets


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Waiter:
    """Hold one waiting request.

    :param query: what it needs.
    :param since_s: monotonic time at which it began to wait.
    :param future: gets the placement.
    """

    query: scout.Query
    since_s: float
    future: asyncio.Future[scout.Placement]

    def taken(self) -> scout.Placement | None:
        """Return the placement that was offered, None before that."""
        if not self.future.done() or self.future.cancelled():
            return None
        return self.future.result()

    def rank(self, now_s: float) -> tuple[int, bool, float]:
        """Return the order in which waiting requests are served.

        More urgent kinds go first; among equals those that can still meet
        their objective, and among these the one that came first.
        """
        return (
            self.query.route.priority,
            now_s > self.query.due_s,
            self.since_s,
        )


class WaitingRoom:
    """Queue the requests of one service on this host.

    :param predictor: expected times.
    """

    def __init__(self, *, predictor: prediction.Predictor) -> None:
        self._predictor = predictor
        self._waiters: list[Waiter] = []
        self._served_s: float | None = None
        self._interval = prediction.MovingMean(
            prior=const.PRIOR_ROOM_INTERVAL_S,
            weight=const.ROOM_INTERVAL_WEIGHT,
        )

    def __len__(self) -> int:
        return len(self._waiters)

    def is_behind(self, route: models.Route) -> bool:
        """Return whether a request of a route has others before it."""
        return any(
            waiter.query.route.priority <= route.priority
            for waiter in self._waiters
        )

    def expected_wait_s(self, route: models.Route) -> float:
        """Return how long a new request of a route would wait."""
        ahead = sum(
            waiter.query.route.priority <= route.priority
            for waiter in self._waiters
        )
        return (ahead + 1) * self._interval.value

    def join(self, query: scout.Query, now_s: float) -> Waiter:
        """Add a request; :meth:`leave` must follow."""
        if not self._waiters:
            # An empty queue tells nothing of the pace.
            self._served_s = now_s
        waiter = Waiter(
            query=query,
            since_s=now_s,
            future=asyncio.get_running_loop().create_future(),
        )
        self._waiters.append(waiter)
        return waiter

    def leave(self, waiter: Waiter, now_s: float, *, is_served: bool) -> None:
        """Remove a request."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        if not is_served:
            return
        if self._served_s is not None:
            self._interval.add(now_s - self._served_s)
        self._served_s = now_s

    def offer(
        self, target: targets.Target, used: pool.ExchangeLink, now_s: float
    ) -> bool:
        """Hand a target to the most urgent request that it is good for.

        :returns: whether a request took it.
        """
        fitting = [
            waiter
            for waiter in self._waiters
            if not waiter.future.done()
            and target.target_id not in waiter.query.excluded
            and waiter.query.fits(target, self._predictor, now_s)
        ]
        if not fitting:
            return False
        best = min(fitting, key=lambda waiter: waiter.rank(now_s))
        best.future.set_result(
            scout.make_placement(
                target, used, best.query.route, self._predictor, now_s
            )
        )
        return True
