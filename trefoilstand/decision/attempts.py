"""Allow further attempts of one call only where they are safe."""

from trefoilstand import exceptions
from trefoilstand.decision import models


class RepeatedRunError(exceptions.InvariantError):
    """Represent a second send of non-idempotent work that may have run."""


class CallAttempts:
    """Record the attempts of one call and check each further attempt.

    :param is_repeatable: True where the call may run more than once.
    """

    def __init__(self, *, is_repeatable: bool) -> None:
        self._is_repeatable = is_repeatable
        self._has_attempt_in_progress = False
        self._classified_outcomes: list[models.ClassifiedOutcome] = []

    @property
    def count(self) -> int:
        """Return how many attempts have finished."""
        return len(self._classified_outcomes)

    def may_attempt(self) -> bool:
        """Return whether a further attempt is safe."""
        if self._is_repeatable:
            return True
        return not self._has_attempt_in_progress and all(
            classified_outcome.outcome is models.Outcome.NOT_RUN
            for classified_outcome in self._classified_outcomes
        )

    def start(self) -> None:
        """Start an attempt.

        :raises RepeatedRunError: the call is not idempotent and an
            earlier attempt may have run.
        """
        if not self.may_attempt():
            raise RepeatedRunError(
                "cannot start another attempt of a non-idempotent call: "
                "an earlier attempt may have run"
            )
        self._has_attempt_in_progress = True

    def finish(self, classified_outcome: models.ClassifiedOutcome) -> None:
        """Finish the attempt in progress and record its outcome.

        :param classified_outcome: outcome of the attempt.
        """
        self._has_attempt_in_progress = False
        self._classified_outcomes.append(classified_outcome)

    def classify_call(self) -> models.ClassifiedOutcome:
        """Return the outcome of the whole call.

        An attempt with an unknown outcome takes precedence over later
        attempts that did not run, since the call as a whole may have run.
        """
        for classified_outcome in reversed(self._classified_outcomes):
            if classified_outcome.outcome is models.Outcome.ANSWERED:
                return classified_outcome
        for classified_outcome in reversed(self._classified_outcomes):
            if classified_outcome.outcome is models.Outcome.UNKNOWN:
                return classified_outcome
        return self._classified_outcomes[-1]
