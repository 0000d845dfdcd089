"""Options of the operators, read from a TOML file."""

import collections.abc
import dataclasses
import pathlib
import tomllib
import typing

from trefoilstand import exceptions
from trefoilstand.telemetry import events

_HEDGING: typing.Final = "hedging"
#: Lowest and highest valid value of each key of the table for hedging.
_HEDGING_RANGES: typing.Final = {
    "extra_ratio": (0.0, 1.0),
    "quantile": (0.5, 0.999),
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OptionsAccepted(events.Event):
    """Record that the options file was read; null: it sets no hedging."""

    cause: str
    extra_ratio: float | None
    quantile: float | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OptionsRejected(events.Event):
    """Record that the options file is not valid and was not applied."""

    cause: str
    faults: tuple[str, ...]


class OptionsError(exceptions.TrefoilstandError):
    """Report all faults of an options file.

    :param faults: one text for each fault.
    """

    def __init__(self, *, faults: tuple[str, ...]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HedgingOptions:
    """Limit the hedges of each service.

    :param extra_ratio: hedges per request, from 0 (no hedges) to 1.
    :param quantile: quantile of a route's durations after which a request
        may be hedged, from 0.5 to 0.999.
    """

    extra_ratio: float
    quantile: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Options:
    """Hold the options of one file.

    :param hedging: limit of the hedges, None if the file sets none.
    """

    hedging: HedgingOptions | None = None


def parse_options(text: str) -> Options:
    """Parse and check an options file.

    :param text: content of the file.
    :raises OptionsError: the content is not valid; holds all faults.
    """
    try:
        content = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise OptionsError(faults=(f"not valid TOML: {error}",)) from error
    faults = [f"{key}: unknown key" for key in content if key != _HEDGING]
    hedging = None
    if _HEDGING in content:
        hedging = _parse_hedging(content[_HEDGING], faults)
    if faults:
        raise OptionsError(faults=tuple(faults))
    return Options(hedging=hedging)


def _parse_hedging(table: object, faults: list[str]) -> HedgingOptions | None:
    """Return the options for hedging, or add faults and return None."""
    if not isinstance(table, dict):
        faults.append(f"{_HEDGING}: expected a table")
        return None
    faults.extend(
        f"{_HEDGING}.{key}: unknown key"
        for key in table
        if key not in _HEDGING_RANGES
    )
    valid_values: dict[str, float] = {}
    for key, (lowest, highest) in _HEDGING_RANGES.items():
        value = table.get(key)
        if value is None:
            faults.append(f"{_HEDGING}.{key}: required")
        elif (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not lowest <= value <= highest
        ):
            faults.append(
                f"{_HEDGING}.{key}: expected a number from {lowest:g} to "
                f"{highest:g}, found {value!r}"
            )
        else:
            valid_values[key] = float(value)
    if len(valid_values) < len(_HEDGING_RANGES):
        return None
    return HedgingOptions(**valid_values)


class OptionsFile:
    """Read the options file and apply its content if it is valid.

    :param path: path of the file.
    :param apply: called with the options to put in force.
    """

    def __init__(
        self,
        *,
        path: pathlib.Path,
        apply: collections.abc.Callable[[Options], None],
    ) -> None:
        self._path = path
        self._apply = apply

    def reload(self, cause: str) -> None:
        """Read the file; a fault is logged, and the options in force remain.

        :param cause: reason of the reading, as logged.
        """
        try:
            options = parse_options(self._path.read_text(encoding="utf-8"))
        except OptionsError as error:
            self._reject(cause, error.faults)
        except (OSError, UnicodeDecodeError) as error:
            self._reject(cause, (f"cannot be read: {error}",))
        else:
            self._apply(options)
            hedging = options.hedging
            events.info(
                OptionsAccepted(
                    cause=cause,
                    extra_ratio=hedging.extra_ratio if hedging else None,
                    quantile=hedging.quantile if hedging else None,
                )
            )

    def _reject(self, cause: str, faults: tuple[str, ...]) -> None:
        events.warning(OptionsRejected(cause=cause, faults=faults))
