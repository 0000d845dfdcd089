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
    """Choose by own requests, aged reports and overdue requests.

    Own counts are exact and weigh fully.  What a report adds beyond them
    loses weight exponentially with its age.  A target whose oldest own
    request is long overdue counts as slow right now.
    """

    def choose(self, candidates: Candidates, now_s: float) -> models.Candidate:
        """Return one of the candidates."""
        scores = [score_wait(item, now_s) for item in candidates]
        return self._least(candidates, scores)


def score_wait(candidate: models.Candidate, now_s: float) -> float:
    """Return a figure that grows with the expected wait at a target."""
    load = float(candidate.own_in_flight)
    report = candidate.health.report
    if report is not None:
        excess = report.in_flight - candidate.own_in_flight
        age_s = now_s - report.observed_s
        if excess > 0 and age_s < 8 * const.REPORT_DECAY_S:
            load += excess * math.exp(-age_s / const.REPORT_DECAY_S)
    typical_ms = candidate.health.latency_ms or const.TYPICAL_LATENCY_MS
    overdue = candidate.oldest_age_ms / (
        typical_ms * const.OVERDUE_LATENCY_FACTOR
    )
    if overdue > 1.0:
        load += overdue * candidate.target.slots
    return load / candidate.target.slots
