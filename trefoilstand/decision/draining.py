"""Track which target processes are leaving."""

import collections

from trefoilstand.decision import const
from trefoilstand.decision import models
from trefoilstand.decision import tables


class LeavingTargets:
    """Hold leaving marks, even where an outdated list contradicts them.

    A mark names one incarnation and is never revoked for it.  Only a
    target with another incarnation at the same address receives work
    again.  Where the incarnation at an address is unknown, any mark of
    the address applies.
    """

    def __init__(self) -> None:
        self._marked_at_s: collections.OrderedDict[
            tables.LeavingMark, float
        ] = collections.OrderedDict()
        self._marked_incarnations: dict[str, set[str]] = {}
        self._listed_read_s: dict[str, float] = {}

    def mark(self, address: str, incarnation: str, now_s: float) -> bool:
        """Record that a target process is leaving.

        :param address: numeric address of the target with port.
        :param incarnation: identity of the process, empty if unknown.
        :param now_s: monotonic time in seconds.
        :returns: True where this was not known before.
        """
        mark = tables.LeavingMark(address, incarnation)
        if mark in self._marked_at_s:
            return False
        if len(self._marked_at_s) >= const.MAX_LEAVING_RECORDS:
            self._drop_oldest()
        self._marked_at_s[mark] = now_s
        self._marked_incarnations.setdefault(address, set()).add(incarnation)
        return True

    def record_listed(self, address: str, read_s: float) -> None:
        """Record that an entry host read that the platform lists a target.

        The list of leaving targets names no incarnation and may be
        outdated, so an entry expires after LISTED_LEAVING_LIFETIME_S
        unless it is read again.

        :param address: address that the platform lists as leaving.
        :param read_s: monotonic time when the list was read, in seconds.
        """
        previous_read_s = self._listed_read_s.get(address, read_s)
        self._listed_read_s[address] = max(previous_read_s, read_s)

    def listed_read_times_s(self) -> dict[str, float]:
        """Return when each listed address was last read.

        :returns: monotonic time in seconds by address.
        """
        return dict(self._listed_read_s)

    def is_leaving(
        self, target: models.TargetEntity, incarnation: str
    ) -> bool:
        """Return whether a target is leaving and must receive no new work.

        :param target: the target.
        :param incarnation: its last known incarnation, empty if unknown.
        """
        if target.configured_leaving or target.address in self._listed_read_s:
            return True
        marked_incarnations = self._marked_incarnations.get(target.address)
        if not marked_incarnations:
            return False
        return not incarnation or incarnation in marked_incarnations

    def marks(self) -> list[tables.LeavingMark]:
        """Return the marks, newest first."""
        return list(reversed(self._marked_at_s))

    def expire(self, now_s: float) -> None:
        """Remove expired list entries and marks.

        A mark expires only after its process must have stopped.

        :param now_s: monotonic time in seconds.
        """
        self._listed_read_s = {
            address: read_s
            for address, read_s in self._listed_read_s.items()
            if now_s - read_s < const.LISTED_LEAVING_LIFETIME_S
        }
        expired_before_s = now_s - const.LEAVING_RECORD_LIFETIME_S
        while self._marked_at_s:
            if next(iter(self._marked_at_s.values())) >= expired_before_s:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        oldest_mark, _ = self._marked_at_s.popitem(last=False)
        remaining_incarnations = self._marked_incarnations[oldest_mark.address]
        remaining_incarnations.discard(oldest_mark.incarnation)
        if not remaining_incarnations:
            del self._marked_incarnations[oldest_mark.address]
