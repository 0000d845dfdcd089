"""Calls as they come from callers and as they end."""

import dataclasses

from trefoilstand.decision import models as decision_models

HeaderFields = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """Hold one call of a caller.

    :param request_id: identity that the caller or this host gave it.
    :param service: name of the service asked for.
    :param method: HTTP method.
    :param path: path with query inside the service.
    :param headers: end-to-end header fields.
    :param body: whole body.
    :param arrived_s: monotonic time of arrival.
    :param deadline_ms: time left when it arrived, None if not stated.
    :param depth: calls above this one.
    :param ticket: ticket as text, empty without one.
    :param minimum_version: configuration version that the caller has seen.
    :param retries_left: retries that the calls above leave, None if they
        set no limit.
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
class CallEnd:
    """Hold the end of one call.

    :param classified_outcome: outcome and the observation behind it.
    :param status: HTTP status of the target, 0 without an answer.
    :param headers: end-to-end header fields of the answer.
    :param body: whole body of the answer.
    :param retry_after_ms: when another try may help, 0 if unknown.
    :param attempts: attempts that were made.
    :param target: address of the last attempt, empty without one.
    :param is_repeatable: True where the call may run more than once.
    :param next_ticket: fresh ticket for another try, empty without one.
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
        """Return whether the whole answer is here."""
        return (
            self.classified_outcome.outcome is decision_models.Outcome.ANSWERED
        )


def not_run(
    reason: decision_models.Reason, *, retry_after_ms: int = 0
) -> CallEnd:
    """Return the end of a call of which no part has run."""
    return CallEnd(
        classified_outcome=decision_models.ClassifiedOutcome(
            outcome=decision_models.Outcome.NOT_RUN, reason=reason
        ),
        retry_after_ms=retry_after_ms,
    )


def unknown(reason: decision_models.Reason) -> CallEnd:
    """Return the end of a call that may or may not have run."""
    return CallEnd(
        classified_outcome=decision_models.ClassifiedOutcome(
            outcome=decision_models.Outcome.UNKNOWN, reason=reason
        )
    )
