"""Limit retries to a share of calls."""

from trefoilstand.decision import const


class RetryBudget:
    """Earn a fraction of a retry with each call.

    :param ratio: retries allowed as a share of calls.
    """

    def __init__(self, *, ratio: float) -> None:
        self._ratio = ratio
        self._balance = const.RETRY_BUDGET_BURST

    def record_call(self) -> None:
        """Earn the share of one call."""
        self._balance = min(
            self._balance + self._ratio, const.RETRY_BUDGET_BURST
        )

    def take(self) -> bool:
        """Spend one retry and return whether there was one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
