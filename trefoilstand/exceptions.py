"""Base classes of every failure that the project raises."""

import dataclasses


class TrefoilstandError(Exception):
    """Represent any failure raised on purpose by this project."""


class InvariantError(TrefoilstandError):
    """Represent a broken promise found by a check inside the program."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Place:
    """Locate one entry of a text that a person wrote.

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
    """Represent one fault in a text, with its place.

    :param place: where the fault stands.
    :param expected: what the reader of the text expected there.
    """

    def __init__(self, *, place: Place, expected: str) -> None:
        super().__init__(f"{place}: {expected}")
        self.place = place
        self.expected = expected


class TextFaultsError(ExceptionGroup[TextFaultError], TrefoilstandError):
    """Group all faults that were found in one text."""
