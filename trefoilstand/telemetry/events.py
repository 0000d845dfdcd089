"""Events that are logged as JSON lines, one type each."""

import dataclasses
import logging as standard_logging
import re
import typing

from absl import logging
from pythonjsonlogger import json as json_formatter

_WORD_START: typing.Final = re.compile(r"(?<!^)(?=[A-Z])")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """Represent anything worth a line in the log."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallEnded(Event):
    """Record the end of one call and the decisions behind it."""

    request_id: str
    service: str
    outcome: str
    reason: str
    is_repeatable: bool
    attempts: int
    target: str
    latency_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationAccepted(Event):
    """Record that a configuration is in force."""

    version: int
    digest: str
    source: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationRejected(Event):
    """Record that a text failed its checks."""

    version: int
    source: str
    faults: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationForked(Event):
    """Record two different texts under the same version."""

    version: int
    kept_digest: str
    other_digest: str
    source: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ComponentFailed(Event):
    """Record an error that a background component survived."""

    component: str
    error_type: str
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InvariantBroken(Event):
    """Record a broken promise found by a check inside the program."""

    error_type: str
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberChanged(Event):
    """Record another state of an entry host."""

    address: str
    incarnation: int
    state: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PhaseChanged(Event):
    """Record another phase of the life cycle."""

    phase: str
    cause: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetLeaving(Event):
    """Record the first sign that a target is leaving."""

    address: str
    incarnation: str
    source: str


def set_up() -> None:
    """Write JSON lines to standard error."""
    formatter = json_formatter.JsonFormatter(
        "%(levelname)s %(message)s",
        rename_fields={"levelname": "level", "message": "event"},
        timestamp="time",
    )
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(formatter)
    logging.set_verbosity(logging.INFO)
    # grpclib logs each broken connection with a trace of its own.
    standard_logging.getLogger("grpclib").setLevel(standard_logging.CRITICAL)


def info(event: Event) -> None:
    """Log something that operators may want to look up."""
    _write(standard_logging.INFO, event)


def warning(event: Event) -> None:
    """Log something that operators may have to act on."""
    _write(standard_logging.WARNING, event)


def error(event: Event) -> None:
    """Log something that must never happen."""
    _write(standard_logging.ERROR, event)


def _write(level: int, event: Event) -> None:
    name = _WORD_START.sub("_", type(event).__name__).lower()
    logging.get_absl_logger().log(level, name, extra=dataclasses.asdict(event))
