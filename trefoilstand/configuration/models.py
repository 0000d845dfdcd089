"""Schema of the operators' configuration."""

import dataclasses
import enum
import typing

import pydantic

from trefoilstand.configuration import const
from trefoilstand.settings import models as settings_models

_FORBID_UNKNOWN_KEYS: typing.Final = pydantic.ConfigDict(extra="forbid")
NameText = typing.Annotated[
    str, pydantic.Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")
]
Ratio = typing.Annotated[float, pydantic.Field(gt=0, lt=1)]


class Priority(enum.StrEnum):
    """Priority of a service when capacity is short."""

    CRITICAL = "critical"
    NORMAL = "normal"
    BACKGROUND = "background"


class TargetState(enum.StrEnum):
    """State of a target as set by operators."""

    ACTIVE = "active"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """Describe one target of a service.

    :param address: numeric address with port.
    :param failure_domain: failure domain of the target's host.
    :param slots: number of requests the target runs concurrently.
    :param state: whether the target may get new requests.
    """

    __pydantic_config__ = _FORBID_UNKNOWN_KEYS

    address: settings_models.AddressText
    failure_domain: typing.Annotated[str, pydantic.Field(min_length=1)]
    slots: typing.Annotated[int, pydantic.Field(ge=1, le=10_000)]
    state: TargetState = TargetState.ACTIVE


@dataclasses.dataclass(frozen=True, kw_only=True)
class Operation:
    """State whether requests of one method and path may be repeated.

    :param method: HTTP method.
    :param path: exact path, or a prefix that ends in `*`.
    :param repeatable: whether the operation is idempotent.
    """

    __pydantic_config__ = _FORBID_UNKNOWN_KEYS

    method: typing.Annotated[str, pydantic.Field(pattern=r"^[A-Z]{3,10}$")]
    path: typing.Annotated[str, pydantic.Field(pattern=r"^/[^*?#]*\*?$")]
    repeatable: bool

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request belongs to this operation."""
        if method != self.method:
            return False
        if self.path.endswith("*"):
            return path.startswith(self.path[:-1])
        return path == self.path


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnstartedReply:
    """Describe a reply that proves that the target ran nothing.

    :param status: HTTP status of the reply.
    :param header: header that the reply must carry.
    """

    __pydantic_config__ = _FORBID_UNKNOWN_KEYS

    status: typing.Annotated[int, pydantic.Field(ge=400, le=599)]
    header: typing.Annotated[str, pydantic.Field(min_length=1)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Objective:
    """Service-level objective set by operators.

    :param answered_ratio: share of calls that must be answered, 0 to 1.
    :param latency_ms: latency limit of responses in milliseconds.
    :param latency_ratio: share of responses that must meet the limit, 0 to 1.
    """

    __pydantic_config__ = _FORBID_UNKNOWN_KEYS

    answered_ratio: Ratio
    latency_ms: typing.Annotated[float, pydantic.Field(gt=0)]
    latency_ratio: Ratio


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """Describe one service.

    :param objective: service-level objective.
    :param targets: targets that run the service.
    :param deadline_ms: maximum duration of a call in milliseconds.
    :param depends_on: names of services that this one calls.
    :param operations: which requests may be repeated.
    :param priority: priority when capacity is short.
    :param retry_ratio: retries allowed as a share of calls.
    :param unstarted_replies: replies that prove that nothing ran.
    """

    __pydantic_config__ = _FORBID_UNKNOWN_KEYS

    objective: Objective
    targets: typing.Annotated[tuple[Target, ...], pydantic.Field(min_length=1)]
    deadline_ms: typing.Annotated[int, pydantic.Field(ge=1, le=600_000)] = (
        const.DEFAULT_DEADLINE_MS
    )
    depends_on: tuple[NameText, ...] = ()
    operations: tuple[Operation, ...] = ()
    priority: Priority = Priority.NORMAL
    retry_ratio: typing.Annotated[float, pydantic.Field(ge=0, le=1)] = (
        const.DEFAULT_RETRY_RATIO
    )
    unstarted_replies: tuple[UnstartedReply, ...] = ()

    def is_repeatable(self, method: str, path: str) -> bool:
        """Return whether a request may run more than once.

        The first operation that matches decides.  Without one, only
        methods that HTTP defines as safe may be repeated.
        """
        for operation in self.operations:
            if operation.matches(method, path):
                return operation.repeatable
        return method in const.REPEATABLE_METHODS


@dataclasses.dataclass(frozen=True, kw_only=True)
class MeasuringBudget:
    """Limit the probe traffic of all entry hosts together.

    :param fleet_probes_per_second: probes of the whole fleet.
    :param fleet_bytes_per_second: bytes of these probes, in both directions.
    :param target_probes_per_second: probes that one target receives.
    :param max_entry_processes: maximum number of entry processes,
        including those that are being replaced or are frozen.
    """

    __pydantic_config__ = _FORBID_UNKNOWN_KEYS

    fleet_probes_per_second: typing.Annotated[float, pydantic.Field(gt=0)]
    fleet_bytes_per_second: typing.Annotated[float, pydantic.Field(gt=0)]
    target_probes_per_second: typing.Annotated[float, pydantic.Field(gt=0)]
    max_entry_processes: typing.Annotated[
        int, pydantic.Field(ge=1, le=10_000)
    ] = const.DEFAULT_MAX_ENTRY_PROCESSES


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """Hold a validated configuration.

    :param format_version: version of this schema.
    :param measuring: probe budget.
    :param services: services by name.
    """

    __pydantic_config__ = _FORBID_UNKNOWN_KEYS

    format_version: typing.Literal[1]
    measuring: MeasuringBudget
    services: typing.Annotated[
        dict[NameText, Service], pydantic.Field(min_length=1)
    ]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionedConfiguration:
    """Pair a validated configuration with its version and source text.

    :param version: version given by the configuration service.
    :param digest: SHA-256 of the text, in hexadecimal.
    :param text: configuration text in TOML.
    :param content: the validated content.
    """

    version: int
    digest: str
    text: str
    content: Configuration
