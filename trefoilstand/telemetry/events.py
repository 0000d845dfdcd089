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
class ProcessStarted(Event):
    """Record the start of a process."""

    host: str
    failure_domain: str
    process_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProcessStopped(Event):
    """Record the end of a process."""

    cause: str
    requests_cut: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProcessPaused(Event):
    """Record that the process stood still."""

    gap_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettingsReloaded(Event):
    """Record that the settings file was read again."""

    cause: str
    is_changed: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DependencyLost(Event):
    """Record that something this process needs stopped answering."""

    dependency: str
    error_type: str
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DependencyRegained(Event):
    """Record that a lost dependency answers again."""

    dependency: str
    failures: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreHistoryLost(Event):
    """Record that the store forgot the changes since a revision."""

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncFailed(Event):
    """Record that state could not be fetched from a peer."""

    peer: str
    error_type: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryDropped(Event):
    """Record an entry of the store that names no usable target."""

    key: str
    cause: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetRemoved(Event):
    """Record that a target gets no new work any more."""

    target: str
    service: str
    is_draining: bool
    in_flight: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestRejected(Event):
    """Record a request that was rejected before a target was chosen."""

    request_id: str
    reason: str
    status: int
    configuration_version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestEnded(Event):
    """Record the end of one request and the inputs of its routing."""

    request_id: str
    route: str
    service: str
    configuration_version: int
    targets: str
    failure_domains: str
    attempts: int
    outcome: str
    reason: str
    status: int
    predicted_ms: float
    load: str
    report_age_ms: float | None
    latency_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetLeaving(Event):
    """Record the first sign that a target is leaving."""

    address: str
    incarnation: str
    source: str


_names: dict[type[Event], str] = {}


def set_up(handler: standard_logging.Handler | None = None) -> None:
    """Write JSON lines.

    :param handler: where to, standard error without one.
    """
    formatter = json_formatter.JsonFormatter(
        "%(levelname)s %(message)s",
        rename_fields={"levelname": "level", "message": "event"},
        timestamp="time",
    )
    if handler is None:
        logging.use_absl_handler()
        handler = logging.get_absl_handler()
    else:
        logger = logging.get_absl_logger()
        logger.propagate = False
        logger.handlers = [handler]
    handler.setFormatter(formatter)
    logging.set_verbosity(logging.INFO)
    # grpclib logs each broken connection with a trace of its own.
    standard_logging.getLogger("grpclib").setLevel(standard_logging.CRITICAL)


def flush() -> None:
    """Write the lines that a handler has collected."""
    for handler in logging.get_absl_logger().handlers:
        handler.flush()


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
    kind = type(event)
    name = _names.get(kind)
    if name is None:
        name = _WORD_START.sub("_", kind.__name__).lower()
        _names[kind] = name
    # Fields are flat, so a deep copy as by dataclasses.asdict is not needed.
    fields = {key: getattr(event, key) for key in kind.__dataclass_fields__}
    logging.get_absl_logger().log(level, name, extra=fields)
