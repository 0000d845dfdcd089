"""Track how old the local replica of the store may be."""

import random
import typing

from trefoilstand.fleet import const

_NEVER_CONFIRMED_S: typing.Final = float("-inf")


class StalenessTracker:
    """Hold the last time at which the replica was known to be current.

    :param random_source: spreads over hosts the age at which a replica
        becomes stale.
    """

    def __init__(self, *, random_source: random.Random) -> None:
        self._confirmed_s = _NEVER_CONFIRMED_S
        self._stale_after_s = (
            const.STALE_AGE_S
            + random_source.random() * const.STALE_AGE_JITTER_S
        )

    def confirm(self, confirmed_s: float) -> bool:
        """Record that the replica was current at a time.

        :param confirmed_s: monotonic time.
        :returns: whether it is later than the last recorded time.
        """
        if confirmed_s <= self._confirmed_s:
            return False
        self._confirmed_s = confirmed_s
        return True

    def invalidate(self) -> None:
        """Discard the confirmation, as after a suspension of the process."""
        self._confirmed_s = _NEVER_CONFIRMED_S

    def age_s(self, now_s: float) -> float:
        """Return the age in seconds, infinite before any confirmation."""
        return now_s - self._confirmed_s

    def is_stale(self, now_s: float) -> bool:
        """Return whether this host must read the store itself."""
        return self.age_s(now_s) > self._stale_after_s
