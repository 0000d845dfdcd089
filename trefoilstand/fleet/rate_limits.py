"""Request limits that targets state, as last known to this host.

A target in need states how many requests a second it accepts from all hosts
together.  The observation that was made last wins, whoever made it.
"""

import dataclasses
import random
import typing

from trefoilstand.fleet import report_schedule
from trefoilstand.telemetry import events

#: Age from which on an observation is ignored, so that a target that got no
#: request for that long is asked again.
OBSERVATION_LIFETIME_S: typing.Final = 60.0
#: A limit ends only when it was not stated for this long: responses that
#: were made at about the same time may arrive in another order.
RELEASE_DELAY_S: typing.Final = 1.0
#: For this long other hosts are told that a limit has ended.
_RELEASE_REPORT_S: typing.Final = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitObservation:
    """Hold what a target stated of its limit at one moment.

    :param target_id: id of the target.
    :param incarnation: number that distinguishes starts under one id.
    :param requests_per_s: requests a second from all hosts together, None
        if it stated no limit.
    :param observed_s: monotonic time of the observation.
    """

    target_id: str
    incarnation: int
    requests_per_s: float | None
    observed_s: float


class RateLimitTable:
    """Hold the last observation of each target that stated a limit.

    :param random_source: chooses reports when not all fit a message.
    """

    def __init__(self, *, random_source: random.Random) -> None:
        self._observations: dict[str, LimitObservation] = {}
        #: Monotonic time at which the limit of a target ended.
        self._released_s: dict[str, float] = {}
        self._schedule = report_schedule.ReportSchedule(
            random_source=random_source
        )

    def __len__(self) -> int:
        return len(self._observations)

    def record(
        self, observation: LimitObservation, *, now_s: float, source: str
    ) -> bool:
        """Record an observation unless a later one is known.

        :param observation: what the target stated.
        :param now_s: monotonic time.
        :param source: where it came from, as logged.
        :returns: whether a target without a limit now has one.
        """
        target_id = observation.target_id
        new_limit = observation.requests_per_s
        old_limit: float | None = None
        current = self._observations.get(target_id)
        if current is None:
            if new_limit is None:
                return False
        elif observation.observed_s <= current.observed_s:
            return False
        elif current.incarnation == observation.incarnation:
            old_limit = current.requests_per_s
            unconfirmed_s = observation.observed_s - current.observed_s
            if (
                new_limit is None
                and old_limit is not None
                and unconfirmed_s < RELEASE_DELAY_S
            ):
                return False
        self._observations[target_id] = observation
        if new_limit is not None:
            self._released_s.pop(target_id, None)
        elif target_id not in self._released_s:
            self._released_s[target_id] = observation.observed_s
        if (new_limit is None) != (old_limit is None):
            self._schedule.record_news(target_id, now_s)
        if new_limit != old_limit:
            events.info(
                events.TargetLimitChanged(
                    target=target_id,
                    requests_per_s=new_limit,
                    previous_per_s=old_limit,
                    source=source,
                )
            )
        return old_limit is None and new_limit is not None

    def add_suspension(self, duration_s: float) -> None:
        """Correct all times for a suspension of this host.

        :param duration_s: time that the monotonic clock did not count.
        """
        for target_id, observation in self._observations.items():
            self._observations[target_id] = dataclasses.replace(
                observation, observed_s=observation.observed_s - duration_s
            )
        for target_id in self._released_s:
            self._released_s[target_id] -= duration_s
        self._schedule.add_suspension(duration_s)

    def find(
        self, target_id: str, incarnation: int, now_s: float
    ) -> LimitObservation | None:
        """Return the observation by which a target has a limit.

        :param target_id: id of the target.
        :param incarnation: start of the target that is asked for.
        :param now_s: monotonic time.
        :returns: None if the target has no limit.
        """
        observation = self._observations.get(target_id)
        if (
            observation is None
            or observation.requests_per_s is None
            or observation.incarnation != incarnation
            or now_s - observation.observed_s > OBSERVATION_LIFETIME_S
        ):
            return None
        return observation

    def choose_reports(
        self, max_count: int, now_s: float, *, is_new_receiver: bool = False
    ) -> list[LimitObservation]:
        """Return observations for the next message to another host.

        News comes first, then limits that were not reported for some time.

        :param max_count: most observations that fit the message.
        :param now_s: monotonic time.
        :param is_new_receiver: whether the receiver has just started and
            knows no limits.
        """
        if not self._observations:
            return []
        self._forget_old(now_s)
        reportable = [
            target_id
            for target_id, observation in self._observations.items()
            if self._is_reportable(observation, now_s)
        ]
        chosen = self._schedule.choose(
            reportable, max_count, now_s, is_new_receiver=is_new_receiver
        )
        return [self._observations[target_id] for target_id in chosen]

    def _is_reportable(
        self, observation: LimitObservation, now_s: float
    ) -> bool:
        """Return whether other hosts should know an observation."""
        released_s = self._released_s.get(observation.target_id, now_s)
        return (
            now_s - observation.observed_s <= OBSERVATION_LIFETIME_S
            and now_s - released_s <= _RELEASE_REPORT_S
        )

    def _forget_old(self, now_s: float) -> None:
        """Drop targets that were not heard of since their last limit."""
        for target_id, observation in list(self._observations.items()):
            if now_s - observation.observed_s > 2 * OBSERVATION_LIFETIME_S:
                del self._observations[target_id]
                self._schedule.forget(target_id)
                self._released_s.pop(target_id, None)
