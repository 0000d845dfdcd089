"""Interface of the messages that hosts exchange by datagram."""

import abc
import collections.abc
import dataclasses

from trefoilstand import exceptions
from trefoilstand.fleet import const
from trefoilstand.fleet import models
from trefoilstand.peers import models as peers_models


class MalformedMessageError(exceptions.TrefoilstandError):
    """Represent a datagram that cannot be decoded."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatResult:
    """Hold what a received heartbeat changed and requests.

    :param sender: member that sent it, None if malformed.
    :param position: position of the replica of the sender.
    :param wants_reply: whether the sender requests a reply.
    :param is_new_process: whether the process of the sender was not known
        before.
    :param has_advanced: whether the local replica has advanced.
    :param is_newly_confirmed: whether the local replica is confirmed as of
        a later time than before.
    :param is_replica_behind: whether the sender has newer state.
    :param is_sender_behind: whether the sender lacks state.
    :param has_different_live_count: whether the sender counts more or fewer
        live hosts.
    :param has_target_news: whether a target turned out to have a request
        limit or to leave.
    """

    sender: peers_models.Member | None
    position: models.Position = models.NO_POSITION
    wants_reply: bool = False
    is_new_process: bool = False
    has_advanced: bool = False
    is_newly_confirmed: bool = False
    is_replica_behind: bool = False
    is_sender_behind: bool = False
    has_different_live_count: bool = False
    has_target_news: bool = False


class MessageHandler(abc.ABC):
    """Build the messages for peers and apply received ones."""

    @abc.abstractmethod
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

        :param receiver: peer address.
        :param now_s: monotonic time.
        :param wants_reply: whether the peer shall reply.
        :param relays: hosts of the peer's failure domain to include, if the
            peer is in another domain.
        :param max_limits: most request limits of targets to include.
        :param is_new_receiver: whether the peer has just started.
        :returns: payload of the datagram.
        """

    @abc.abstractmethod
    def process_message(self, data: bytes, now_s: float) -> HeartbeatResult:
        """Apply a received heartbeat.

        :param data: payload of the datagram.
        :param now_s: monotonic time.
        :returns: what it changed and requests.
        :raises MalformedMessageError: it cannot be decoded.
        """

    @property
    @abc.abstractmethod
    def has_holder(self) -> bool:
        """Return whether any peer is known to hold state of the store."""

    @abc.abstractmethod
    def find_holders(
        self,
        position: models.Position,
        peers: collections.abc.Iterable[str],
    ) -> list[str]:
        """Return the peers that are known to have a position.

        :param position: position of their replicas, or an earlier one.
        :param peers: peer addresses to choose from.
        """

    @abc.abstractmethod
    def record_sent_revision(self, receiver: str) -> None:
        """Record that the current position was sent to a peer.

        :param receiver: peer address.
        """
