"""Entities and results of the decisions."""

import dataclasses
import enum

from trefoilstand.configuration import models as configuration_models


class Outcome(enum.StrEnum):
    """State what may be said of one call."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Name the observation that justifies an outcome."""

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
class Judgement:
    """Pair an outcome with the observation that justifies it."""

    outcome: Outcome
    reason: Reason


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Hold the load that a target stated.

    :param in_flight: requests that run or wait on the target.
    :param slots: requests that the target runs at the same time.
    :param observed_s: monotonic time when the statement arrived.
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
    :param configured_leaving: True where the operators' text says so.
    """

    service_name: str
    address: str
    failure_domain: str
    slots: int
    configured_leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetHealth:
    """Hold what is known of a target's recent behaviour.

    :param incarnation: identity of the target process, empty if unknown.
    :param incarnation_seen_s: monotonic time when it was stated last.
    :param latency_ms: smoothed latency of answers, None before the first.
    :param consecutive_failures: failures since the last success.
    :param ejections: ejections since the last success.
    :param ejected_until_s: monotonic time until which it is set aside.
    :param report: latest statement of load.
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
    """Describe a target that may be chosen now.

    :param target: the target.
    :param health: its recent behaviour.
    :param own_in_flight: requests of this process that run there.
    :param oldest_age_ms: age of the oldest of these requests.
    """

    target: TargetEntity
    health: TargetHealth
    own_in_flight: int
    oldest_age_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """Identify one permitted try of a call at one target.

    :param attempt_id: number unique in this process.
    :param target: the chosen target.
    :param started_s: monotonic time of the decision.
    """

    attempt_id: int
    target: TargetEntity
    started_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Explain why no target was chosen.

    :param reason: observation behind the refusal.
    :param retry_after_ms: when another try may help.
    """

    reason: Reason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptResult:
    """Hold what was observed of one attempt.

    :param judgement: outcome and the observation behind it.
    :param latency_ms: time from send to the end.
    :param report: load that the answer carried.
    :param incarnation: identity that the answer carried.
    :param is_leaving: True where the answer said that the target leaves.
    :param is_server_error: True where a whole answer tells of a failure.
    """

    judgement: Judgement
    latency_ms: float
    report: LoadReport | None = None
    incarnation: str = ""
    is_leaving: bool = False
    is_server_error: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """Show how each target of a service stands right now.

    :param address: target.
    :param status: `eligible`, or why it is set aside.
    :param own_in_flight: requests of this process that run there.
    :param health: its recent behaviour.
    """

    address: str
    status: str
    own_in_flight: int
    health: TargetHealth


Service = configuration_models.Service
