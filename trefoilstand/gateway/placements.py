"""Describe requests that need a target, and targets chosen for them."""

import collections.abc
import dataclasses

from trefoilstand.gateway import const
from trefoilstand.gateway import models
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import targets


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """Pair the chosen target with a connection to it.

    :param target: where the request goes.
    :param connection: connection reserved for this request.
    :param predicted_s: expected time until the response.
    :param report: last load report of the target, None without one.
    :param report_age_s: age of that report, None without one.
    """

    target: targets.Target
    connection: pool.TargetConnection
    predicted_s: float
    report: models.LoadReport | None
    report_age_s: float | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SelectionRequest:
    """Describe the request for which a target is to be selected.

    :param service: service that processes the request.
    :param route: route of the request.
    :param excluded: identities of targets that the request was already sent
        to.
    :param due_s: monotonic time up to which a response meets the objective.
    :param latest_s: monotonic time after which nobody waits for a response.
    :param is_repeated: whether an earlier search found no target.
    :param is_hedge: whether a first attempt is running, so that only a
        target that is known to be free is of use.
    """

    service: str
    route: models.Route
    excluded: collections.abc.Set[str]
    due_s: float
    latest_s: float
    is_repeated: bool = False
    is_hedge: bool = False

    def rules_out(self, target: targets.Target, now_s: float) -> bool:
        """Return whether a target may not be used, whatever its load.

        Hedges are extra work, which cold and failing targets are spared.
        """
        return self.is_hedge and (
            target.is_warming(now_s)
            or target.ejected_until_s > now_s
            or target.failures > 0
        )

    def accepts(
        self,
        target: targets.Target,
        predictor: prediction.Predictor,
        now_s: float,
    ) -> bool:
        """Return whether a target is good enough to be used now.

        As long as the objective can be met, only targets that are predicted
        to meet it are accepted.  Later the request only gets spare capacity:
        targets predicted to finish it within one objective, or within the
        usual time if that is longer, with capacity for a further request.
        """
        if self.rules_out(target, now_s) or (
            self.is_hedge and not _is_load_recent(target, now_s)
        ):
            return False
        if not predictor.has_capacity(target, now_s):
            return False
        finish_s = now_s + predictor.predict_s(target, self.route, now_s)
        if not self.misses_objective(predictor, now_s):
            return finish_s <= self.due_s
        # If work that is longer than the objective were refused, no response
        # could ever correct an estimate that became too long.
        longest_s = max(
            self.route.objective_s,
            predictor.processing_time_s(self.route) * const.DEFAULT_SLOWDOWN,
        )
        return finish_s <= min(
            self.latest_s, now_s + longest_s
        ) and predictor.has_spare_capacity(target, now_s)

    def misses_objective(
        self, predictor: prediction.Predictor, now_s: float
    ) -> bool:
        """Return whether the objective can no longer be met."""
        return now_s + predictor.processing_time_s(self.route) > self.due_s


def _is_load_recent(target: targets.Target, now_s: float) -> bool:
    """Return whether the load report of a target is as good as a probe."""
    report = target.report
    return (
        report is not None
        and now_s - report.observed_s <= const.REPROBE_DELAY_S
    )


def make_placement(
    target: targets.Target,
    connection: pool.TargetConnection,
    route: models.Route,
    predictor: prediction.Predictor,
    now_s: float,
) -> Placement:
    """Return the placement of a request at a target.

    :param target: where the request goes.
    :param connection: connection reserved for the request.
    :param route: route of the request.
    :param predictor: predicts processing times.
    :param now_s: monotonic time.
    """
    report = target.report
    return Placement(
        target=target,
        connection=connection,
        predicted_s=predictor.predict_s(target, route, now_s),
        report=report,
        report_age_s=now_s - report.observed_s if report else None,
    )
