"""Copy of the store that only ever moves forward."""

import collections
import collections.abc

from trefoilstand import exceptions
from trefoilstand.fleet import const
from trefoilstand.fleet import models

Listener = collections.abc.Callable[[list[models.Item]], None]


class RevisionRevertedError(exceptions.InvariantError):
    """Represent a key that was about to go back to an older revision."""


class Replica:
    """Hold all keys up to one revision.

    Changes may come from the store and from several peers, twice and out of
    order; a key never goes back to an older revision.
    """

    def __init__(self) -> None:
        self._items: dict[str, models.Item] = {}
        self._removed: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._horizon = 0
        self.revision = 0
        self._listeners: list[Listener] = []

    def __len__(self) -> int:
        return len(self._items)

    def add_listener(self, listener: Listener) -> None:
        """Call a function with the items of each change."""
        self._listeners.append(listener)

    def items(self) -> collections.abc.Iterable[models.Item]:
        """Return the live items."""
        return self._items.values()

    def apply(self, delta: models.Delta) -> bool:
        """Take over newer items and return whether the state moved.

        A delta that starts after the own revision is not applied, since
        changes between the two would be missed.
        """
        if delta.up_to_revision <= self.revision and self.revision:
            return False
        if delta.is_snapshot:
            changed = self._apply_snapshot(delta)
        elif delta.after_revision <= self.revision:
            changed = [item for item in delta.items if self._set(item)]
        else:
            return False
        self.revision = max(self.revision, delta.up_to_revision)
        if changed:
            for listener in self._listeners:
                listener(changed)
        return True

    def changes_since(self, revision: int) -> models.Delta:
        """Return what a copy at an older revision lacks."""
        if revision < self._horizon or revision == 0:
            return models.Delta(
                after_revision=0,
                up_to_revision=self.revision,
                items=tuple(self._items.values()),
                is_snapshot=True,
            )
        items = [
            item for item in self._items.values() if item.revision > revision
        ]
        for key in reversed(self._removed):
            removed_revision = self._removed[key]
            if removed_revision > revision:
                items.append(
                    models.Item(key=key, revision=removed_revision, value=None)
                )
        return models.Delta(
            after_revision=revision,
            up_to_revision=self.revision,
            items=tuple(items),
        )

    def _apply_snapshot(self, delta: models.Delta) -> list[models.Item]:
        changed = [item for item in delta.items if self._set(item)]
        present = {item.key for item in delta.items}
        absent = [
            item
            for item in self._items.values()
            if item.key not in present
            and item.revision <= delta.up_to_revision
        ]
        for item in absent:
            removal = models.Item(
                key=item.key, revision=delta.up_to_revision, value=None
            )
            if self._set(removal):
                changed.append(removal)
        # Removals before the snapshot are not known here, so that copies
        # which are further behind need a snapshot as well.
        self._horizon = max(self._horizon, delta.up_to_revision)
        return changed

    def _set(self, item: models.Item) -> bool:
        known = self._items.get(item.key)
        known_revision = (
            known.revision if known else self._removed.get(item.key, 0)
        )
        if item.revision <= known_revision and not (
            known and item.value is None and item.revision == known_revision
        ):
            return False
        if item.revision < known_revision:
            raise RevisionRevertedError(item.key)
        if item.value is None:
            self._items.pop(item.key, None)
            self._remember_removal(item)
            return known is not None
        self._removed.pop(item.key, None)
        self._items[item.key] = item
        return True

    def _remember_removal(self, item: models.Item) -> None:
        self._removed[item.key] = item.revision
        self._removed.move_to_end(item.key)
        while len(self._removed) > const.MAX_REMOVALS:
            _, revision = self._removed.popitem(last=False)
            self._horizon = max(self._horizon, revision)
