"""Transfer state between hosts when it does not fit a datagram."""

import asyncio
import typing

import grpclib.client
import grpclib.exceptions
import grpclib.server

from trefoilstand.fleet import codec
from trefoilstand.fleet import const
from trefoilstand.fleet import models
from trefoilstand.fleet import replica
from trefoilstand.fleet import transfer
from trefoilstand.peers import member_codec
from trefoilstand.peers import membership
from trefoilstand.peers import peer_grpc
from trefoilstand.peers import peer_pb2
from trefoilstand.telemetry import events
from trefoilstand.util import address as addresses

_TRANSFER_ERRORS: typing.Final = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
)


class StateService(peer_grpc.StateBase):
    """Serve the changes that the replicas of peers lack.

    :param state: local replica of the store.
    :param members: known entry hosts.
    """

    def __init__(
        self, *, state: replica.Replica, members: membership.MemberTable
    ) -> None:
        self._state = state
        self._members = members

    async def Sync(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.SyncRequest, peer_pb2.StateDelta
        ],
    ) -> None:
        """Send the changes after the revision of the peer."""
        request = await stream.recv_message()
        if request is None:
            return
        delta = self._state.changes_since(
            models.Position(era=request.era, revision=request.after_revision)
        )
        message = codec.encode_delta(delta)
        if request.wants_members:
            message.members.extend(
                member_codec.encode_member(member)
                for member in self._members.members()
            )
        await stream.send_message(message)


class StateTransfer(transfer.PeerTransfer):
    """Serve deltas to peers and fetch deltas from them over gRPC.

    :param state: local replica of the store.
    :param members: known entry hosts.
    """

    def __init__(
        self, *, state: replica.Replica, members: membership.MemberTable
    ) -> None:
        self._state = state
        self._server = grpclib.server.Server(
            [StateService(state=state, members=members)]
        )

    async def start(self, ip: str, port: int) -> None:
        """Start serving peers.

        :param ip: address to listen on.
        :param port: port to listen on.
        :raises OSError: the address cannot be bound.
        """
        await self._server.start(ip, port)

    def close(self) -> None:
        """Stop serving peers."""
        self._server.close()

    async def fetch(
        self, address: str, *, wants_members: bool
    ) -> models.Transfer | None:
        """Fetch the changes that the local replica lacks from a peer.

        :param address: peer address.
        :param wants_members: whether the peer includes the entry hosts
            that it knows.
        :returns: the changes, None if the transfer failed.
        """
        endpoint = addresses.parse_address(address)
        channel = grpclib.client.Channel(endpoint.ip, endpoint.port)
        try:
            async with asyncio.timeout(const.SYNC_TIMEOUT_S):
                message = await peer_grpc.StateStub(channel).Sync(
                    peer_pb2.SyncRequest(
                        era=self._state.era,
                        after_revision=self._state.revision,
                        wants_members=wants_members,
                    )
                )
        except _TRANSFER_ERRORS as error:
            events.warning(
                events.SyncFailed(
                    peer=address, error_type=type(error).__name__
                )
            )
            return None
        finally:
            channel.close()
        members = (
            member_codec.decode_member(member) for member in message.members
        )
        return models.Transfer(
            delta=codec.decode_delta(message),
            members=tuple(member for member in members if member is not None),
        )
