"""Read configuration documents and compare them."""

import collections.abc
import dataclasses
import json
import sys
import typing

from trefoilstand.configuration import diff
from trefoilstand.gateway import configuration_checks as checks
from trefoilstand.gateway import models
from trefoilstand.platform import decoder
from trefoilstand.platform import document_schema
from trefoilstand.platform import values

#: Names of entries in documents by attribute of the gateway's models.
_DOCUMENT_NAMES: typing.Final = {
    "objective_s": "target-latency",
    "weighted_services": "traffic-split",
    "warmup_requests_per_s": "warmup-per-s",
    "header_bytes": "max-header-bytes",
    "header_timeout_s": "header-timeout",
}
#: Values in place of malformed ones that cause no finding, so that the other
#: values of the route are checked as well.
_NEUTRAL_ROUTE: typing.Final[dict[str, typing.Any]] = {
    "timeout": "86400s",
    "target-latency": None,
    "route-type": "unsafe",
    "max-attempts": 1,
    "priority": 0,
}
#: In place of a malformed version; not below any version in force.
_NEUTRAL_VERSION: typing.Final = f"r{sys.maxsize}"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Document:
    """Hold a document that was read, and its mistakes.

    :param raw: decoded JSON value, None if it is malformed.
    :param configuration: what could be decoded, None if nothing could.
    :param findings: mistakes, with paths in names of the document.
    """

    raw: typing.Any
    configuration: models.GatewayConfiguration | None
    findings: list[checks.Finding]


def check(value: bytes) -> Document:
    """Read a document and find all its mistakes.

    :param value: content of the file.
    """
    duplicates: list[str] = []
    try:
        raw = json.loads(
            value,
            object_pairs_hook=lambda pairs: _read_pairs(pairs, duplicates),
        )
    except values.MALFORMED_ERRORS as error:
        return unreadable(error)
    findings = [
        checks.error((), f"{key!r} occurs more than once in an object")
        for key in duplicates
    ]
    findings += document_schema.find_mistakes(raw)
    if not isinstance(raw, dict):
        return Document(raw=raw, configuration=None, findings=findings)
    readable = _replace_broken(raw, findings)
    try:
        configuration = decoder.StoreDecoder().decode_configuration(
            json.dumps(readable).encode()
        )
    except ValueError as error:
        findings.append(checks.error((), str(error)))
        return Document(raw=raw, configuration=None, findings=findings)
    mistakes = list(checks.find_mistakes(configuration))
    # A route that could not be read may lead to any service.
    if readable["routes"].keys() == _section(raw, "routes").keys():
        mistakes += checks.find_unused_services(configuration)
    findings += (_rename(mistake, raw) for mistake in mistakes)
    return Document(raw=raw, configuration=configuration, findings=findings)


def unreadable(error: Exception) -> Document:
    """Return a document that could not be read.

    :param error: why it could not be read.
    """
    finding = checks.error((), f"{type(error).__name__}: {error}")
    return Document(raw=None, configuration=None, findings=[finding])


def read_in_force(value: bytes) -> Document:
    """Read the document in force, which is checked by the decoder only.

    :param value: content of the file.
    """
    try:
        return Document(
            raw=json.loads(value),
            configuration=decoder.StoreDecoder().decode_configuration(value),
            findings=[],
        )
    except values.MALFORMED_ERRORS as error:
        return unreadable(error)


def compare(
    before: dict[str, typing.Any], after: dict[str, typing.Any]
) -> list[diff.Change]:
    """Return what differs between two documents.

    Routes and services are compared field by field; one that was added or
    removed is one change.  Values that are written differently differ.

    :param before: decoded document in force.
    :param after: decoded document to be sent.
    """
    changes = []
    earlier, later = _entries(before), _entries(after)
    for path in sorted(earlier.keys() | later.keys()):
        old, new = earlier.get(path), later.get(path)
        pairs = {path: (old, new)}
        if isinstance(old, dict) and isinstance(new, dict):
            pairs = {
                (*path, name): (old.get(name), new.get(name))
                for name in sorted(old.keys() | new.keys())
            }
        changes += [
            _to_change(item_path, *pair)
            for item_path, pair in pairs.items()
            if pair[0] != pair[1]
        ]
    return changes


def to_location(path: collections.abc.Iterable[str | int]) -> str:
    """Return a path as text like `routes.r-1.traffic-split[0].weight`."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += "." if text else ""
            text += part if part.isprintable() else ascii(part)
    return text or "(whole document)"


def _read_pairs(
    pairs: list[tuple[str, typing.Any]], duplicates: list[str]
) -> dict[str, typing.Any]:
    """Return a JSON object; JSON otherwise drops repeated keys silently."""
    content: dict[str, typing.Any] = {}
    for key, value in pairs:
        if key in content:
            duplicates.append(key)
        content[key] = value
    return content


def _replace_broken(
    raw: dict[str, typing.Any], findings: list[checks.Finding]
) -> dict[str, typing.Any]:
    """Return the document without values that cannot be decoded."""
    broken = {
        finding.path
        for finding in findings
        if finding.severity is checks.Severity.ERROR
    }
    routes = {}
    for name, route in _section(raw, "routes").items():
        # Other values than fields of the route itself have no replacement.
        fields = {
            str(path[2]) if len(path) == 3 else ""
            for path in broken
            if path[:2] == ("routes", name)
        }
        if fields <= _NEUTRAL_ROUTE.keys():
            routes[name] = route | {
                field: _NEUTRAL_ROUTE[field] for field in fields
            }
    is_version_broken = ("version",) in broken
    broken_services = {
        path[1]
        for path in broken
        if path[0:1] == ("services",) and len(path) > 1
    }
    are_limits_broken = any(path[:1] == ("limits",) for path in broken)
    return {
        "version": _NEUTRAL_VERSION if is_version_broken else raw["version"],
        "routes": routes,
        "services": {
            name: {} if name in broken_services else policy
            for name, policy in _section(raw, "services").items()
        },
        "limits": {} if are_limits_broken else raw.get("limits"),
    }


def _section(raw: dict[str, typing.Any], name: str) -> dict[str, typing.Any]:
    section = raw.get(name)
    return section if isinstance(section, dict) else {}


def _entries(
    raw: dict[str, typing.Any],
) -> dict[tuple[str, ...], typing.Any]:
    entries: dict[tuple[str, ...], typing.Any] = {
        (name,): raw.get(name) for name in raw.keys() - {"routes", "services"}
    }
    for section in ("routes", "services"):
        for name, entry in _section(raw, section).items():
            entries[section, name] = entry
    return entries


def _to_change(
    path: tuple[str, ...], old: typing.Any, new: typing.Any
) -> diff.Change:
    kind = diff.ChangeKind.CHANGED
    if old is None:
        kind = diff.ChangeKind.ADDED
    elif new is None:
        kind = diff.ChangeKind.REMOVED
    return diff.Change(
        kind=kind,
        key_path=to_location(path),
        before="" if old is None else json.dumps(old),
        after="" if new is None else json.dumps(new),
    )


def _rename(
    finding: checks.Finding, raw: dict[str, typing.Any]
) -> checks.Finding:
    """Return a finding with its path in names of the document."""
    path = tuple(
        # Entries themselves may have the name of an attribute.
        _DOCUMENT_NAMES.get(str(part), part)
        if index == 2 or (index == 1 and finding.path[0] == "limits")
        else part
        for index, part in enumerate(finding.path)
    )
    if path[2:3] == ("traffic-split",) and not raw["routes"][path[1]].get(
        "traffic-split"
    ):
        path = (*path[:2], "service")
    return dataclasses.replace(finding, path=path)
