"""Entities of the replicated state."""

import dataclasses

from trefoilstand.peers import models as peers_models


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """Hold one key of the store at one revision.

    :param key: name in the store.
    :param revision: revision of the change that set or removed the key.
    :param value: content, None if the key was removed.
    """

    key: str
    revision: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Delta:
    """Hold the changes after one revision up to another.

    :param after_revision: revision that the changes apply to.
    :param up_to_revision: revision that they result in.
    :param items: changed keys, the last change of each.
    :param is_snapshot: whether the items are all keys that exist.
    """

    after_revision: int
    up_to_revision: int
    items: tuple[Item, ...]
    is_snapshot: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transfer:
    """Hold the state that was fetched from a peer.

    :param delta: changes that the local replica lacks.
    :param members: entry hosts that the peer knows, if requested.
    """

    delta: Delta
    members: tuple[peers_models.Member, ...] = ()
