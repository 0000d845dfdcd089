"""Fetch from a peer what does not fit a datagram, near peers first."""

import asyncio
import collections.abc

from trefoilstand.fleet import replica
from trefoilstand.fleet import transfer
from trefoilstand.peers import membership
from trefoilstand.util import clock as clocks


class CatchingUp:
    """Run one transfer at a time.

    :param state: own copy of the store.
    :param members: beliefs about the entry hosts.
    :param make_transfer: makes the transfers; called once, when needed.
    :param clock: source of the time.
    """

    def __init__(
        self,
        *,
        state: replica.Replica,
        members: membership.MemberTable,
        make_transfer: collections.abc.Callable[[], transfer.PeerTransfer],
        clock: clocks.Clock,
    ) -> None:
        self._state = state
        self._members = members
        self._make_transfer = make_transfer
        self._clock = clock
        self._transfer: transfer.PeerTransfer | None = None
        self._task: asyncio.Task[None] | None = None
        self._knows_members = False
        self.transfers = 0

    @property
    def is_running(self) -> bool:
        """Return whether a transfer is in progress."""
        return self._task is not None and not self._task.done()

    async def serve(self, ip: str, port: int) -> None:
        """Begin to serve transfers.

        :raises OSError: the address cannot be served.
        """
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
        revision: int,
        *,
        delay_s: float,
        on_moved: collections.abc.Callable[[str], None],
    ) -> None:
        """Fetch state from a peer unless a transfer is in progress.

        :param address: the peer.
        :param revision: revision that the peer is known to have.
        :param delay_s: time in which the state may come in another way.
        :param on_moved: called with the peer if the own state moved.
        """
        if self.is_running:
            return
        self._task = asyncio.get_running_loop().create_task(
            self._fetch_state(address, revision, delay_s, on_moved)
        )

    def fetch_members(
        self,
        address: str,
        *,
        on_moved: collections.abc.Callable[[str], None],
    ) -> None:
        """Fetch the list of entry hosts unless a transfer is in progress.

        :param address: the peer.
        :param on_moved: called with the peer if the own state moved too.
        """
        if self.is_running:
            return
        self._knows_members = False
        self._task = asyncio.get_running_loop().create_task(
            self._fetch(address, on_moved)
        )

    async def _fetch_state(
        self,
        address: str,
        revision: int,
        delay_s: float,
        on_moved: collections.abc.Callable[[str], None],
    ) -> None:
        if delay_s:
            await asyncio.sleep(delay_s)
            if self._state.revision >= revision:
                return
        await self._fetch(address, on_moved)

    async def _fetch(
        self, address: str, on_moved: collections.abc.Callable[[str], None]
    ) -> None:
        self.transfers += 1
        found = await self._get_transfer().fetch(
            address, wants_members=not self._knows_members
        )
        if found is None:
            return
        now_s = self._clock.now_s()
        for member in found.members:
            self._members.apply(member, now_s)
            self._knows_members = True
        if self._state.apply(found.delta):
            on_moved(address)

    def _get_transfer(self) -> transfer.PeerTransfer:
        if self._transfer is None:
            self._transfer = self._make_transfer()
        return self._transfer
