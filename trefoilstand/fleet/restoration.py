"""Merge what is known with the copy that the store came back from.

The store loses its latest changes when it is restored, and assigns their
revisions again.  An item of the new era is therefore either from the copy or
written after the restoration, whatever its revision is.
"""

import collections
import collections.abc
import dataclasses
import math

from trefoilstand.fleet import const
from trefoilstand.fleet import models


class ChangeLog:
    """Remember which key was set at each recent revision of an era."""

    def __init__(self) -> None:
        #: Hash of key and value by revision.
        self._hashes: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def record(self, delta: models.Delta) -> None:
        """Record the changes of a delta.

        Removals are left out, since the revision of those that follow from a
        snapshot is not that of the change. So are values that the store does
        not have.
        """
        for item in delta.items:
            if _is_from_store(item, delta.era):
                self._hashes[item.revision] = _hash(item)
        while len(self._hashes) > const.MAX_LOGGED_CHANGES:
            self._hashes.popitem(last=False)

    def clear(self) -> None:
        """Discard the changes of an era that has ended."""
        self._hashes.clear()

    def find_first_rewritten(
        self, items: collections.abc.Iterable[models.Item], era: int
    ) -> float:
        """Return the revision from which on no item is from the copy.

        Two changes with the same revision show that it was lost and assigned
        again, and so were all later ones.

        :param items: items of the first snapshot of a new era.
        :param era: the new era.
        :returns: the revision, infinite if no item shows it.
        """
        return min(
            (
                item.revision
                for item in items
                if _is_from_store(item, era)
                and (known := self._hashes.get(item.revision)) is not None
                and known != _hash(item)
            ),
            default=math.inf,
        )


def _is_from_store(item: models.Item, era: int) -> bool:
    return (
        item.era == era
        and item.value is not None
        and item.origin == models.NO_POSITION
    )


def _hash(item: models.Item) -> int:
    return hash((item.key, item.value))


def merge(
    item: models.Item,
    known: models.Item | None,
    *,
    era: int,
    rewritten_from: float,
) -> models.Item:
    """Return the item to hold for a key in a new era.

    A known change stays until the key is written in the new era, so that
    neither a value nor a removal reverts to what the copy holds.

    :param item: item of the first snapshot of that era.
    :param known: last known change of the key, None if unknown.
    :param era: the new era.
    :param rewritten_from: revision from which on items are not from the copy.
    """
    if known is None:
        return item
    if item.era < era:
        return item if item.position > known.position else known
    if item.origin != models.NO_POSITION:
        is_lost = known.position > item.origin
    elif item.revision >= rewritten_from:
        is_lost = False
    elif item.revision == known.revision:
        # A revision that removed a key or set another value is assigned
        # again, unless the copy has what an earlier restoration had lost.
        is_lost = known.is_expired or known.origin != models.NO_POSITION
    else:
        is_lost = item.revision < known.revision
    if not is_lost:
        return item
    return dataclasses.replace(
        known,
        era=era,
        revision=item.revision,
        origin=known.position,
        is_expired=False,
    )
