"""Fetch state that does not fit a datagram from peers."""

import asyncio
import collections.abc
import random
import typing

from trefoilstand.fleet import models
from trefoilstand.fleet import replica
from trefoilstand.fleet import transfer
from trefoilstand.peers import membership
from trefoilstand.util import clock as clocks

#: Peers that are asked one after the other while they are busy.
_MAX_BUSY_PEERS: typing.Final = 40
#: Delay before another one is asked.
_BUSY_DELAY_S: typing.Final = 0.05


class StateFetcher:
    """Fetch state from peers, one transfer at a time.

    :param state: local replica of the store.
    :param members: known entry hosts.
    :param make_transfer: creates the transfer client and server; called
        once, when first needed.
    :param clock: source of the time.
    :param random_source: chooses among peers and jitters the intervals.
    :param prepare_transfer: loads what ``make_transfer`` needs; called in a
        thread before transfers are served, None without need.
    """

    def __init__(
        self,
        *,
        state: replica.Replica,
        members: membership.MemberTable,
        make_transfer: collections.abc.Callable[[], transfer.PeerTransfer],
        clock: clocks.Clock,
        random_source: random.Random,
        prepare_transfer: collections.abc.Callable[[], object] | None = None,
    ) -> None:
        self._state = state
        self._members = members
        self._make_transfer = make_transfer
        self._prepare_transfer = prepare_transfer
        self._clock = clock
        self._random = random_source
        self._transfer: transfer.PeerTransfer | None = None
        self._task: asyncio.Task[typing.Any] | None = None
        self._has_member_list = False
        self.transfer_count = 0

    @property
    def is_running(self) -> bool:
        """Return whether a transfer is in progress."""
        return self._task is not None and not self._task.done()

    async def serve(self, ip: str, port: int) -> None:
        """Start serving transfers.

        :param ip: address to listen on.
        :param port: port to listen on.
        :raises OSError: the address cannot be bound.
        """
        if self._prepare_transfer is not None:
            await asyncio.to_thread(self._prepare_transfer)
        await self._get_transfer().start(ip, port)

    def close(self) -> None:
        """Stop serving and fetching."""
        if self._task is not None:
            self._task.cancel()
        if self._transfer is not None:
            self._transfer.close()

    def fetch(
        self,
        address: str,
        position: models.Position,
        *,
        delay_s: float,
        find_holders: collections.abc.Callable[[], list[str]],
        on_advanced: collections.abc.Callable[[str], None],
    ) -> None:
        """Fetch state from a peer unless a transfer is in progress.

        :param address: peer address.
        :param position: position that the peer is known to have; nothing is
            fetched if the replica reaches it during a delay.
        :param delay_s: time to wait for the state from another source.
        :param find_holders: returns peers that have the position, to ask when
            a peer is busy.
        :param on_advanced: called with the peer address if the replica has
            advanced.
        """
        if self.is_running:
            return
        self._task = asyncio.get_running_loop().create_task(
            self._fetch_state(
                address, position, delay_s, find_holders, on_advanced
            )
        )

    def fetch_members(
        self,
        address: str,
        *,
        on_advanced: collections.abc.Callable[[str], None],
    ) -> None:
        """Fetch the list of entry hosts unless a transfer is in progress.

        :param address: peer address.
        :param on_advanced: called with the peer address if the replica has
            advanced too.
        """
        if self.is_running:
            return
        self._has_member_list = False
        self._task = asyncio.get_running_loop().create_task(
            self._fetch(address, on_advanced)
        )

    async def _fetch_state(
        self,
        address: str,
        position: models.Position,
        delay_s: float,
        find_holders: collections.abc.Callable[[], list[str]],
        on_advanced: collections.abc.Callable[[str], None],
    ) -> None:
        if delay_s:
            await asyncio.sleep(delay_s)
        for _ in range(_MAX_BUSY_PEERS):
            if self._state.position >= position:
                return
            received = await self._fetch(address, on_advanced)
            if received is None or not received.is_busy:
                return
            await asyncio.sleep(
                _BUSY_DELAY_S * (0.75 + 0.5 * self._random.random())
            )
            holders = {*find_holders(), *received.holders}
            holders.discard(self._members.own.peer_address)
            address = self._random.choice(sorted(holders) or [address])

    async def _fetch(
        self, address: str, on_advanced: collections.abc.Callable[[str], None]
    ) -> models.Transfer | None:
        """Fetch what a peer has; return None if that failed."""
        self.transfer_count += 1
        received = await self._get_transfer().fetch(
            address, wants_members=not self._has_member_list
        )
        if received is None:
            return None
        now_s = self._clock.now_s()
        for member in received.members:
            self._members.apply(member, now_s)
            self._has_member_list = True
        if self._state.apply(received.delta):
            on_advanced(address)
        return received

    def _get_transfer(self) -> transfer.PeerTransfer:
        if self._transfer is None:
            self._transfer = self._make_transfer()
        return self._transfer
