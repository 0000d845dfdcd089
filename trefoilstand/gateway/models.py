"""Entities of the gateway: routes, targets and what is known of them."""

import dataclasses
import enum

from trefoilstand.http import server


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """Name one part of a route's traffic.

    :param service: name of the service.
    :param weight: share relative to the other parts.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Describe which requests go to which services.

    :param name: key of the route.
    :param host: host name in lower case.
    :param prefix: path prefix, with a slash at both ends.
    :param is_idempotent: whether a request may run more than once.
    :param timeout_s: longest time that a caller is kept waiting.
    :param objective_s: latency that the operators aim at.
    :param max_attempts: most targets that one request is sent to.
    :param priority: rank under pressure, 0 being the most urgent.
    :param parts: services with their weights.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    parts: tuple[WeightedService, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServicePolicy:
    """Describe how the targets of a service are spoken to.

    :param name: name of the service.
    :param health_path: path of the health check.
    :param max_connections: connections that a target takes from all.
    """

    name: str
    health_path: str
    max_connections: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GatewayConfiguration:
    """Hold one whole version of the operators' configuration.

    :param version: number that grows with each change.
    :param routes: routes by name.
    :param services: policies by name of the service.
    :param limits: what callers may send.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, ServicePolicy]
    limits: server.Limits


class TargetState(enum.StrEnum):
    """What a target says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetRecord:
    """Describe one registered target.

    :param target_id: identity of its process.
    :param incarnation: distinguishes starts under one identity.
    :param service: service that it runs.
    :param ip: IP number.
    :param port: TCP port.
    :param failure_domain: failure domain of its host.
    :param slots: requests that it runs at the same time.
    :param state: whether it takes new work.
    :param warmup_left_s: how long it stays slow after its start.
    """

    target_id: str
    incarnation: int
    service: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    state: TargetState
    warmup_left_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Hold what a target said of its load at one moment.

    :param running: requests in its slots.
    :param waiting: requests in its queue.
    :param slots: size of its slots.
    :param slowdown: factor on the usual working time, 1 being usual.
    :param observed_s: monotonic time of the observation.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float
    observed_s: float


class Refusal(enum.StrEnum):
    """Why a request was not sent to any target."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_TARGET = "no_target"
    NO_ANSWER = "no_answer"
    OVERLOADED = "overloaded"
    SHED = "shed"
    DEADLINE_PASSED = "deadline_passed"
    NOT_SERVING = "not_serving"


class Outcome(enum.StrEnum):
    """What became of one attempt at a target.

    ``NOT_EXECUTED`` is proved: nothing was sent, or the target said so.
    """

    ANSWERED = "answered"
    NOT_EXECUTED = "not_executed"
    MISDIRECTED = "misdirected"
    UNKNOWN = "unknown"
    TIMED_OUT = "timed_out"


class FinalReason(enum.StrEnum):
    """Why a request that failed was not sent again."""

    NOT_IDEMPOTENT = "not_idempotent"
    ATTEMPTS_SPENT = "attempts_spent"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    TIME_SPENT = "time_spent"
