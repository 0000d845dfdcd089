"""Send heartbeats by datagram and fetch state from peers."""

import asyncio
import collections.abc
import random
import time
import typing

import google.protobuf.message

from trefoilstand.fleet import const
from trefoilstand.fleet import gossip
from trefoilstand.fleet import replica
from trefoilstand.helpers import lifecycle
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models
from trefoilstand.telemetry import events
from trefoilstand.util import address as addresses

if typing.TYPE_CHECKING:
    from trefoilstand.fleet import sync


class PeerExchange(lifecycle.Component, asyncio.DatagramProtocol):
    """Keep membership and state in step with the other hosts.

    :param members: beliefs about the entry hosts.
    :param messages: makes and reads heartbeats.
    :param state: own copy of the store.
    :param random_source: spreads the rounds.
    """

    def __init__(
        self,
        *,
        members: membership.MemberTable,
        messages: gossip.Gossip,
        state: replica.Replica,
        random_source: random.Random,
    ) -> None:
        self._members = members
        self._messages = messages
        self._state = state
        self._random = random_source
        self._seeds: tuple[str, ...] = ()
        self._transport: asyncio.DatagramTransport | None = None
        self._transfer: sync.StateTransfer | None = None
        self._round_task: asyncio.Task[None] | None = None
        self._sync_task: asyncio.Task[None] | None = None
        self._awaited: dict[str, float] = {}
        self._rounds = 0
        self.syncs = 0
        self.datagrams = 0

    def set_seeds(self, seeds: collections.abc.Iterable[str]) -> None:
        """Replace the addresses that are tried while nobody is known."""
        own = self._members.own.peer_address
        self._seeds = tuple(seed for seed in seeds if seed != own)

    async def start(self) -> None:
        """Serve peers and begin the rounds.

        :raises OSError: the peer address cannot be served.
        """
        own = addresses.parse_address(self._members.own.peer_address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(own.ip, own.port)
        )
        for seed in self._seeds:
            self._send(seed, wants_reply=True)
        self._round_task = loop.create_task(self._repeat_rounds())

    def leave(self) -> None:
        """Tell others at once that this host leaves."""
        self._members.set_leaving()
        self.announce()

    async def stop(self) -> None:
        """End the rounds and close the sockets."""
        for task in (self._round_task, self._sync_task):
            if task is not None:
                task.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._transfer is not None:
            self._transfer.close()

    def announce(self) -> None:
        """Tell some members at once of new state."""
        live = self._alive()
        if len(live) > const.SMALL_FLEET:
            live = self._random.sample(live, const.EAGER_FANOUT)
        for address in live:
            self._send(address, wants_reply=False)
            self._messages.assume_sent(address)

    def ask(self, address: str) -> None:
        """Ask a member for what it knows."""
        self._send(address, wants_reply=True)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[typing.Any, ...]
    ) -> None:
        """Learn from a heartbeat and answer it."""
        try:
            news, wants_reply = self._messages.take_in(data, time.monotonic())
        except google.protobuf.message.DecodeError as error:
            events.warning(
                events.ComponentFailed(
                    component="heartbeats",
                    error_type=type(error).__name__,
                    detail=f"from {addr[0]}",
                )
            )
            return
        if not news.sender:
            return
        self._awaited.pop(news.sender, None)
        if wants_reply or news.is_ahead:
            self._send(news.sender, wants_reply=False)
            self._messages.assume_sent(news.sender)
        if news.has_moved:
            self.announce()
        if news.is_behind:
            self._start_sync(news.sender)

    def error_received(self, exc: Exception) -> None:
        """Ignore a refused datagram; the missing answer tells the same."""

    async def _load_transfer(self) -> "sync.StateTransfer":
        """Begin to serve transfers of state.

        The library is loaded here, since a starting process serves its
        callers some 50 ms sooner without it.
        """
        if self._transfer is None:
            from trefoilstand.fleet import sync

            own = addresses.parse_address(self._members.own.peer_address)
            transfer = sync.StateTransfer(state=self._state)
            self._transfer = transfer
            await transfer.start(own.ip, own.port)
        return self._transfer

    async def _repeat_rounds(self) -> None:
        await asyncio.sleep(const.TRANSFER_DELAY_S)
        await self._load_transfer()
        while True:
            await asyncio.sleep(
                const.HEARTBEAT_S * (0.75 + 0.5 * self._random.random())
            )
            now_s = time.monotonic()
            self._members.tick(now_s)
            self._check_replies(now_s)
            self._ping_next(now_s)

    def _ping_next(self, now_s: float) -> None:
        self._rounds += 1
        address = self._members.next_ping()
        if address is not None:
            self._awaited.setdefault(address, now_s)
            self._send(address, wants_reply=True)
        is_alone = not self._alive()
        if self._seeds and (is_alone or self._rounds % const.SEED_EVERY == 0):
            self._send(self._random.choice(self._seeds), wants_reply=True)

    def _check_replies(self, now_s: float) -> None:
        """Ask again, then suspect, members that did not answer."""
        for address, asked_s in list(self._awaited.items()):
            waited_s = now_s - asked_s
            if waited_s >= const.HEARTBEAT_S + 2 * const.REPLY_TIMEOUT_S:
                del self._awaited[address]
                self._members.suspect(address, now_s)
            elif waited_s >= const.REPLY_TIMEOUT_S:
                self._send(address, wants_reply=True)

    def _send(self, address: str, *, wants_reply: bool) -> None:
        if self._transport is None:
            return
        endpoint = addresses.parse_address(address)
        self.datagrams += 1
        self._transport.sendto(
            self._messages.make(
                address, time.monotonic(), wants_reply=wants_reply
            ),
            (endpoint.ip, endpoint.port),
        )

    def _alive(self) -> list[str]:
        return [
            member.peer_address
            for member in self._members.live()
            if member.state is peers_models.MemberState.ALIVE
        ]

    def _start_sync(self, address: str) -> None:
        if self._sync_task is None or self._sync_task.done():
            self._sync_task = asyncio.get_running_loop().create_task(
                self._sync(address)
            )

    async def _sync(self, address: str) -> None:
        """Fetch what a peer has beyond the own state."""
        transfer = await self._load_transfer()
        self.syncs += 1
        delta = await transfer.fetch(address)
        if delta is not None and self._state.apply(delta):
            self.announce()
