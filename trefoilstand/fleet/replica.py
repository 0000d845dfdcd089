"""Replica of the store whose keys never revert to older changes."""

import collections
import collections.abc
import dataclasses

from trefoilstand.fleet import const
from trefoilstand.fleet import models
from trefoilstand.fleet import restoration

Listener = collections.abc.Callable[[list[models.Item]], None]
#: Called with the previous and the new era.
EraListener = collections.abc.Callable[[int, int], None]


class Replica:
    """Hold all keys up to one revision.

    Changes may come from the store and from several peers, repeatedly and
    out of order; a key never reverts to an older change.

    Keys that a new era of the store lacks are lost with its latest changes.
    They remain, with their earlier era, until they are written again or
    :meth:`expire_lost` is called.
    """

    def __init__(self) -> None:
        self._items: dict[str, models.Item] = {}
        self._removals: collections.OrderedDict[str, models.Item] = (
            collections.OrderedDict()
        )
        self._change_log = restoration.ChangeLog()
        self._min_delta_revision = 0
        self.era = 0
        self.revision = 0
        self.has_lost_items = False
        self._listeners: list[Listener] = []
        self._era_listeners: list[EraListener] = []

    def __len__(self) -> int:
        return len(self._items)

    def add_listener(self, listener: Listener) -> None:
        """Add a function that is called with the items of each change."""
        self._listeners.append(listener)

    def add_era_listener(self, listener: EraListener) -> None:
        """Add a function that is called when the store was restored."""
        self._era_listeners.append(listener)

    @property
    def position(self) -> models.Position:
        """Return the position up to which changes are known."""
        return models.Position(era=self.era, revision=self.revision)

    def items(self) -> collections.abc.Iterable[models.Item]:
        """Return the items that are not removed."""
        return self._items.values()

    def apply(self, delta: models.Delta) -> bool:
        """Apply the newer items of a delta.

        A delta that starts after the revision of this replica is not
        applied, since the changes between the two would be missed. For the
        same reason, the first delta of an era must be a snapshot.

        :param delta: changes or a snapshot.
        :returns: whether the position has advanced.
        """
        if delta.position <= self.position and self.revision:
            return False
        if delta.era != self.era:
            if delta.era < self.era or not delta.is_snapshot:
                return False
            changed_items = self._enter_era(delta)
        elif delta.is_snapshot:
            changed_items = self._apply_snapshot(delta)
        elif delta.after_revision <= self.revision:
            changed_items = [
                item for item in delta.items if self._apply_item(item)
            ]
        else:
            return False
        self._change_log.record(delta)
        self.revision = max(self.revision, delta.up_to_revision)
        if changed_items:
            for listener in self._listeners:
                listener(changed_items)
        return True

    def changes_since(self, position: models.Position) -> models.Delta:
        """Return the changes that a replica at an older position lacks.

        :param position: position of the other replica.
        :returns: the changes, or a snapshot if removals after that position
            are not known.
        """
        revision = position.revision
        if (
            position.era != self.era
            or revision < self._min_delta_revision
            or revision == 0
        ):
            return models.Delta(
                after_revision=0,
                up_to_revision=self.revision,
                items=(*self._items.values(), *self._lost_removals()),
                is_snapshot=True,
                era=self.era,
            )
        # Called for many peers at each change, so no positions are built.
        items = [
            item
            for item in self._items.values()
            if item.revision > revision and item.era == self.era
        ]
        items += [
            item
            for item in reversed(self._removals.values())
            if item.revision > revision and item.era == self.era
        ]
        return models.Delta(
            after_revision=revision,
            up_to_revision=self.revision,
            items=tuple(items),
            era=self.era,
        )

    def expire_lost(self) -> None:
        """Drop the keys that the present era of the store still lacks."""
        self.has_lost_items = False
        expired_items = [
            dataclasses.replace(item, value=None, is_expired=True)
            for item in self._items.values()
            if item.era < self.era
        ]
        for item in expired_items:
            del self._items[item.key]
            self._record_removal(item)
        if expired_items:
            for listener in self._listeners:
                listener(expired_items)

    def _find(self, key: str) -> models.Item | None:
        """Return the last known change of a key, None if unknown."""
        return self._items.get(key) or self._removals.get(key)

    def _lost_removals(self) -> list[models.Item]:
        """Return the removals of keys that the store's copy still has."""
        return [
            item
            for item in self._removals.values()
            if item.era == self.era and item.origin != models.NO_POSITION
        ]

    def _enter_era(self, delta: models.Delta) -> list[models.Item]:
        """Apply the first snapshot of a new era; return the changed items."""
        rewritten_from = self._change_log.find_first_rewritten(
            delta.items, delta.era
        )
        self._change_log.clear()
        changed_items = []
        for item in delta.items:
            current_item = self._items.get(item.key)
            merged = restoration.merge(
                item,
                self._find(item.key),
                era=delta.era,
                rewritten_from=rewritten_from,
            )
            if merged.value is None:
                self._items.pop(item.key, None)
                self._record_removal(merged)
            else:
                self._removals.pop(item.key, None)
                self._items[item.key] = merged
            current_value = current_item.value if current_item else None
            if merged.value != current_value:
                changed_items.append(merged)
        previous_era = self.era
        was_empty = not self.revision
        self.era = delta.era
        self.revision = self._min_delta_revision = delta.up_to_revision
        self.has_lost_items = any(
            item.era < self.era for item in self._items.values()
        )
        if not was_empty:
            for listener in self._era_listeners:
                listener(previous_era, self.era)
        return changed_items

    def _apply_snapshot(self, delta: models.Delta) -> list[models.Item]:
        changed_items = [
            item for item in delta.items if self._apply_item(item)
        ]
        snapshot_keys = {item.key for item in delta.items}
        missing_items = [
            item
            for item in (*self._items.values(), *self._lost_removals())
            if item.key not in snapshot_keys
            and item.era == delta.era
            and item.revision <= delta.up_to_revision
        ]
        for item in missing_items:
            removal = models.Item(
                key=item.key,
                revision=delta.up_to_revision,
                value=None,
                era=delta.era,
            )
            if self._apply_item(removal):
                changed_items.append(removal)
        # Removals before the snapshot are not known here, so replicas that
        # are further behind need a snapshot as well.
        self._min_delta_revision = max(
            self._min_delta_revision, delta.up_to_revision
        )
        return changed_items

    def _apply_item(self, item: models.Item) -> bool:
        current_item = self._items.get(item.key)
        known_item = self._find(item.key)
        if (
            item.era < self.era
            or (known_item is None and not item.revision)
            or (known_item is not None and not _supersedes(item, known_item))
        ):
            return False
        if item.value is None:
            self._items.pop(item.key, None)
            self._record_removal(item)
            return current_item is not None
        self._removals.pop(item.key, None)
        self._items[item.key] = item
        return True

    def _record_removal(self, item: models.Item) -> None:
        self._removals[item.key] = item
        self._removals.move_to_end(item.key)
        while len(self._removals) > const.MAX_REMEMBERED_REMOVALS:
            _, oldest = self._removals.popitem(last=False)
            if oldest.era == self.era:
                self._min_delta_revision = max(
                    self._min_delta_revision, oldest.revision
                )


def _supersedes(item: models.Item, known: models.Item) -> bool:
    """Return whether a received item replaces the last known change."""
    if item.position != known.position:
        return item.position > known.position
    if item.origin != known.origin:
        return item.origin > known.origin
    return item.value is None and known.value is not None
