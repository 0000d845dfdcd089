"""Policies that choose one of several targets."""

import abc
import collections.abc
import math
import random

from trefoilstand.decision import const
from trefoilstand.decision import models

Candidates = collections.abc.Sequence[models.Candidate]


class SelectionPolicy(abc.ABC):
    """Choose a target for one attempt.

    :param random_source: source of random numbers, seeded in replays.
    """

    def __init__(self, *, random_source: random.Random) -> None:
        self._random = random_source

    @abc.abstractmethod
    def choose(self, candidates: Candidates, now_s: float) -> models.Candidate:
        """Return one of the candidates.

        :param candidates: at least one target that may be chosen.
        :param now_s: monotonic time.
        """

    def _least(
        self, candidates: Candidates, scores: list[float]
    ) -> models.Candidate:
        """Return a random one of the candidates with the least score."""
        least = min(scores)
        ties = [
            candidate
            for candidate, score in zip(candidates, scores, strict=True)
            if score == least
        ]
        return ties[int(self._random.random() * len(ties))]


class RandomPolicy(SelectionPolicy):
    """Choose any target with the same probability."""

    def choose(self, candidates: Candidates, now_s: float) -> models.Candidate:
        """Return one of the candidates."""
        return self._random.choice(candidates)


class RoundRobinPolicy(SelectionPolicy):
    """Choose targets in turn."""

    def __init__(self, *, random_source: random.Random) -> None:
        super().__init__(random_source=random_source)
        self._position = random_source.randrange(1 << 16)

    def choose(self, candidates: Candidates, now_s: float) -> models.Candidate:
        """Return one of the candidates."""
        self._position += 1
        return candidates[self._position % len(candidates)]


class TwoChoicesPolicy(SelectionPolicy):
    """Choose the less loaded of two random targets by their reports."""

    def choose(self, candidates: Candidates, now_s: float) -> models.Candidate:
        """Return one of the candidates."""
        pair = self._random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=_reported_load)


class LeastInFlightPolicy(SelectionPolicy):
    """Choose the target with the fewest own requests per slot."""

    def choose(self, candidates: Candidates, now_s: float) -> models.Candidate:
        """Return one of the candidates."""
        scores = [
            candidate.own_in_flight / candidate.target.slots
            for candidate in candidates
        ]
        return self._least(candidates, scores)


class LeastExpectedWaitPolicy(SelectionPolicy):
    """Choose by own requests, aged reports and relative latency.

    Own counts are exact and weigh fully.  What a report adds beyond them
    moves towards the mean of all targets as it ages, so that a target of
    which nothing fresh is known looks neither idle nor busy.  A target
    that answers more slowly than the others, or whose oldest own request
    is overdue, counts as busier than it is.
    """

    def choose(self, candidates: Candidates, now_s: float) -> models.Candidate:
        """Return one of the candidates."""
        typical_ms = _typical_latency_ms(candidates)
        excesses = [_reported_excess(item) for item in candidates]
        known = [excess for excess in excesses if excess is not None]
        mean = sum(known) / len(known) if known else 0.0
        scores = [
            _score(item, excess, mean, typical_ms, now_s)
            for item, excess in zip(candidates, excesses, strict=True)
        ]
        return self._least(candidates, scores)


def _score(
    candidate: models.Candidate,
    excess: float | None,
    mean_excess: float,
    typical_ms: float,
    now_s: float,
) -> float:
    """Return a figure that grows with the expected wait at a target."""
    load = float(candidate.own_in_flight)
    report = candidate.health.report
    if excess is not None and report is not None:
        age_s = now_s - report.observed_s
        freshness = math.exp(-age_s / const.REPORT_DECAY_S)
        load += const.REPORT_WEIGHT * (excess - mean_excess) * freshness
    slots = candidate.target.slots
    if candidate.oldest_age_ms > typical_ms * const.OVERDUE_LATENCY_FACTOR:
        load += slots
    score = load / slots
    latency_ms = candidate.health.latency_ms
    if latency_ms is not None:
        slowness = latency_ms / typical_ms - const.SLOW_LATENCY_FACTOR
        score += const.SLOWNESS_WEIGHT * max(slowness, 0.0)
    return score


def _reported_excess(candidate: models.Candidate) -> float | None:
    """Return the reported load beyond the own requests, None if unknown."""
    report = candidate.health.report
    if report is None:
        return None
    return float(max(report.in_flight - candidate.own_in_flight, 0))


def _typical_latency_ms(candidates: Candidates) -> float:
    latencies_ms = sorted(
        item.health.latency_ms
        for item in candidates
        if item.health.latency_ms is not None
    )
    if not latencies_ms:
        return const.TYPICAL_LATENCY_MS
    return max(latencies_ms[len(latencies_ms) // 2], const.MIN_LATENCY_MS)


def _reported_load(candidate: models.Candidate) -> float:
    report = candidate.health.report
    return report.in_flight / report.slots if report else 0.0
