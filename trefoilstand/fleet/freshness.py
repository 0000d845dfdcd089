"""Know how old the own copy of the store may be."""

import random
import typing

from trefoilstand.fleet import const

_NEVER: typing.Final = float("-inf")


class Freshness:
    """Keep the moment at which the copy was known to be the newest.

    :param random_source: spreads the patience of hosts.
    """

    def __init__(self, *, random_source: random.Random) -> None:
        self._confirmed_s = _NEVER
        self._patience_s = (
            const.STALE_S + random_source.random() * const.STALE_SPREAD_S
        )

    def confirm(self, confirmed_s: float) -> bool:
        """Record that the copy was the newest at a moment.

        :returns: whether that was not known yet.
        """
        if confirmed_s <= self._confirmed_s:
            return False
        self._confirmed_s = confirmed_s
        return True

    def invalidate(self) -> None:
        """Forget the confirmation, as after a pause of the process."""
        self._confirmed_s = _NEVER

    def age_s(self, now_s: float) -> float:
        """Return how old the copy may be, infinite before the first."""
        return now_s - self._confirmed_s

    def is_stale(self, now_s: float) -> bool:
        """Return whether this host must read for itself."""
        return self.age_s(now_s) > self._patience_s
