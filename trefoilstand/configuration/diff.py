"""Differences between two configurations."""

import dataclasses
import enum
import typing

from trefoilstand.configuration import models


class ChangeKind(enum.StrEnum):
    """Kind of a difference."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """Describe one difference between two configurations.

    :param kind: what happened to the entry.
    :param key_path: dotted path of the entry.
    :param before: earlier value as text, empty when added.
    :param after: later value as text, empty when removed.
    """

    kind: ChangeKind
    key_path: str
    before: str
    after: str


def compare(
    before: models.Configuration, after: models.Configuration
) -> list[Change]:
    """Return the differences, sorted by key path.

    Targets are matched by address, so a changed order of targets is not
    reported.
    """
    earlier = _flatten(before)
    later = _flatten(after)
    changes = []
    for path in sorted(earlier.keys() | later.keys()):
        old_value, new_value = earlier.get(path, ""), later.get(path, "")
        if old_value == new_value:
            continue
        kind = ChangeKind.CHANGED
        if path not in earlier:
            kind = ChangeKind.ADDED
        elif path not in later:
            kind = ChangeKind.REMOVED
        changes.append(
            Change(kind=kind, key_path=path, before=old_value, after=new_value)
        )
    return changes


def _flatten(configuration: models.Configuration) -> dict[str, str]:
    leaves: dict[str, str] = {}
    _collect_leaves(dataclasses.asdict(configuration), "", leaves)
    return leaves


def _collect_leaves(
    node: typing.Any, path: str, leaves: dict[str, str]
) -> None:
    if isinstance(node, dict):
        for key, value in node.items():
            _collect_leaves(
                value, f"{path}.{key}" if path else str(key), leaves
            )
    elif isinstance(node, list | tuple):
        for position, value in enumerate(node):
            name = str(position)
            if isinstance(value, dict) and "address" in value:
                name = value["address"]
            _collect_leaves(value, f"{path}[{name}]", leaves)
    else:
        leaves[path] = str(node)
