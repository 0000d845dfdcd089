"""Detect requests that callers send again after a rejection.

A rejected caller retries with the remainder of its timeout.  If most requests
of a route arrive with the same timeout, one that arrives with less has spent
the difference on earlier sends.  If the timeouts of a route vary, nothing can
be concluded from them.
"""

import typing

from trefoilstand.gateway import const
from trefoilstand.gateway import prediction

#: Share of requests with the full timeout that a route needs for detection.
_MIN_FULL_TIMEOUT_SHARE: typing.Final = 0.5


class CallerRetryDetector:
    """Detect retries by the usual timeout of each route's callers."""

    def __init__(self) -> None:
        self._longest_timeouts_s: dict[str, float] = {}
        self._full_timeout_shares: dict[str, prediction.MovingMean] = {}

    def previous_wait_s(self, route_name: str, remaining_s: float) -> float:
        """Return how long a caller has waited in earlier sends, in seconds.

        It is 0 for first sends and where retries cannot be detected.

        :param route_name: route of the request.
        :param remaining_s: time until the deadline that the caller set.
        """
        longest_s = max(
            self._longest_timeouts_s.get(route_name, 0.0), remaining_s
        )
        self._longest_timeouts_s[route_name] = longest_s
        share = self._full_timeout_shares.setdefault(
            route_name,
            prediction.MovingMean(
                prior=1.0, weight=const.FULL_TIMEOUT_SHARE_WEIGHT
            ),
        )
        has_full_timeout = (
            remaining_s >= longest_s * const.FIRST_SEND_TIMEOUT_SHARE
        )
        share.add(1.0 if has_full_timeout else 0.0)
        if has_full_timeout or share.value < _MIN_FULL_TIMEOUT_SHARE:
            return 0.0
        return longest_s - remaining_s
