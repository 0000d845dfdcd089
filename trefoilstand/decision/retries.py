"""Limit the retries of a service to a ratio of its calls."""

from trefoilstand.decision import const


class RetryBudget:
    """Hold a retry balance that grows by a fraction of a retry per call.

    The balance is capped, so that unused retries allow only a short burst.

    :param ratio: retries allowed per call.
    """

    def __init__(self, *, ratio: float) -> None:
        self._ratio = ratio
        self._balance_retries = const.RETRY_BUDGET_BURST

    def record_call(self) -> None:
        """Add the fraction of a retry that one call allows."""
        self._balance_retries = min(
            self._balance_retries + self._ratio, const.RETRY_BUDGET_BURST
        )

    def try_spend(self) -> bool:
        """Spend one retry and return whether the balance allowed it."""
        if self._balance_retries < 1.0:
            return False
        self._balance_retries -= 1.0
        return True
