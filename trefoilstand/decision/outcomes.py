"""Judge what may be said of a call from what was observed."""

import dataclasses
import enum

from trefoilstand.decision import models


class Fault(enum.StrEnum):
    """Name the way in which an exchange with a target ended early."""

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
class Evidence:
    """Hold the observations of one exchange with a target.

    :param send_permitted: True once a byte may have left this process.
    :param fault: how the exchange ended early, None for a whole answer.
    :param is_framed: True where the answer states its own length.
    :param is_unstarted_reply: True where the target said it ran nothing.
    """

    send_permitted: bool
    fault: Fault | None
    is_framed: bool
    is_unstarted_reply: bool


_REASONS = {
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


def judge(evidence: Evidence) -> models.Judgement:
    """Return the strongest statement that the observations justify.

    Only two observations justify "not run": no byte was permitted to
    leave, or the whole reply of the target says that it ran nothing.
    """
    if evidence.fault is not None:
        return _judge_fault(evidence, evidence.fault)
    if evidence.is_unstarted_reply and evidence.is_framed:
        return models.Judgement(
            outcome=models.Outcome.NOT_RUN,
            reason=models.Reason.SHED_BY_TARGET,
        )
    if not evidence.is_framed:
        # An answer that ends with the connection cannot be told from one
        # that was cut.
        return models.Judgement(
            outcome=models.Outcome.UNKNOWN,
            reason=models.Reason.ANSWER_UNFRAMED,
        )
    return models.Judgement(
        outcome=models.Outcome.ANSWERED,
        reason=models.Reason.WHOLE_ANSWER,
    )


def _judge_fault(evidence: Evidence, fault: Fault) -> models.Judgement:
    reason = _REASONS[fault]
    if evidence.send_permitted:
        return models.Judgement(outcome=models.Outcome.UNKNOWN, reason=reason)
    if reason is models.Reason.DEADLINE_AFTER_SEND:
        reason = models.Reason.DEADLINE_BEFORE_SEND
    return models.Judgement(outcome=models.Outcome.NOT_RUN, reason=reason)
