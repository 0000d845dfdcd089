"""Decode single values of the platform's documents."""

import re
import typing

_DURATION_PATTERN: typing.Final = re.compile(
    r"^(?P<number>\d+(\.\d+)?)(?P<unit>ms|s)$"
)
_MS_PER_S: typing.Final = 1000

#: Exceptions that decoding a malformed document can raise.
MALFORMED_ERRORS: typing.Final = (
    KeyError,
    TypeError,
    AttributeError,
    ValueError,
    OverflowError,
    RecursionError,
)


def parse_seconds(text: typing.Any) -> float:
    """Return a duration in seconds from a text like `1500ms` or `2.5s`.

    :param text: decoded JSON value.
    :raises ValueError: the value is not such a text.
    """
    match = _DURATION_PATTERN.match(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is not a duration with unit ms or s")
    number = float(match["number"])
    return number / _MS_PER_S if match["unit"] == "ms" else number


def parse_version(text: typing.Any) -> int:
    """Return the number in a version such as `r12`.

    :param text: decoded JSON value.
    :raises ValueError: the value is not such a text.
    """
    if not isinstance(text, str) or not text.startswith("r"):
        raise ValueError(f"{text!r} is not a version of the form r<number>")
    return int(text[1:])
