"""Predict when a target would finish a request."""

from trefoilstand.gateway import const
from trefoilstand.gateway import models
from trefoilstand.gateway import targets


class MovingMean:
    """Follow the mean of samples.

    :param prior: value before the first sample.
    :param weight: weight of a new sample.
    """

    __slots__ = ("_weight", "value")

    def __init__(self, *, prior: float, weight: float) -> None:
        self.value = prior
        self._weight = weight

    def add(self, sample: float) -> None:
        """Take in a sample."""
        self.value += self._weight * (sample - self.value)


class Predictor:
    """Learn working times and predict from reports.

    Some targets slow down when they are nearly full.  Whether those of a
    service do is learned from the durations of requests that found a
    target nearly full, against those that did not.
    """

    def __init__(self) -> None:
        self._work_s: dict[str, MovingMean] = {}
        self._knees: dict[str, MovingMean] = {}

    def work_s(self, route: models.Route) -> float:
        """Return the expected working time of a request at usual pace."""
        known = self._work_s.get(route.name)
        if known is None:
            return route.objective_s * const.PRIOR_WORK_SHARE
        return known.value

    def learn(
        self,
        route: models.Route,
        service: str,
        elapsed_s: float,
        report: models.LoadReport | None,
    ) -> None:
        """Take in the duration of one answered request.

        :param report: what its target said before the request was sent.
        """
        if report is None:
            self._learn_work(route, elapsed_s)
            return
        occupied = report.running + report.waiting + 1
        if report.slowdown > const.USUAL_SLOWDOWN or occupied > report.slots:
            # A slowdown or a queue may have ended meanwhile.
            return
        if occupied > report.slots * const.KNEE_SHARE:
            knee = self._knees.setdefault(
                service, MovingMean(prior=1.0, weight=const.KNEE_WEIGHT)
            )
            ratio = elapsed_s / max(self.work_s(route), 1e-4)
            knee.add(min(ratio, const.MAX_KNEE_SAMPLE))
            return
        self._learn_work(route, elapsed_s)

    def _learn_work(self, route: models.Route, elapsed_s: float) -> None:
        known = self._work_s.setdefault(
            route.name,
            MovingMean(prior=self.work_s(route), weight=const.WORK_WEIGHT),
        )
        # Slowdowns that begin on the way would lift the mean.
        known.add(min(elapsed_s, const.MAX_WORK_SAMPLE * known.value))

    def knee(self, service: str) -> float:
        """Return the slowdown of nearly full targets of a service."""
        known = self._knees.get(service)
        return 1.0 if known is None else known.value

    def room_limit(self, target: targets.Target) -> int:
        """Return how many requests a target runs at its best pace."""
        report = target.report
        slots = report.slots if report else target.record.slots
        if self.knee(target.record.service) < const.KNEE_SLOWDOWN:
            return slots
        return max(int(slots * const.KNEE_SHARE), 1)

    def has_room(self, target: targets.Target, now_s: float) -> bool:
        """Return whether one more request would start at once."""
        return _load(target, now_s) < self.room_limit(target)

    def has_spare_room(self, target: targets.Target, now_s: float) -> bool:
        """Return whether room is left beside one more request."""
        return _load(target, now_s) + 1 < self.room_limit(target)

    def predict_s(
        self, target: targets.Target, route: models.Route, now_s: float
    ) -> float:
        """Return the expected time until a new request is answered."""
        work_s = self.work_s(route)
        slots = max(target.record.slots, 1)
        slowdown = const.TYPICAL_SLOWDOWN
        report = _recent(target, now_s)
        if report is not None:
            slots = report.slots
            slowdown = report.slowdown
        if target.is_warming(now_s):
            slowdown *= const.WARMUP_SLOWDOWN
        load = _load(target, now_s)
        if load >= self.room_limit(target):
            slowdown *= self.knee(target.record.service)
        ahead = max(load + 1 - slots, 0)
        # A slowdown lasts for all of the work that starts during it.
        return work_s * slowdown * (1 + ahead / slots)

    def cost(
        self, target: targets.Target, route: models.Route, now_s: float
    ) -> float:
        """Return the expected loss of sending a request to a target.

        One stands for a request that misses its objective.
        """
        share = self.predict_s(target, route, now_s) / route.objective_s
        late = (share - const.EARLY_SHARE) / const.LATE_SPAN
        cost = max(late, 0.0) + share * const.SPEED_COST
        return cost + target.current_error_rate(now_s) * const.ERROR_COST


def _recent(target: targets.Target, now_s: float) -> models.LoadReport | None:
    report = target.report
    if report is None:
        return None
    if now_s - report.observed_s > const.REPORT_LIFETIME_S:
        return None
    return report


def _load(target: targets.Target, now_s: float) -> int:
    """Return the requests that are believed to be at a target."""
    report = _recent(target, now_s)
    if report is None:
        return len(target.in_flight)
    return report.running + report.waiting + target.unreported()
