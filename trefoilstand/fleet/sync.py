"""Transfer state between hosts when it does not fit a datagram."""

import asyncio
import collections
import typing
import zlib

import google.protobuf.message
import grpclib.client
import grpclib.exceptions
import grpclib.server

from trefoilstand.fleet import codec
from trefoilstand.fleet import const
from trefoilstand.fleet import models
from trefoilstand.fleet import replica
from trefoilstand.fleet import transfer
from trefoilstand.fleet import uploads
from trefoilstand.peers import member_codec
from trefoilstand.peers import membership
from trefoilstand.peers import peer_grpc
from trefoilstand.peers import peer_pb2
from trefoilstand.telemetry import events
from trefoilstand.util import address as addresses
from trefoilstand.util import clock as clocks

#: Smaller deltas are sent as they are.
_MIN_COMPRESSED_BYTES: typing.Final = 4096
#: Encoded deltas that are kept for further peers.
_KEPT_DELTAS: typing.Final = 4
#: Bound on a decompressed delta: the largest value of the store and some
#: thousand targets.
_MAX_DELTA_BYTES: typing.Final = 16 * 1024 * 1024
#: The timeout of a transfer doubles with each one that failed, up to this
#: factor, as a large state takes seconds on a slow link.
_MAX_TIMEOUT_FACTOR: typing.Final = 8
_TRANSFER_ERRORS: typing.Final = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
    google.protobuf.message.DecodeError,
    zlib.error,
)


class StateService(peer_grpc.StateBase):
    """Serve the changes that the replicas of peers lack.

    :param state: local replica of the store.
    :param members: known entry hosts.
    :param schedule: limits what is sent at a time.
    :param clock: source of the time.
    """

    def __init__(
        self,
        *,
        state: replica.Replica,
        members: membership.MemberTable,
        schedule: uploads.UploadSchedule,
        clock: clocks.Clock,
    ) -> None:
        self._state = state
        self._members = members
        self._schedule = schedule
        self._clock = clock
        #: Encoded deltas by the positions from and to which they lead.
        self._encoded: collections.OrderedDict[
            tuple[models.Position, models.Position], peer_pb2.StateDelta
        ] = collections.OrderedDict()

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
        message = peer_pb2.StateDelta()
        message.CopyFrom(
            self._encode_changes(
                models.Position(
                    era=request.era, revision=request.after_revision
                )
            )
        )
        if message.zlib_delta and not self._schedule.try_add(
            request.peer_address,
            len(message.zlib_delta),
            self._clock.now_s(),
        ):
            await stream.send_message(
                peer_pb2.StateDelta(
                    is_busy=True,
                    recent_receivers=self._schedule.recent_receivers,
                )
            )
            return
        if request.wants_members:
            message.members.extend(
                member_codec.encode_member(member)
                for member in self._members.members()
            )
        await stream.send_message(message)

    def _encode_changes(self, after: models.Position) -> peer_pb2.StateDelta:
        """Return the changes after a position, compressed if large.

        Many peers ask for the same changes, so the last ones are kept.
        """
        key = (after, self._state.position)
        message = self._encoded.get(key)
        if message is not None:
            return message
        message = codec.encode_delta(self._state.changes_since(after))
        if message.ByteSize() > _MIN_COMPRESSED_BYTES:
            message = peer_pb2.StateDelta(
                zlib_delta=zlib.compress(message.SerializeToString())
            )
        self._encoded[key] = message
        while len(self._encoded) > _KEPT_DELTAS:
            self._encoded.popitem(last=False)
        return message


class StateTransfer(transfer.PeerTransfer):
    """Serve deltas to peers and fetch deltas from them over gRPC.

    :param state: local replica of the store.
    :param members: known entry hosts.
    :param schedule: limits what is sent at a time.
    :param clock: source of the time.
    """

    def __init__(
        self,
        *,
        state: replica.Replica,
        members: membership.MemberTable,
        schedule: uploads.UploadSchedule,
        clock: clocks.Clock,
    ) -> None:
        self._state = state
        self._own_address = members.own.peer_address
        self._timeout_factor = 1
        self._server = grpclib.server.Server(
            [
                StateService(
                    state=state,
                    members=members,
                    schedule=schedule,
                    clock=clock,
                )
            ]
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
            async with asyncio.timeout(
                const.SYNC_TIMEOUT_S * self._timeout_factor
            ):
                message = await peer_grpc.StateStub(channel).Sync(
                    peer_pb2.SyncRequest(
                        era=self._state.era,
                        after_revision=self._state.revision,
                        wants_members=wants_members,
                        peer_address=self._own_address,
                    )
                )
            delta = _decompress(message)
        except _TRANSFER_ERRORS as error:
            self._timeout_factor = min(
                self._timeout_factor * 2, _MAX_TIMEOUT_FACTOR
            )
            events.warning(
                events.SyncFailed(
                    peer=address, error_type=type(error).__name__
                )
            )
            return None
        finally:
            channel.close()
        self._timeout_factor = 1
        members = (
            member_codec.decode_member(member) for member in message.members
        )
        return models.Transfer(
            delta=codec.decode_delta(delta),
            members=tuple(member for member in members if member is not None),
            is_busy=message.is_busy,
            holders=tuple(message.recent_receivers),
        )


def _decompress(message: peer_pb2.StateDelta) -> peer_pb2.StateDelta:
    """Return the delta in a message.

    :raises zlib.error: the compressed delta is malformed or too large.
    :raises google.protobuf.message.DecodeError: it is no delta.
    """
    if not message.zlib_delta:
        return message
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(message.zlib_delta, _MAX_DELTA_BYTES)
    if not decompressor.eof:
        raise zlib.error("the delta is incomplete or too large")
    return peer_pb2.StateDelta.FromString(data)
