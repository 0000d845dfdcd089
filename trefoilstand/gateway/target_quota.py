"""Share the request limit of a target between hosts without coordination.

A limit of a few requests a second is less than one for each host of a large
fleet, and hosts that each save up one request could send them all at once.
So only as many hosts as the limit allows requests in a second have a share
of it.  They are ranked for each target by a hash of both, which all hosts
compute alike, and space their messages evenly.

Cold targets of services that name a rate for them have a limit on requests
alone; it is shared in the same way.
"""

import abc
import collections.abc
import hashlib
import math
import typing

from trefoilstand.fleet import rate_limits
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import targets
from trefoilstand.peers import membership

#: Share of the limit that is used; the rest covers hosts whose views of the
#: fleet or of the limit differ for a while.
_USED_SHARE: typing.Final = 0.9
#: Limits below this are kept as this one, so that some request still finds
#: out when the limit ends.
_MIN_LIMIT_PER_S: typing.Final = 1 / rate_limits.OBSERVATION_LIFETIME_S
#: Age of an observation from which on a request is sent to a limited target
#: although others are free, to find out whether the limit has ended.
_RECHECK_AGE_S: typing.Final = 2.0


class HostRanking(abc.ABC):
    """Rank the hosts of the fleet for each target, alike on every host."""

    @property
    @abc.abstractmethod
    def host_count(self) -> int:
        """Return the number of ranked hosts, this one included."""

    @abc.abstractmethod
    def own_position(self, target_id: str) -> int:
        """Return the position of this host for a target, 0 being first.

        :param target_id: id of the target.
        """

    @abc.abstractmethod
    def is_reliable(self, now_s: float) -> bool:
        """Return whether this host knows the fleet well enough.

        :param now_s: monotonic time.
        """


class MemberRanking(HostRanking):
    """Rank the known entry hosts.

    Dead hosts keep their position until their record expires: those on the
    other side of a partition seem dead and go on sending.

    :param members: known entry hosts.
    :param now_s: monotonic time of the start of the process.
    """

    def __init__(
        self, *, members: membership.MemberTable, now_s: float
    ) -> None:
        self._members = members
        #: Number of known hosts, dead ones included.
        self.known_hosts = retry_budget.HostCountTracker(now_s=now_s)
        self._positions: dict[str, int] = {}
        self._version = -1
        self._host_count = 1

    def update(self, now_s: float) -> None:
        """Record the number of known hosts; called at regular intervals.

        :param now_s: monotonic time.
        """
        self._refresh()
        self.known_hosts.update(
            self._host_count,
            now_s,
            reported_count=self._members.reported_live_count,
        )

    @property
    def host_count(self) -> int:
        """Return the number of known hosts, this one included."""
        self._refresh()
        return self._host_count

    def own_position(self, target_id: str) -> int:
        """Return the position of this host for a target, 0 being first."""
        self._refresh()
        position = self._positions.get(target_id)
        if position is None:
            own_key = _rank_key(target_id, self._members.own.peer_address)
            position = sum(
                _rank_key(target_id, member.peer_address) < own_key
                for member in self._members.members()
            )
            self._positions[target_id] = position
        return position

    def is_reliable(self, now_s: float) -> bool:
        """Return whether the number of known hosts grew long enough ago."""
        return now_s >= self.known_hosts.reliable_from_s

    def _refresh(self) -> None:
        if self._version == self._members.version:
            return
        self._version = self._members.version
        self._positions.clear()
        self._host_count = len(self._members.members()) + 1


def _rank_key(target_id: str, peer_address: str) -> bytes:
    return hashlib.blake2b(
        f"{target_id} {peer_address}".encode(), digest_size=8
    ).digest()


def _next_in_share_s(last_s: float, interval_s: float) -> float:
    """Return when a share allows the next message.

    :param last_s: monotonic time of the last one, minus infinity before it.
    :param interval_s: time between messages, infinity without a share.
    """
    return math.inf if math.isinf(interval_s) else last_s + interval_s


class TargetQuota:
    """Decide when this host may send to targets that state a limit.

    :param limits: limits that are known.
    :param ranking: ranks the hosts for each target.
    """

    def __init__(
        self, *, limits: rate_limits.RateLimitTable, ranking: HostRanking
    ) -> None:
        self._limits = limits
        self._ranking = ranking
        self._warmup_rates: dict[str, float] = {}

    def set_warmup_rates(
        self, rates: collections.abc.Mapping[str, float]
    ) -> None:
        """Replace the limits of cold targets.

        :param rates: requests a second that a cold target of a service
            accepts from all hosts together, by service.
        """
        self._warmup_rates = dict(rates)

    def is_limited(self, target: targets.Target, now_s: float) -> bool:
        """Return whether a target has a limit.

        :param target: target in question.
        :param now_s: monotonic time.
        """
        return (
            self._find(target, now_s) is not None
            or self._warmup_rate_per_s(target, now_s) is not None
        )

    def needs_recheck(self, target: targets.Target, now_s: float) -> bool:
        """Return whether a limit was not confirmed for some time.

        :param target: target in question.
        :param now_s: monotonic time.
        """
        observation = self._find(target, now_s)
        return (
            observation is not None
            and now_s - observation.observed_s >= _RECHECK_AGE_S
        )

    def may_send(self, target: targets.Target, now_s: float) -> bool:
        """Return whether a message may be sent to a target now.

        :param target: where the message would go.
        :param now_s: monotonic time.
        """
        return self.next_send_s(target, now_s) <= now_s

    def next_send_s(self, target: targets.Target, now_s: float) -> float:
        """Return the monotonic time from which on a message may be sent.

        :param target: where the message would go.
        :param now_s: monotonic time.
        :returns: infinity if this host has no share of the limit.
        """
        next_s = now_s
        limit_per_s = self._stated_limit_per_s(target, now_s)
        if limit_per_s is not None:
            interval_s = self._share_interval_s(target, limit_per_s, now_s)
            next_s = max(
                next_s, _next_in_share_s(target.last_message_s, interval_s)
            )
        rate_per_s = self._warmup_rate_per_s(target, now_s)
        if rate_per_s is not None:
            interval_s = self._share_interval_s(target, rate_per_s, now_s)
            paced_s = _next_in_share_s(target.last_request_s, interval_s)
            next_s = max(next_s, min(paced_s, target.warming_until_s))
        return next_s

    def count_sends(
        self, target: targets.Target, now_s: float, latest_s: float
    ) -> float:
        """Return how many messages may be sent to a target until a time.

        :param target: where the messages would go.
        :param now_s: monotonic time.
        :param latest_s: monotonic time of the last message.
        :returns: infinity if the target has no limit.
        """
        limits_per_s = []
        stated_per_s = self._stated_limit_per_s(target, now_s)
        if stated_per_s is not None:
            limits_per_s.append(stated_per_s)
        rate_per_s = self._warmup_rate_per_s(target, now_s)
        if rate_per_s is not None and target.warming_until_s > latest_s:
            limits_per_s.append(rate_per_s)
        if not limits_per_s:
            return math.inf
        first_s = max(self.next_send_s(target, now_s), now_s)
        if first_s > latest_s:
            return 0
        interval_s = self._share_interval_s(target, min(limits_per_s), now_s)
        return 1 + (latest_s - first_s) // interval_s

    def _share_interval_s(
        self, target: targets.Target, limit_per_s: float, now_s: float
    ) -> float:
        """Return the time between messages of this host to a target.

        :param target: where the messages would go.
        :param limit_per_s: messages a second from all hosts together.
        :param now_s: monotonic time.
        :returns: infinity if this host has no share.
        """
        if not self._ranking.is_reliable(now_s):
            return math.inf
        limit_per_s = max(limit_per_s, _MIN_LIMIT_PER_S)
        sharing_hosts = min(max(int(limit_per_s), 1), self._ranking.host_count)
        if self._ranking.own_position(target.target_id) >= sharing_hosts:
            return math.inf
        return sharing_hosts / (limit_per_s * _USED_SHARE)

    def _warmup_rate_per_s(
        self, target: targets.Target, now_s: float
    ) -> float | None:
        """Return the limit of a cold target, None if it has none now."""
        if not self._warmup_rates or not target.is_warming(now_s):
            return None
        return self._warmup_rates.get(target.record.service)

    def _stated_limit_per_s(
        self, target: targets.Target, now_s: float
    ) -> float | None:
        """Return the limit that a target stated, None without one."""
        observation = self._find(target, now_s)
        return None if observation is None else observation.requests_per_s

    def _find(
        self, target: targets.Target, now_s: float
    ) -> rate_limits.LimitObservation | None:
        if not len(self._limits):
            return None
        record = target.record
        return self._limits.find(record.target_id, record.incarnation, now_s)
