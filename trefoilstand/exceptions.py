"""Base classes of the errors that the project raises."""

import dataclasses


class TrefoilstandError(Exception):
    """Base class of all errors raised by this project."""


class InvariantError(TrefoilstandError):
    """An internal consistency check failed, which indicates a defect."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TextLocation:
    """Locate one entry of a TOML text.

    :param source_name: file name or address that the text came from.
    :param key_path: dotted path of the entry, empty for the whole text.
    :param line_number: line counted from 1, None where it is not known.
    """

    source_name: str
    key_path: str
    line_number: int | None

    def __str__(self) -> str:
        line = "" if self.line_number is None else f":{self.line_number}"
        return f"{self.source_name}{line}: {self.key_path or '(whole text)'}"


class TextFaultError(TrefoilstandError):
    """Report one invalid entry of a TOML text and its location.

    :param location: location of the invalid entry.
    :param expected: what would have been valid at this location.
    """

    def __init__(self, *, location: TextLocation, expected: str) -> None:
        super().__init__(f"{location}: {expected}")
        self.location = location
        self.expected = expected


class TextFaultsError(ExceptionGroup[TextFaultError], TrefoilstandError):
    """Group all faults found in one TOML text."""
