"""Build the messages of pings and apply received ones."""

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
    """Exchange membership, configuration, reports and marks in one message.

    :param members: known entry hosts.
    :param configurations: active configuration.
    :param decisions: engine that is updated with reports and leaving marks.
    :param own_reports: load reports of this process to send.
    :param clock: source of the monotonic time.
    :param random_source: samples the marks that do not all fit a message.
    """

    def __init__(
        self,
        *,
        members: membership.MemberTable,
        configurations: coordinator.ConfigurationCoordinator,
        decisions: engine.DecisionEngine,
        own_reports: reports.ReportBuffer,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        self._members = members
        self._configurations = configurations
        self._decisions = decisions
        self._own_reports = own_reports
        self._clock = clock
        self._random = random_source

    def has_seeds(self) -> bool:
        """Return whether the published list has been read once."""
        return self._members.has_seeds

    def build_message(self) -> peer_pb2.Gossip:
        """Build the message for the next ping or acknowledgement."""
        now_s = self._clock.now_s()
        version, digest = self._configurations.order_key
        return peer_pb2.Gossip(
            sender=member_codec.encode_member(self._members.own),
            members=[
                member_codec.encode_member(member)
                for member in self._members.next_updates()
            ],
            configuration_version=version,
            configuration_digest=digest,
            reports=self._own_reports.encode_reports(now_s),
            leaving_marks=[
                *self._make_incarnation_marks(),
                *self._make_listed_marks(now_s),
            ],
        )

    def _make_incarnation_marks(self) -> list[peer_pb2.LeavingMark]:
        marks = self._decisions.leaving_marks()[: const.MAX_GOSSIP_MARKS]
        return [
            peer_pb2.LeavingMark(
                address=mark.address, incarnation=mark.incarnation
            )
            for mark in marks
        ]

    def _make_listed_marks(self, now_s: float) -> list[peer_pb2.LeavingMark]:
        listed_marks = list(self._decisions.listed_leaving().items())
        if len(listed_marks) > const.MAX_GOSSIP_LISTED_MARKS:
            listed_marks = self._random.sample(
                listed_marks, const.MAX_GOSSIP_LISTED_MARKS
            )
        return [
            peer_pb2.LeavingMark(
                address=address,
                age_ms=max(int((now_s - read_s) * 1000), 0),
            )
            for address, read_s in listed_marks
        ]

    def process_message(self, message: peer_pb2.Gossip, now_s: float) -> bool:
        """Apply a received message.

        :param message: ping or acknowledgement.
        :param now_s: monotonic time.
        :returns: whether the sender has a newer configuration.
        """
        sender = member_codec.decode_member(message.sender)
        if sender is None:
            return False
        for update in message.members[: const.MAX_GOSSIP_MEMBERS]:
            member = member_codec.decode_member(update)
            if member is not None:
                self._members.apply(member, now_s)
        self._members.record_contact(sender, now_s)
        for report in message.reports[: const.MAX_GOSSIP_REPORTS]:
            self._decisions.observe(
                report.address, reports.decode_report(report, now_s), now_s
            )
        self._apply_leaving_marks(message, now_s)
        order_key = (
            message.configuration_version,
            message.configuration_digest,
        )
        return order_key > self._configurations.order_key

    def _apply_leaving_marks(
        self, message: peer_pb2.Gossip, now_s: float
    ) -> None:
        limit = const.MAX_GOSSIP_MARKS + const.MAX_GOSSIP_LISTED_MARKS
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


def decompress_text(compressed: bytes) -> str:
    """Return the operators' text of a message, empty if it has none.

    :param compressed: zlib data.
    :raises zlib.error: the data is damaged, truncated or too large.
    :raises UnicodeDecodeError: the content is not UTF-8.
    """
    if not compressed:
        return ""
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(
        compressed, const.MAX_DECOMPRESSED_TEXT_BYTES
    )
    if not decompressor.eof:
        raise zlib.error(
            "configuration text is truncated or larger than"
            f" {const.MAX_DECOMPRESSED_TEXT_BYTES} bytes"
        )
    return content.decode("utf-8")
