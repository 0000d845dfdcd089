"""Make the content of pings and take in what they bring."""

import random
import zlib

from trefoilstand.configuration import coordinator
from trefoilstand.decision import engine
from trefoilstand.peers import const
from trefoilstand.peers import member_codec
from trefoilstand.peers import membership
from trefoilstand.peers import peer_pb2
from trefoilstand.peers import reports
from trefoilstand.telemetry import events
from trefoilstand.util import clock as clocks


class GossipExchange:
    """Join membership, configuration, reports and marks in one message.

    :param members: beliefs about the entry hosts.
    :param configurations: configuration in force.
    :param decisions: engine that learns reports and marks.
    :param board: own statements to pass on.
    :param clock: source of the time.
    :param random_source: chooses what a full message carries.
    """

    def __init__(
        self,
        *,
        members: membership.MemberTable,
        configurations: coordinator.ConfigurationCoordinator,
        decisions: engine.DecisionEngine,
        board: reports.ReportBoard,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        self._members = members
        self._configurations = configurations
        self._decisions = decisions
        self._board = board
        self._clock = clock
        self._random = random_source

    def has_seeds(self) -> bool:
        """Return whether the published list has been read once."""
        return self._members.has_seeds

    def make(self) -> peer_pb2.Gossip:
        """Return the message for the next ping or acknowledgement."""
        now_s = self._clock.now_s()
        version, digest = self._configurations.order_key
        return peer_pb2.Gossip(
            sender=member_codec.encode_member(self._members.own),
            members=[
                member_codec.encode_member(member)
                for member in self._members.updates()
            ],
            configuration_version=version,
            configuration_digest=digest,
            reports=self._board.encode(now_s),
            leaving_marks=[
                *self._make_marks(),
                *self._make_listed_marks(now_s),
            ],
        )

    def _make_marks(self) -> list[peer_pb2.LeavingMark]:
        marks = self._decisions.leaving_marks()[: const.MAX_GOSSIP_MARKS]
        return [
            peer_pb2.LeavingMark(
                address=mark.address, incarnation=mark.incarnation
            )
            for mark in marks
        ]

    def _make_listed_marks(self, now_s: float) -> list[peer_pb2.LeavingMark]:
        listed = list(self._decisions.listed_leaving().items())
        if len(listed) > const.MAX_GOSSIP_LISTED:
            listed = self._random.sample(listed, const.MAX_GOSSIP_LISTED)
        return [
            peer_pb2.LeavingMark(
                address=address,
                age_ms=max(int((now_s - read_s) * 1000), 0),
            )
            for address, read_s in listed
        ]

    def take_in(self, message: peer_pb2.Gossip, now_s: float) -> bool:
        """Learn from a message.

        :returns: True where the sender has a newer configuration.
        """
        sender = member_codec.decode_member(message.sender)
        if sender is None:
            return False
        for update in message.members[: const.MAX_GOSSIP_MEMBERS]:
            member = member_codec.decode_member(update)
            if member is not None:
                self._members.apply(member, now_s)
        self._members.confirm(sender, now_s)
        for report in message.reports[: const.MAX_GOSSIP_REPORTS]:
            self._decisions.observe(
                report.address, reports.decode(report, now_s), now_s
            )
        self._take_marks(message, now_s)
        key = (message.configuration_version, message.configuration_digest)
        return key > self._configurations.order_key

    def _take_marks(self, message: peer_pb2.Gossip, now_s: float) -> None:
        limit = const.MAX_GOSSIP_MARKS + const.MAX_GOSSIP_LISTED
        for mark in message.leaving_marks[:limit]:
            if not mark.incarnation:
                self._decisions.record_peer_listed_leaving(
                    mark.address, now_s - mark.age_ms / 1000
                )
                continue
            if self._decisions.mark_leaving(
                mark.address, mark.incarnation, now_s
            ):
                events.info(
                    events.TargetLeaving(
                        address=mark.address,
                        incarnation=mark.incarnation,
                        source=f"peer {message.sender.peer_address}",
                    )
                )


def unpack_text(packed: bytes) -> str:
    """Return the operators' text of a message, empty without one.

    :raises zlib.error: the bytes are damaged or unpack to too much.
    :raises UnicodeDecodeError: the content is not UTF-8.
    """
    if not packed:
        return ""
    unpacker = zlib.decompressobj()
    content = unpacker.decompress(packed, const.MAX_UNPACKED_TEXT_BYTES)
    if not unpacker.eof:
        raise zlib.error("the text is cut or too large")
    return content.decode("utf-8")
