"""Keep the keys that a restoration of the store lost, for a limited time."""

from trefoilstand.fleet import const
from trefoilstand.fleet import replica
from trefoilstand.fleet import staleness_tracker
from trefoilstand.telemetry import events
from trefoilstand.util import clock as clocks


class LostItemRetention:
    """Drop lost keys that were not written again in time.

    :param state: local replica of the store.
    :param staleness: how old the replica may be.
    :param clock: source of the monotonic time.
    """

    def __init__(
        self,
        *,
        state: replica.Replica,
        staleness: staleness_tracker.StalenessTracker,
        clock: clocks.Clock,
    ) -> None:
        self._state = state
        self._staleness = staleness
        self._clock = clock
        self._since_s: float | None = None
        state.add_era_listener(self._handle_restoration)

    def _handle_restoration(self, previous_era: int, era: int) -> None:
        self._since_s = self._clock.now_s()
        self._staleness.record_restoration(self._since_s)
        events.warning(
            events.StoreRestored(
                previous_era=previous_era,
                era=era,
                revision=self._state.revision,
            )
        )

    def tick(self, now_s: float) -> None:
        """Drop lost keys whose time is over.

        The time starts again while the replica is stale, since the keys may
        be back without this host knowing it, or not writable.

        :param now_s: monotonic time.
        """
        if not self._state.has_lost_items:
            return
        if self._since_s is None or self._staleness.is_stale(now_s):
            self._since_s = now_s
        if now_s - self._since_s >= const.LOST_ITEM_RETENTION_S:
            self._state.expire_lost()
