"""One request on its way: what it asks for and what became of it."""

import dataclasses

from trefoilstand.gateway import models
from trefoilstand.http import models as http_models

_FIRST_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnd:
    """Hold the end of one attempt.

    :param outcome: what is known of it.
    :param target_id: target, empty where none was found.
    :param response: genuine answer of the target, if any.
    :param refusal: why nothing was sent, if nothing was.
    """

    outcome: models.Outcome
    target_id: str = ""
    response: http_models.Response | None = None
    refusal: models.Refusal | None = None

    @property
    def is_proved(self) -> bool:
        """Return whether the request certainly did not run."""
        return self.outcome in (
            models.Outcome.NOT_EXECUTED,
            models.Outcome.MISDIRECTED,
        )

    @property
    def is_good(self) -> bool:
        """Return whether a caller is best served with this answer."""
        return (
            self.response is not None
            and self.response.status < _FIRST_SERVER_ERROR
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """Collect what happens to one request.

    :param request: what the caller sent.
    :param route: route that it took.
    :param service: service that is to run it.
    :param latest_s: monotonic time after which nobody waits for it.
    :param waited_s: time that the caller spent in earlier sends.
    :param tried: failure domains of the targets that it was sent to.
    :param attempts: attempts begun.
    :param may_have_run: whether any send may have been run.
    :param predicted_s: expected duration of the first send.
    :param sent_s: monotonic time of the first send, 0 before it.
    :param report: load report behind the first choice.
    :param report_age_s: age of that report.
    :param fallback: genuine failure of a target, passed on if no other
        attempt is better.
    :param last_refusal: why the last attempt was not sent.
    :param last_outcome: outcome of the last attempt.
    :param final_reason: why there was no further attempt, empty after a
        good answer.
    """

    request: http_models.Request
    route: models.Route
    service: str
    latest_s: float
    waited_s: float
    tried: dict[str, str] = dataclasses.field(default_factory=dict)
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
        """Return the time up to which an answer meets the objective."""
        return self.request.arrived_s + self.route.objective_s - self.waited_s

    def note(self, end: AttemptEnd) -> None:
        """Remember why an attempt did not serve the caller."""
        self.last_outcome = end.outcome
        if end.refusal is not None:
            self.last_refusal = end.refusal
            self.final_reason = end.refusal
        elif end.is_proved:
            self.last_refusal = models.Refusal.SHED
        if end.response is not None:
            self.fallback = end.response
