"""Differences between two operators' texts."""

import dataclasses
import enum
import typing

from trefoilstand.configuration import models


class ChangeKind(enum.StrEnum):
    """Kind of one difference."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """Describe one difference between two texts.

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
    """Return the differences in order of their paths.

    Targets are matched by address, so that moving one in the text is no
    difference.
    """
    earlier = _flatten(before)
    later = _flatten(after)
    changes = []
    for path in sorted(earlier.keys() | later.keys()):
        old, new = earlier.get(path, ""), later.get(path, "")
        if old == new:
            continue
        kind = ChangeKind.CHANGED
        if path not in earlier:
            kind = ChangeKind.ADDED
        elif path not in later:
            kind = ChangeKind.REMOVED
        changes.append(Change(kind=kind, key_path=path, before=old, after=new))
    return changes


def _flatten(configuration: models.Configuration) -> dict[str, str]:
    leaves: dict[str, str] = {}
    _collect(dataclasses.asdict(configuration), "", leaves)
    return leaves


def _collect(node: typing.Any, path: str, leaves: dict[str, str]) -> None:
    if isinstance(node, dict):
        for key, value in node.items():
            _collect(value, f"{path}.{key}" if path else str(key), leaves)
    elif isinstance(node, list | tuple):
        for position, value in enumerate(node):
            name = str(position)
            if isinstance(value, dict) and "address" in value:
                name = value["address"]
            _collect(value, f"{path}[{name}]", leaves)
    else:
        leaves[path] = str(node)
