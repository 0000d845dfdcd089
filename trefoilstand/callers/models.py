"""Calls of callers and their results."""

import dataclasses

from trefoilstand.decision import models as decision_models

HeaderFields = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """Hold one call of a caller.

    :param request_id: ID that the caller or this host assigned to it.
    :param service: name of the called service.
    :param method: HTTP method.
    :param path: path and query within the service.
    :param headers: end-to-end header fields.
    :param body: complete body.
    :param arrived_s: monotonic time of arrival, in seconds.
    :param deadline_ms: time until the caller's deadline at arrival, in
        milliseconds, None if the caller set none.
    :param depth: number of calls above this one in the call chain.
    :param ticket: signed text of the ticket, empty without one.
    :param minimum_version: newest configuration version that the caller has
        seen; the call is not run under an older one.
    :param retries_left: retries that the calls above still allow, None if
        they set no limit.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: HeaderFields
    body: bytes
    arrived_s: float
    deadline_ms: int | None = None
    depth: int = 0
    ticket: str = ""
    minimum_version: int = 0
    retries_left: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallResult:
    """Hold the result of one call.

    :param classified_outcome: outcome and the reason for it.
    :param status: HTTP status of the target, 0 without a response.
    :param headers: end-to-end header fields of the response.
    :param body: complete body of the response.
    :param retry_after_ms: time after which a retry may succeed, in
        milliseconds, 0 if unknown.
    :param attempts: number of attempts made.
    :param target: target address of the last attempt, empty without one.
    :param is_repeatable: True if the call is idempotent and may run more
        than once.
    :param next_ticket: unused ticket for a retry, empty without one.
    """

    classified_outcome: decision_models.ClassifiedOutcome
    status: int = 0
    headers: HeaderFields = ()
    body: bytes = b""
    retry_after_ms: int = 0
    attempts: int = 0
    target: str = ""
    is_repeatable: bool = True
    next_ticket: str = ""

    @property
    def is_answered(self) -> bool:
        """Return whether the complete response was received."""
        return (
            self.classified_outcome.outcome is decision_models.Outcome.ANSWERED
        )


def not_run_result(
    reason: decision_models.Reason, *, retry_after_ms: int = 0
) -> CallResult:
    """Return the result of a call of which no part has run.

    :param reason: why the call was not run.
    :param retry_after_ms: time after which a retry may succeed, in
        milliseconds, 0 if unknown.
    """
    return CallResult(
        classified_outcome=decision_models.ClassifiedOutcome(
            outcome=decision_models.Outcome.NOT_RUN, reason=reason
        ),
        retry_after_ms=retry_after_ms,
    )


def unknown_result(reason: decision_models.Reason) -> CallResult:
    """Return the result of a call that may or may not have run.

    :param reason: why it is unknown whether the call has run.
    """
    return CallResult(
        classified_outcome=decision_models.ClassifiedOutcome(
            outcome=decision_models.Outcome.UNKNOWN, reason=reason
        )
    )
