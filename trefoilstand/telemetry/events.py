"""Events that are logged as JSON lines, one class per event.

The logging libraries are imported when logging is configured.  A process may
do that after it has begun to serve; events are kept until then.
"""

import collections
import dataclasses
import importlib
import logging as standard_logging
import re
import time
import typing

#: Events kept until logging is configured; later ones are dropped.
_MAX_PENDING_EVENTS: typing.Final = 1000
_WORD_START: typing.Final = re.compile(r"(?<!^)(?=[A-Z])")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """Base class of all logged events."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallEnded(Event):
    """A call ended; records its routing decisions."""

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
    """Record that a configuration text failed validation."""

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
class CallerStalled(Event):
    """Record that a caller was cut off as it did not read its response."""

    unsent_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ComponentFailed(Event):
    """Record an error that a background component survived."""

    component: str
    error_type: str
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InputFragmented(Event):
    """Record that a connection sends messages in many small parts."""

    peer: str
    size_bytes: int
    parts: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InputRefused(Event):
    """Record that a partly received request was refused before it ran."""

    peer: str
    status: int
    received_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InvariantBroken(Event):
    """Record that an internal consistency check failed."""

    error_type: str
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberChanged(Event):
    """Record a state change of an entry host."""

    address: str
    incarnation: int
    state: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PhaseChanged(Event):
    """Record a phase change of the life cycle."""

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
    responses_cut: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProcessPaused(Event):
    """Record that the process did not run for some time."""

    gap_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettingsReloaded(Event):
    """Record that the settings file was reloaded."""

    cause: str
    is_changed: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DependencyLost(Event):
    """Record that a dependency of this process stopped responding."""

    dependency: str
    error_type: str
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DependencyRegained(Event):
    """Record that a lost dependency responds again."""

    dependency: str
    failures: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreHistoryLost(Event):
    """Record that the store discarded the changes since a revision."""

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreRestored(Event):
    """Record that the store came back from an older copy."""

    previous_era: int
    era: int
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
    """Record that a target no longer gets new requests."""

    target: str
    service: str
    is_draining: bool
    in_flight: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DomainEvacuated(Event):
    """Record that the targets of a failure domain get no more requests."""

    failure_domain: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DomainRestored(Event):
    """Record that the evacuation of a failure domain has ended."""

    failure_domain: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetRetained(Event):
    """Record that a target stays in use although its entry disappeared."""

    target: str
    service: str
    cause: str
    retained_s: float


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
class ResponseLimitExceeded(Event):
    """Record that a server sent more than a response may hold."""

    peer: str
    limit: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetLimitChanged(Event):
    """Record that a target states another request limit, or none."""

    target: str
    requests_per_s: float | None
    previous_per_s: float | None
    source: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetLeaving(Event):
    """Record the first sign that a target is leaving."""

    address: str
    incarnation: str
    source: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetLeaveNoticed(Event):
    """Record which source first told that a process of a target leaves."""

    target: str
    incarnation: int
    source: str
    age_s: float


_names: dict[type[Event], str] = {}
_pending: collections.deque[tuple[int, Event, float]] = collections.deque()
_logger: standard_logging.Logger | None = None


def import_libraries() -> None:
    """Import what :func:`configure_logging` needs, which takes some time."""
    importlib.import_module("absl.logging")
    importlib.import_module("pythonjsonlogger.json")


def configure_logging(handler: standard_logging.Handler | None = None) -> None:
    """Configure logging of JSON lines.

    :param handler: log handler; the default writes to standard error.
    """
    from absl import logging
    from pythonjsonlogger import json as json_formatter

    global _logger
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
    _logger = logging.get_absl_logger()
    while _pending:
        _handle(_logger, *_pending.popleft())
    # grpclib logs each broken connection with its own traceback.
    standard_logging.getLogger("grpclib").setLevel(standard_logging.CRITICAL)


def flush() -> None:
    """Flush the buffered lines of all handlers."""
    if _logger is None:
        return
    for handler in _logger.handlers:
        handler.flush()


def info(event: Event) -> None:
    """Log an event at level INFO."""
    _write(standard_logging.INFO, event)


def warning(event: Event) -> None:
    """Log an event that operators may have to act on."""
    _write(standard_logging.WARNING, event)


def error(event: Event) -> None:
    """Log an event that indicates a defect."""
    _write(standard_logging.ERROR, event)


def _write(level: int, event: Event) -> None:
    now_s = time.time()
    if _logger is not None:
        _handle(_logger, level, event, now_s)
    elif len(_pending) < _MAX_PENDING_EVENTS:
        _pending.append((level, event, now_s))


def _handle(
    logger: standard_logging.Logger, level: int, event: Event, created_s: float
) -> None:
    if not logger.isEnabledFor(level):
        return
    event_type = type(event)
    name = _names.get(event_type)
    if name is None:
        name = _WORD_START.sub("_", event_type.__name__).lower()
        _names[event_type] = name
    record = standard_logging.makeLogRecord(
        {
            "name": logger.name,
            "levelno": level,
            "levelname": standard_logging.getLevelName(level),
            "msg": name,
            "created": created_s,
        }
    )
    # Fields are flat, so a deep copy as by dataclasses.asdict is not needed.
    for key in event_type.__dataclass_fields__:
        setattr(record, key, getattr(event, key))
    logger.handle(record)
