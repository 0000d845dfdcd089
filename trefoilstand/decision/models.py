"""Data models of the decision engine."""

import dataclasses
import enum

from trefoilstand.configuration import models as configuration_models


class Outcome(enum.StrEnum):
    """State whether a call was answered, did not run, or is unknown."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Name the observation that proves an outcome."""

    ANSWER_CUT = "answer_cut"
    ANSWER_FOREIGN = "answer_foreign"
    ANSWER_TOO_LARGE = "answer_too_large"
    ANSWER_UNFRAMED = "answer_unframed"
    BODY_TOO_LARGE = "body_too_large"
    CALL_TOO_DEEP = "call_too_deep"
    CONFIGURATION_BEHIND = "configuration_behind"
    CONNECTION_REFUSED = "connection_refused"
    CONNECTION_RESET = "connection_reset"
    DEADLINE_BEFORE_SEND = "deadline_before_send"
    DEADLINE_AFTER_SEND = "deadline_after_send"
    MALFORMED_ANSWER = "malformed_answer"
    MALFORMED_REQUEST = "malformed_request"
    NO_TARGET = "no_target"
    NOT_READY = "not_ready"
    OWNER_LOST = "owner_lost"
    REPEAT_BLOCKED = "repeat_blocked"
    SHED_BY_TARGET = "shed_by_target"
    TARGETS_BUSY = "targets_busy"
    TICKET_EXPIRED = "ticket_expired"
    TICKET_IN_PROGRESS = "ticket_in_progress"
    TICKET_INVALID = "ticket_invalid"
    TICKET_REQUIRED = "ticket_required"
    TICKET_REUSED = "ticket_reused"
    TICKETS_FULL = "tickets_full"
    UNKNOWN_SERVICE = "unknown_service"
    WHOLE_ANSWER = "whole_answer"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClassifiedOutcome:
    """Pair an outcome with the observation that proves it."""

    outcome: Outcome
    reason: Reason


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Hold the load that a target reported.

    :param in_flight: requests that run or wait on the target.
    :param slots: requests that the target runs at the same time.
    :param observed_s: monotonic time when the report arrived, in seconds.
    """

    in_flight: int
    slots: int
    observed_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetEntity:
    """Identify one target of one service.

    :param service_name: service that the target belongs to.
    :param address: numeric address with port.
    :param failure_domain: failure domain of the target's host.
    :param slots: requests that the target runs at the same time.
    :param configured_leaving: True where the operators' text marks the
        target as leaving.
    """

    service_name: str
    address: str
    failure_domain: str
    slots: int
    configured_leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetHealth:
    """Hold the health of a target as observed from its recent responses.

    :param incarnation: identity of the target process, empty if unknown.
    :param incarnation_seen_s: monotonic time when the target last
        reported its incarnation, in seconds.
    :param latency_ms: smoothed response latency in milliseconds, None
        before the first response.
    :param consecutive_failures: failures since the last success.
    :param ejections: ejections since the last success.
    :param ejected_until_s: monotonic time until which the target is
        ejected, in seconds.
    :param report: latest load report, None before the first.
    """

    incarnation: str = ""
    incarnation_seen_s: float = 0.0
    latency_ms: float | None = None
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    report: LoadReport | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """Describe a target that a policy may choose now.

    :param target: the target.
    :param health: observed health of the target.
    :param own_in_flight: requests of this process that the target runs.
    :param oldest_age_ms: age of the oldest of these requests in
        milliseconds, 0 without any.
    """

    target: TargetEntity
    health: TargetHealth
    own_in_flight: int
    oldest_age_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """Identify one attempt of a call at one target.

    :param attempt_id: number unique in this process.
    :param target: the chosen target.
    :param started_s: monotonic time when the target was chosen, in
        seconds.
    """

    attempt_id: int
    target: TargetEntity
    started_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Explain why no target was chosen.

    :param reason: why no target was chosen.
    :param retry_after_ms: delay in milliseconds after which a retry may
        succeed.
    """

    reason: Reason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptResult:
    """Hold what was observed of one attempt.

    :param classified_outcome: outcome and the observation that proves it.
    :param latency_ms: time from the send to the end of the attempt in
        milliseconds.
    :param report: load report in the response, None without one.
    :param incarnation: target incarnation in the response, empty without
        one.
    :param is_leaving: True where the response says that the target is
        leaving.
    :param is_server_error: True for a complete response with a 5xx status.
    """

    classified_outcome: ClassifiedOutcome
    latency_ms: float
    report: LoadReport | None = None
    incarnation: str = ""
    is_leaving: bool = False
    is_server_error: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """Explain whether one target of a service is eligible right now.

    :param address: numeric address of the target with port.
    :param status: `eligible`, or why the target is not: `leaving`,
        `ejected` or `busy`.
    :param own_in_flight: requests of this process that the target runs.
    :param health: observed health of the target.
    """

    address: str
    status: str
    own_in_flight: int
    health: TargetHealth


Service = configuration_models.Service
