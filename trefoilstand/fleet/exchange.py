"""Exchange heartbeats with peers and replicate their state."""

import asyncio
import collections.abc
import random
import typing

from trefoilstand.fleet import const
from trefoilstand.fleet import messages
from trefoilstand.fleet import models
from trefoilstand.fleet import state_fetcher
from trefoilstand.fleet import target_news
from trefoilstand.fleet import topology
from trefoilstand.helpers import lifecycle
from trefoilstand.helpers import supervision
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models
from trefoilstand.telemetry import events
from trefoilstand.util import address as addresses
from trefoilstand.util import clock as clocks


class PeerExchange(lifecycle.Component, asyncio.DatagramProtocol):
    """Synchronise membership and state with the other hosts by datagram.

    :param members: known entry hosts.
    :param make_handler: creates the handler of heartbeats; called once, when
        first needed.
    :param transfers: fetches state that does not fit a datagram.
    :param random_source: adds jitter to the rounds and chooses the hosts to
        ping.
    :param clock: source of the monotonic time.
    """

    def __init__(
        self,
        *,
        members: membership.MemberTable,
        make_handler: collections.abc.Callable[[], messages.MessageHandler],
        transfers: state_fetcher.StateFetcher,
        random_source: random.Random,
        clock: clocks.Clock,
    ) -> None:
        self._members = members
        self._make_handler = make_handler
        self._handler: messages.MessageHandler | None = None
        self._transfers = transfers
        self._random = random_source
        self._clock = clock
        self._seeds: tuple[str, ...] = ()
        self._transport: asyncio.DatagramTransport | None = None
        self._round_task: asyncio.Task[None] | None = None
        self._pending_replies: dict[str, float] = {}
        self._remaining_in_round: list[str] = []
        self._round_count = 0
        self._last_announced_s = float("-inf")
        self._target_news = target_news.TargetNewsAnnouncer(
            random_source=random_source
        )
        self._members_matched_s = clock.now_s()
        self._view: topology.Topology | None = None
        self._view_version = -1
        self._view_built_s = float("-inf")
        self.datagrams_sent = 0

    def set_seeds(self, seeds: collections.abc.Iterable[str]) -> None:
        """Replace the addresses that are pinged while no host is known.

        :param seeds: peer addresses; that of this host is ignored.
        """
        own_address = self._members.own.peer_address
        self._seeds = tuple(seed for seed in seeds if seed != own_address)

    @property
    def view(self) -> topology.Topology:
        """Return the topology that follows from the known members.

        It may be outdated for a short time after a change.
        """
        now_s = self._clock.now_s()
        is_outdated = self._view_version != self._members.version and (
            now_s - self._view_built_s >= const.MIN_TOPOLOGY_INTERVAL_S
        )
        if self._view is None or is_outdated:
            self._view = topology.make_topology(
                self._members.own, self._members.live_members()
            )
            self._view_version = self._members.version
            self._view_built_s = now_s
        return self._view

    @property
    def has_peer_with_state(self) -> bool:
        """Return whether a peer is known to hold state of the store."""
        return self._handler is not None and self._handler.has_holder

    @property
    def _heartbeats(self) -> messages.MessageHandler:
        if self._handler is None:
            self._handler = self._make_handler()
        return self._handler

    async def start(self) -> None:
        """Open the socket and start the heartbeat rounds.

        :raises OSError: the peer address cannot be bound.
        """
        own_endpoint = addresses.parse_address(self._members.own.peer_address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(own_endpoint.ip, own_endpoint.port)
        )
        self.start_rounds()

    def start_rounds(self) -> None:
        """Ping the seeds and start the rounds on an open transport."""
        for seed in self._seeds:
            self._send_heartbeat(seed, wants_reply=True)
        self._round_task = asyncio.get_running_loop().create_task(
            self._run_rounds()
        )

    def leave(self) -> None:
        """Announce to its failure domain that this host is leaving."""
        self._members.set_leaving()
        for address in self.view.near_hosts:
            self._send_heartbeat(address, wants_reply=False)

    async def stop(self) -> None:
        """Stop the rounds and close the sockets."""
        if self._round_task is not None:
            self._round_task.cancel()
        if self._transport is not None:
            self._transport.close()
        self._transfers.close()

    def announce(self, origin: topology.Origin) -> None:
        """Send new state to the next hosts of the topology immediately.

        :param origin: where the state came from.
        """
        if self._transport is None:
            return
        self._last_announced_s = self._clock.now_s()
        recipients = self.view.choose_recipients(origin, self._random)
        max_limits = const.MAX_ANNOUNCED_LIMITS // max(len(recipients), 1)
        for address in recipients:
            self._send_heartbeat(
                address, wants_reply=False, max_limits=max_limits
            )
            self._heartbeats.record_sent_revision(address)

    def announce_confirmation(self, origin: topology.Origin) -> None:
        """Announce that the state is current, at a limited rate.

        :param origin: where the confirmation came from.
        """
        if (
            self._clock.now_s() - self._last_announced_s
            >= const.MIN_CONFIRMATION_INTERVAL_S
        ):
            self.announce(origin)

    def announce_target_news(self, origin: topology.Origin) -> None:
        """Tell other hosts of news of targets, at a limited rate.

        :param origin: where this host learned of it.
        """
        self._target_news.add(origin)
        self._announce_pending_news()

    def _announce_pending_news(self) -> None:
        now_s = self._clock.now_s()
        if self._transport is None or not self._target_news.is_due(now_s):
            return
        for address in self._target_news.take_recipients(self.view, now_s):
            self._send_heartbeat(address, wants_reply=False)

    def request_heartbeat(self, address: str) -> None:
        """Send a heartbeat that requests one in reply.

        :param address: peer address.
        """
        self._send_heartbeat(address, wants_reply=True)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the open socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[typing.Any, ...]
    ) -> None:
        """Process a heartbeat, reply to it and propagate its changes."""
        try:
            received = self._heartbeats.process_message(
                data, self._clock.now_s()
            )
        except messages.MalformedMessageError as error:
            events.warning(
                events.ComponentFailed(
                    component="heartbeats",
                    error_type=type(error).__name__,
                    detail=f"malformed heartbeat from {addr[0]}",
                )
            )
            return
        if received.sender is None:
            return
        address = received.sender.peer_address
        self._pending_replies.pop(address, None)
        if received.wants_reply or received.is_sender_behind:
            relays: tuple[str, ...] = ()
            if received.is_new_process:
                relays = self.view.relays.get(
                    received.sender.failure_domain, ()
                )
            self._send_heartbeat(
                address,
                wants_reply=False,
                relays=relays,
                is_new_receiver=received.is_new_process,
            )
            self._heartbeats.record_sent_revision(address)
        self._propagate(received, received.sender)
        if received.is_replica_behind:
            self._catch_up(address, received.position)
        elif self.view.takes_members_from(received.sender):
            self._compare_members(received, address)

    def _propagate(
        self, received: messages.HeartbeatResult, sender: peers_models.Member
    ) -> None:
        """Announce new state or a confirmation from a heartbeat."""
        origin = self.view.classify_origin(sender)
        if received.has_target_news:
            self.announce_target_news(origin)
        if received.has_advanced:
            self.announce(origin)
        elif received.is_newly_confirmed and self.view.is_primary_relay:
            self.announce_confirmation(origin)

    def _catch_up(self, address: str, position: models.Position) -> None:
        """Fetch newer state, within the own failure domain if possible."""
        if self._transfers.is_running:
            return
        delay_s = 0.0
        view = self.view
        if not view.is_primary_relay and address not in view.near_hosts:
            for relay in view.near_relays:
                if relay != self._members.own.peer_address:
                    self.request_heartbeat(relay)
                    delay_s = const.FAR_FETCH_DELAY_S
        self._transfers.fetch(
            address,
            position,
            delay_s=delay_s,
            find_holders=lambda: self._heartbeats.find_holders(
                position, self.view.near_hosts
            ),
            on_advanced=self._announce_fetched,
        )

    def _compare_members(
        self, received: messages.HeartbeatResult, address: str
    ) -> None:
        """Fetch a relay's member list if the counts differ for too long."""
        now_s = self._clock.now_s()
        if not received.has_different_live_count:
            self._members_matched_s = now_s
        elif (
            now_s - self._members_matched_s >= const.MEMBER_MISMATCH_TIMEOUT_S
        ):
            self._members_matched_s = now_s
            self._transfers.fetch_members(
                address, on_advanced=self._announce_fetched
            )

    def _announce_fetched(self, address: str) -> None:
        """Announce the state that was fetched from a peer."""
        sender = self._members.get(address)
        origin = topology.Origin.FAR_HOST
        if sender is not None:
            origin = self.view.classify_origin(sender)
        self.announce(origin)
        if origin is not topology.Origin.FAR_HOST:
            # The peer may be busy with transfers to others.
            for near_host in self.view.sample_near_hosts(self._random):
                self._send_heartbeat(near_host, wants_reply=False)

    def error_received(self, exc: Exception) -> None:
        """Ignore a refused datagram; the reply timeout detects the loss."""

    async def _run_rounds(self) -> None:
        # Postpones an import of 50 ms until callers are served.
        await asyncio.sleep(const.TRANSFER_SERVER_DELAY_S)
        own_endpoint = addresses.parse_address(self._members.own.peer_address)
        await self._transfers.serve(own_endpoint.ip, own_endpoint.port)
        await supervision.repeat("heartbeats", self._run_round)

    async def _run_round(self) -> None:
        pause_s = const.HEARTBEAT_INTERVAL_S * (
            0.75 + 0.5 * self._random.random()
        )
        due_s = self._clock.now_s() + pause_s
        await asyncio.sleep(pause_s)
        now_s = self._clock.now_s()
        if now_s - due_s >= const.REPLY_TIMEOUT_S:
            self._excuse_delay(now_s - due_s)
        self._members.tick(now_s)
        self._check_replies(now_s)
        self._announce_pending_news()
        self._ping_round(now_s)

    def _excuse_delay(self, delay_s: float) -> None:
        """Extend what others are granted by a delay of this host itself.

        Replies that came meanwhile are not read yet, and refutations of
        suspicions neither.

        :param delay_s: how much later than due this host runs.
        """
        for address in self._pending_replies:
            self._pending_replies[address] += delay_s
        self._members.shift_ages(delay_s)

    def _ping_round(self, now_s: float) -> None:
        """Ping the next host of the own domain and, if due, far ones."""
        self._round_count += 1
        view = self.view
        if not self._remaining_in_round:
            self._remaining_in_round = list(view.near_hosts)
            self._random.shuffle(self._remaining_in_round)
        while self._remaining_in_round:
            address = self._remaining_in_round.pop()
            if address in view.near_hosts:
                self._ping(address, now_s)
                break
        is_due = (
            view.suspected_far_hosts
            or self._round_count % const.FAR_PING_INTERVAL_ROUNDS == 0
        )
        if view.is_relay and is_due:
            for far_address in view.choose_far_hosts(self._random):
                self._ping(far_address, now_s)
        self._ping_seed(view)

    def _ping_seed(self, view: topology.Topology) -> None:
        """Ping a seed if due, so that a healed partition reconnects."""
        is_alone = not (view.near_hosts or view.far_domains)
        is_due = (
            view.is_relay
            and self._round_count % const.SEED_PING_INTERVAL_ROUNDS == 0
        )
        if self._seeds and (is_alone or is_due):
            self._send_heartbeat(
                self._random.choice(self._seeds), wants_reply=True
            )

    def _ping(self, address: str, now_s: float) -> None:
        self._pending_replies.setdefault(address, now_s)
        self._send_heartbeat(address, wants_reply=True)

    def _check_replies(self, now_s: float) -> None:
        """Ping members without a reply again, then suspect them."""
        for address, pinged_s in list(self._pending_replies.items()):
            waited_s = now_s - pinged_s
            if (
                waited_s
                >= const.HEARTBEAT_INTERVAL_S + 2 * const.REPLY_TIMEOUT_S
            ):
                del self._pending_replies[address]
                self._members.suspect(address, now_s)
            elif waited_s >= const.REPLY_TIMEOUT_S:
                self._send_heartbeat(address, wants_reply=True)

    def _send_heartbeat(
        self,
        address: str,
        *,
        wants_reply: bool,
        relays: tuple[str, ...] = (),
        max_limits: int = const.MAX_TARGET_LIMITS,
        is_new_receiver: bool = False,
    ) -> None:
        if self._transport is None:
            return
        endpoint = addresses.parse_address(address)
        self.datagrams_sent += 1
        self._transport.sendto(
            self._heartbeats.build_message(
                address,
                self._clock.now_s(),
                wants_reply=wants_reply,
                relays=relays,
                max_limits=min(max_limits, const.MAX_TARGET_LIMITS),
                is_new_receiver=is_new_receiver,
            ),
            (endpoint.ip, endpoint.port),
        )
