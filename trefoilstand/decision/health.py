"""Update the health of targets from observations and eject failing ones."""

import collections.abc
import dataclasses

from trefoilstand.decision import const
from trefoilstand.decision import models

Candidates = list[models.Candidate]

# A target that sheds load is healthy: it reports correctly that it is full.
_HEALTHY_REASONS = frozenset(
    {models.Reason.WHOLE_ANSWER, models.Reason.SHED_BY_TARGET}
)
# These reasons are no evidence about the health of the target.
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
    """Return the health of a target after one attempt or load report.

    :param health: health before the observation.
    :param result: what was observed.
    :param now_s: monotonic time in seconds.
    """
    health = _apply_report(health, result, now_s)
    reason = result.classified_outcome.reason
    if reason in _NEUTRAL_REASONS:
        return health
    if reason not in _HEALTHY_REASONS or result.is_server_error:
        return _record_failure(health, now_s)
    latency_ms = health.latency_ms
    if reason is models.Reason.WHOLE_ANSWER:
        latency_ms = _smooth_latency_ms(latency_ms, result.latency_ms)
    return dataclasses.replace(
        health,
        latency_ms=latency_ms,
        consecutive_failures=0,
        ejections=0,
        ejected_until_s=0.0,
    )


def _apply_report(
    health: models.TargetHealth,
    result: models.AttemptResult,
    now_s: float,
) -> models.TargetHealth:
    """Apply the reported incarnation and load unless newer ones are known.

    Another incarnation resets the health, since it is another process.
    """
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


def _smooth_latency_ms(previous_ms: float | None, sample_ms: float) -> float:
    if previous_ms is None:
        return sample_ms
    return previous_ms + const.LATENCY_SMOOTHING * (sample_ms - previous_ms)


def _record_failure(
    health: models.TargetHealth, now_s: float
) -> models.TargetHealth:
    failures = health.consecutive_failures + 1
    if failures < const.EJECTION_FAILURES or now_s < health.ejected_until_s:
        return dataclasses.replace(health, consecutive_failures=failures)
    ejection_s = min(
        const.EJECTION_BASE_S * 2**health.ejections, const.EJECTION_MAX_S
    )
    return dataclasses.replace(
        health,
        consecutive_failures=failures,
        ejections=health.ejections + 1,
        ejected_until_s=now_s + ejection_s,
    )


def exclude_ejected(
    candidates: collections.abc.Sequence[models.Candidate], now_s: float
) -> Candidates:
    """Exclude ejected targets, but keep at least half of the candidates.

    When most targets look unhealthy, the observations are more likely
    wrong than the targets, so those whose ejection ends first are kept.

    :param candidates: targets of one service.
    :param now_s: monotonic time in seconds.
    """
    not_ejected = [
        candidate
        for candidate in candidates
        if candidate.health.ejected_until_s <= now_s
    ]
    min_kept = len(candidates) - int(len(candidates) * const.MAX_EJECTED_RATIO)
    if len(not_ejected) >= min_kept:
        return not_ejected
    return sorted(
        candidates, key=lambda candidate: candidate.health.ejected_until_s
    )[:min_kept]
