"""Predict when a target would finish a request."""

import typing

from trefoilstand.gateway import const
from trefoilstand.gateway import models
from trefoilstand.gateway import targets

#: Predicted end at a target whose queue is too long to be waited for.
QUEUE_TOO_LONG_S: typing.Final = 1e6


class WorkEstimator:
    """Learn how long the requests of each route work at usual speed."""

    def __init__(self) -> None:
        self._work_s: dict[str, float] = {}

    def estimate_s(self, route: models.Route) -> float:
        """Return the expected working time of a request."""
        known = self._work_s.get(route.name)
        if known is None:
            return route.objective_s * const.PRIOR_WORK_SHARE
        return known

    def learn(
        self, route: models.Route, elapsed_s: float, slowdown: float
    ) -> None:
        """Take in the duration of one answered request."""
        sample_s = elapsed_s / max(slowdown, 1.0)
        known_s = self.estimate_s(route)
        self._work_s[route.name] = known_s + const.WORK_WEIGHT * (
            sample_s - known_s
        )


def stretch_s(work_s: float, slowdown: float) -> float:
    """Return how long work takes that starts under a slowdown.

    The slowdown is expected to end after a while; what is left then goes on
    at the typical pace.
    """
    if slowdown <= const.TYPICAL_SLOWDOWN:
        return work_s * slowdown
    slow_s = work_s * slowdown
    if slow_s <= const.SLOWDOWN_PERSISTENCE_S:
        return slow_s
    done_s = const.SLOWDOWN_PERSISTENCE_S / slowdown
    return (
        const.SLOWDOWN_PERSISTENCE_S
        + (work_s - done_s) * const.TYPICAL_SLOWDOWN
    )


def predict_s(target: targets.Target, work_s: float, now_s: float) -> float:
    """Return the expected time until a new request is answered.

    :param target: where it would go.
    :param work_s: working time at usual speed.
    :param now_s: monotonic time.
    """
    report = target.report
    is_known = (
        report is not None
        and now_s - report.observed_s <= const.REPORT_LIFETIME_S
    )
    slots = max(target.record.slots, 1)
    slowdown = const.TYPICAL_SLOWDOWN
    load = len(target.in_flight)
    if report is not None and is_known:
        slots = max(report.slots, 1)
        slowdown = report.slowdown
        load = report.running + report.waiting + target.unreported()
        if report.waiting >= slots:
            return QUEUE_TOO_LONG_S + report.waiting
    if target.is_warming(now_s):
        slowdown *= const.WARMUP_SLOWDOWN
    if load + 1 > slots * const.KNEE_SHARE:
        slowdown *= const.KNEE_SLOWDOWN
    service_s = stretch_s(work_s, slowdown)
    ahead = max(load + 1 - slots, 0)
    return service_s * (1 + ahead / slots)


def score_s(
    *,
    target: targets.Target,
    route: models.Route,
    work_s: float,
    own_domain: str,
    now_s: float,
) -> float:
    """Return the predicted time with the costs of errors and distance."""
    score = predict_s(target, work_s, now_s)
    rate = target.current_error_rate(now_s)
    score += rate * const.ERROR_COST_OBJECTIVES * route.objective_s
    if target.record.failure_domain != own_domain:
        score += work_s * const.DISTANCE_WORK_SHARE
    return score
