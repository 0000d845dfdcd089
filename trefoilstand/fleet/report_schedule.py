"""Choose what the next message to another host reports of targets."""

import collections.abc
import random
import typing

#: For this long all messages to other hosts include news.
_NEWS_S: typing.Final = 2.0
#: Interval at which a host reports the rest again, as messages may be lost.
_REPORT_INTERVAL_S: typing.Final = 5.0


class ReportSchedule:
    """Remember what is news, and what was reported when.

    :param random_source: chooses reports when not all fit a message.
    """

    def __init__(self, *, random_source: random.Random) -> None:
        self._random = random_source
        #: Monotonic times at which this host learned of a key's news, and at
        #: which it last reported the key.
        self._changed_s: dict[str, float] = {}
        self._reported_s: dict[str, float] = {}

    def record_news(self, key: str, now_s: float) -> None:
        """Record that there is something new to report.

        :param key: names the report.
        :param now_s: monotonic time.
        """
        self._changed_s[key] = self._reported_s[key] = now_s

    def forget(self, key: str) -> None:
        """Drop what is not reported any more.

        :param key: names the report.
        """
        self._changed_s.pop(key, None)
        self._reported_s.pop(key, None)

    def choose(
        self,
        keys: collections.abc.Iterable[str],
        max_count: int,
        now_s: float,
        *,
        is_new_receiver: bool,
    ) -> list[str]:
        """Return what the next message reports, news first.

        :param keys: all that may be reported; each was recorded as news once.
        :param max_count: most reports that fit the message.
        :param now_s: monotonic time.
        :param is_new_receiver: whether the receiver has just started and
            knows nothing.
        """
        news: list[str] = []
        due: list[str] = []
        for key in keys:
            if now_s - self._changed_s[key] <= _NEWS_S:
                news.append(key)
            elif (
                is_new_receiver
                or now_s - self._reported_s[key] >= _REPORT_INTERVAL_S
            ):
                due.append(key)
        chosen = self._sample(news, max_count)
        chosen += self._sample(due, max_count - len(chosen))
        for key in chosen:
            self._reported_s[key] = now_s
        return chosen

    def add_suspension(self, duration_s: float) -> None:
        """Correct all times for a suspension of this host.

        :param duration_s: time that the monotonic clock did not count.
        """
        for times in (self._changed_s, self._reported_s):
            for key in times:
                times[key] -= duration_s

    def _sample(self, keys: list[str], max_count: int) -> list[str]:
        if len(keys) <= max_count:
            return keys
        return self._random.sample(keys, max_count)
