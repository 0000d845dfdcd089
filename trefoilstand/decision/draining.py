"""Remember which target processes are leaving."""

import collections

from trefoilstand.decision import const
from trefoilstand.decision import models
from trefoilstand.decision import tables


class LeavingTargets:
    """Hold leaving marks, whatever a lagging list says later.

    A mark names one incarnation and is never taken back for it.  Only
    another incarnation that is seen at the address serves again.  Where
    the incarnation at an address is not known, any mark of the address
    counts.
    """

    def __init__(self) -> None:
        self._marked_s: collections.OrderedDict[tables.LeavingMark, float] = (
            collections.OrderedDict()
        )
        self._incarnations: dict[str, set[str]] = {}
        self._listed_s: dict[str, float] = {}

    def mark(self, address: str, incarnation: str, now_s: float) -> bool:
        """Record that a target process is leaving.

        :returns: True where this was not known before.
        """
        key = tables.LeavingMark(address, incarnation)
        if key in self._marked_s:
            return False
        if len(self._marked_s) >= const.MAX_LEAVING_RECORDS:
            self._drop_oldest()
        self._marked_s[key] = now_s
        self._incarnations.setdefault(address, set()).add(incarnation)
        return True

    def note_listed(self, address: str, read_s: float) -> None:
        """Record that somebody read in the list that a target leaves.

        The list names no process and lags, so this counts for some
        seconds only and must be heard again.

        :param address: listed address.
        :param read_s: monotonic time when the list was read.
        """
        known_s = self._listed_s.get(address, read_s)
        self._listed_s[address] = max(known_s, read_s)

    def listed(self) -> dict[str, float]:
        """Return when each listed address was read last."""
        return dict(self._listed_s)

    def is_leaving(
        self, target: models.TargetEntity, incarnation: str
    ) -> bool:
        """Return whether a target may receive no new work."""
        if target.configured_leaving or target.address in self._listed_s:
            return True
        marked = self._incarnations.get(target.address)
        if not marked:
            return False
        return not incarnation or incarnation in marked

    def marks(self) -> list[tables.LeavingMark]:
        """Return the marks, newest first."""
        return list(reversed(self._marked_s))

    def expire(self, now_s: float) -> None:
        """Drop marks so old that their process must have ended."""
        self._listed_s = {
            address: read_s
            for address, read_s in self._listed_s.items()
            if now_s - read_s < const.LISTED_LIFETIME_S
        }
        horizon_s = now_s - const.LEAVING_RECORD_LIFETIME_S
        while self._marked_s:
            if next(iter(self._marked_s.values())) >= horizon_s:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        oldest, _ = self._marked_s.popitem(last=False)
        incarnations = self._incarnations[oldest.address]
        incarnations.discard(oldest.incarnation)
        if not incarnations:
            del self._incarnations[oldest.address]
