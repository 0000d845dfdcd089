"""State of one request while it is forwarded, and of its attempts."""

import dataclasses

from trefoilstand.gateway import models
from trefoilstand.http import models as http_models

_FIRST_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptResult:
    """Hold the result of one attempt.

    :param outcome: what is known about its execution.
    :param target_id: target it was sent to, empty if it was not sent.
    :param response: response made by the target itself, if any.
    :param refusal: why the attempt was not sent, None if it was.
    :param is_hedge: whether it was a hedge within the operators' limit.
    :param is_abandoned: whether it was a hedge that was not sent.
    """

    outcome: models.Outcome
    target_id: str = ""
    response: http_models.Response | None = None
    refusal: models.Refusal | None = None
    is_hedge: bool = False
    is_abandoned: bool = False

    @property
    def is_known_not_executed(self) -> bool:
        """Return whether the target is known not to have run the request."""
        return self.outcome in (
            models.Outcome.NOT_EXECUTED,
            models.Outcome.MISDIRECTED,
        )

    @property
    def is_success(self) -> bool:
        """Return whether a response below status 500 was received."""
        return (
            self.response is not None
            and self.response.status < _FIRST_SERVER_ERROR
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """Hold one request and the state of its attempts.

    :param request: request as received from the caller.
    :param route: route that matches it.
    :param service: service chosen to run it.
    :param deadline_s: monotonic time after which the caller no longer waits.
    :param waited_s: estimated seconds that the caller spent on earlier sends
        that were rejected.
    :param tried_targets: failure domain of each target that it was sent to,
        by target id.
    :param attempts: number of attempts started.
    :param may_have_run: whether a target may have run it.
    :param predicted_s: predicted duration of the first attempt in seconds.
    :param sent_s: monotonic time of the first send, 0 before it.
    :param report: load report that the first target was chosen by.
    :param report_age_s: age of that report in seconds.
    :param fallback: error response made by a target, returned to the caller
        if no further attempt succeeds.
    :param last_refusal: why the request was last refused.
    :param last_outcome: outcome of the last attempt.
    :param final_reason: why there was no further attempt, empty after a
        success.
    """

    request: http_models.Request
    route: models.Route
    service: str
    deadline_s: float
    waited_s: float
    tried_targets: dict[str, str] = dataclasses.field(default_factory=dict)
    attempts: int = 0
    may_have_run: bool = False
    predicted_s: float = 0.0
    sent_s: float = 0.0
    report: models.LoadReport | None = None
    report_age_s: float | None = None
    fallback: http_models.Response | None = None
    last_refusal: models.Refusal = models.Refusal.NO_TARGET
    last_outcome: str = ""
    final_reason: str = ""

    @property
    def due_s(self) -> float:
        """Return the monotonic time by which the objective is met."""
        return self.request.arrived_s + self.route.objective_s - self.waited_s

    def record_unsuccessful(self, result: AttemptResult) -> None:
        """Record an attempt that did not succeed.

        :param result: its result; an error response becomes the fallback.
        """
        self.last_outcome = result.outcome
        if result.refusal is not None:
            self.last_refusal = result.refusal
            self.final_reason = result.refusal
        elif result.is_known_not_executed:
            self.last_refusal = models.Refusal.SHED
        if result.response is not None:
            self.fallback = result.response
