"""Decide whether a request may be sent again, as a retry or as a hedge."""

from trefoilstand.gateway import calls
from trefoilstand.gateway import const
from trefoilstand.gateway import models
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import state
from trefoilstand.util import clock as clocks


class RepeatLimiter:
    """Keep the attempts of requests and the retry budget of each service.

    :param gateway_state: limits of the budget and the number of hosts.
    :param clock: monotonic clock.
    """

    def __init__(
        self, *, gateway_state: state.GatewayState, clock: clocks.Clock
    ) -> None:
        self._state = gateway_state
        self._clock = clock
        self._budgets: dict[str, retry_budget.FleetRetryBudget] = {}

    def set_limits(self, limits: retry_budget.RetryBudgetLimits) -> None:
        """Change the retry budget of all services.

        :param limits: budget of each service over the whole fleet.
        """
        self._state.retry_limits = limits
        for budget in self._budgets.values():
            budget.set_limits(limits)

    def record_request(self, service: str) -> None:
        """Count a request when it is sent for the first time."""
        self._budget_for(service).record_request(self._clock.now_s())

    def try_spend(self, call: calls.Call, *, share: float) -> bool:
        """Spend one retry or hedge, if the call and the budget allow it.

        :param call: request to send again; its ``final_reason`` is set if it
            may not be.
        :param share: part of the retry budget that this kind may use.
        :returns: whether the request may be sent again.
        """
        now_s = self._clock.now_s()
        if call.attempts >= call.route.max_attempts:
            call.final_reason = models.FinalReason.ATTEMPTS_SPENT
            return False
        if call.deadline_s - now_s < const.MIN_ATTEMPT_S:
            call.final_reason = models.FinalReason.TIME_SPENT
            return False
        if not self._budget_for(call.service).try_spend(now_s, share=share):
            call.final_reason = models.FinalReason.RETRY_BUDGET_SPENT
            return False
        return True

    def refund(self, service: str, spent_s: float) -> None:
        """Return what was spent on a request that was not sent again.

        :param service: service of the request.
        :param spent_s: monotonic time at which it was spent.
        """
        self._budget_for(service).refund(spent_s)

    def _budget_for(self, service: str) -> retry_budget.FleetRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = retry_budget.FleetRetryBudget(
                limits=self._state.retry_limits, hosts=self._state.hosts
            )
            self._budgets[service] = budget
        return budget
