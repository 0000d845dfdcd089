"""Serve the peer protocol."""

import asyncio
import collections.abc
import concurrent.futures
import zlib

import grpclib
import grpclib.server

from trefoilstand.callers import models as callers_models
from trefoilstand.configuration import coordinator
from trefoilstand.peers import codec
from trefoilstand.peers import peer_grpc
from trefoilstand.peers import peer_pb2
from trefoilstand.telemetry import metrics
from trefoilstand.util import clock as clocks

GossipHandler = collections.abc.Callable[[peer_pb2.Gossip], peer_pb2.Gossip]
RelayHandler = collections.abc.Callable[[str], collections.abc.Awaitable[bool]]
OwnedCallHandler = collections.abc.Callable[
    [callers_models.Call], callers_models.CallResult
]


class PeerService(peer_grpc.PeerBase):
    """Handle the requests of other entry hosts.

    :param on_gossip: processes a ping and returns its acknowledgement.
    :param on_relay: pings an address on behalf of a peer and returns
        whether it replied.
    :param on_call: runs a forwarded call, in a thread of the executor.
    :param configurations: holds the configuration that peers may read.
    :param executor: threads for forwarded calls.
    :param clock: source of the monotonic time.
    :param process_metrics: counts messages and their bytes.
    """

    def __init__(
        self,
        *,
        on_gossip: GossipHandler,
        on_relay: RelayHandler,
        on_call: OwnedCallHandler,
        configurations: coordinator.ConfigurationCoordinator,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        process_metrics: metrics.Metrics,
    ) -> None:
        self._on_gossip = on_gossip
        self._on_relay = on_relay
        self._on_call = on_call
        self._configurations = configurations
        self._executor = executor
        self._clock = clock
        self._metrics = process_metrics
        self.active_calls = 0

    async def Ping(  # noqa: N802
        self,
        stream: "grpclib.server.Stream[peer_pb2.Gossip, peer_pb2.Gossip]",
    ) -> None:
        """Exchange gossip."""
        request = await stream.recv_message()
        if request is None:
            return
        reply = self._on_gossip(request)
        self._count_message("ping", request.ByteSize() + reply.ByteSize())
        await stream.send_message(reply)

    async def Relay(  # noqa: N802
        self,
        stream: (
            "grpclib.server.Stream[peer_pb2.RelayRequest, peer_pb2.RelayReply]"
        ),
    ) -> None:
        """Ping an address on behalf of a peer that cannot reach it."""
        request = await stream.recv_message()
        if request is None:
            return
        self._count_message("relay", request.ByteSize())
        is_reached = await self._on_relay(request.peer_address)
        await stream.send_message(peer_pb2.RelayReply(is_reached=is_reached))

    async def ReadConfiguration(  # noqa: N802
        self,
        stream: (
            "grpclib.server.Stream[peer_pb2.ConfigurationRequest,"
            " peer_pb2.ConfigurationReply]"
        ),
    ) -> None:
        """Return the active configuration unless the peer has a newer one."""
        request = await stream.recv_message()
        if request is None:
            return
        current = self._configurations.current
        reply = peer_pb2.ConfigurationReply()
        if current is not None and current.version >= request.known_version:
            reply.version = current.version
            reply.zlib_text = zlib.compress(current.text.encode())
        self._count_message("configuration", reply.ByteSize())
        await stream.send_message(reply)

    async def Forward(  # noqa: N802
        self,
        stream: (
            "grpclib.server.Stream[peer_pb2.ForwardedCall,"
            " peer_pb2.ForwardedEnd]"
        ),
    ) -> None:
        """Run a call whose ticket this process owns."""
        request = await stream.recv_message()
        if request is None:
            return
        call = codec.decode_call(request, self._clock.now_s())
        loop = asyncio.get_running_loop()
        self.active_calls += 1
        try:
            result = await loop.run_in_executor(
                self._executor, self._on_call, call
            )
            reply = codec.encode_result(result)
            self._count_message(
                "forward", request.ByteSize() + reply.ByteSize()
            )
            await stream.send_message(reply)
        finally:
            self.active_calls -= 1

    def _count_message(self, method: str, size_bytes: int) -> None:
        self._metrics.record_peer_message(method, size_bytes)
