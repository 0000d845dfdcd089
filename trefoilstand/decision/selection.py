"""Load-balancing policies that choose one of several targets."""

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
        :param now_s: monotonic time in seconds.
        """

    def _choose_lowest(
        self, candidates: Candidates, scores: list[float]
    ) -> models.Candidate:
        """Return a random candidate among those with the lowest score."""
        lowest_score = min(scores)
        tied_candidates = [
            candidate
            for candidate, score in zip(candidates, scores, strict=True)
            if score == lowest_score
        ]
        return tied_candidates[
            int(self._random.random() * len(tied_candidates))
        ]


class RandomPolicy(SelectionPolicy):
    """Choose every target with the same probability."""

    def choose(self, candidates: Candidates, now_s: float) -> models.Candidate:
        """Return one of the candidates."""
        return self._random.choice(candidates)


class RoundRobinPolicy(SelectionPolicy):
    """Choose targets in turn, from a random start position."""

    def __init__(self, *, random_source: random.Random) -> None:
        super().__init__(random_source=random_source)
        self._last_index = random_source.randrange(1 << 16)

    def choose(self, candidates: Candidates, now_s: float) -> models.Candidate:
        """Return one of the candidates."""
        self._last_index += 1
        return candidates[self._last_index % len(candidates)]


class TwoChoicesPolicy(SelectionPolicy):
    """Choose the one of two random targets with the lower reported load."""

    def choose(self, candidates: Candidates, now_s: float) -> models.Candidate:
        """Return one of the candidates."""
        sampled_pair = self._random.sample(candidates, min(2, len(candidates)))
        return min(sampled_pair, key=_reported_load_per_slot)


class LeastInFlightPolicy(SelectionPolicy):
    """Choose the target with the fewest in-flight own requests per slot."""

    def choose(self, candidates: Candidates, now_s: float) -> models.Candidate:
        """Return one of the candidates."""
        scores = [
            candidate.own_in_flight / candidate.target.slots
            for candidate in candidates
        ]
        return self._choose_lowest(candidates, scores)


class LeastExpectedWaitPolicy(SelectionPolicy):
    """Choose by own requests, age-weighted reports and relative latency.

    Counts of own requests are exact and have full weight.  The requests
    of other senders in a load report are weighed relative to the mean of
    all targets, and their weight decays with the age of the report, so
    that a target without a recent report looks neither idle nor busy.  A
    target that responds more slowly than the others, or whose oldest own
    request is overdue, is scored as busier than its load.
    """

    def choose(self, candidates: Candidates, now_s: float) -> models.Candidate:
        """Return one of the candidates."""
        typical_ms = _typical_latency_ms(candidates)
        counts_of_others = [
            _requests_of_others(candidate) for candidate in candidates
        ]
        known_counts = [
            count_of_others
            for count_of_others in counts_of_others
            if count_of_others is not None
        ]
        mean_of_others = (
            sum(known_counts) / len(known_counts) if known_counts else 0.0
        )
        scores = [
            _expected_wait_score(
                candidate, count_of_others, mean_of_others, typical_ms, now_s
            )
            for candidate, count_of_others in zip(
                candidates, counts_of_others, strict=True
            )
        ]
        return self._choose_lowest(candidates, scores)


def _expected_wait_score(
    candidate: models.Candidate,
    count_of_others: float | None,
    mean_of_others: float,
    typical_ms: float,
    now_s: float,
) -> float:
    """Return a score that grows with the expected wait at a target."""
    load = float(candidate.own_in_flight)
    report = candidate.health.report
    if count_of_others is not None and report is not None:
        age_s = now_s - report.observed_s
        report_freshness = math.exp(-age_s / const.REPORT_DECAY_S)
        load += (
            const.REPORT_WEIGHT
            * (count_of_others - mean_of_others)
            * report_freshness
        )
    slots = candidate.target.slots
    if candidate.oldest_age_ms > typical_ms * const.OVERDUE_LATENCY_FACTOR:
        load += slots
    score = load / slots
    latency_ms = candidate.health.latency_ms
    if latency_ms is not None:
        excess_latency_ratio = (
            latency_ms / typical_ms - const.SLOW_LATENCY_FACTOR
        )
        score += const.SLOWNESS_WEIGHT * max(excess_latency_ratio, 0.0)
    return score


def _requests_of_others(candidate: models.Candidate) -> float | None:
    """Return how many reported requests come from others, None if unknown."""
    report = candidate.health.report
    if report is None:
        return None
    return float(max(report.in_flight - candidate.own_in_flight, 0))


def _typical_latency_ms(candidates: Candidates) -> float:
    """Return the median latency in milliseconds, or a default without any."""
    latencies_ms = sorted(
        candidate.health.latency_ms
        for candidate in candidates
        if candidate.health.latency_ms is not None
    )
    if not latencies_ms:
        return const.DEFAULT_TYPICAL_LATENCY_MS
    return max(latencies_ms[len(latencies_ms) // 2], const.MIN_LATENCY_MS)


def _reported_load_per_slot(candidate: models.Candidate) -> float:
    report = candidate.health.report
    return report.in_flight / report.slots if report else 0.0
