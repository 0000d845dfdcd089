"""Make heartbeats and take in what they bring; no I/O."""

import dataclasses
import random

from trefoilstand.fleet import codec
from trefoilstand.fleet import const
from trefoilstand.fleet import freshness
from trefoilstand.fleet import replica
from trefoilstand.fleet import topology
from trefoilstand.peers import member_codec
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models
from trefoilstand.peers import peer_pb2
from trefoilstand.peers import update_queue

_MS_PER_S = 1000
#: Stands for "never confirmed" in a heartbeat.
_UNCONFIRMED_MS = 2**32 - 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class News:
    """Tell what a heartbeat changed or asks for.

    :param sender: who sent it, None if malformed.
    :param revision: revision that the sender has.
    :param wants_reply: whether the sender asks for an answer.
    :param is_new_process: whether its process was not known before.
    :param has_moved: whether the own state moved forward.
    :param is_confirmed: whether the own state is known to be newer than
        before.
    :param is_behind: whether the sender has newer state.
    :param is_ahead: whether the sender lacks state.
    :param has_other_members: whether the sender counts other live hosts.
    """

    sender: peers_models.Member | None
    revision: int = 0
    wants_reply: bool = False
    is_new_process: bool = False
    has_moved: bool = False
    is_confirmed: bool = False
    is_behind: bool = False
    is_ahead: bool = False
    has_other_members: bool = False


class Gossip:
    """Join membership, freshness and small changes in one message.

    :param members: beliefs about the entry hosts.
    :param state: own copy of the store.
    :param age: how old that copy may be.
    :param random_source: chooses members to repeat.
    """

    def __init__(
        self,
        *,
        members: membership.MemberTable,
        state: replica.Replica,
        age: freshness.Freshness,
        random_source: random.Random,
    ) -> None:
        self._members = members
        self._state = state
        self._age = age
        self._random = random_source
        #: Revision that each peer is known to have at least.
        self._known_revisions: dict[str, int] = {}
        #: What each other failure domain is still to hear of the own one.
        self._far_updates: dict[str, update_queue.UpdateQueue] = {}
        members.add_listener(self._note_member)

    def make(
        self,
        receiver: str,
        now_s: float,
        *,
        wants_reply: bool,
        introduces: bool = False,
    ) -> bytes:
        """Return the datagram for a peer.

        The changes that the peer is believed to lack go along where they
        fit; otherwise it fetches them.

        :param receiver: peer address.
        :param now_s: monotonic time.
        :param wants_reply: whether it is to answer.
        :param introduces: whether to name the relays of its domain.
        """
        age_ms = min(self._age.age_s(now_s) * _MS_PER_S, _UNCONFIRMED_MS)
        message = peer_pb2.Heartbeat(
            sender=member_codec.encode_member(self._members.own),
            members=[
                member_codec.encode_member(member)
                for member in self._choose_updates(receiver, introduces)
            ],
            revision=self._state.revision,
            confirmed_age_ms=int(age_ms),
            wants_reply=wants_reply,
            live_hosts=self._members.live_count,
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

    def take_in(self, data: bytes, now_s: float) -> News:
        """Learn from a datagram.

        :returns: what is new.
        :raises google.protobuf.message.DecodeError: it is malformed.
        """
        message = peer_pb2.Heartbeat.FromString(data)
        sender = member_codec.decode_member(message.sender)
        if sender is None:
            return News(sender=None)
        known = self._members.get(sender.peer_address)
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
        is_confirmed = False
        if not is_behind and message.confirmed_age_ms != _UNCONFIRMED_MS:
            is_confirmed = self._age.confirm(
                now_s - message.confirmed_age_ms / _MS_PER_S
            )
        return News(
            sender=sender,
            revision=message.revision,
            wants_reply=message.wants_reply,
            is_new_process=known is None
            or known.process_id != sender.process_id,
            has_moved=has_moved,
            is_confirmed=is_confirmed,
            is_behind=is_behind,
            is_ahead=message.revision < self._state.revision,
            has_other_members=message.live_hosts != self._members.live_count,
        )

    def assume_sent(self, receiver: str) -> None:
        """Record that a peer was told of the newest state."""
        self._known_revisions[receiver] = self._state.revision

    def _choose_updates(
        self, receiver: str, introduces: bool
    ) -> list[peers_models.Member]:
        """Return the members that a message tells of."""
        known = self._members.get(receiver)
        own_domain = self._members.own.failure_domain
        if known is None or known.failure_domain == own_domain:
            return self._members.updates(const.MAX_NEAR_MEMBERS)
        chosen = self._choose_far_updates(known.failure_domain)
        if introduces:
            chosen += self._relays_of(known)
        return chosen

    def _choose_far_updates(self, domain: str) -> list[peers_models.Member]:
        """Return what a far domain is to hear of the own one.

        A host of the own domain chosen at random is repeated, since any
        message may be lost.
        """
        own_domain = self._members.own.failure_domain
        near = {
            member.peer_address: member
            for member in self._members.members()
            if member.failure_domain == own_domain
        }
        queue = self._far_updates.get(domain)
        if queue is None:
            queue = update_queue.UpdateQueue(sends=const.FAR_UPDATE_SENDS)
            self._far_updates[domain] = queue
            for address in near:
                queue.push(address)
        chosen = [
            near[address]
            for address in queue.take(const.MAX_FAR_MEMBERS)
            if address in near
        ]
        if not chosen and near:
            chosen.append(self._random.choice(list(near.values())))
        return chosen

    def _relays_of(
        self, receiver: peers_models.Member
    ) -> list[peers_models.Member]:
        """Return the relays of a new host's domain, which it may not know."""
        view = topology.make_topology(receiver, self._members.live())
        relays = (self._members.get(address) for address in view.near_relays)
        return [
            member
            for member in relays
            if member is not None
            and member.peer_address != receiver.peer_address
        ]

    def _note_member(self, member: peers_models.Member) -> None:
        """Tell other domains of a change in the own one."""
        if member.failure_domain != self._members.own.failure_domain:
            return
        for queue in self._far_updates.values():
            queue.push(member.peer_address)
