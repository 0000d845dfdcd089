"""Build heartbeats and apply received ones, without I/O."""

import collections.abc
import random

import google.protobuf.message

from trefoilstand.fleet import codec
from trefoilstand.fleet import const
from trefoilstand.fleet import leaving_targets
from trefoilstand.fleet import messages
from trefoilstand.fleet import models
from trefoilstand.fleet import rate_limits
from trefoilstand.fleet import replica
from trefoilstand.fleet import staleness_tracker
from trefoilstand.peers import member_codec
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models
from trefoilstand.peers import peer_pb2
from trefoilstand.peers import update_queue

_MS_PER_S = 1000
#: Stands for "never confirmed" in a heartbeat.
_UNCONFIRMED_MS = 2**32 - 1


class HeartbeatHandler(messages.MessageHandler):
    """Exchange membership, staleness and small changes in one message.

    :param members: known entry hosts.
    :param state: local replica of the store.
    :param staleness: how old the replica may be.
    :param limits: request limits of targets.
    :param leaving: targets that are known to leave.
    :param random_source: chooses members to send again.
    """

    def __init__(
        self,
        *,
        members: membership.MemberTable,
        state: replica.Replica,
        staleness: staleness_tracker.StalenessTracker,
        limits: rate_limits.RateLimitTable,
        leaving: leaving_targets.LeavingTargets,
        random_source: random.Random,
    ) -> None:
        self._members = members
        self._state = state
        self._staleness = staleness
        self._limits = limits
        self._leaving = leaving
        self._random = random_source
        #: Position that each peer has at least, by peer address.
        self._peer_positions: dict[str, models.Position] = {}
        #: Updates of the own failure domain to send to each other domain.
        self._far_update_queues: dict[str, update_queue.UpdateQueue] = {}
        members.add_listener(self._queue_for_far_domains)

    def build_message(
        self,
        receiver: str,
        now_s: float,
        *,
        wants_reply: bool,
        relays: tuple[str, ...] = (),
        max_limits: int = const.MAX_TARGET_LIMITS,
        is_new_receiver: bool = False,
    ) -> bytes:
        """Build the heartbeat for a peer.

        It includes the changes that the peer is expected to lack if they
        fit; otherwise the peer fetches them.

        :param receiver: peer address.
        :param now_s: monotonic time.
        :param wants_reply: whether the peer shall reply.
        :param relays: hosts of the peer's failure domain to include, if the
            peer is in another domain.
        :param max_limits: most request limits of targets to include.
        :param is_new_receiver: whether the peer has just started.
        :returns: payload of the datagram.
        """
        age_ms = min(self._staleness.age_s(now_s) * _MS_PER_S, _UNCONFIRMED_MS)
        message = peer_pb2.Heartbeat(
            sender=member_codec.encode_member(self._members.own),
            members=[
                member_codec.encode_member(member)
                for member in self._choose_updates(receiver, relays)
            ],
            era=self._state.era,
            revision=self._state.revision,
            confirmed_age_ms=int(age_ms),
            wants_reply=wants_reply,
            live_hosts=self._members.live_count,
            target_limits=self._encode_limits(
                max_limits, now_s, is_new_receiver=is_new_receiver
            ),
            leaving_targets=self._encode_leaving(
                now_s, is_new_receiver=is_new_receiver
            ),
        )
        data = message.SerializeToString()
        known = self._peer_positions.get(receiver, models.NO_POSITION)
        if (
            known.era == self._state.era
            and 0 < known.revision < self._state.revision
        ):
            delta = self._state.changes_since(known)
            message.delta.CopyFrom(codec.encode_delta(delta))
            data_with_delta = message.SerializeToString()
            if len(data_with_delta) <= const.MAX_DATAGRAM_BYTES:
                return data_with_delta
        return data

    def process_message(
        self, data: bytes, now_s: float
    ) -> messages.HeartbeatResult:
        """Apply a received heartbeat.

        :param data: payload of the datagram.
        :param now_s: monotonic time.
        :returns: what it changed and requests.
        :raises messages.MalformedMessageError: it cannot be decoded.
        """
        try:
            message = peer_pb2.Heartbeat.FromString(data)
        except google.protobuf.message.DecodeError as error:
            raise messages.MalformedMessageError(str(error)) from error
        sender = member_codec.decode_member(message.sender)
        if sender is None:
            return messages.HeartbeatResult(sender=None)
        known_member = self._members.get(sender.peer_address)
        for update in message.members:
            member = member_codec.decode_member(update)
            if member is not None:
                self._members.apply(member, now_s)
        self._members.record_contact(sender, now_s)
        position = models.Position(era=message.era, revision=message.revision)
        self._peer_positions[sender.peer_address] = position
        self._members.reported_live_count = message.live_hosts
        has_advanced = False
        if message.HasField("delta"):
            has_advanced = self._state.apply(codec.decode_delta(message.delta))
        is_replica_behind = position > self._state.position
        has_new_limit = self._apply_limits(message, now_s)
        has_new_leaving = self._apply_leaving(message, now_s)
        is_newly_confirmed = False
        if (
            not is_replica_behind
            and message.era == self._state.era
            and message.confirmed_age_ms != _UNCONFIRMED_MS
        ):
            is_newly_confirmed = self._staleness.confirm(
                now_s - message.confirmed_age_ms / _MS_PER_S
            )
        return messages.HeartbeatResult(
            sender=sender,
            position=position,
            wants_reply=message.wants_reply,
            is_new_process=known_member is None
            or known_member.process_id != sender.process_id,
            has_advanced=has_advanced,
            is_newly_confirmed=is_newly_confirmed,
            is_replica_behind=is_replica_behind,
            is_sender_behind=position < self._state.position,
            has_different_live_count=message.live_hosts
            != self._members.live_count,
            has_target_news=has_new_limit or has_new_leaving,
        )

    def _encode_limits(
        self, max_limits: int, now_s: float, *, is_new_receiver: bool
    ) -> list[peer_pb2.TargetLimit]:
        reports = self._limits.choose_reports(
            max_limits, now_s, is_new_receiver=is_new_receiver
        )
        encoded = [codec.encode_limit(report, now_s) for report in reports]
        return [message for message in encoded if message is not None]

    def _apply_limits(self, message: peer_pb2.Heartbeat, now_s: float) -> bool:
        """Record the limits in a heartbeat; return whether any is new."""
        has_new_limit = False
        for received in message.target_limits:
            observation = codec.decode_limit(received, now_s)
            if observation is not None and self._limits.record(
                observation,
                now_s=now_s,
                source=f"host {message.sender.peer_address}",
            ):
                has_new_limit = True
        return has_new_limit

    def _encode_leaving(
        self, now_s: float, *, is_new_receiver: bool
    ) -> list[peer_pb2.LeavingTarget]:
        max_count = (
            const.LEAVING_TARGETS_TIMES_HOSTS // self._members.live_count
        )
        max_count = max(max_count, const.MIN_LEAVING_TARGETS)
        marks = self._leaving.choose_reports(
            min(max_count, const.MAX_LEAVING_TARGETS),
            now_s,
            is_new_receiver=is_new_receiver,
        )
        encoded = [codec.encode_leaving(mark, now_s) for mark in marks]
        return [message for message in encoded if message is not None]

    def _apply_leaving(
        self, message: peer_pb2.Heartbeat, now_s: float
    ) -> bool:
        """Mark the targets in a heartbeat; return whether any is new."""
        added = [
            self._leaving.add(codec.decode_leaving(received, now_s), now_s)
            for received in message.leaving_targets
        ]
        return any(added)

    @property
    def has_holder(self) -> bool:
        """Return whether any peer is known to hold state of the store."""
        return any(
            known != models.NO_POSITION
            for known in self._peer_positions.values()
        )

    def find_holders(
        self,
        position: models.Position,
        peers: collections.abc.Iterable[str],
    ) -> list[str]:
        """Return the peers that are known to have a position."""
        return [
            peer
            for peer in peers
            if self._peer_positions.get(peer, models.NO_POSITION) >= position
        ]

    def record_sent_revision(self, receiver: str) -> None:
        """Record that the current position was sent to a peer.

        :param receiver: peer address.
        """
        self._peer_positions[receiver] = self._state.position

    def _choose_updates(
        self, receiver: str, relays: tuple[str, ...]
    ) -> list[peers_models.Member]:
        """Return the member updates that a message carries."""
        known_member = self._members.get(receiver)
        own_domain = self._members.own.failure_domain
        if known_member is None or known_member.failure_domain == own_domain:
            return self._members.next_updates(const.MAX_NEAR_MEMBERS)
        updates = self._choose_far_updates(known_member.failure_domain)
        updates += [
            member
            for relay in relays
            if relay != receiver
            and (member := self._members.get(relay)) is not None
        ]
        return updates

    def _choose_far_updates(self, domain: str) -> list[peers_models.Member]:
        """Return the updates of the own domain for another domain.

        Without updates, a random host of the own domain is sent again, since
        any message may be lost.
        """
        own_domain = self._members.own.failure_domain
        near_members = {
            member.peer_address: member
            for member in self._members.members()
            if member.failure_domain == own_domain
        }
        queue = self._far_update_queues.get(domain)
        if queue is None:
            queue = update_queue.UpdateQueue(sends=const.FAR_UPDATE_SENDS)
            self._far_update_queues[domain] = queue
            for address in near_members:
                queue.push(address)
        updates = [
            near_members[address]
            for address in queue.pop_next(const.MAX_FAR_MEMBERS)
            if address in near_members
        ]
        if not updates and near_members:
            updates.append(self._random.choice(list(near_members.values())))
        return updates

    def _queue_for_far_domains(self, member: peers_models.Member) -> None:
        """Queue a change in the own domain for the other domains."""
        if member.failure_domain != self._members.own.failure_domain:
            return
        for queue in self._far_update_queues.values():
            queue.push(member.peer_address)
