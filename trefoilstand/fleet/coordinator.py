"""Read the store where needed and fan the changes out.

A few hosts watch the store; all others hear of changes from them.  A host
that has heard no confirmation for a while reads for itself, so that no
change is late when the readers are cut off or die.
"""

import asyncio
import collections.abc
import random
import typing

from trefoilstand.fleet import const
from trefoilstand.fleet import exchange
from trefoilstand.fleet import freshness
from trefoilstand.fleet import readers
from trefoilstand.fleet import replica
from trefoilstand.fleet import store as stores
from trefoilstand.fleet import topology
from trefoilstand.helpers import lifecycle
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models
from trefoilstand.telemetry import events
from trefoilstand.util import clock as clocks

_IDLE_CHECK_S: typing.Final = 0.1


class StateCoordinator(lifecycle.Component):
    """Fetch the state once for the fleet.

    :param store: where the state is read from.
    :param state: own copy of it.
    :param age: how old that copy may be.
    :param members: beliefs about the entry hosts.
    :param peers: told of changes at once.
    :param random_source: spreads retries.
    :param clock: source of the time.
    :param reads_at_once: whether the first read waits for nobody.
    """

    def __init__(
        self,
        *,
        store: stores.Store,
        state: replica.Replica,
        age: freshness.Freshness,
        members: membership.MemberTable,
        peers: exchange.PeerExchange,
        random_source: random.Random,
        clock: clocks.Clock,
        reads_at_once: bool,
    ) -> None:
        self._store = store
        self._state = state
        self._age = age
        self._members = members
        self._peers = peers
        self._random = random_source
        self._clock = clock
        self._reads_at_once = reads_at_once
        self._started_s = self._clock.now_s()
        self._failures = 0
        self._ask_again_s = 0.0
        self.reads = 0
        self._needs_snapshot = False
        self._task: asyncio.Task[None] | None = None
        self.outage_seen_s: float | None = None

    async def start(self) -> None:
        """Begin to read."""
        self._task = asyncio.get_running_loop().create_task(self._repeat())

    async def stop(self) -> None:
        """End the reading."""
        if self._task is not None:
            self._task.cancel()
        self._store.close()

    def _readers(self) -> list[str]:
        """Return the peer addresses of those that read for the fleet."""
        return readers.choose_readers(
            member
            for member in (self._members.own, *self._members.live())
            if member.state is peers_models.MemberState.ALIVE
        )

    @property
    def is_reader(self) -> bool:
        """Return whether this host reads for the fleet."""
        return self._members.own.peer_address in self._readers()

    def _watch_wait_s(self) -> float:
        """Return how long the next watch may wait."""
        chosen = self._readers()
        own = self._members.own.peer_address
        if own not in chosen:
            return 0.0
        if own == chosen[0]:
            return const.WATCH_WAIT_S
        return const.OTHER_WATCH_WAIT_S

    def _ask_peer(self, now_s: float) -> None:
        """Ask a peer how new the own state is, before reading it.

        Relays of the own domain are asked first, then readers.
        """
        if now_s < self._ask_again_s:
            return
        age_s = self._age.age_s(now_s)
        relays = self._peers.view.sources()
        if relays and age_s < const.ASK_READER_S:
            if age_s >= const.ASK_RELAY_S:
                self._ask_one_of(relays, now_s)
        elif age_s >= const.RELAY_ASK_READER_S:
            self._ask_one_of(self._readers(), now_s)

    def _ask_one_of(
        self, peers: collections.abc.Sequence[str], now_s: float
    ) -> None:
        own = self._members.own.peer_address
        others = [address for address in peers if address != own]
        if not others:
            return
        self._ask_again_s = now_s + const.ASK_PAUSE_S
        self._peers.ask(self._random.choice(others))

    def _should_read(self, now_s: float) -> bool:
        elapsed_s = now_s - self._started_s
        if not self._state.revision:
            return self._reads_at_once or elapsed_s >= const.START_GRACE_S
        if self._age.is_stale(now_s):
            return True
        return elapsed_s >= const.READER_SETTLE_S and self.is_reader

    async def _repeat(self) -> None:
        while True:
            now_s = self._clock.now_s()
            if not self._should_read(now_s):
                self._ask_peer(now_s)
                await asyncio.sleep(_IDLE_CHECK_S)
                continue
            try:
                has_moved = await self._read_once()
            except stores.HistoryLostError:
                self._needs_snapshot = True
                events.warning(
                    events.StoreHistoryLost(revision=self._state.revision)
                )
                continue
            except stores.StoreError as error:
                await self._note_failure(error)
                continue
            self._note_success()
            if has_moved:
                self._peers.announce(topology.Origin.STORE)
                await asyncio.sleep(const.BATCH_PAUSE_S)
            else:
                self._peers.confirm(topology.Origin.STORE)

    async def _read_once(self) -> bool:
        """Read a snapshot or wait for changes; return whether any came."""
        asked_s = self._clock.now_s()
        self.reads += 1
        if self._needs_snapshot or not self._state.revision:
            delta = await self._store.read_all()
            self._needs_snapshot = False
        else:
            delta = await self._store.watch(
                self._state.revision, self._watch_wait_s()
            )
            asked_s = self._clock.now_s()
        has_moved = self._state.apply(delta)
        self._age.confirm(asked_s)
        return has_moved

    async def _note_failure(self, error: stores.StoreError) -> None:
        if not self._failures:
            events.warning(
                events.DependencyLost(
                    dependency="store",
                    error_type=type(error).__name__,
                    detail=str(error),
                )
            )
        self._failures += 1
        self.outage_seen_s = self._clock.now_s()
        pause_s = min(
            const.MIN_RETRY_S * 2 ** min(self._failures - 1, 8),
            const.MAX_RETRY_S,
        )
        await asyncio.sleep(pause_s * (0.75 + 0.5 * self._random.random()))

    def _note_success(self) -> None:
        if self._failures:
            events.info(
                events.DependencyRegained(
                    dependency="store", failures=self._failures
                )
            )
            self.outage_seen_s = self._clock.now_s()
        self._failures = 0
