"""Transfer state between hosts where it does not fit a datagram."""

import asyncio
import typing

import grpclib.client
import grpclib.exceptions
import grpclib.server

from trefoilstand.fleet import codec
from trefoilstand.fleet import const
from trefoilstand.fleet import models
from trefoilstand.fleet import replica
from trefoilstand.peers import peer_grpc
from trefoilstand.peers import peer_pb2
from trefoilstand.telemetry import events
from trefoilstand.util import address as addresses

_FAILURES: typing.Final = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
)


class StateService(peer_grpc.StateBase):
    """Answer peers that lack changes.

    :param state: own copy of the store.
    """

    def __init__(self, *, state: replica.Replica) -> None:
        self._state = state

    async def Sync(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.SyncRequest, peer_pb2.StateDelta
        ],
    ) -> None:
        """Send what the peer lacks."""
        request = await stream.recv_message()
        if request is None:
            return
        delta = self._state.changes_since(request.after_revision)
        await stream.send_message(codec.encode_delta(delta))


class StateTransfer:
    """Serve and fetch deltas.

    :param state: own copy of the store.
    """

    def __init__(self, *, state: replica.Replica) -> None:
        self._state = state
        self._server = grpclib.server.Server([StateService(state=state)])

    async def start(self, ip: str, port: int) -> None:
        """Begin to serve peers.

        :raises OSError: the address cannot be served.
        """
        await self._server.start(ip, port)

    def close(self) -> None:
        """Stop to serve peers."""
        self._server.close()

    async def fetch(self, address: str) -> models.Delta | None:
        """Return what a peer has beyond the own state, None on failure."""
        endpoint = addresses.parse_address(address)
        channel = grpclib.client.Channel(endpoint.ip, endpoint.port)
        try:
            async with asyncio.timeout(const.SYNC_TIMEOUT_S):
                message = await peer_grpc.StateStub(channel).Sync(
                    peer_pb2.SyncRequest(after_revision=self._state.revision)
                )
        except _FAILURES as error:
            events.warning(
                events.SyncFailed(
                    peer=address, error_type=type(error).__name__
                )
            )
            return None
        finally:
            channel.close()
        return codec.decode_delta(message)
