"""Inject random faults under load and check the delivery guarantees.

A seeded schedule kills, freezes and replaces entry hosts, breaks the
platform, slows, fails and drains targets and publishes texts, often with
several faults active at once.  At the end the tool compares the outcomes
that callers received with the requests that targets ran.
"""

import collections
import dataclasses
import pathlib
import random
import signal
import sys
import threading
import time
import typing

import cappa

from trefoilstand.cli import output
from trefoilstand.client import entry_client
from trefoilstand.configuration import models as configuration_models
from trefoilstand.decision import models as decision_models
from trefoilstand.standins import control
from trefoilstand.standins import fleet
from trefoilstand.standins import load

_CALLS_PER_BATCH: typing.Final = 400
_CALLERS: typing.Final = 16
_DRAIN_LIMIT_S: typing.Final = 5.0
_FREEZE_RANGE_S: typing.Final = (0.5, 6.0)
_MAX_ENTRIES_DOWN: typing.Final = 4
_PAUSE_RANGE_S: typing.Final = (0.1, 0.8)
_PLATFORM_FAULTS: typing.Final = ("down", "stale", "garbage", "half")
_SETTLE_TIMEOUT_S: typing.Final = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FaultRunResult:
    """Hold the result of one run under faults.

    :param calls: calls by outcome.
    :param violations: violated guarantees among calls.
    :param strikes: number of injected faults by kind.
    :param late_work: drained targets that started work after the drain limit.
    :param broken_invariants: log lines that report a broken invariant.
    :param settled_s: seconds until all hosts served the newest text, None
        where they did not within the settling time.
    """

    calls: dict[str, int]
    violations: load.Violations
    strikes: dict[str, int]
    late_work: int
    broken_invariants: int
    settled_s: float | None

    @property
    def is_good(self) -> bool:
        """Return whether all guarantees held and the fleet settled."""
        return (
            not self.violations.total
            and not self.late_work
            and not self.broken_invariants
            and self.settled_s is not None
        )


class FaultInjector:
    """Inject faults into random parts of a fleet.

    :param running_fleet: fleet to inject faults into.
    :param seed: seed of the schedule.
    """

    def __init__(self, *, running_fleet: fleet.Fleet, seed: int) -> None:
        self._fleet = running_fleet
        self._random_source = random.Random(seed)
        self._down_until_s: dict[int, float] = {}
        self._frozen: set[int] = set()
        self._drained_at_s: dict[str, float] = {}
        self._version = 1
        self.fault_counts: collections.Counter[str] = collections.Counter()
        self._injections: tuple[typing.Callable[[], str], ...] = (
            self._kill,
            self._freeze,
            self._fail_platform,
            self._change_target,
            self._drain_target,
            self._publish,
        )

    @property
    def version(self) -> int:
        """Return the newest published version."""
        return self._version

    def inject_fault(self) -> None:
        """Inject one fault, end expired faults and pause."""
        self._end_expired_faults()
        inject = self._random_source.choice(self._injections)
        self.fault_counts[inject()] += 1
        time.sleep(self._random_source.uniform(*_PAUSE_RANGE_S))

    def end_all_faults(self) -> None:
        """End faults of entry hosts and platform; keep targets drained."""
        self._end_expired_faults(include_active=True)
        self._fleet.platform.set_fault("none")

    def count_late_work(self) -> int:
        """Return how many drained targets started work after the limit."""
        late_targets = 0
        for address, drained_at_s in self._drained_at_s.items():
            counts = control.TargetControl(address=address).read_counts()
            late_targets += counts.last_start_s > drained_at_s + _DRAIN_LIMIT_S
        return late_targets

    def _pick_entry(self) -> int | None:
        candidates = [
            index
            for index in range(len(self._fleet.entries))
            if index not in self._down_until_s
        ]
        max_down = min(_MAX_ENTRIES_DOWN, len(self._fleet.entries) - 2)
        if len(self._down_until_s) >= max_down or not candidates:
            return None
        return self._random_source.choice(candidates)

    def _kill(self) -> str:
        index = self._pick_entry()
        if index is None:
            return "none"
        self._fleet.entries[index].stop()
        down_s = self._random_source.uniform(0.0, 3.0)
        self._down_until_s[index] = time.monotonic() + down_s
        return "entry killed and replaced"

    def _freeze(self) -> str:
        index = self._pick_entry()
        if index is None:
            return "none"
        self._fleet.entries[index].send_signal(signal.SIGSTOP)
        self._frozen.add(index)
        frozen_s = self._random_source.uniform(*_FREEZE_RANGE_S)
        self._down_until_s[index] = time.monotonic() + frozen_s
        return "entry frozen"

    def _end_expired_faults(self, include_active: bool = False) -> None:
        for index, until_s in list(self._down_until_s.items()):
            if not include_active and time.monotonic() < until_s:
                continue
            del self._down_until_s[index]
            if index in self._frozen:
                self._frozen.discard(index)
                self._fleet.entries[index].send_signal(signal.SIGCONT)
            else:
                self._fleet.entries[index].start()

    def _fail_platform(self) -> str:
        if self._random_source.random() < 0.5:
            self._fleet.platform.set_fault("none")
            return "platform mended"
        self._fleet.platform.set_fault(
            self._random_source.choice(_PLATFORM_FAULTS)
        )
        return "platform broken"

    def _pick_target(self) -> configuration_models.Target | None:
        service = self._random_source.choice(
            list(self._fleet.configuration.services)
        )
        undrained = [
            target
            for target in self._fleet.targets(service)
            if target.address not in self._drained_at_s
        ]
        if len(undrained) <= len(self._fleet.targets(service)) // 2:
            return None
        return self._random_source.choice(undrained)

    def _change_target(self) -> str:
        target = self._pick_target()
        if target is None:
            return "none"
        change = self._random_source.choice(
            (
                {"slow_factor": 20.0},
                {"slow_factor": 1.0, "fails": False},
                {"fails": True},
            )
        )
        control.TargetControl(address=target.address).change_behaviour(
            **change
        )
        return "target slowed, failed or mended"

    def _drain_target(self) -> str:
        target = self._pick_target()
        if target is None or self._random_source.random() < 0.7:
            return "none"
        control.TargetControl(address=target.address).change_behaviour(
            is_leaving=True
        )
        self._drained_at_s[target.address] = time.time()
        return "target leaving"

    def _publish(self) -> str:
        self._version += 1
        text = f"# version {self._version}\n{self._fleet.plan.text}"
        self._fleet.platform.publish_text(text, self._version)
        return "text published"


def run(
    *, text: str, entry_hosts: int, seconds: float, seed: int
) -> FaultRunResult:
    """Run load and faults for a time and check the guarantees.

    :param text: operators' text of the deployment.
    :param entry_hosts: number of entry hosts to start.
    :param seconds: how long faults are injected.
    :param seed: seed of the load and of the fault schedule.
    """
    plan = fleet.FleetPlan(
        text=text,
        network="127.60",
        entry_hosts=entry_hosts,
        target_processes=2,
        settings="watch_wait_s = 5.0\n",
    )
    with fleet.Fleet(plan=plan) as running_fleet:
        injector = FaultInjector(running_fleet=running_fleet, seed=seed)
        stop_requested = threading.Event()
        calls: list[load.CallRecord] = []
        sender = threading.Thread(
            target=_send_until_stopped,
            args=(running_fleet, seed, stop_requested, calls),
        )
        sender.start()
        try:
            until_s = time.monotonic() + seconds
            while time.monotonic() < until_s:
                injector.inject_fault()
            injector.end_all_faults()
            settled_s = fleet.wait_until(
                lambda: _has_settled(running_fleet, injector.version),
                _SETTLE_TIMEOUT_S,
            )
        finally:
            stop_requested.set()
            sender.join()
        time.sleep(1.0)
        return _collect_result(running_fleet, injector, calls, settled_s)


def _send_until_stopped(
    running_fleet: fleet.Fleet,
    seed: int,
    stop_requested: threading.Event,
    calls: list[load.CallRecord],
) -> None:
    client = entry_client.EntryClient(
        seeds=tuple(item.caller_address for item in running_fleet.entries)
    )
    operations = _make_operations(running_fleet.configuration)
    while not stop_requested.is_set():
        calls += load.run(
            client,
            operations,
            calls=_CALLS_PER_BATCH,
            callers=_CALLERS,
            seed=seed * 1_000_000 + len(calls),
            timeout_ms=3000,
        )


def _make_operations(
    content: configuration_models.Configuration,
) -> list[load.Operation]:
    return [
        load.Operation(
            service=name,
            method=operation.method,
            path=operation.path.replace("*", "1"),
            is_repeatable=operation.repeatable,
        )
        for name, service in content.services.items()
        for operation in service.operations
    ]


def _has_settled(running_fleet: fleet.Fleet, version: int) -> bool:
    statuses = [entry.status() for entry in running_fleet.entries]
    return all(
        status is not None
        and status["phase"] == "ready"
        and status["configuration_version"] == version
        for status in statuses
    )


def _collect_result(
    running_fleet: fleet.Fleet,
    injector: FaultInjector,
    calls: list[load.CallRecord],
    settled_s: float | None,
) -> FaultRunResult:
    runs = load.count_runs(
        target.address for target in running_fleet.targets()
    )
    logs = [
        entry.log_path.read_text(encoding="utf-8", errors="replace")
        for entry in running_fleet.entries
    ]
    return FaultRunResult(
        calls=dict(collections.Counter(call.outcome for call in calls)),
        violations=load.count_violations(calls, runs),
        strikes=dict(injector.fault_counts),
        late_work=injector.count_late_work(),
        broken_invariants=sum(log.count("invariant_broken") for log in logs),
        settled_s=settled_s,
    )


@cappa.command(name="faults")
@dataclasses.dataclass(frozen=True, kw_only=True)
class FaultsCommand:
    """Run a whole deployment under a random schedule of faults.

    Exit code 0 means that no guarantee was broken and that at least one
    call was answered.
    """

    text: typing.Annotated[pathlib.Path, cappa.Arg(long=True)] = pathlib.Path(
        "examples/errata-desk.toml"
    )
    hosts: typing.Annotated[int, cappa.Arg(long=True)] = 16
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 60.0
    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> int:
        """Run and return the exit code."""
        result = run(
            text=self.text.read_text(encoding="utf-8"),
            entry_hosts=self.hosts,
            seconds=self.seconds,
            seed=self.seed,
        )
        output.print_json(
            {**dataclasses.asdict(result), "is_good": result.is_good}
        )
        answered = result.calls.get(decision_models.Outcome.ANSWERED, 0)
        return 0 if result.is_good and answered else 1


def main() -> None:
    """Run the experiment."""
    sys.exit(cappa.parse(FaultsCommand)())


if __name__ == "__main__":
    main()
