"""Share the connections that targets accept between the hosts."""

import collections.abc
import typing

from trefoilstand.gateway import retry_budget

#: Share of the connections that the fleet uses; the rest covers those that
#: are still open after their host was cut off or lost power.
_USED_SHARE: typing.Final = 0.9
#: Connections to a target while a new process learns how many hosts there
#: are.
_LEARNING_SHARE: typing.Final = 2


class ConnectionQuota:
    """Tell how many connections to a target this host may have.

    :param hosts: number of hosts that share the connections.
    """

    def __init__(self, *, hosts: retry_budget.HostCountTracker) -> None:
        self._hosts = hosts
        self._limits: dict[str, int] = {}

    def set_limits(self, limits: collections.abc.Mapping[str, int]) -> None:
        """Replace the limits.

        :param limits: connections that each target of a service accepts from
            all hosts together, by service.
        """
        self._limits = dict(limits)

    def share(self, service: str, now_s: float) -> int | None:
        """Return the connections of this host to each target of a service.

        :param service: service of the target.
        :param now_s: monotonic time.
        :returns: at least 1, None without a limit.
        """
        limit = self._limits.get(service)
        if limit is None:
            return None
        count = self._hosts.count_for_shares(now_s)
        share = max(int(limit * _USED_SHARE / count), 1)
        if now_s < self._hosts.reliable_from_s:
            return min(share, _LEARNING_SHARE)
        return share
