"""Run the peer protocol on an event loop in its own thread."""

import asyncio
import collections
import collections.abc
import concurrent.futures
import threading
import time
import typing
import zlib

import grpclib.client
import grpclib.exceptions
import grpclib.server

from trefoilstand import core
from trefoilstand import exceptions
from trefoilstand.callers import models as callers_models
from trefoilstand.callers import ticketed_calls
from trefoilstand.callers import tickets as signed_tickets
from trefoilstand.configuration import coordinator
from trefoilstand.decision import models as decision_models
from trefoilstand.peers import codec
from trefoilstand.peers import const
from trefoilstand.peers import gossip
from trefoilstand.peers import membership
from trefoilstand.peers import peer_grpc
from trefoilstand.peers import peer_pb2
from trefoilstand.peers import service
from trefoilstand.telemetry import events
from trefoilstand.util import address as addresses

_CALL_ERRORS: typing.Final = (
    OSError,
    asyncio.TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
)

_Result = typing.TypeVar("_Result")


class PeerRuntime(core.Component, ticketed_calls.OwnerForwarder):
    """Ping other entry hosts, fetch configurations and forward calls.

    :param application: life cycle, clock, metrics and random source.
    :param members: known entry hosts.
    :param exchange: builds and processes gossip.
    :param configurations: active configuration.
    :param on_call: runs a forwarded call in a thread.
    :param heartbeat_interval_s: mean interval between two rounds.
    """

    def __init__(
        self,
        *,
        application: core.TrefoilStand,
        members: membership.MemberTable,
        exchange: gossip.GossipExchange,
        configurations: coordinator.ConfigurationCoordinator,
        on_call: service.OwnedCallHandler,
        heartbeat_interval_s: float,
    ) -> None:
        self._application = application
        self._members = members
        self._exchange = exchange
        self._configurations = configurations
        self._heartbeat_interval_s = heartbeat_interval_s
        self._loop = asyncio.new_event_loop()
        self._loop_executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="peers"
        )
        self._call_executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=const.MAX_FORWARD_THREADS,
            thread_name_prefix="forwarded",
        )
        self._service = service.PeerService(
            on_gossip=self._handle_ping,
            on_relay=self._ping_for_peer,
            on_call=on_call,
            configurations=configurations,
            executor=self._call_executor,
            clock=application.clock,
            process_metrics=application.metrics,
        )
        self._channels: collections.OrderedDict[
            str, grpclib.client.Channel
        ] = collections.OrderedDict()
        self._started = threading.Event()
        self._start_error: Exception | None = None
        self._caught_up_epoch = -1
        self._fetch_lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    def start(self) -> None:
        """Start serving peers and the ping rounds.

        :raises OSError: the peer address cannot be bound.
        """
        self._loop_executor.submit(self._run_loop)
        self._started.wait()
        if self._start_error is not None:
            raise self._start_error

    def leave(self) -> None:
        """Announce to some peers immediately that this host is leaving."""
        self._members.set_leaving()
        self._loop.call_soon_threadsafe(self._spawn_immediate_pings)

    def stop(self) -> None:
        """Wait for forwarded calls, stop the rounds, close connections."""
        stop_deadline_s = (
            self._application.clock.now_s() + const.STOP_TIMEOUT_S
        )
        while self._service.active_calls:
            if self._application.clock.now_s() >= stop_deadline_s:
                break
            time.sleep(const.STOP_POLL_S)
        self._loop.call_soon_threadsafe(self._cancel_all)
        self._loop_executor.shutdown(wait=True)
        self._call_executor.shutdown(wait=False)

    def announce(self) -> None:
        """Ping some peers immediately to send them new state."""
        self._loop.call_soon_threadsafe(self._spawn_immediate_pings)

    def forward(
        self,
        call: callers_models.Call,
        ticket: signed_tickets.Ticket,
        timeout_s: float,
    ) -> callers_models.CallResult:
        """Forward a call to the process that owns its ticket.

        :param call: call to forward.
        :param ticket: ticket that names the owner.
        :param timeout_s: time until the deadline of the call.
        :returns: result from the owner, or "unknown" without one.
        """
        owner = self._members.find_process(ticket.process_id)
        address = owner.peer_address if owner else ticket.peer_address
        if timeout_s <= 0:
            return callers_models.unknown_result(
                decision_models.Reason.DEADLINE_BEFORE_SEND
            )
        message = codec.encode_call(call, int(timeout_s * 1000))
        future = asyncio.run_coroutine_threadsafe(
            self._forward(address, message, timeout_s), self._loop
        )
        try:
            return codec.decode_result(future.result(timeout_s + 1.0))
        except (*_CALL_ERRORS, ValueError, concurrent.futures.CancelledError):
            # The owner may have run the call, now or earlier.
            return callers_models.unknown_result(
                decision_models.Reason.OWNER_LOST
            )

    def _run_loop(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_until_complete(self._serve())
        except asyncio.CancelledError:
            pass
        except Exception as error:
            self._start_error = error
        finally:
            self._started.set()
            self._loop.close()

    async def _serve(self) -> None:
        own = addresses.parse_address(self._members.own.peer_address)
        server = grpclib.server.Server([self._service])
        await server.start(own.ip, own.port)
        self._started.set()
        try:
            await self._run_rounds()
        finally:
            server.close()
            for channel in self._channels.values():
                channel.close()

    async def _run_rounds(self) -> None:
        while True:
            pause_s = self._heartbeat_interval_s * (
                0.75 + 0.5 * self._application.random_source.random()
            )
            try:
                if self._caught_up_epoch != self._application.epoch:
                    await self._catch_up()
                else:
                    self._spawn(self._ping_next())
            except exceptions.TrefoilstandError as error:
                events.error(
                    events.ComponentFailed(
                        component="peers",
                        error_type=type(error).__name__,
                        detail=str(error),
                    )
                )
            await asyncio.sleep(pause_s)

    async def _catch_up(self) -> None:
        """Exchange gossip with several peers before callers are served."""
        epoch = self._application.epoch
        if not self._exchange.has_seeds():
            return
        self._members.restart_ages(self._application.clock.now_s())
        targets = self._members.ping_addresses()
        self._application.random_source.shuffle(targets)
        await asyncio.gather(
            *(
                self._ping(address, const.CATCH_UP_TIMEOUT_S)
                for address in targets[: const.CATCH_UP_PEERS]
            )
        )
        if self._configurations.current is None:
            return
        self._caught_up_epoch = epoch
        self._application.mark_caught_up(epoch)

    async def _ping_next(self) -> None:
        address = self._members.next_ping()
        if address is None:
            return
        if await self._ping(address, const.PING_TIMEOUT_S):
            return
        relays = self._members.sample_live(
            const.INDIRECT_PING_RELAYS, excluded=address
        )
        reached = await asyncio.gather(
            *(self._ask_relay(relay, address) for relay in relays)
        )
        if not any(reached):
            self._members.suspect(address, self._application.clock.now_s())

    async def _ping(self, address: str, timeout_s: float) -> bool:
        """Exchange gossip with a peer and return whether it replied."""
        request = self._exchange.build_message()
        try:
            reply = await self._call_with_timeout(
                self._peer_stub(address).Ping, request, timeout_s
            )
        except _CALL_ERRORS:
            self._drop_channel(address)
            return False
        self._application.metrics.record_peer_message(
            "ping", request.ByteSize() + reply.ByteSize()
        )
        await self._process_gossip(reply)
        return True

    async def _ping_for_peer(self, address: str) -> bool:
        if not self._members.is_known(address):
            return False
        return await self._ping(address, const.PING_TIMEOUT_S)

    async def _ask_relay(self, relay: str, address: str) -> bool:
        request = peer_pb2.RelayRequest(peer_address=address)
        try:
            reply = await self._call_with_timeout(
                self._peer_stub(relay).Relay,
                request,
                2 * const.PING_TIMEOUT_S,
            )
        except _CALL_ERRORS:
            return False
        return bool(reply.is_reached)

    def _handle_ping(self, request: peer_pb2.Gossip) -> peer_pb2.Gossip:
        self._spawn(self._process_gossip(request))
        return self._exchange.build_message()

    async def _process_gossip(self, message: peer_pb2.Gossip) -> None:
        now_s = self._application.clock.now_s()
        if not self._exchange.process_message(message, now_s):
            return
        async with self._fetch_lock:
            message_order_key = (
                message.configuration_version,
                message.configuration_digest,
            )
            if message_order_key > self._configurations.order_key:
                await self._fetch_configuration(message.sender.peer_address)

    async def _fetch_configuration(self, address: str) -> None:
        """Read a newer configuration from a peer."""
        request = peer_pb2.ConfigurationRequest(
            known_version=self._configurations.version
        )
        try:
            reply = await self._call_with_timeout(
                self._peer_stub(address).ReadConfiguration,
                request,
                const.CATCH_UP_TIMEOUT_S,
            )
            text = gossip.decompress_text(reply.zlib_text)
        except (*_CALL_ERRORS, zlib.error, UnicodeDecodeError):
            return
        self._application.metrics.record_peer_message(
            "configuration", reply.ByteSize()
        )
        if not text:
            return
        # Parsing a large text would block the pings, so a thread does it.
        await asyncio.get_running_loop().run_in_executor(
            self._call_executor,
            self._offer_configuration,
            reply.version,
            text,
            address,
        )

    def _offer_configuration(
        self, version: int, text: str, address: str
    ) -> None:
        self._configurations.offer(
            version=version, text=text, source=f"peer {address}"
        )

    async def _forward(
        self,
        address: str,
        message: peer_pb2.ForwardedCall,
        timeout_s: float,
    ) -> peer_pb2.ForwardedEnd:
        self._application.metrics.record_peer_message(
            "forward", message.ByteSize()
        )
        return await self._call_with_timeout(
            self._peer_stub(address).Forward, message, timeout_s
        )

    async def _call_with_timeout(
        self,
        method: collections.abc.Callable[
            ..., collections.abc.Awaitable[_Result]
        ],
        message: typing.Any,
        timeout_s: float,
    ) -> _Result:
        return await asyncio.wait_for(method(message), timeout_s)

    def _peer_stub(self, address: str) -> peer_grpc.PeerStub:
        channel = self._channels.get(address)
        if channel is None:
            endpoint = addresses.parse_address(address)
            channel = grpclib.client.Channel(endpoint.ip, endpoint.port)
            self._channels[address] = channel
            if len(self._channels) > const.MAX_CHANNELS:
                _, oldest = self._channels.popitem(last=False)
                oldest.close()
        self._channels.move_to_end(address)
        return peer_grpc.PeerStub(channel)

    def _drop_channel(self, address: str) -> None:
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def _spawn_immediate_pings(self) -> None:
        for address in self._members.sample_live(
            const.IMMEDIATE_PINGS, excluded=""
        ):
            self._spawn(self._ping(address, const.PING_TIMEOUT_S))

    def _spawn(
        self,
        work: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        events.warning(
            events.ComponentFailed(
                component="peers",
                error_type=type(error).__name__,
                detail=str(error),
            )
        )

    def _cancel_all(self) -> None:
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
