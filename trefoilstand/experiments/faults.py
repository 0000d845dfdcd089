"""Send load while faults strike at random, and check the promises.

A seeded schedule kills, freezes and replaces entry hosts, breaks the
platform, slows, fails and drains targets and publishes texts, often
several at once.  At the end the tool compares what callers were told with
what targets ran.
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

_BATCH: typing.Final = 400
_CALLERS: typing.Final = 16
_DRAIN_LIMIT_S: typing.Final = 5.0
_FREEZE_S: typing.Final = (0.5, 6.0)
_MAX_DOWN: typing.Final = 4
_PAUSE_S: typing.Final = (0.1, 0.8)
_PLATFORM_FAULTS: typing.Final = ("down", "stale", "garbage", "half")
_SETTLE_S: typing.Final = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Hold the result of one run.

    :param calls: calls by outcome.
    :param violations: broken promises among calls.
    :param strikes: faults by kind.
    :param late_work: drained targets that got work too late.
    :param broken_invariants: lines of logs that tell of one.
    :param settled_s: time until all hosts had the newest text, None where
        they never did.
    """

    calls: dict[str, int]
    violations: load.Violations
    strikes: dict[str, int]
    late_work: int
    broken_invariants: int
    settled_s: float | None

    @property
    def is_good(self) -> bool:
        """Return whether no promise was broken."""
        return (
            not self.violations.total
            and not self.late_work
            and not self.broken_invariants
            and self.settled_s is not None
        )


class Striker:
    """Strike at random parts of a fleet.

    :param started: fleet to strike at.
    :param seed: seed of the schedule.
    """

    def __init__(self, *, started: fleet.Fleet, seed: int) -> None:
        self._fleet = started
        self._random = random.Random(seed)
        self._down_until_s: dict[int, float] = {}
        self._frozen: set[int] = set()
        self._drained_s: dict[str, float] = {}
        self._version = 1
        self.strikes: collections.Counter[str] = collections.Counter()
        self._kinds: tuple[typing.Callable[[], str], ...] = (
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

    def step(self) -> None:
        """Strike once and end faults that have lasted long enough."""
        self._end_old_faults()
        kind = self._random.choice(self._kinds)
        self.strikes[kind()] += 1
        time.sleep(self._random.uniform(*_PAUSE_S))

    def end_all(self) -> None:
        """End all faults but keep what is drained."""
        self._end_old_faults(is_end=True)
        self._fleet.platform.set_fault("none")

    def count_late_work(self) -> int:
        """Return how many drained targets got work too late."""
        late = 0
        for address, drained_s in self._drained_s.items():
            counts = control.TargetControl(address=address).counts()
            late += counts.last_start_s > drained_s + _DRAIN_LIMIT_S
        return late

    def _pick_entry(self) -> int | None:
        free = [
            index
            for index in range(len(self._fleet.entries))
            if index not in self._down_until_s
        ]
        limit = min(_MAX_DOWN, len(self._fleet.entries) - 2)
        if len(self._down_until_s) >= limit or not free:
            return None
        return self._random.choice(free)

    def _kill(self) -> str:
        index = self._pick_entry()
        if index is None:
            return "none"
        self._fleet.entries[index].stop()
        pause_s = self._random.uniform(0.0, 3.0)
        self._down_until_s[index] = time.monotonic() + pause_s
        return "entry killed and replaced"

    def _freeze(self) -> str:
        index = self._pick_entry()
        if index is None:
            return "none"
        self._fleet.entries[index].signal(signal.SIGSTOP)
        self._frozen.add(index)
        pause_s = self._random.uniform(*_FREEZE_S)
        self._down_until_s[index] = time.monotonic() + pause_s
        return "entry frozen"

    def _end_old_faults(self, is_end: bool = False) -> None:
        for index, until_s in list(self._down_until_s.items()):
            if not is_end and time.monotonic() < until_s:
                continue
            del self._down_until_s[index]
            if index in self._frozen:
                self._frozen.discard(index)
                self._fleet.entries[index].signal(signal.SIGCONT)
            else:
                self._fleet.entries[index].start()

    def _fail_platform(self) -> str:
        if self._random.random() < 0.5:
            self._fleet.platform.set_fault("none")
            return "platform mended"
        self._fleet.platform.set_fault(self._random.choice(_PLATFORM_FAULTS))
        return "platform broken"

    def _pick_target(self) -> configuration_models.Target | None:
        service = self._random.choice(list(self._fleet.content.services))
        alive = [
            target
            for target in self._fleet.targets(service)
            if target.address not in self._drained_s
        ]
        if len(alive) <= len(self._fleet.targets(service)) // 2:
            return None
        return self._random.choice(alive)

    def _change_target(self) -> str:
        target = self._pick_target()
        if target is None:
            return "none"
        change = self._random.choice(
            (
                {"slow_factor": 20.0},
                {"slow_factor": 1.0, "fails": False},
                {"fails": True},
            )
        )
        control.TargetControl(address=target.address).change(**change)
        return "target slowed, failed or mended"

    def _drain_target(self) -> str:
        target = self._pick_target()
        if target is None or self._random.random() < 0.7:
            return "none"
        control.TargetControl(address=target.address).change(is_leaving=True)
        self._drained_s[target.address] = time.time()
        return "target leaving"

    def _publish(self) -> str:
        self._version += 1
        text = f"# version {self._version}\n{self._fleet.plan.text}"
        self._fleet.platform.publish_text(text, self._version)
        return "text published"


def run(*, text: str, entry_hosts: int, seconds: float, seed: int) -> Verdict:
    """Run load and faults for a time and return the verdict."""
    plan = fleet.FleetPlan(
        text=text,
        network="127.60",
        entry_hosts=entry_hosts,
        target_processes=2,
        settings="watch_wait_s = 5.0\n",
    )
    with fleet.Fleet(plan=plan) as started:
        striker = Striker(started=started, seed=seed)
        is_over = threading.Event()
        calls: list[load.LoadedCall] = []
        sender = threading.Thread(
            target=_send, args=(started, seed, is_over, calls)
        )
        sender.start()
        try:
            until_s = time.monotonic() + seconds
            while time.monotonic() < until_s:
                striker.step()
            striker.end_all()
            settled_s = fleet.wait_for_change(
                lambda: _has_settled(started, striker.version), _SETTLE_S
            )
        finally:
            is_over.set()
            sender.join()
        time.sleep(1.0)
        return _judge(started, striker, calls, settled_s)


def _send(
    started: fleet.Fleet,
    seed: int,
    is_over: threading.Event,
    calls: list[load.LoadedCall],
) -> None:
    client = entry_client.EntryClient(
        seeds=tuple(item.caller_address for item in started.entries)
    )
    operations = _make_operations(started.content)
    while not is_over.is_set():
        calls += load.run(
            client,
            operations,
            calls=_BATCH,
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


def _has_settled(started: fleet.Fleet, version: int) -> bool:
    statuses = [entry.status() for entry in started.entries]
    return all(
        status is not None
        and status["phase"] == "ready"
        and status["configuration_version"] == version
        for status in statuses
    )


def _judge(
    started: fleet.Fleet,
    striker: Striker,
    calls: list[load.LoadedCall],
    settled_s: float | None,
) -> Verdict:
    runs = load.count_runs(target.address for target in started.targets())
    logs = [
        entry.log_path.read_text(encoding="utf-8", errors="replace")
        for entry in started.entries
    ]
    return Verdict(
        calls=dict(collections.Counter(call.outcome for call in calls)),
        violations=load.check(calls, runs),
        strikes=dict(striker.strikes),
        late_work=striker.count_late_work(),
        broken_invariants=sum(log.count("invariant_broken") for log in logs),
        settled_s=settled_s,
    )


@cappa.command(name="faults")
@dataclasses.dataclass(frozen=True, kw_only=True)
class FaultsCommand:
    """Run a whole deployment under a random schedule of faults.

    Exit code 0 means that no promise was broken.
    """

    text: typing.Annotated[pathlib.Path, cappa.Arg(long=True)] = pathlib.Path(
        "examples/errata-desk.toml"
    )
    hosts: typing.Annotated[int, cappa.Arg(long=True)] = 16
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 60.0
    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> int:
        """Run and return the exit code."""
        verdict = run(
            text=self.text.read_text(encoding="utf-8"),
            entry_hosts=self.hosts,
            seconds=self.seconds,
            seed=self.seed,
        )
        output.print_json(
            {**dataclasses.asdict(verdict), "is_good": verdict.is_good}
        )
        answered = verdict.calls.get(decision_models.Outcome.ANSWERED, 0)
        return 0 if verdict.is_good and answered else 1


def main() -> None:
    """Run the experiment."""
    sys.exit(cappa.parse(FaultsCommand)())


if __name__ == "__main__":
    main()
