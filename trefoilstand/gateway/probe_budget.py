"""Limit the probes of this host to its share of the fleet's budget."""

import typing

from trefoilstand.gateway import retry_budget
from trefoilstand.util import token_bucket

#: Share of the probes allowed by targets that the fleet uses.
_USED_SHARE: typing.Final = 0.8
#: Unused probes accumulate for this long, as the budget's burst.
_BURST_S: typing.Final = 8.0
#: A new process starts with the probes of this time.
_STARTING_BURST_S: typing.Final = 0.5
#: For this long a new process may learn of more hosts, and what it was
#: granted is corrected to the share that it knows by then.
_LEARNING_S: typing.Final = 15.0


class ProbeBudget:
    """Divide the probes that targets accept between the hosts.

    :param hosts: number of hosts that share the budget.
    :param now_s: monotonic time of the start of the process.
    """

    def __init__(
        self, *, hosts: retry_budget.HostCountTracker, now_s: float
    ) -> None:
        self._hosts = hosts
        self._started_s = now_s
        self._updated_s = now_s
        self._rate_per_s = 0.0
        #: Probes granted since the start by the shares of the time.
        self._granted = 0.0
        self.bucket = token_bucket.TokenBucket(rate_per_s=0.0, burst=0.0)

    def update(
        self, *, probes_per_target_s: float, target_count: int, now_s: float
    ) -> None:
        """Compute the share of this host anew.

        :param probes_per_target_s: probes a second that a target accepts
            from all hosts together.
        :param target_count: number of targets.
        :param now_s: monotonic time.
        """
        rate_per_s = (
            probes_per_target_s
            * target_count
            * _USED_SHARE
            / self._hosts.count_for_shares(now_s)
        )
        self.bucket.set_rate(
            rate_per_s=rate_per_s, burst=rate_per_s * _BURST_S, now_s=now_s
        )
        self._granted += (now_s - self._updated_s) * self._rate_per_s
        self._updated_s = now_s
        self._rate_per_s = rate_per_s
        elapsed_s = now_s - self._started_s
        if elapsed_s <= _LEARNING_S:
            entitled = rate_per_s * (elapsed_s + _STARTING_BURST_S)
            self.bucket.adjust(entitled - self._granted)
            self._granted = entitled
