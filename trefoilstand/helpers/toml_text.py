"""Parse TOML into frozen data classes and report every fault."""

import collections.abc
import re
import tomllib
import typing

import pydantic

from trefoilstand import exceptions

_HEADER_PATTERN: typing.Final = re.compile(
    r"^\s*(?P<open>\[\[?)\s*(?P<path>[^\]]+?)\s*\]\]?\s*(#.*)?$"
)
_KEY_PATTERN: typing.Final = re.compile(
    r"^\s*(?P<key>[A-Za-z0-9_-]+|\"[^\"]+\")\s*="
)
_TOML_LINE_PATTERN: typing.Final = re.compile(r"at line (\d+)")

_Model = typing.TypeVar("_Model")
KeyPath = tuple[str | int, ...]


class TomlText:
    """Parsed TOML text that knows the line number of each entry.

    :param source_name: file name or address shown in faults.
    :param text: the whole text.
    :raises exceptions.TextFaultsError: the text is not valid TOML.
    """

    def __init__(self, *, source_name: str, text: str) -> None:
        self.source_name = source_name
        self._lines = _index_lines(text)
        try:
            self.content = tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            raise exceptions.TextFaultsError(
                f"{source_name} is not valid TOML", [self._syntax_fault(error)]
            ) from error

    def location(self, path: KeyPath) -> exceptions.TextLocation:
        """Return the location of an entry, or of its closest known parent."""
        known_path = path
        while known_path and known_path not in self._lines:
            known_path = known_path[:-1]
        return exceptions.TextLocation(
            source_name=self.source_name,
            key_path=".".join(str(part) for part in path),
            line_number=self._lines.get(known_path),
        )

    def fault(self, path: KeyPath, expected: str) -> exceptions.TextFaultError:
        """Return a fault located at a path of this text."""
        return exceptions.TextFaultError(
            location=self.location(path), expected=expected
        )

    def validate(self, adapter: pydantic.TypeAdapter[_Model]) -> _Model:
        """Validate the content against a schema.

        :param adapter: schema of the expected frozen data class.
        :raises exceptions.TextFaultsError: one fault per invalid entry.
        """
        try:
            return adapter.validate_python(self.content)
        except pydantic.ValidationError as error:
            messages = {
                tuple(item["loc"]): item["msg"] for item in error.errors()
            }
            faults = [
                self.fault(path, message)
                for path, message in messages.items()
                if not _has_nested_fault(path, messages)
            ]
            raise exceptions.TextFaultsError(
                f"{len(faults)} faults in {self.source_name}", faults
            ) from error

    def _syntax_fault(
        self, error: tomllib.TOMLDecodeError
    ) -> exceptions.TextFaultError:
        match = _TOML_LINE_PATTERN.search(str(error))
        location = exceptions.TextLocation(
            source_name=self.source_name,
            key_path="",
            line_number=int(match.group(1)) if match else None,
        )
        return exceptions.TextFaultError(
            location=location, expected=str(error)
        )


def _has_nested_fault(
    path: KeyPath, fault_paths: collections.abc.Iterable[KeyPath]
) -> bool:
    """Return whether a nested entry has a fault, which implies this one."""
    return any(
        len(other) > len(path) and other[: len(path)] == path
        for other in fault_paths
    )


def _index_lines(text: str) -> dict[KeyPath, int]:
    """Map the path of each table and key to its line number."""
    lines: dict[KeyPath, int] = {}
    array_sizes: dict[KeyPath, int] = {}
    table: KeyPath = ()
    for line_number, line in enumerate(text.splitlines(), start=1):
        if header := _HEADER_PATTERN.match(line):
            table = _resolve_table(
                header.group("path"),
                header.group("open") == "[[",
                array_sizes,
            )
            lines.setdefault(table, line_number)
        elif key := _KEY_PATTERN.match(line):
            lines.setdefault(
                (*table, key.group("key").strip('"')), line_number
            )
    return lines


def _resolve_table(
    dotted: str, is_array: bool, array_sizes: dict[KeyPath, int]
) -> KeyPath:
    """Return the path of a table header with its array positions."""
    path: KeyPath = ()
    parts = [part.strip().strip('"') for part in dotted.split(".")]
    for position, part in enumerate(parts):
        path = (*path, part)
        is_last = position == len(parts) - 1
        if is_last and is_array:
            array_sizes[path] = array_sizes.get(path, 0) + 1
        if path in array_sizes:
            path = (*path, array_sizes[path] - 1)
    return path
