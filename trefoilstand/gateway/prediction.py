"""Predict how long a target would take for a request."""

from trefoilstand.gateway import const
from trefoilstand.gateway import models
from trefoilstand.gateway import targets


class MovingMean:
    """Compute an exponentially weighted moving mean.

    The prior counts as one sample among the first ones, so that it does not
    outweigh them on a host that gets few requests.

    :param prior: value before the first sample.
    :param weight: weight of a new sample, from 0 to 1, once there are many.
    """

    __slots__ = ("_count", "_weight", "value")

    def __init__(self, *, prior: float, weight: float) -> None:
        self.value = prior
        self._weight = weight
        self._count = 0

    def add(self, sample: float) -> None:
        """Update the mean with a sample."""
        self._count += 1
        weight = max(self._weight, 1 / (self._count + 1))
        self.value += weight * (sample - self.value)


class Predictor:
    """Measure processing times and predict from load reports.

    The targets of some services slow down when they are nearly full.  This
    is detected per service by comparing the durations of requests sent to
    nearly full targets with the usual processing time of their route.
    """

    def __init__(self) -> None:
        self._processing_times_s: dict[str, MovingMean] = {}
        self._saturation_slowdowns: dict[str, MovingMean] = {}

    def processing_time_s(self, route: models.Route) -> float:
        """Return the expected processing time at usual speed, in seconds."""
        mean_s = self._processing_times_s.get(route.name)
        if mean_s is None:
            return route.objective_s * const.PRIOR_PROCESSING_TIME_SHARE
        return mean_s.value

    def record_duration(
        self,
        route: models.Route,
        service: str,
        elapsed_s: float,
        report: models.LoadReport | None,
    ) -> None:
        """Update the estimates with the duration of one answered request.

        :param route: route of the request.
        :param service: service that processed it.
        :param elapsed_s: time from sending it to the response.
        :param report: load report of the target before the request was
            sent, None if there was none.
        """
        if report is None:
            self._record_processing_time(route, elapsed_s)
            return
        occupied = report.running + report.waiting + 1
        if (
            report.slowdown > const.MAX_USUAL_SLOWDOWN
            or occupied > report.slots
        ):
            # The slowdown or queue may have ended during the request, so the
            # duration does not represent either state.
            return
        if occupied > report.slots * const.SATURATION_SHARE:
            slowdown = self._saturation_slowdowns.setdefault(
                service, MovingMean(prior=1.0, weight=const.SATURATION_WEIGHT)
            )
            ratio = elapsed_s / max(self.processing_time_s(route), 1e-4)
            slowdown.add(min(ratio, const.MAX_SATURATION_RATIO))
            return
        self._record_processing_time(route, elapsed_s)

    def _record_processing_time(
        self, route: models.Route, elapsed_s: float
    ) -> None:
        mean_s = self._processing_times_s.setdefault(
            route.name,
            MovingMean(
                prior=self.processing_time_s(route),
                weight=const.PROCESSING_TIME_WEIGHT,
            ),
        )
        # The cap limits the effect of slowdowns that begin during the request.
        mean_s.add(
            min(elapsed_s, const.MAX_PROCESSING_TIME_RATIO * mean_s.value)
        )

    def saturation_slowdown(self, service: str) -> float:
        """Return the measured slowdown of nearly full targets of a service."""
        mean = self._saturation_slowdowns.get(service)
        return 1.0 if mean is None else mean.value

    def capacity_limit(self, target: targets.Target) -> int:
        """Return how many requests a target runs without slowing down."""
        report = target.report
        slots = report.slots if report else target.record.slots
        if (
            self.saturation_slowdown(target.record.service)
            < const.MIN_SATURATION_SLOWDOWN
        ):
            return slots
        return max(int(slots * const.SATURATION_SHARE), 1)

    def has_capacity(self, target: targets.Target, now_s: float) -> bool:
        """Return whether one more request would start at once."""
        return _estimate_load(target, now_s) < self.capacity_limit(target)

    def has_spare_capacity(self, target: targets.Target, now_s: float) -> bool:
        """Return whether capacity remains after one more request."""
        return _estimate_load(target, now_s) + 1 < self.capacity_limit(target)

    def predict_s(
        self, target: targets.Target, route: models.Route, now_s: float
    ) -> float:
        """Return the expected time from sending a request to the response.

        :param target: where the request would go.
        :param route: route of the request.
        :param now_s: monotonic time.
        :returns: time in seconds.
        """
        usual_s = self.processing_time_s(route)
        slots = max(target.record.slots, 1)
        slowdown = const.DEFAULT_SLOWDOWN
        report = _recent_report(target, now_s)
        if report is not None:
            slots = report.slots
            slowdown = report.slowdown
        if target.is_warming(now_s):
            slowdown *= const.WARMUP_SLOWDOWN
        load = _estimate_load(target, now_s)
        if load >= self.capacity_limit(target):
            slowdown *= self.saturation_slowdown(target.record.service)
        queued_ahead = max(load + 1 - slots, 0)
        # A request that starts during a slowdown is slowed down to its end.
        return usual_s * slowdown * (1 + queued_ahead / slots)

    def cost(
        self, target: targets.Target, route: models.Route, now_s: float
    ) -> float:
        """Return the expected cost of sending a request to a target.

        The unit is one request that misses its objective.

        :param target: where the request would go.
        :param route: route of the request.
        :param now_s: monotonic time.
        """
        objective_share = (
            self.predict_s(target, route, now_s) / route.objective_s
        )
        miss_risk = (
            objective_share - const.ON_TIME_SHARE
        ) / const.MISS_SPAN_SHARE
        cost = max(miss_risk, 0.0) + objective_share * const.LATENCY_COST
        return cost + target.current_error_rate(now_s) * const.ERROR_COST


def _recent_report(
    target: targets.Target, now_s: float
) -> models.LoadReport | None:
    report = target.report
    if report is None:
        return None
    if now_s - report.observed_s > const.REPORT_LIFETIME_S:
        return None
    return report


def _estimate_load(target: targets.Target, now_s: float) -> int:
    """Return the estimated number of requests at a target."""
    report = _recent_report(target, now_s)
    if report is None:
        return len(target.in_flight)
    return report.running + report.waiting + target.unreported_count()
