"""Guard how often one call may be sent."""

from trefoilstand import exceptions
from trefoilstand.decision import models


class RepeatedRunError(exceptions.InvariantError):
    """Represent a second send of work that may have run already."""


class CallAttempts:
    """Record the attempts of one call and check each further one.

    :param is_repeatable: True where the call may run more than once.
    """

    def __init__(self, *, is_repeatable: bool) -> None:
        self._is_repeatable = is_repeatable
        self._is_open = False
        self._judgements: list[models.Judgement] = []

    @property
    def count(self) -> int:
        """Return how many attempts have ended."""
        return len(self._judgements)

    def may_attempt(self) -> bool:
        """Return whether a further attempt is safe."""
        if self._is_repeatable:
            return True
        return not self._is_open and all(
            judgement.outcome is models.Outcome.NOT_RUN
            for judgement in self._judgements
        )

    def start(self) -> None:
        """Open an attempt.

        :raises RepeatedRunError: an earlier attempt may have run.
        """
        if not self.may_attempt():
            raise RepeatedRunError(
                "an earlier attempt of non-idempotent work may have run"
            )
        self._is_open = True

    def finish(self, judgement: models.Judgement) -> None:
        """Close the open attempt."""
        self._is_open = False
        self._judgements.append(judgement)

    def conclude(self) -> models.Judgement:
        """Return what may be said of the whole call.

        An attempt whose end is unknown outweighs later ones that ran
        nothing, since the call as a whole may have run.
        """
        for judgement in reversed(self._judgements):
            if judgement.outcome is models.Outcome.ANSWERED:
                return judgement
        for judgement in reversed(self._judgements):
            if judgement.outcome is models.Outcome.UNKNOWN:
                return judgement
        return self._judgements[-1]
