"""Limit the retries and hedges of a whole fleet by a budget.

Each host spends only what its own requests earn plus its part of the fixed
allowance, so that the sum over all hosts stays within the budget without any
communication between them.
"""

import collections
import contextlib
import dataclasses
import typing

#: Share of the ratio that is spent; the rest covers requests that are counted
#: in another window than their retries.
_RATIO_SHARE: typing.Final = 0.8
#: Share of the allowance that is spent; restarted hosts do not know what they
#: spent before, so part of it is spent twice when many hosts restart.
_ALLOWANCE_SHARE: typing.Final = 0.5
#: For this long a new process does not know how many hosts share the allowance
#: and spends only what its own requests earn.
ALLOWANCE_SETTLE_S: typing.Final = 3.0
#: Hosts that a new process assumes to share a budget before it has heard of
#: any.
_ASSUMED_HOSTS: typing.Final = 50

#: Growth of the known number of hosts after which it settles anew.
_MAX_SETTLED_GROWTH: typing.Final = 1.25


class HostCountTracker:
    """Tell from when on the known number of hosts may be relied on.

    While a process still learns of hosts, its part of the allowance is too
    large.

    :param now_s: monotonic time of the start of the process.
    """

    def __init__(self, *, now_s: float) -> None:
        self._settled_count = 1
        self._reported_count = 0
        self.count = 1
        self.reliable_from_s = now_s + ALLOWANCE_SETTLE_S

    def update(
        self, count: int, now_s: float, *, reported_count: int = 0
    ) -> None:
        """Record the number of live hosts.

        :param count: number of hosts, this one included.
        :param now_s: monotonic time.
        :param reported_count: number of hosts that a peer knows, 0 before
            the first contact.
        """
        self.count = count
        self._reported_count = reported_count
        if count > self._settled_count * _MAX_SETTLED_GROWTH:
            self._settled_count = count
            self.reliable_from_s = now_s + ALLOWANCE_SETTLE_S
        elif count < self._settled_count:
            self._settled_count = count

    def count_for_shares(self, now_s: float) -> int:
        """Return the number of hosts to divide a budget by.

        A process that still learns of hosts believes a peer that knows more,
        and assumes a large fleet before its first contact.

        :param now_s: monotonic time.
        """
        if now_s >= self.reliable_from_s:
            return self.count
        if self.count == 1 and not self._reported_count:
            return _ASSUMED_HOSTS
        return max(self.count, self._reported_count)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryBudgetLimits:
    """Describe the retry budget of one service over all hosts.

    :param ratio: retries per request.
    :param allowance: retries beyond the ratio in one window.
    :param window_s: length of the sliding window in seconds.
    """

    ratio: float
    allowance: float
    window_s: float


class FleetRetryBudget:
    """Count requests and retries of one service in a sliding window.

    Hedges count as retries.

    :param limits: budget of the whole fleet.
    :param hosts: number of hosts that share the allowance.
    """

    def __init__(
        self, *, limits: RetryBudgetLimits, hosts: HostCountTracker
    ) -> None:
        self._limits = limits
        self._hosts = hosts
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def set_limits(self, limits: RetryBudgetLimits) -> None:
        """Change the budget; retries already spent stay counted."""
        self._limits = limits

    def record_request(self, now_s: float) -> None:
        """Count a request when it is sent for the first time."""
        self._requests.append(now_s)
        self._expire(now_s)

    def try_spend(self, now_s: float, *, share: float = 1.0) -> bool:
        """Spend one retry if the budget allows it.

        :param now_s: monotonic time.
        :param share: share of the budget that this kind of retry may use.
        :returns: whether the retry may be sent.
        """
        self._expire(now_s)
        earned_retries = (
            self._limits.ratio * len(self._requests) * _RATIO_SHARE
        )
        if now_s >= self._hosts.reliable_from_s:
            earned_retries += (
                self._limits.allowance
                * _ALLOWANCE_SHARE
                / max(self._hosts.count, 1)
            )
        if len(self._retries) + 1 > earned_retries * share:
            return False
        self._retries.append(now_s)
        return True

    def refund(self, spent_s: float) -> None:
        """Return a retry that was not sent.

        :param spent_s: monotonic time at which it was spent.
        """
        # It may have left the window since.
        with contextlib.suppress(ValueError):
            self._retries.remove(spent_s)

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._limits.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
