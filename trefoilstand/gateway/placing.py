"""Give each request a target, at once or when there is room."""

import asyncio
import dataclasses
import random

from trefoilstand.gateway import calls
from trefoilstand.gateway import const
from trefoilstand.gateway import models
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import scout
from trefoilstand.gateway import targets
from trefoilstand.gateway import waiting
from trefoilstand.util import clock as clocks


class Placer:
    """Find targets with room, and queue requests while there are none.

    :param table: registered targets.
    :param finder: probes and chooses targets.
    :param links: connections to targets.
    :param predictor: expected times.
    :param clock: source of the time.
    :param random_source: spreads repeated searches.
    """

    def __init__(
        self,
        *,
        table: targets.TargetTable,
        finder: scout.Scout,
        links: pool.LinkSource,
        predictor: prediction.Predictor,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        self._table = table
        self._scout = finder
        self._links = links
        self._predictor = predictor
        self._clock = clock
        self._random = random_source
        self._rooms: dict[str, waiting.WaitingRoom] = {}

    def room(self, service: str) -> waiting.WaitingRoom:
        """Return the queue of a service."""
        found = self._rooms.get(service)
        if found is None:
            found = waiting.WaitingRoom(predictor=self._predictor)
            self._rooms[service] = found
        return found

    async def place(
        self, call: calls.Call
    ) -> scout.Placement | models.Refusal:
        """Find a target with room, or wait for one."""
        query = scout.Query(
            service=call.service,
            route=call.route,
            excluded=call.tried.keys(),
            due_s=call.due_s,
            latest_s=call.latest_s,
        )
        room = self.room(call.service)
        if not room.is_behind(call.route):
            found = await self._scout.find(query)
            if isinstance(found, scout.Placement):
                return found
            if found is models.Refusal.NO_TARGET:
                return found
        return await self._wait_for_room(query, room)

    def give_back(self, service: str, unused: scout.Placement) -> None:
        """Offer a target to a waiting request or keep its connection."""
        target = unused.target
        now_s = self._clock.now_s()
        room = self._rooms.get(service)
        if (
            room
            and unused.link.is_reusable
            and self._table.get(target.target_id) is target
            and target.ejected_until_s <= now_s
            and room.offer(target, unused.link, now_s)
        ):
            return
        self._links.release(target, unused.link)

    async def _wait_for_room(
        self, query: scout.Query, room: waiting.WaitingRoom
    ) -> scout.Placement | models.Refusal:
        """Wait as long as the objective can still be met."""
        now_s = self._clock.now_s()
        needed_s = self._predictor.work_s(query.route) * const.START_MARGIN
        wait_s = room.expected_wait_s(query.route)
        if now_s + wait_s + needed_s > query.latest_s:
            return models.Refusal.OVERLOADED
        waiter = room.join(query, now_s)
        placement: scout.Placement | None = None
        try:
            placement = await self._seek(waiter)
        finally:
            room.leave(
                waiter, self._clock.now_s(), is_served=placement is not None
            )
            offered = waiter.taken()
            if offered is not None and offered is not placement:
                self.give_back(query.service, offered)
        return placement or models.Refusal.OVERLOADED

    async def _seek(self, waiter: waiting.Waiter) -> scout.Placement | None:
        """Wait for an offer and look for room from time to time."""
        query = dataclasses.replace(waiter.query, is_repeated=True)
        while not query.is_late(self._predictor, self._clock.now_s()):
            pause_s = const.RESCOUT_S * (0.75 + 0.5 * self._random.random())
            done, _ = await asyncio.wait({waiter.future}, timeout=pause_s)
            if done:
                return waiter.future.result()
            found = await self._scout.find(query)
            offered = waiter.taken()
            if offered is not None:
                if isinstance(found, scout.Placement):
                    self._links.release(found.target, found.link)
                return offered
            if isinstance(found, scout.Placement):
                return found
            if found is models.Refusal.NO_TARGET:
                return None
        return None
