"""Track how old the local replica of the store may be."""

import random
import typing

from trefoilstand.fleet import const

_NEVER_S: typing.Final = float("-inf")


class StalenessTracker:
    """Hold the last time at which the replica was known to be current.

    A long gap between two confirmations is an outage of the store, whatever
    the calls of this host returned: confirmations also come from peers, and a
    single failed call or closed connection says little about the store.

    :param random_source: spreads over hosts the age at which a replica
        becomes stale.
    :param entry_heartbeat_s: interval in seconds at which targets renew
        their entries in the store.
    """

    def __init__(
        self,
        *,
        random_source: random.Random,
        entry_heartbeat_s: float = const.DEFAULT_ENTRY_HEARTBEAT_S,
    ) -> None:
        self._confirmed_s = _NEVER_S
        self._outage_end_s = _NEVER_S
        self._is_invalidated = False
        self._min_outage_s = max(
            const.MIN_EXPIRY_OUTAGE_HEARTBEATS * entry_heartbeat_s,
            const.MIN_OUTAGE_S,
        )
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
        if self._is_in_outage(confirmed_s):
            self._outage_end_s = confirmed_s
        self._is_invalidated = False
        self._confirmed_s = confirmed_s
        return True

    def invalidate(self) -> None:
        """Discard the confirmation, as after a suspension of the process."""
        self._confirmed_s = _NEVER_S
        self._is_invalidated = True

    def record_restoration(self, now_s: float) -> None:
        """Record that the store came back from an older copy.

        Entries expire in it like in an outage, however short that was.

        :param now_s: monotonic time.
        """
        self._outage_end_s = max(self._outage_end_s, now_s)

    @property
    def confirmed_s(self) -> float:
        """Return the last time at which the replica was known to be current.

        It is a monotonic time, minus infinity without a confirmation.
        """
        return self._confirmed_s

    def age_s(self, now_s: float) -> float:
        """Return the age in seconds, infinite before any confirmation."""
        return now_s - self._confirmed_s

    def last_outage_s(self, now_s: float) -> float:
        """Return when entries may last have expired in an outage.

        :param now_s: monotonic time.
        :returns: monotonic time of the end of the latest outage that was long
            enough for that, ``now_s`` during one, minus infinity without one.
        """
        return now_s if self._is_in_outage(now_s) else self._outage_end_s

    def _is_in_outage(self, now_s: float) -> bool:
        """Return whether the replica is unconfirmed for too long.

        A new process, which knew nothing before, has missed nothing.
        """
        if self._is_invalidated:
            return True
        return (
            self._confirmed_s != _NEVER_S
            and self.age_s(now_s) >= self._min_outage_s
        )

    def is_stale(self, now_s: float) -> bool:
        """Return whether this host must read the store itself."""
        return self.age_s(now_s) > self._stale_after_s
