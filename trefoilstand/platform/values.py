"""Decode single values of the platform's messages."""

import re
import typing

_TIME: typing.Final = re.compile(r"^(?P<number>\d+(\.\d+)?)(?P<unit>ms|s)$")
_MS_PER_S: typing.Final = 1000

#: What reading content of another form raises.
MALFORMED: typing.Final = (
    KeyError,
    TypeError,
    AttributeError,
    ValueError,
    OverflowError,
    RecursionError,
)


def parse_seconds(text: typing.Any) -> float:
    """Return the seconds of a text such as `1500ms` or `2.5s`.

    :raises ValueError: the text has another form.
    """
    match = _TIME.match(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is not a time with its unit")
    number = float(match["number"])
    return number / _MS_PER_S if match["unit"] == "ms" else number


def parse_version(text: typing.Any) -> int:
    """Return the number of a version such as `r12`.

    :raises ValueError: the text has another form.
    """
    if not isinstance(text, str) or not text.startswith("r"):
        raise ValueError(f"{text!r} is not a version")
    return int(text[1:])
