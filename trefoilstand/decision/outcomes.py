"""Classify the outcome of a call from the observations of its exchange."""

import dataclasses
import enum

from trefoilstand.decision import models


class Fault(enum.StrEnum):
    """Name how an exchange with a target failed."""

    ABORTED_LATE = "aborted_late"
    ABORTED_REPEAT = "aborted_repeat"
    ANSWER_CUT = "answer_cut"
    ANSWER_FOREIGN = "answer_foreign"
    ANSWER_TOO_LARGE = "answer_too_large"
    CONNECTION_REFUSED = "connection_refused"
    CONNECTION_RESET = "connection_reset"
    MALFORMED_ANSWER = "malformed_answer"
    TIMED_OUT = "timed_out"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeObservations:
    """Hold the observations of one exchange with a target.

    :param send_permitted: True once a byte may have left this process.
    :param fault: how the exchange failed, None for a complete response.
    :param is_framed: True where the response states its own length.
    :param is_unstarted_reply: True where the response says that the
        target did not start the request.
    """

    send_permitted: bool
    fault: Fault | None
    is_framed: bool
    is_unstarted_reply: bool


_REASONS_BY_FAULT = {
    Fault.ABORTED_LATE: models.Reason.DEADLINE_BEFORE_SEND,
    Fault.ABORTED_REPEAT: models.Reason.REPEAT_BLOCKED,
    Fault.ANSWER_CUT: models.Reason.ANSWER_CUT,
    Fault.ANSWER_FOREIGN: models.Reason.ANSWER_FOREIGN,
    Fault.ANSWER_TOO_LARGE: models.Reason.ANSWER_TOO_LARGE,
    Fault.CONNECTION_REFUSED: models.Reason.CONNECTION_REFUSED,
    Fault.CONNECTION_RESET: models.Reason.CONNECTION_RESET,
    Fault.MALFORMED_ANSWER: models.Reason.MALFORMED_ANSWER,
    Fault.TIMED_OUT: models.Reason.DEADLINE_AFTER_SEND,
}


def classify(observations: ExchangeObservations) -> models.ClassifiedOutcome:
    """Return the most specific outcome that the observations prove.

    Only two observations prove "not run": no byte was permitted to leave
    this process, or a complete response of the target says that it did
    not start the request.

    :param observations: what was observed of the exchange.
    :returns: the outcome and the observation that proves it.
    """
    if observations.fault is not None:
        return _classify_fault(observations, observations.fault)
    if observations.is_unstarted_reply and observations.is_framed:
        return models.ClassifiedOutcome(
            outcome=models.Outcome.NOT_RUN,
            reason=models.Reason.SHED_BY_TARGET,
        )
    if not observations.is_framed:
        # A response that ends when the connection closes cannot be told
        # from a truncated one.
        return models.ClassifiedOutcome(
            outcome=models.Outcome.UNKNOWN,
            reason=models.Reason.ANSWER_UNFRAMED,
        )
    return models.ClassifiedOutcome(
        outcome=models.Outcome.ANSWERED,
        reason=models.Reason.WHOLE_ANSWER,
    )


def _classify_fault(
    observations: ExchangeObservations, fault: Fault
) -> models.ClassifiedOutcome:
    reason = _REASONS_BY_FAULT[fault]
    if observations.send_permitted:
        return models.ClassifiedOutcome(
            outcome=models.Outcome.UNKNOWN, reason=reason
        )
    if reason is models.Reason.DEADLINE_AFTER_SEND:
        reason = models.Reason.DEADLINE_BEFORE_SEND
    return models.ClassifiedOutcome(
        outcome=models.Outcome.NOT_RUN, reason=reason
    )
