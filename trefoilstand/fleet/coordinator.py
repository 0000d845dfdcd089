"""Read the store and announce its changes to the fleet.

A few hosts, the readers, watch the store; all others receive the changes
from them.  A host whose replica has not been confirmed for a while reads the
store itself, so that no change is late when the readers are partitioned off
or die.
"""

import asyncio
import collections.abc
import random

from trefoilstand.fleet import const
from trefoilstand.fleet import exchange
from trefoilstand.fleet import readers
from trefoilstand.fleet import replica
from trefoilstand.fleet import staleness_tracker
from trefoilstand.fleet import store as stores
from trefoilstand.fleet import topology
from trefoilstand.helpers import lifecycle
from trefoilstand.helpers import supervision
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models
from trefoilstand.telemetry import events
from trefoilstand.util import clock as clocks


class StateCoordinator(lifecycle.Component):
    """Read the store for the fleet, or for this host when it is stale.

    :param store: store to read.
    :param state: local replica of the store.
    :param staleness: how old the replica may be.
    :param members: known entry hosts.
    :param peers: sends changes and confirmations to other hosts.
    :param random_source: adds jitter to retries and chooses the hosts to
        query.
    :param clock: source of the monotonic time.
    :param reads_immediately: whether the first read at the start does not
        wait for state from other hosts.
    """

    def __init__(
        self,
        *,
        store: stores.Store,
        state: replica.Replica,
        staleness: staleness_tracker.StalenessTracker,
        members: membership.MemberTable,
        peers: exchange.PeerExchange,
        random_source: random.Random,
        clock: clocks.Clock,
        reads_immediately: bool,
    ) -> None:
        self._store = store
        self._state = state
        self._staleness = staleness
        self._members = members
        self._peers = peers
        self._random = random_source
        self._clock = clock
        self._reads_immediately = reads_immediately
        self._started_s = self._clock.now_s()
        self._consecutive_failures = 0
        self._next_query_s = 0.0
        self.read_count = 0
        self._needs_snapshot = False
        self._task: asyncio.Task[None] | None = None
        self._readers: list[str] = []
        self._readers_version = -1

    async def start(self) -> None:
        """Start reading."""
        self._task = asyncio.get_running_loop().create_task(
            supervision.repeat("store reader", self._read_step)
        )

    async def stop(self) -> None:
        """Stop reading and close the store."""
        if self._task is not None:
            self._task.cancel()
        self._store.close()

    def _reader_addresses(self) -> list[str]:
        """Return the peer addresses of the readers."""
        if self._readers_version != self._members.version:
            self._readers_version = self._members.version
            self._readers = readers.choose_readers(
                member
                for member in (
                    self._members.own,
                    *self._members.live_members(),
                )
                if member.state is peers_models.MemberState.ALIVE
            )
        return self._readers

    @property
    def is_reader(self) -> bool:
        """Return whether this host is a reader."""
        return self._members.own.peer_address in self._reader_addresses()

    def _watch_wait_s(self) -> float:
        """Return how long the store may hold the next watch.

        After a failure it responds at once, as the replica may be outdated
        and the store may only have cut the connection.
        """
        if self._consecutive_failures:
            return 0.0
        reader_addresses = self._reader_addresses()
        own_address = self._members.own.peer_address
        if own_address not in reader_addresses:
            return 0.0
        if own_address == reader_addresses[0]:
            return const.WATCH_WAIT_S
        return const.SECONDARY_WATCH_WAIT_S

    def _query_peer(self, now_s: float) -> None:
        """Query a peer for newer state before this host reads it.

        Relays of the failure domain of this host are queried first, then
        readers.
        """
        if now_s < self._next_query_s:
            return
        age_s = self._staleness.age_s(now_s)
        relays = self._peers.view.relays_to_query()
        if relays and age_s < const.READER_QUERY_AGE_S:
            if age_s >= const.RELAY_QUERY_AGE_S:
                self._query_one_of(relays, now_s)
        elif age_s >= const.RELAY_READER_QUERY_AGE_S:
            self._query_one_of(self._reader_addresses(), now_s)

    def _query_one_of(
        self, peers: collections.abc.Sequence[str], now_s: float
    ) -> None:
        own_address = self._members.own.peer_address
        other_addresses = [
            address for address in peers if address != own_address
        ]
        if not other_addresses:
            return
        self._next_query_s = now_s + const.MIN_QUERY_INTERVAL_S
        self._peers.request_heartbeat(self._random.choice(other_addresses))

    def _should_read(self, now_s: float) -> bool:
        elapsed_s = now_s - self._started_s
        if not self._state.revision:
            return (
                self._reads_immediately
                or elapsed_s >= const.FIRST_READ_GRACE_S
            )
        if self._staleness.is_stale(now_s):
            return True
        return elapsed_s >= const.READER_ROLE_DELAY_S and self.is_reader

    async def _read_step(self) -> None:
        """Read the store once, or wait until that is due."""
        now_s = self._clock.now_s()
        if not self._should_read(now_s):
            self._query_peer(now_s)
            await asyncio.sleep(self._poll_interval_s(now_s))
            return
        try:
            has_advanced = await self._read_once()
        except stores.HistoryLostError:
            self._needs_snapshot = True
            events.warning(
                events.StoreHistoryLost(revision=self._state.revision)
            )
            return
        except stores.StoreError as error:
            await self._handle_failure(error)
            return
        self._record_success()
        if has_advanced:
            self._peers.announce(topology.Origin.STORE)
            await asyncio.sleep(const.BATCH_PAUSE_S)
        else:
            self._peers.announce_confirmation(topology.Origin.STORE)

    def _poll_interval_s(self, now_s: float) -> float:
        """Return the time until the replica may have become too old."""
        if not self._state.revision:
            return const.MIN_POLL_INTERVAL_S
        fresh_for_s = const.RELAY_READER_QUERY_AGE_S - self._staleness.age_s(
            now_s
        )
        return min(
            max(fresh_for_s, const.MIN_POLL_INTERVAL_S),
            const.MAX_POLL_INTERVAL_S,
        )

    async def _read_once(self) -> bool:
        """Read a snapshot or wait for changes; return whether any came."""
        confirmed_s = self._clock.now_s()
        self.read_count += 1
        if self._needs_snapshot or not self._state.revision:
            delta = await self._store.read_all()
            self._needs_snapshot = False
            if delta.era and not self._state.revision:
                await self._wait_for_peer_state()
        else:
            delta = await self._store.watch(
                self._state.revision, self._watch_wait_s()
            )
            confirmed_s = self._clock.now_s()
            self._needs_snapshot = delta.era > self._state.era
        has_advanced = self._state.apply(delta)
        # A response of an earlier era may be late, and a delta may not apply
        # to the state that a peer has sent meanwhile.
        if (
            delta.era == self._state.era
            and delta.up_to_revision <= self._state.revision
        ):
            self._staleness.confirm(confirmed_s)
        if not has_advanced and (
            delta.is_snapshot or delta.era < self._state.era
        ):
            # Whatever the reason is, the next response may be the same.
            await asyncio.sleep(const.MIN_BACKOFF_S)
        return has_advanced

    async def _wait_for_peer_state(self) -> None:
        """Wait until a peer has sent its state, for a limited time.

        A new process cannot tell which values and removals the store lost
        when it was restored, but its peers can.
        """
        started_s = self._clock.now_s()
        while not self._state.revision:
            elapsed_s = self._clock.now_s() - started_s
            if elapsed_s >= const.FIRST_PEER_STATE_WAIT_S or (
                elapsed_s >= const.FIRST_PEER_CONTACT_WAIT_S
                and not self._peers.has_peer_with_state
            ):
                return
            await asyncio.sleep(const.MIN_POLL_INTERVAL_S)

    async def _handle_failure(self, error: stores.StoreError) -> None:
        if not self._consecutive_failures:
            events.warning(
                events.DependencyLost(
                    dependency="store",
                    error_type=type(error).__name__,
                    detail=str(error),
                )
            )
        self._consecutive_failures += 1
        backoff_s = min(
            const.MIN_BACKOFF_S * 2 ** min(self._consecutive_failures - 1, 8),
            const.MAX_BACKOFF_S,
        )
        await asyncio.sleep(backoff_s * (0.75 + 0.5 * self._random.random()))

    def _record_success(self) -> None:
        if self._consecutive_failures:
            events.info(
                events.DependencyRegained(
                    dependency="store", failures=self._consecutive_failures
                )
            )
        self._consecutive_failures = 0
