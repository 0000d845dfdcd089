"""Entities of the replicated state."""

import dataclasses
import typing

from trefoilstand.peers import models as peers_models


class Position(typing.NamedTuple):
    """Hold a point in the history of the store, ordered by era first.

    :param era: number of times that the store came back from an older copy.
    :param revision: revision of the store within that era.
    """

    era: int
    revision: int


NO_POSITION: typing.Final = Position(era=0, revision=0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """Hold one key of the store at one position.

    :param key: name in the store.
    :param revision: revision of the change that set or removed the key.
    :param value: content, None if the key was removed.
    :param era: era of that revision.
    :param origin: position of the change to the value if that change was
        lost in a restoration, so that the store has an older value at the
        revision; :data:`NO_POSITION` if it was not.
    :param is_expired: whether the key was lost in a restoration and not
        written again in time.
    """

    key: str
    revision: int
    value: bytes | None
    era: int = 0
    origin: Position = NO_POSITION
    is_expired: bool = False

    @property
    def position(self) -> Position:
        """Return the position of the change."""
        return Position(era=self.era, revision=self.revision)

    @property
    def is_certainly_gone(self) -> bool:
        """Return whether the key is not expected to be written again.

        It was not written after a restoration of the store in time, or was
        removed before and is only in the copy.
        """
        return self.is_expired or (
            self.value is None and self.origin != NO_POSITION
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Delta:
    """Hold the changes after one revision up to another.

    :param after_revision: revision that the changes apply to.
    :param up_to_revision: revision that they result in.
    :param items: changed keys, the last change of each.
    :param is_snapshot: whether the items are all keys that exist. One of a
        peer also has keys of earlier eras that may be written again, and the
        removals that the store lost in a restoration.
    :param era: era of both revisions.
    """

    after_revision: int
    up_to_revision: int
    items: tuple[Item, ...]
    is_snapshot: bool = False
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the position that the changes result in."""
        return Position(era=self.era, revision=self.up_to_revision)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transfer:
    """Hold the state that was fetched from a peer.

    :param delta: changes that the local replica lacks.
    :param members: entry hosts that the peer knows, if requested.
    :param is_busy: whether the peer turned the request away, as its link is
        in use.
    :param holders: peers that it has sent its state to lately.
    """

    delta: Delta
    members: tuple[peers_models.Member, ...] = ()
    is_busy: bool = False
    holders: tuple[str, ...] = ()
