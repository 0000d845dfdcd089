"""Entities of the replicated state."""

import dataclasses

from trefoilstand.peers import models as peers_models


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """Hold one key of the store at one revision.

    :param key: name in the store.
    :param revision: change that set or removed it.
    :param value: content, None where it was removed.
    """

    key: str
    revision: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Delta:
    """Hold the changes after one revision up to another.

    :param after_revision: state that the changes apply to.
    :param up_to_revision: state that they lead to.
    :param items: changed keys, the last change of each.
    :param is_snapshot: whether keys that are not here do not exist.
    """

    after_revision: int
    up_to_revision: int
    items: tuple[Item, ...]
    is_snapshot: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transfer:
    """Hold the answer of a peer that was asked for its state.

    :param delta: what it has beyond the own state.
    :param members: entry hosts that it knows, if it was asked for them.
    """

    delta: Delta
    members: tuple[peers_models.Member, ...] = ()
