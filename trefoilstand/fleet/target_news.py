"""Decide when and to whom news of targets is sent."""

import random

from trefoilstand.fleet import const
from trefoilstand.fleet import topology


class TargetNewsAnnouncer:
    """Collect news of targets and announce it at a limited rate.

    News are request limits that targets state, and targets that leave.

    :param random_source: samples the hosts of the own domain.
    """

    def __init__(self, *, random_source: random.Random) -> None:
        self._random = random_source
        self._last_sent_s = float("-inf")
        #: Where the news came from that is still to be announced.
        self._pending_origins: set[topology.Origin] = set()

    def add(self, origin: topology.Origin) -> None:
        """Record news.

        :param origin: where this host learned of it.
        """
        self._pending_origins.add(origin)

    def is_due(self, now_s: float) -> bool:
        """Return whether there is news, and the last news is old enough.

        :param now_s: monotonic time.
        """
        return bool(self._pending_origins) and (
            now_s - self._last_sent_s >= const.MIN_TARGET_NEWS_INTERVAL_S
        )

    def take_recipients(
        self, view: topology.Topology, now_s: float
    ) -> list[str]:
        """Return the hosts to tell now, and forget the news.

        :param view: topology of the fleet.
        :param now_s: monotonic time.
        :returns: peer addresses.
        """
        self._last_sent_s = now_s
        recipients: dict[str, None] = {}
        # In a fixed order, so that seeded runs are repeatable.
        for origin in topology.Origin:
            if origin in self._pending_origins:
                recipients.update(
                    dict.fromkeys(
                        view.choose_news_recipients(origin, self._random)
                    )
                )
        self._pending_origins.clear()
        return list(recipients)
