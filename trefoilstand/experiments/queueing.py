"""Small model of targets with slots, driven by the real decision engine.

Calls arrive at random at several choosers, each with an engine of its own.
A target works on as many calls as it has slots and lets the others wait.
All randomness comes from one seed.
"""

import abc
import collections
import collections.abc
import dataclasses
import heapq
import itertools
import math
import random
import typing

from trefoilstand.configuration import loader
from trefoilstand.decision import engine
from trefoilstand.decision import models
from trefoilstand.decision import selection
from trefoilstand.standins import texts

_SERVICE: typing.Final = "work"
_FAILED_WORK_S: typing.Final = 0.0002


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """Describe load and disturbances.

    :param name: name shown in tables.
    :param load_ratio: load as a share of what all targets can carry.
    :param slow_factor: factor on the work of a slowed target.
    :param slow_s: length of each slowdown.
    :param slow_every_s: mean time between slowdowns, 0 for none.
    :param failing: targets that fail each call at once.
    :param targets: number of targets.
    :param slots: calls that a target works on at the same time.
    :param choosers: entry hosts that choose on their own.
    :param work_s: median time of the work.
    :param one_way_s: time of one way over the network.
    :param seconds: length of the run.
    """

    name: str
    load_ratio: float
    slow_factor: float = 1.0
    slow_s: float = 0.0
    slow_every_s: float = 0.0
    failing: int = 0
    targets: int = 12
    slots: int = 6
    choosers: int = 16
    work_s: float = 0.010
    one_way_s: float = 0.001
    seconds: float = 8.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Target:
    """Hold the state of one target."""

    slots: int
    fails: bool = False
    working: int = 0
    underway: int = 0
    factor: float = 1.0
    waiting: "collections.deque[_Call]" = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class _Call:
    """Hold one call on its way."""

    started_s: float
    chooser: int
    target: int
    attempt: models.Attempt | None


class Chooser(abc.ABC):
    """Choose targets for all entry hosts of a run."""

    @abc.abstractmethod
    def begin(
        self, chooser: int, now_s: float
    ) -> tuple[int, models.Attempt | None] | None:
        """Return a target and the attempt there, None for a refusal."""

    @abc.abstractmethod
    def finish(
        self,
        chooser: int,
        attempt: models.Attempt | None,
        result: models.AttemptResult,
        now_s: float,
    ) -> None:
        """Learn from the end of an attempt."""


class EngineChooser(Chooser):
    """Choose with one real engine for each entry host."""

    def __init__(
        self,
        *,
        scenario: Scenario,
        policy: type[selection.SelectionPolicy],
        seed: int,
    ) -> None:
        addresses = [
            f"127.0.0.{number + 1}:9000" for number in range(scenario.targets)
        ]
        text = texts.make_text(
            service=_SERVICE, addresses=addresses, slots=scenario.slots
        )
        content = loader.parse_configuration(source_name="x", text=text)
        self._engines = []
        for number in range(scenario.choosers):
            source = random.Random(f"{seed}-{number}")
            made = engine.DecisionEngine(
                policy=policy(random_source=source), random_source=source
            )
            made.apply_configuration(content)
            self._engines.append(made)
        self._numbers = {
            address: number for number, address in enumerate(addresses)
        }

    def begin(
        self, chooser: int, now_s: float
    ) -> tuple[int, models.Attempt | None] | None:
        """Return a target and the attempt there, None for a refusal."""
        found = self._engines[chooser].begin_attempt(_SERVICE, now_s)
        if isinstance(found, models.Refusal):
            return None
        return self._numbers[found.target.address], found

    def finish(
        self,
        chooser: int,
        attempt: models.Attempt | None,
        result: models.AttemptResult,
        now_s: float,
    ) -> None:
        """Learn from the end of an attempt."""
        if attempt is not None:
            self._engines[chooser].finish_attempt(attempt, result, now_s)


class OracleChooser(Chooser):
    """See every queue, call under way and slowdown at once."""

    def __init__(self, *, targets: list[_Target], seed: int) -> None:
        self._targets = targets
        self._random = random.Random(seed)

    def begin(
        self, chooser: int, now_s: float
    ) -> tuple[int, models.Attempt | None] | None:
        """Return the target with the least wait and work."""
        costs = [
            math.inf
            if target.fails
            else target.factor * (1 + max(_load(target) - target.slots, 0))
            + 1e-3 * _load(target)
            for target in self._targets
        ]
        least = min(costs)
        ties = [index for index, cost in enumerate(costs) if cost == least]
        return self._random.choice(ties), None

    def finish(
        self,
        chooser: int,
        attempt: models.Attempt | None,
        result: models.AttemptResult,
        now_s: float,
    ) -> None:
        """Need not learn."""


def _load(target: _Target) -> int:
    return target.working + len(target.waiting) + target.underway


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunResult:
    """Hold what one run has measured.

    :param latencies_ms: latency of each call that worked.
    :param failed: calls that a failing target answered.
    :param refused: calls that found no free target.
    """

    latencies_ms: list[float]
    failed: int
    refused: int


class QueueingRun:
    """Run one scenario with one way to choose.

    :param scenario: load and disturbances.
    :param policy: policy of the engines, None for the oracle.
    :param seed: seed of all randomness.
    """

    def __init__(
        self,
        *,
        scenario: Scenario,
        policy: type[selection.SelectionPolicy] | None,
        seed: int,
    ) -> None:
        self._scenario = scenario
        self._random = random.Random(seed)
        self._targets = [
            _Target(slots=scenario.slots, fails=number < scenario.failing)
            for number in range(scenario.targets)
        ]
        self._chooser: Chooser = OracleChooser(
            targets=self._targets, seed=seed
        )
        if policy is not None:
            self._chooser = EngineChooser(
                scenario=scenario, policy=policy, seed=seed
            )
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._order = itertools.count()
        self._now_s = 0.0
        self._latencies_ms: list[float] = []
        self._failed = 0
        self._refused = 0
        well = scenario.targets - scenario.failing
        self._rate_per_s = (
            scenario.load_ratio * well * scenario.slots / scenario.work_s
        )

    def run(self) -> RunResult:
        """Run until the end and return what was measured."""
        self._schedule(0.0, self._arrive)
        if self._scenario.slow_every_s:
            self._schedule(self._next_slowdown_s(), self._slow_down)
        while self._events:
            self._now_s, _, act = heapq.heappop(self._events)
            act()
        return RunResult(
            latencies_ms=self._latencies_ms,
            failed=self._failed,
            refused=self._refused,
        )

    def _schedule(
        self, delay_s: float, act: collections.abc.Callable[[], None]
    ) -> None:
        entry = (self._now_s + delay_s, next(self._order), act)
        heapq.heappush(self._events, entry)

    def _arrive(self) -> None:
        if self._now_s > self._scenario.seconds:
            return
        self._schedule(
            self._random.expovariate(self._rate_per_s), self._arrive
        )
        chooser = self._random.randrange(self._scenario.choosers)
        found = self._chooser.begin(chooser, self._now_s)
        if found is None:
            self._refused += 1
            return
        number, attempt = found
        call = _Call(
            started_s=self._now_s,
            chooser=chooser,
            target=number,
            attempt=attempt,
        )
        self._targets[number].underway += 1
        self._schedule(self._scenario.one_way_s, lambda: self._reach(call))

    def _reach(self, call: _Call) -> None:
        target = self._targets[call.target]
        target.underway -= 1
        if target.fails:
            self._schedule(
                _FAILED_WORK_S + self._scenario.one_way_s,
                lambda: self._end(call, is_failed=True),
            )
        elif target.working < target.slots:
            self._start(call)
        else:
            target.waiting.append(call)

    def _start(self, call: _Call) -> None:
        target = self._targets[call.target]
        target.working += 1
        spread = self._random.lognormvariate(0.0, 0.5)
        work_s = self._scenario.work_s * spread / math.exp(0.125)
        self._schedule(work_s * target.factor, lambda: self._complete(call))

    def _complete(self, call: _Call) -> None:
        target = self._targets[call.target]
        target.working -= 1
        if target.waiting:
            self._start(target.waiting.popleft())
        in_flight = target.working + len(target.waiting)
        self._schedule(
            self._scenario.one_way_s,
            lambda: self._end(call, in_flight=in_flight),
        )

    def _end(
        self, call: _Call, in_flight: int = 0, is_failed: bool = False
    ) -> None:
        latency_ms = (self._now_s - call.started_s) * 1000
        result = models.AttemptResult(
            classified_outcome=models.ClassifiedOutcome(
                outcome=models.Outcome.ANSWERED,
                reason=models.Reason.WHOLE_ANSWER,
            ),
            latency_ms=latency_ms,
            report=models.LoadReport(
                in_flight=in_flight,
                slots=self._scenario.slots,
                observed_s=self._now_s - self._scenario.one_way_s,
            ),
            is_server_error=is_failed,
        )
        self._chooser.finish(call.chooser, call.attempt, result, self._now_s)
        if is_failed:
            self._failed += 1
        else:
            self._latencies_ms.append(latency_ms)

    def _next_slowdown_s(self) -> float:
        return self._random.expovariate(1 / self._scenario.slow_every_s)

    def _slow_down(self) -> None:
        if self._now_s > self._scenario.seconds:
            return
        target = self._random.choice(self._targets)
        target.factor = self._scenario.slow_factor
        self._schedule(self._scenario.slow_s, lambda: _mend(target))
        self._schedule(self._next_slowdown_s(), self._slow_down)


def _mend(target: _Target) -> None:
    target.factor = 1.0
