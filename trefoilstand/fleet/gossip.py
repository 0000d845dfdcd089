"""Make heartbeats and take in what they bring; no I/O."""

import dataclasses

from trefoilstand.fleet import codec
from trefoilstand.fleet import const
from trefoilstand.fleet import freshness
from trefoilstand.fleet import replica
from trefoilstand.peers import member_codec
from trefoilstand.peers import membership
from trefoilstand.peers import peer_pb2

_MS_PER_S = 1000
#: Stands for "never confirmed" in a heartbeat.
_UNCONFIRMED_MS = 2**32 - 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class News:
    """Tell what a heartbeat changed or asks for.

    :param sender: peer address of the sender, empty if malformed.
    :param has_moved: whether the own state moved forward.
    :param is_behind: whether the sender has newer state.
    :param is_ahead: whether the sender lacks state.
    """

    sender: str
    has_moved: bool = False
    is_behind: bool = False
    is_ahead: bool = False


class Gossip:
    """Join membership, freshness and small changes in one message.

    :param members: beliefs about the entry hosts.
    :param state: own copy of the store.
    :param age: how old that copy may be.
    """

    def __init__(
        self,
        *,
        members: membership.MemberTable,
        state: replica.Replica,
        age: freshness.Freshness,
    ) -> None:
        self._members = members
        self._state = state
        self._age = age
        #: Revision that each peer is known to have at least.
        self._known_revisions: dict[str, int] = {}

    def make(self, receiver: str, now_s: float, *, wants_reply: bool) -> bytes:
        """Return the datagram for a peer.

        The changes that the peer is believed to lack go along where they
        fit; otherwise it fetches them.
        """
        age_ms = min(self._age.age_s(now_s) * _MS_PER_S, _UNCONFIRMED_MS)
        message = peer_pb2.Heartbeat(
            sender=member_codec.encode_member(self._members.own),
            members=[
                member_codec.encode_member(member)
                for member in self._members.updates()[
                    : const.MAX_HEARTBEAT_MEMBERS
                ]
            ],
            revision=self._state.revision,
            confirmed_age_ms=int(age_ms),
            wants_reply=wants_reply,
        )
        data = message.SerializeToString()
        known = self._known_revisions.get(receiver, 0)
        if 0 < known < self._state.revision:
            delta = self._state.changes_since(known)
            message.delta.CopyFrom(codec.encode_delta(delta))
            with_delta = message.SerializeToString()
            if len(with_delta) <= const.MAX_DATAGRAM_BYTES:
                return with_delta
        return data

    def take_in(self, data: bytes, now_s: float) -> tuple[News, bool]:
        """Learn from a datagram.

        :returns: what is new, and whether the sender wants an answer.
        :raises google.protobuf.message.DecodeError: it is malformed.
        """
        message = peer_pb2.Heartbeat.FromString(data)
        sender = member_codec.decode_member(message.sender)
        if sender is None:
            return News(sender=""), False
        for update in message.members:
            member = member_codec.decode_member(update)
            if member is not None:
                self._members.apply(member, now_s)
        self._members.confirm(sender, now_s)
        self._known_revisions[sender.peer_address] = message.revision
        has_moved = False
        if message.HasField("delta"):
            has_moved = self._state.apply(codec.decode_delta(message.delta))
        is_behind = message.revision > self._state.revision
        if not is_behind and message.confirmed_age_ms != _UNCONFIRMED_MS:
            self._age.confirm(now_s - message.confirmed_age_ms / _MS_PER_S)
        return (
            News(
                sender=sender.peer_address,
                has_moved=has_moved,
                is_behind=is_behind,
                is_ahead=message.revision < self._state.revision,
            ),
            message.wants_reply,
        )

    def assume_sent(self, receiver: str) -> None:
        """Record that a peer was told of the newest state."""
        self._known_revisions[receiver] = self._state.revision
