"""Decide when a slow request is sent a second time, as a hedge."""

import abc
import bisect
import collections
import math
import typing

from trefoilstand.gateway import calls
from trefoilstand.gateway import const
from trefoilstand.gateway import options
from trefoilstand.gateway import prediction
from trefoilstand.util import clock as clocks

#: Length of the window of the limit.  A host of a large fleet gets 1 to 2
#: requests a second of a service, and must collect 20 for one hedge at a
#: ratio of 0.05.
WINDOW_S: typing.Final = 60
#: Durations kept for each route: the highest quantile, 0.999, needs 1,000.
_MAX_DURATIONS: typing.Final = 1000
#: Routes whose durations are kept, which take about 40 kB each.
_MAX_ROUTES: typing.Final = 128
#: Share of the elapsed time after which a request is checked again whose
#: first attempt is predicted to end before a hedge would.
_RECHECK_SHARE: typing.Final = 0.1
#: Shortest wait for the quantile, as timers may fire slightly early.
_MIN_WAIT_S: typing.Final = 0.001


class DurationWindow:
    """Hold the last durations of one route in order of their length."""

    def __init__(self) -> None:
        self._by_age: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    def add(self, duration_s: float) -> None:
        """Add a duration; the oldest one is dropped from a full window."""
        if len(self._by_age) >= _MAX_DURATIONS:
            oldest_s = self._by_age.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest_s)]
        self._by_age.append(duration_s)
        bisect.insort(self._sorted, duration_s)

    def quantile_s(self, quantile: float) -> float | None:
        """Return a quantile, None while too few durations are known.

        There must be enough of them for one to be expected beyond it.

        :param quantile: from 0.5 to 0.999.
        """
        count = len(self._sorted)
        if round(count * (1 - quantile), 6) < 1:
            return None
        return self._sorted[math.ceil(count * quantile) - 1]

    def mean_above_s(self, elapsed_s: float) -> float | None:
        """Return the mean of the longer durations, None if there are none.

        :param elapsed_s: seconds that the durations must exceed.
        """
        first = bisect.bisect_right(self._sorted, elapsed_s)
        longer = self._sorted[first:]
        return sum(longer) / len(longer) if longer else None


class HedgeBudget:
    """Limit the hedges of one service to a ratio of this host's requests.

    Each host spends only what its own requests earned, so that the sum over
    the fleet stays within the ratio without communication.

    :param extra_ratio: hedges per request in the window.
    """

    def __init__(self, *, extra_ratio: float) -> None:
        self.extra_ratio = extra_ratio
        #: Second, requests and hedges, for each second with a request.
        self._seconds: collections.deque[list[int]] = collections.deque()
        self._requests = 0
        self._hedges = 0

    def record_request(self, now_s: float) -> None:
        """Count a request when it is sent for the first time."""
        self._current(now_s)[1] += 1
        self._requests += 1

    def try_spend(self, now_s: float) -> bool:
        """Spend one hedge if the ratio allows it.

        :param now_s: monotonic time.
        :returns: whether the hedge may be sent.
        """
        current = self._current(now_s)
        if self._hedges + 1 > self.extra_ratio * self._requests:
            return False
        current[2] += 1
        self._hedges += 1
        return True

    def refund(self, spent_s: float) -> None:
        """Return a hedge that was not sent.

        :param spent_s: monotonic time at which it was spent.
        """
        for counts in self._seconds:
            if counts[0] == int(spent_s) and counts[2]:
                counts[2] -= 1
                self._hedges -= 1

    def _current(self, now_s: float) -> list[int]:
        """Return the counts of the current second, without expired ones."""
        second = int(now_s)
        seconds = self._seconds
        if not seconds or seconds[-1][0] != second:
            seconds.append([second, 0, 0])
            while seconds[0][0] <= second - WINDOW_S:
                _, requests, hedges = seconds.popleft()
                self._requests -= requests
                self._hedges -= hedges
        return seconds[-1]


class HedgePolicy(abc.ABC):
    """Decide when a request is hedged."""

    #: Whether a hedge may wait for a target like a first attempt.
    may_queue: typing.ClassVar[bool]

    @abc.abstractmethod
    def record_request(self, service: str) -> None:
        """Count a request when it is sent for the first time.

        :param service: service that is to process it.
        """

    @abc.abstractmethod
    def record_duration(self, call: calls.Call, *, is_answered: bool) -> None:
        """Record the end of a request whose first attempt did not fail.

        :param call: request that has ended.
        :param is_answered: whether it was answered by its deadline.
        """

    @abc.abstractmethod
    def delay_s(self, call: calls.Call) -> float | None:
        """Return the seconds until the next check, None for no hedge.

        :param call: request in progress.
        """

    @abc.abstractmethod
    def is_due(self, call: calls.Call) -> bool:
        """Return whether a hedge is due now.

        :param call: request in progress.
        """

    @abc.abstractmethod
    def ends_sooner(self, call: calls.Call, predicted_s: float) -> bool:
        """Return whether a hedge is worth sending now.

        :param call: request in progress.
        :param predicted_s: predicted duration of the hedge in seconds.
        """

    @abc.abstractmethod
    def try_spend(self, service: str, now_s: float) -> bool:
        """Spend one hedge and return whether it may be sent.

        :param service: service of the request.
        :param now_s: monotonic time.
        """

    @abc.abstractmethod
    def refund(self, service: str, spent_s: float) -> None:
        """Return a hedge that was not sent.

        :param service: service of the request.
        :param spent_s: monotonic time at which it was spent.
        """


class ObjectivePolicy(HedgePolicy):
    """Hedge as late as the objective can still be met.

    Only the retry budget limits these hedges.

    :param predictor: predicts processing times.
    :param clock: monotonic clock.
    """

    may_queue = True

    def __init__(
        self, *, predictor: prediction.Predictor, clock: clocks.Clock
    ) -> None:
        self._predictor = predictor
        self._clock = clock

    def record_request(self, service: str) -> None:
        """Do nothing, as there is no limit of its own."""

    def record_duration(self, call: calls.Call, *, is_answered: bool) -> None:
        """Do nothing, as durations do not matter."""

    def delay_s(self, call: calls.Call) -> float | None:
        """Return the seconds until the next check.

        A hedge is sent as late as it can still meet the objective, but not
        before the first attempt is clearly slower than predicted.  While the
        first attempt is not sent, this is the earliest time to check again.

        :param call: request in progress.
        """
        return self._seconds_left(call)

    def is_due(self, call: calls.Call) -> bool:
        """Return whether the first attempt was sent long enough ago."""
        return call.sent_s > 0.0 and self._seconds_left(call) <= 0.0

    def ends_sooner(self, call: calls.Call, predicted_s: float) -> bool:
        """Return True, as targets are accepted by the objective only."""
        return True

    def try_spend(self, service: str, now_s: float) -> bool:
        """Return True, as there is no limit of its own."""
        return True

    def refund(self, service: str, spent_s: float) -> None:
        """Do nothing, as nothing was spent."""

    def _seconds_left(self, call: calls.Call) -> float:
        now_s = self._clock.now_s()
        work_s = self._predictor.processing_time_s(call.route)
        latest_s = call.due_s - work_s * const.HEDGE_FACTOR
        if not call.sent_s:
            return max(latest_s - now_s, const.MIN_HEDGE_CHECK_S)
        clearly_slow_s = call.sent_s + call.predicted_s * const.HEDGE_FACTOR
        return max(latest_s, clearly_slow_s) - now_s


class LimitedPolicy(HedgePolicy):
    """Hedge beyond a quantile of the durations, within a limit.

    :param limits: limit of the operators.
    :param predictor: predicts processing times.
    :param clock: monotonic clock.
    """

    may_queue = False

    def __init__(
        self,
        *,
        limits: options.HedgingOptions,
        predictor: prediction.Predictor,
        clock: clocks.Clock,
    ) -> None:
        self._limits = limits
        self._predictor = predictor
        self._clock = clock
        self._durations: dict[str, DurationWindow] = {}
        self._budgets: dict[str, HedgeBudget] = {}

    def set_limits(self, limits: options.HedgingOptions) -> None:
        """Change the limit; hedges already spent stay counted."""
        self._limits = limits
        for budget in self._budgets.values():
            budget.extra_ratio = limits.extra_ratio

    def record_request(self, service: str) -> None:
        """Count a request when it is sent for the first time."""
        self._budget_for(service).record_request(self._clock.now_s())

    def record_duration(self, call: calls.Call, *, is_answered: bool) -> None:
        """Record for how long the first attempt of a request ran.

        If it was cancelled, this is less than its duration.  It counts even
        so if it exceeds the quantile, which would fall without the slowest
        ones; a shorter one, by the short deadline of a caller, would lower it.

        :param call: request that has ended.
        :param is_answered: whether it was answered by its deadline.
        """
        if not call.tried_targets:
            return
        elapsed_s = self._clock.now_s() - call.sent_s
        durations = self._durations.get(call.route.name)
        if not is_answered:
            quantile_s = self._quantile_s(call)
            if quantile_s is None or elapsed_s < quantile_s:
                return
        if durations is None:
            if len(self._durations) >= _MAX_ROUTES:
                del self._durations[next(iter(self._durations))]
            durations = DurationWindow()
            self._durations[call.route.name] = durations
        durations.add(elapsed_s)

    def delay_s(self, call: calls.Call) -> float | None:
        """Return the seconds until the next check, None for no hedge.

        :param call: request in progress.
        """
        if call.attempts > 1 or not self._limits.extra_ratio:
            # A further attempt after a failure is not hedged.
            return None
        quantile_s = self._quantile_s(call)
        if quantile_s is None:
            return None
        if not call.tried_targets:
            return max(quantile_s, const.MIN_HEDGE_CHECK_S)
        elapsed_s = self._clock.now_s() - call.sent_s
        if elapsed_s < quantile_s:
            return max(quantile_s - elapsed_s, _MIN_WAIT_S)
        if self._is_usual_hedge_sooner(call):
            return 0.0
        return max(elapsed_s * _RECHECK_SHARE, const.MIN_HEDGE_CHECK_S)

    def is_due(self, call: calls.Call) -> bool:
        """Return whether the first attempt is slow and a hedge worth it."""
        quantile_s = self._quantile_s(call)
        return (
            quantile_s is not None
            and call.attempts == 1
            and bool(call.tried_targets)
            and self._clock.now_s() - call.sent_s >= quantile_s
            and self._is_usual_hedge_sooner(call)
        )

    def ends_sooner(self, call: calls.Call, predicted_s: float) -> bool:
        """Return whether a hedge would end before the first attempt.

        Once the first attempt has taken longer than predicted, the route's
        longer durations predict its end; without any, it is assumed to take
        as long again.

        :param call: request in progress.
        :param predicted_s: predicted duration of the hedge in seconds.
        """
        elapsed_s = self._clock.now_s() - call.sent_s
        first_s: float | None = call.predicted_s
        if elapsed_s >= call.predicted_s:
            durations = self._durations.get(call.route.name)
            first_s = durations.mean_above_s(elapsed_s) if durations else None
        if first_s is None:
            first_s = 2 * elapsed_s
        return elapsed_s + predicted_s < first_s

    def try_spend(self, service: str, now_s: float) -> bool:
        """Spend one hedge and return whether it may be sent."""
        return self._budget_for(service).try_spend(now_s)

    def refund(self, service: str, spent_s: float) -> None:
        """Return a hedge that was not sent."""
        self._budget_for(service).refund(spent_s)

    def _is_usual_hedge_sooner(self, call: calls.Call) -> bool:
        """Return whether a hedge at usual speed would end sooner."""
        usual_s = self._predictor.processing_time_s(call.route)
        return self.ends_sooner(call, usual_s)

    def _quantile_s(self, call: calls.Call) -> float | None:
        """Return the quantile for a route, None while it is not known."""
        durations = self._durations.get(call.route.name)
        if durations is None:
            return None
        return durations.quantile_s(self._limits.quantile)

    def _budget_for(self, service: str) -> HedgeBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = HedgeBudget(extra_ratio=self._limits.extra_ratio)
            self._budgets[service] = budget
        return budget
