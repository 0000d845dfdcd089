"""Queueing simulation of targets, driven by the real decision engine.

Calls arrive at random at several entry hosts, each with its own engine.
A target runs as many calls as it has slots and queues the others.
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
    :param load_ratio: load as a share of the capacity of all healthy targets.
    :param slow_factor: factor on the work time of a slowed target.
    :param slow_s: length of each slowdown.
    :param slow_every_s: mean time between slowdowns, 0 for none.
    :param failing: number of targets that fail each call at once.
    :param targets: number of targets.
    :param slots: calls that a target runs at the same time.
    :param hosts: number of entry hosts, each selecting on its own.
    :param work_s: mean work time of a call.
    :param one_way_s: network latency in one direction.
    :param seconds: time during which calls arrive.
    """

    name: str
    load_ratio: float
    slow_factor: float = 1.0
    slow_s: float = 0.0
    slow_every_s: float = 0.0
    failing: int = 0
    targets: int = 12
    slots: int = 6
    hosts: int = 16
    work_s: float = 0.010
    one_way_s: float = 0.001
    seconds: float = 8.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Target:
    """Hold the state of one target."""

    slots: int
    fails: bool = False
    running: int = 0
    in_transit: int = 0
    slowdown: float = 1.0
    queue: "collections.deque[_Call]" = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class _Call:
    """Hold one call in flight."""

    started_s: float
    host: int
    target: int
    attempt: models.Attempt | None


class Selector(abc.ABC):
    """Select targets for all entry hosts of a run."""

    @abc.abstractmethod
    def begin(
        self, host: int, now_s: float
    ) -> tuple[int, models.Attempt | None] | None:
        """Return a target and the attempt there, None for a refusal."""

    @abc.abstractmethod
    def finish(
        self,
        host: int,
        attempt: models.Attempt | None,
        result: models.AttemptResult,
        now_s: float,
    ) -> None:
        """Update the state from the result of an attempt."""


class EngineSelector(Selector):
    """Select with one real engine for each entry host."""

    def __init__(
        self,
        *,
        scenario: Scenario,
        policy: type[selection.SelectionPolicy],
        seed: int,
    ) -> None:
        addresses = [
            f"127.0.0.{target_number + 1}:9000"
            for target_number in range(scenario.targets)
        ]
        text = texts.make_text(
            service=_SERVICE, addresses=addresses, slots=scenario.slots
        )
        content = loader.parse_configuration(source_name="x", text=text)
        self._engines = []
        for host_number in range(scenario.hosts):
            random_source = random.Random(f"{seed}-{host_number}")
            decision_engine = engine.DecisionEngine(
                policy=policy(random_source=random_source),
                random_source=random_source,
            )
            decision_engine.apply_configuration(content)
            self._engines.append(decision_engine)
        self._target_numbers = {
            address: target_number
            for target_number, address in enumerate(addresses)
        }

    def begin(
        self, host: int, now_s: float
    ) -> tuple[int, models.Attempt | None] | None:
        """Return a target and the attempt there, None for a refusal."""
        selected = self._engines[host].begin_attempt(_SERVICE, now_s)
        if isinstance(selected, models.Refusal):
            return None
        return self._target_numbers[selected.target.address], selected

    def finish(
        self,
        host: int,
        attempt: models.Attempt | None,
        result: models.AttemptResult,
        now_s: float,
    ) -> None:
        """Update the state from the result of an attempt."""
        if attempt is not None:
            self._engines[host].finish_attempt(attempt, result, now_s)


class OracleSelector(Selector):
    """Know every queue, call in transit and slowdown without delay."""

    def __init__(self, *, targets: list[_Target], seed: int) -> None:
        self._targets = targets
        self._random_source = random.Random(seed)

    def begin(
        self, host: int, now_s: float
    ) -> tuple[int, models.Attempt | None] | None:
        """Return the target with the least wait and work."""
        costs = [
            math.inf
            if target.fails
            else target.slowdown
            * (1 + max(_count_calls(target) - target.slots, 0))
            + 1e-3 * _count_calls(target)
            for target in self._targets
        ]
        least = min(costs)
        ties = [index for index, cost in enumerate(costs) if cost == least]
        return self._random_source.choice(ties), None

    def finish(
        self,
        host: int,
        attempt: models.Attempt | None,
        result: models.AttemptResult,
        now_s: float,
    ) -> None:
        """Do nothing; the oracle reads the state of targets directly."""


def _count_calls(target: _Target) -> int:
    return target.running + len(target.queue) + target.in_transit


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunResult:
    """Hold the measurements of one run.

    :param latencies_ms: latency of each successful call.
    :param failed: calls that a failing target answered.
    :param refused: calls that found no free target.
    """

    latencies_ms: list[float]
    failed: int
    refused: int


class QueueingRun:
    """Run one scenario with one policy.

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
        self._random_source = random.Random(seed)
        self._targets = [
            _Target(
                slots=scenario.slots, fails=target_number < scenario.failing
            )
            for target_number in range(scenario.targets)
        ]
        self._selector: Selector = OracleSelector(
            targets=self._targets, seed=seed
        )
        if policy is not None:
            self._selector = EngineSelector(
                scenario=scenario, policy=policy, seed=seed
            )
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._sequence = itertools.count()
        self._now_s = 0.0
        self._latencies_ms: list[float] = []
        self._failed = 0
        self._refused = 0
        healthy_targets = scenario.targets - scenario.failing
        self._rate_per_s = (
            scenario.load_ratio
            * healthy_targets
            * scenario.slots
            / scenario.work_s
        )

    def run(self) -> RunResult:
        """Run until no call is left and return the measurements."""
        self._schedule(0.0, self._arrive)
        if self._scenario.slow_every_s:
            self._schedule(self._next_slowdown_s(), self._slow_down)
        while self._events:
            self._now_s, _, callback = heapq.heappop(self._events)
            callback()
        return RunResult(
            latencies_ms=self._latencies_ms,
            failed=self._failed,
            refused=self._refused,
        )

    def _schedule(
        self, delay_s: float, callback: collections.abc.Callable[[], None]
    ) -> None:
        event = (self._now_s + delay_s, next(self._sequence), callback)
        heapq.heappush(self._events, event)

    def _arrive(self) -> None:
        if self._now_s > self._scenario.seconds:
            return
        self._schedule(
            self._random_source.expovariate(self._rate_per_s), self._arrive
        )
        host = self._random_source.randrange(self._scenario.hosts)
        selected = self._selector.begin(host, self._now_s)
        if selected is None:
            self._refused += 1
            return
        target_number, attempt = selected
        call = _Call(
            started_s=self._now_s,
            host=host,
            target=target_number,
            attempt=attempt,
        )
        self._targets[target_number].in_transit += 1
        self._schedule(
            self._scenario.one_way_s, lambda: self._reach_target(call)
        )

    def _reach_target(self, call: _Call) -> None:
        target = self._targets[call.target]
        target.in_transit -= 1
        if target.fails:
            self._schedule(
                _FAILED_WORK_S + self._scenario.one_way_s,
                lambda: self._finish_call(call, is_failed=True),
            )
        elif target.running < target.slots:
            self._start(call)
        else:
            target.queue.append(call)

    def _start(self, call: _Call) -> None:
        target = self._targets[call.target]
        target.running += 1
        work_factor = self._random_source.lognormvariate(0.0, 0.5)
        work_s = self._scenario.work_s * work_factor / math.exp(0.125)
        self._schedule(work_s * target.slowdown, lambda: self._complete(call))

    def _complete(self, call: _Call) -> None:
        target = self._targets[call.target]
        target.running -= 1
        if target.queue:
            self._start(target.queue.popleft())
        in_flight = target.running + len(target.queue)
        self._schedule(
            self._scenario.one_way_s,
            lambda: self._finish_call(call, in_flight=in_flight),
        )

    def _finish_call(
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
        self._selector.finish(call.host, call.attempt, result, self._now_s)
        if is_failed:
            self._failed += 1
        else:
            self._latencies_ms.append(latency_ms)

    def _next_slowdown_s(self) -> float:
        return self._random_source.expovariate(1 / self._scenario.slow_every_s)

    def _slow_down(self) -> None:
        if self._now_s > self._scenario.seconds:
            return
        target = self._random_source.choice(self._targets)
        target.slowdown = self._scenario.slow_factor
        self._schedule(self._scenario.slow_s, lambda: _end_slowdown(target))
        self._schedule(self._next_slowdown_s(), self._slow_down)


def _end_slowdown(target: _Target) -> None:
    target.slowdown = 1.0
