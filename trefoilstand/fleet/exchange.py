"""Send heartbeats by datagram and keep up with the state of peers."""

import asyncio
import collections.abc
import random
import typing

import google.protobuf.message

from trefoilstand.fleet import catching_up
from trefoilstand.fleet import const
from trefoilstand.fleet import gossip
from trefoilstand.fleet import topology
from trefoilstand.helpers import lifecycle
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models
from trefoilstand.telemetry import events
from trefoilstand.util import address as addresses
from trefoilstand.util import clock as clocks


class PeerExchange(lifecycle.Component, asyncio.DatagramProtocol):
    """Keep membership and state in step with the other hosts.

    :param members: beliefs about the entry hosts.
    :param messages: makes and reads heartbeats.
    :param transfers: fetches what does not fit a datagram.
    :param random_source: spreads the rounds.
    :param clock: source of the time.
    """

    def __init__(
        self,
        *,
        members: membership.MemberTable,
        messages: gossip.Gossip,
        transfers: catching_up.CatchingUp,
        random_source: random.Random,
        clock: clocks.Clock,
    ) -> None:
        self._members = members
        self._messages = messages
        self._transfers = transfers
        self._random = random_source
        self._clock = clock
        self._seeds: tuple[str, ...] = ()
        self._transport: asyncio.DatagramTransport | None = None
        self._round_task: asyncio.Task[None] | None = None
        self._awaited: dict[str, float] = {}
        self._round: list[str] = []
        self._rounds = 0
        self._announced_s = float("-inf")
        self._members_agreed_s = clock.now_s()
        self._view: topology.Topology | None = None
        self.datagrams = 0
        members.add_listener(self._note_member)

    def set_seeds(self, seeds: collections.abc.Iterable[str]) -> None:
        """Replace the addresses that are tried while nobody is known."""
        own = self._members.own.peer_address
        self._seeds = tuple(seed for seed in seeds if seed != own)

    @property
    def view(self) -> topology.Topology:
        """Return who passes on what by the present beliefs."""
        if self._view is None:
            self._view = topology.make_topology(
                self._members.own, self._members.live()
            )
        return self._view

    async def start(self) -> None:
        """Serve peers and begin the rounds.

        :raises OSError: the peer address cannot be served.
        """
        own = addresses.parse_address(self._members.own.peer_address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(own.ip, own.port)
        )
        self.begin()

    def begin(self) -> None:
        """Greet the seeds and begin the rounds on a ready transport."""
        for seed in self._seeds:
            self._send(seed, wants_reply=True)
        self._round_task = asyncio.get_running_loop().create_task(
            self._repeat_rounds()
        )

    def leave(self) -> None:
        """Tell the own failure domain at once that this host leaves."""
        self._members.set_leaving()
        for address in self.view.near:
            self._send(address, wants_reply=False)

    async def stop(self) -> None:
        """End the rounds and close the sockets."""
        if self._round_task is not None:
            self._round_task.cancel()
        if self._transport is not None:
            self._transport.close()
        self._transfers.close()

    def announce(self, origin: topology.Origin) -> None:
        """Tell others at once of new state.

        :param origin: where it was learned.
        """
        self._announced_s = self._clock.now_s()
        for address in self.view.audience(origin, self._random):
            self._send(address, wants_reply=False)
            self._messages.assume_sent(address)

    def confirm(self, origin: topology.Origin) -> None:
        """Pass on that the state is the newest, unless just done.

        :param origin: where that was learned.
        """
        if self._clock.now_s() - self._announced_s >= const.CONFIRM_PAUSE_S:
            self.announce(origin)

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
            news = self._messages.take_in(data, self._clock.now_s())
        except google.protobuf.message.DecodeError as error:
            events.warning(
                events.ComponentFailed(
                    component="heartbeats",
                    error_type=type(error).__name__,
                    detail=f"from {addr[0]}",
                )
            )
            return
        if news.sender is None:
            return
        address = news.sender.peer_address
        self._awaited.pop(address, None)
        if news.wants_reply or news.is_ahead:
            self._send(
                address, wants_reply=False, introduces=news.is_new_process
            )
            self._messages.assume_sent(address)
        self._pass_on(news, news.sender)
        if news.is_behind:
            self._catch_up(address, news.revision)
        elif address in self.view.near_relays:
            self._compare_members(news, address)

    def _pass_on(self, news: gossip.News, sender: peers_models.Member) -> None:
        """Tell others what a message brought."""
        origin = self.view.origin_of(sender)
        if news.has_moved:
            self.announce(origin)
        elif news.is_confirmed and self.view.is_primary:
            self.confirm(origin)

    def _catch_up(self, address: str, revision: int) -> None:
        """Fetch newer state, inside the own failure domain if possible."""
        if self._transfers.is_running:
            return
        delay_s = 0.0
        view = self.view
        if not view.is_primary and address not in view.near:
            for relay in view.near_relays:
                if relay != self._members.own.peer_address:
                    self.ask(relay)
                    delay_s = const.NEAR_FIRST_S
        self._transfers.fetch(
            address, revision, delay_s=delay_s, on_moved=self._take_moved
        )

    def _compare_members(self, news: gossip.News, address: str) -> None:
        """Fetch a relay's list of hosts if the own one differs for long."""
        now_s = self._clock.now_s()
        if not news.has_other_members:
            self._members_agreed_s = now_s
        elif now_s - self._members_agreed_s >= const.MEMBERS_DIFFER_S:
            self._members_agreed_s = now_s
            self._transfers.fetch_members(address, on_moved=self._take_moved)

    def _take_moved(self, address: str) -> None:
        """Tell others what a transfer from a peer brought."""
        sender = self._members.get(address)
        origin = topology.Origin.FAR_HOST
        if sender is not None:
            origin = self.view.origin_of(sender)
        self.announce(origin)

    def error_received(self, exc: Exception) -> None:
        """Ignore a refused datagram; the missing answer tells the same."""

    async def _repeat_rounds(self) -> None:
        # A starting process serves its callers some 50 ms sooner without
        # the library of the transfers.
        await asyncio.sleep(const.TRANSFER_DELAY_S)
        own = addresses.parse_address(self._members.own.peer_address)
        await self._transfers.serve(own.ip, own.port)
        while True:
            await asyncio.sleep(
                const.HEARTBEAT_S * (0.75 + 0.5 * self._random.random())
            )
            now_s = self._clock.now_s()
            self._members.tick(now_s)
            # Members that were forgotten are not told to listeners.
            self._view = None
            self._check_replies(now_s)
            self._ping_round(now_s)

    def _ping_round(self, now_s: float) -> None:
        """Ping the next host of the own domain and, at times, a far one."""
        self._rounds += 1
        view = self.view
        if not self._round:
            self._round = list(view.near)
            self._random.shuffle(self._round)
        while self._round:
            address = self._round.pop()
            if address in view.near:
                self._ping(address, now_s)
                break
        is_turn = view.doubtful_far or self._rounds % const.FAR_EVERY == 0
        if view.is_relay and is_turn:
            for far in view.choose_far(self._random):
                self._ping(far, now_s)
        self._ping_seed(view)

    def _ping_seed(self, view: topology.Topology) -> None:
        """Ping a seed, so that parts that lost each other meet again."""
        is_alone = not (view.near or view.far_domains)
        is_turn = view.is_relay and self._rounds % const.SEED_EVERY == 0
        if self._seeds and (is_alone or is_turn):
            self._send(self._random.choice(self._seeds), wants_reply=True)

    def _ping(self, address: str, now_s: float) -> None:
        self._awaited.setdefault(address, now_s)
        self._send(address, wants_reply=True)

    def _check_replies(self, now_s: float) -> None:
        """Ask again, then suspect, members that did not answer."""
        for address, asked_s in list(self._awaited.items()):
            waited_s = now_s - asked_s
            if waited_s >= const.HEARTBEAT_S + 2 * const.REPLY_TIMEOUT_S:
                del self._awaited[address]
                self._members.suspect(address, now_s)
            elif waited_s >= const.REPLY_TIMEOUT_S:
                self._send(address, wants_reply=True)

    def _send(
        self, address: str, *, wants_reply: bool, introduces: bool = False
    ) -> None:
        if self._transport is None:
            return
        endpoint = addresses.parse_address(address)
        self.datagrams += 1
        self._transport.sendto(
            self._messages.make(
                address,
                self._clock.now_s(),
                wants_reply=wants_reply,
                introduces=introduces,
            ),
            (endpoint.ip, endpoint.port),
        )

    def _note_member(self, member: peers_models.Member) -> None:
        """Work the view out anew when a belief changed."""
        self._view = None
