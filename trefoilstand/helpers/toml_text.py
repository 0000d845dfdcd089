"""Read TOML texts into frozen data classes and report every fault."""

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
    """Hold one TOML text with the line of each of its entries.

    :param source_name: file name or address shown in faults.
    :param text: the whole text.
    :raises exceptions.TextFaultsError: the text is not TOML.
    """

    def __init__(self, *, source_name: str, text: str) -> None:
        self.source_name = source_name
        self._lines = _index_lines(text)
        try:
            self.content = tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            raise exceptions.TextFaultsError(
                "the text is not TOML", [self._syntax_fault(error)]
            ) from error

    def place(self, path: KeyPath) -> exceptions.Place:
        """Return the place of the closest known entry to a path."""
        known = path
        while known and known not in self._lines:
            known = known[:-1]
        return exceptions.Place(
            source_name=self.source_name,
            key_path=".".join(str(part) for part in path),
            line_number=self._lines.get(known),
        )

    def fault(self, path: KeyPath, expected: str) -> exceptions.TextFaultError:
        """Return a fault at a path of this text."""
        return exceptions.TextFaultError(
            place=self.place(path), expected=expected
        )

    def validate(self, adapter: pydantic.TypeAdapter[_Model]) -> _Model:
        """Convert the content by a schema.

        :param adapter: schema of the expected frozen data class.
        :raises exceptions.TextFaultsError: one fault per wrong entry.
        """
        try:
            return adapter.validate_python(self.content)
        except pydantic.ValidationError as error:
            found = {
                tuple(item["loc"]): item["msg"] for item in error.errors()
            }
            faults = [
                self.fault(path, message)
                for path, message in found.items()
                if not _has_fault_inside(path, found)
            ]
            raise exceptions.TextFaultsError(
                f"{len(faults)} faults in {self.source_name}", faults
            ) from error

    def _syntax_fault(
        self, error: tomllib.TOMLDecodeError
    ) -> exceptions.TextFaultError:
        match = _TOML_LINE_PATTERN.search(str(error))
        place = exceptions.Place(
            source_name=self.source_name,
            key_path="",
            line_number=int(match.group(1)) if match else None,
        )
        return exceptions.TextFaultError(place=place, expected=str(error))


def _has_fault_inside(
    path: KeyPath, found: collections.abc.Iterable[KeyPath]
) -> bool:
    """Return whether a fault only follows from one further inside."""
    return any(
        len(other) > len(path) and other[: len(path)] == path
        for other in found
    )


def _index_lines(text: str) -> dict[KeyPath, int]:
    """Map each table and key to the line where it stands."""
    lines: dict[KeyPath, int] = {}
    array_sizes: dict[KeyPath, int] = {}
    table: KeyPath = ()
    for number, line in enumerate(text.splitlines(), start=1):
        if header := _HEADER_PATTERN.match(line):
            table = _resolve_table(
                header.group("path"),
                header.group("open") == "[[",
                array_sizes,
            )
            lines.setdefault(table, number)
        elif key := _KEY_PATTERN.match(line):
            lines.setdefault((*table, key.group("key").strip('"')), number)
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
