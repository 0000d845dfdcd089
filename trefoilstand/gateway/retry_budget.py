"""Keep repeated sends of a whole fleet inside a budget.

Each host spends only what its own requests earn, plus its part of the
fixed allowance, so that the sum over all hosts keeps the budget without any
message between them.
"""

import collections
import dataclasses
import typing

#: Share of the ratio that is spent; the rest covers requests that are
#: counted in another window than their repeats.
_RATIO_SHARE: typing.Final = 0.8
#: Share of the allowance that is spent; restarted hosts begin anew, so that
#: some of it is spent twice after a loss of many hosts.
_ALLOWANCE_SHARE: typing.Final = 0.5
#: A new process does not know yet how many hosts share the allowance, and
#: spends only what its own requests earn for this long.
ALLOWANCE_SETTLE_S: typing.Final = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BudgetTerms:
    """State the budget of one service over all hosts.

    :param ratio: repeats for each request.
    :param allowance: repeats beyond the ratio in one window.
    :param window_s: length of the sliding window.
    """

    ratio: float
    allowance: float
    window_s: float


class FleetRetryBudget:
    """Count requests and repeats of one service in a sliding window.

    :param terms: budget of the whole fleet.
    :param allowance_from_s: monotonic time from which on this process knows
        how many hosts share the allowance.
    """

    def __init__(
        self,
        *,
        terms: BudgetTerms,
        allowance_from_s: float = float("-inf"),
    ) -> None:
        self._terms = terms
        self._allowance_from_s = allowance_from_s
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def set_terms(self, terms: BudgetTerms) -> None:
        """Change the budget; what was spent stays counted."""
        self._terms = terms

    def record_request(self, now_s: float) -> None:
        """Count a first send."""
        self._requests.append(now_s)
        self._expire(now_s)

    def take(self, now_s: float, hosts: int, *, share: float = 1.0) -> bool:
        """Spend one repeat and return whether there was one.

        :param now_s: monotonic time.
        :param hosts: hosts that share the fixed allowance.
        :param share: part of the budget that this kind of repeat may use.
        """
        self._expire(now_s)
        earned = self._terms.ratio * len(self._requests) * _RATIO_SHARE
        if now_s >= self._allowance_from_s:
            earned += self._terms.allowance * _ALLOWANCE_SHARE / max(hosts, 1)
        if len(self._repeats) + 1 > earned * share:
            return False
        self._repeats.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._terms.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest_s:
                times.popleft()
