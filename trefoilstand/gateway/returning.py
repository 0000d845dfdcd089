"""Tell callers that return after a rejection from new ones.

A caller that was rejected returns with what is left of its time.  Where
most requests of a route come with the same time, one that comes with less
has spent the difference in earlier sends.  Where times differ anyway,
nothing follows from them.
"""

import typing

from trefoilstand.gateway import const
from trefoilstand.gateway import prediction

#: Share of requests with the full time that a route must have.
_MIN_FULL_SHARE: typing.Final = 0.5


class ReturningCallers:
    """Learn the usual time of each route's callers."""

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}
        self._full_share: dict[str, prediction.MovingMean] = {}

    def waited_s(self, route_name: str, left_s: float) -> float:
        """Return how long a caller has waited before, as far as is known.

        :param route_name: route of the request.
        :param left_s: time that the caller still gives it.
        """
        longest_s = max(self._longest_s.get(route_name, 0.0), left_s)
        self._longest_s[route_name] = longest_s
        share = self._full_share.setdefault(
            route_name,
            prediction.MovingMean(prior=1.0, weight=const.FULL_SHARE_WEIGHT),
        )
        is_full = left_s >= longest_s * const.RETURNING_SHARE
        share.add(1.0 if is_full else 0.0)
        if is_full or share.value < _MIN_FULL_SHARE:
            return 0.0
        return longest_s - left_s
