"""Routes, targets, load reports and outcomes of the gateway."""

import dataclasses
import enum

from trefoilstand.http import handling


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """Assign a weight in a traffic split to a service.

    :param service: name of the service.
    :param weight: share relative to the other services of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Describe which requests go to which services, and how.

    :param name: key of the route.
    :param host: host name in lower case.
    :param prefix: path prefix, with a slash at both ends.
    :param is_idempotent: whether a request may run more than once.
    :param timeout_s: longest time that a caller is kept waiting, in seconds.
    :param objective_s: latency objective in seconds.
    :param max_attempts: most times that one request is sent to a target.
    :param priority: rank in the request queue, 0 being the most urgent.
    :param weighted_services: services of the traffic split.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    weighted_services: tuple[WeightedService, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServicePolicy:
    """Describe how the targets of a service are probed and connected to.

    :param name: name of the service.
    :param health_path: path of the health check.
    :param max_connections: connections that a target accepts from all
        entry hosts together, None if it states no number.
    :param warmup_s: seconds for which a target is cold after its start.
    :param warmup_requests_per_s: requests a second that a cold target accepts
        from all entry hosts together, None if there is no limit.
    """

    name: str
    health_path: str
    max_connections: int | None
    warmup_s: float = 0.0
    warmup_requests_per_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GatewayConfiguration:
    """Hold one version of the operators' configuration.

    :param version: number that increases with each change.
    :param routes: routes by name.
    :param services: policies by name of the service.
    :param limits: size and time limits on callers' requests.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, ServicePolicy]
    limits: handling.Limits


class TargetState(enum.StrEnum):
    """State in which a target registered itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetRecord:
    """Describe one registered target.

    :param target_id: id of the target.
    :param incarnation: number that distinguishes starts under one id.
    :param service: service that it runs.
    :param ip: IP address.
    :param port: TCP port.
    :param failure_domain: failure domain of its host.
    :param slots: number of requests that it runs concurrently.
    :param state: whether it accepts new requests.
    :param warmup_left_s: seconds until it is no longer slow after its start.
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
    """Hold the load that a target reported at one moment.

    :param running: number of requests in its slots.
    :param waiting: number of requests in its queue.
    :param slots: number of its slots.
    :param slowdown: factor on the usual service time, 1 being usual.
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
    RATE_LIMITED = "rate_limited"
    SHED = "shed"
    DEADLINE_PASSED = "deadline_passed"
    NOT_SERVING = "not_serving"


class Outcome(enum.StrEnum):
    """Outcome of one attempt to have a target run a request.

    ``NOT_EXECUTED`` is certain: nothing was sent, or the target said so.
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
