"""Update what is known of targets from what was observed."""

import collections.abc
import dataclasses

from trefoilstand.decision import const
from trefoilstand.decision import models

Candidates = list[models.Candidate]

# A target that sheds is well: it says truthfully that it is full.
_HEALTHY_REASONS = frozenset(
    {models.Reason.WHOLE_ANSWER, models.Reason.SHED_BY_TARGET}
)
# These ends say nothing about the target.
_NEUTRAL_REASONS = frozenset(
    {
        models.Reason.ANSWER_TOO_LARGE,
        models.Reason.DEADLINE_BEFORE_SEND,
        models.Reason.REPEAT_BLOCKED,
    }
)


def update(
    health: models.TargetHealth,
    result: models.AttemptResult,
    now_s: float,
) -> models.TargetHealth:
    """Return the health of a target after one attempt or report."""
    health = _take_statement(health, result, now_s)
    reason = result.judgement.reason
    if reason in _NEUTRAL_REASONS:
        return health
    if reason not in _HEALTHY_REASONS or result.is_server_error:
        return _record_failure(health, now_s)
    latency_ms = health.latency_ms
    if reason is models.Reason.WHOLE_ANSWER:
        latency_ms = _smooth(latency_ms, result.latency_ms)
    return dataclasses.replace(
        health,
        latency_ms=latency_ms,
        consecutive_failures=0,
        ejections=0,
        ejected_until_s=0.0,
    )


def _take_statement(
    health: models.TargetHealth,
    result: models.AttemptResult,
    now_s: float,
) -> models.TargetHealth:
    """Take over identity and load, unless something newer is known."""
    observed_s = result.report.observed_s if result.report else now_s
    if result.incarnation and observed_s >= health.incarnation_seen_s:
        if result.incarnation != health.incarnation:
            health = models.TargetHealth(incarnation=result.incarnation)
        health = dataclasses.replace(health, incarnation_seen_s=observed_s)
    if result.report is None:
        return health
    if health.report and health.report.observed_s >= observed_s:
        return health
    return dataclasses.replace(health, report=result.report)


def _smooth(before_ms: float | None, sample_ms: float) -> float:
    if before_ms is None:
        return sample_ms
    return before_ms + const.LATENCY_SMOOTHING * (sample_ms - before_ms)


def _record_failure(
    health: models.TargetHealth, now_s: float
) -> models.TargetHealth:
    failures = health.consecutive_failures + 1
    if failures < const.EJECTION_FAILURES or now_s < health.ejected_until_s:
        return dataclasses.replace(health, consecutive_failures=failures)
    pause_s = min(
        const.EJECTION_BASE_S * 2**health.ejections, const.EJECTION_MAX_S
    )
    return dataclasses.replace(
        health,
        consecutive_failures=failures,
        ejections=health.ejections + 1,
        ejected_until_s=now_s + pause_s,
    )


def drop_ejected(
    candidates: collections.abc.Sequence[models.Candidate], now_s: float
) -> Candidates:
    """Leave out ejected targets, but never more than half of them.

    When most targets look ill, the observations are the likelier fault,
    so the least ill ones are used all the same.
    """
    usable = [
        item for item in candidates if item.health.ejected_until_s <= now_s
    ]
    floor = len(candidates) - int(len(candidates) * const.MAX_EJECTED_RATIO)
    if len(usable) >= floor:
        return usable
    return sorted(candidates, key=lambda item: item.health.ejected_until_s)[
        :floor
    ]
