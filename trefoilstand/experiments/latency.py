"""Measure the latency that one entry host adds to a direct call."""

import collections.abc
import dataclasses
import statistics
import sys
import typing

import cappa

from trefoilstand.cli import output
from trefoilstand.experiments import raw_load
from trefoilstand.standins import fleet
from trefoilstand.standins import load
from trefoilstand.standins import texts

#: Goal for what an entry host adds to the 99th percentile.
ADDED_P99_GOAL_MS: typing.Final = 0.74
_VERSIONS: typing.Final = ("present", "earlier")
_CALLERS: typing.Final = (1, 4, 16)
_TARGETS: typing.Final = ("127.51.1.1:9000", "127.51.1.2:9000")
_TARGET_SLOTS: typing.Final = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AddedLatency:
    """Hold the latency that one entry host adds for a number of callers.

    :param version: `present` or `earlier`.
    :param callers: concurrent callers.
    :param direct_p50_ms: median of the direct call.
    :param direct_p99_ms: 99th percentile of the direct call.
    :param added_p50_ms: latency added to the median.
    :param added_p99_ms: latency added to the 99th percentile.
    :param cpu_us: CPU time of the entry host per call, in microseconds.
    """

    version: str
    callers: int
    direct_p50_ms: float
    direct_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    cpu_us: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _Samples:
    """Collect the measurements of one entry host, one item a round."""

    latencies_ms: list[list[float]] = dataclasses.field(default_factory=list)
    cpu_us: list[float] = dataclasses.field(default_factory=list)


@cappa.command(name="latency")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LatencyCommand:
    """Compare calls through an entry host with direct calls.

    With an earlier version, both versions run side by side and take turns,
    so that the noise of the machine affects both alike.
    """

    rounds: typing.Annotated[int, cappa.Arg(long=True)] = 15
    calls: typing.Annotated[int, cappa.Arg(long=True)] = 640
    callers: typing.Annotated[list[int], cappa.Arg(long=True, num_args=-1)] = (
        dataclasses.field(default_factory=lambda: list(_CALLERS))
    )
    earlier: typing.Annotated[
        str, cappa.Arg(long=True, help="Folder of an earlier version.")
    ] = ""
    json: typing.Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> int:
        """Run the measurement and return the exit code."""
        rows = measure(
            callers=self.callers,
            rounds=self.rounds,
            calls=self.calls,
            earlier_version_dir=self.earlier,
        )
        if self.json:
            output.print_json([dataclasses.asdict(row) for row in rows])
            return 0
        output.print_table(
            (
                "version",
                "callers",
                "direct p50",
                "direct p99",
                "added p50",
                "added p99",
                "of goal",
                "cpu us",
                "calls/s/core",
            ),
            (
                (
                    row.version,
                    row.callers,
                    f"{row.direct_p50_ms:.2f}",
                    f"{row.direct_p99_ms:.2f}",
                    f"{row.added_p50_ms:.2f}",
                    f"{row.added_p99_ms:.2f}",
                    f"{row.added_p99_ms / ADDED_P99_GOAL_MS:.1f}x",
                    f"{row.cpu_us:.0f}",
                    f"{1e6 / row.cpu_us:.0f}",
                )
                for row in rows
            ),
        )
        return 0


def measure(
    *,
    callers: collections.abc.Sequence[int],
    rounds: int,
    calls: int,
    earlier_version_dir: str,
) -> list[AddedLatency]:
    """Return the medians over rounds.

    Each round measures the direct call and then each entry host in turn.

    :param callers: numbers of concurrent callers to measure.
    :param rounds: rounds for each number of callers.
    :param calls: calls of one round, split evenly between the callers, but
        at least 100 for each caller.
    :param earlier_tree: folder of an earlier version to compare with, empty
        for none.
    :returns: one row for each number of callers and version.
    """
    text = texts.make_text(
        service="quotes", addresses=_TARGETS, slots=_TARGET_SLOTS
    )
    plan = fleet.FleetPlan(
        text=text,
        network="127.50",
        entry_hosts=2 if earlier_version_dir else 1,
        service_ms=0.0,
        target_processes=2,
        earlier_version_dir=earlier_version_dir,
    )
    with fleet.Fleet(plan=plan) as running_fleet:
        return [
            row
            for count in callers
            for row in _measure_callers(running_fleet, count, rounds, calls)
        ]


def _measure_callers(
    running_fleet: fleet.Fleet, callers: int, rounds: int, calls: int
) -> list[AddedLatency]:
    target = running_fleet.targets()[0].address
    direct_latencies_ms: list[list[float]] = []
    samples = [_Samples() for _ in running_fleet.entries]
    for _ in range(rounds):
        direct_latencies_ms.append(
            _measure_latencies_ms(target, "/quotes/1", callers, calls)
        )
        for entry, sample in zip(running_fleet.entries, samples, strict=True):
            cpu_before_s = entry.cpu_s()
            latencies_ms = _measure_latencies_ms(
                entry.caller_address,
                "/services/quotes/quotes/1",
                callers,
                calls,
            )
            cpu_used_s = entry.cpu_s() - cpu_before_s
            sample.latencies_ms.append(latencies_ms)
            sample.cpu_us.append(cpu_used_s * 1e6 / len(latencies_ms))
    direct_p50_ms, direct_p99_ms = (
        _median_percentile_ms(direct_latencies_ms, 0.5),
        _median_percentile_ms(direct_latencies_ms, 0.99),
    )
    return [
        AddedLatency(
            version=version,
            callers=callers,
            direct_p50_ms=direct_p50_ms,
            direct_p99_ms=direct_p99_ms,
            added_p50_ms=_median_percentile_ms(sample.latencies_ms, 0.5)
            - direct_p50_ms,
            added_p99_ms=_median_percentile_ms(sample.latencies_ms, 0.99)
            - direct_p99_ms,
            cpu_us=statistics.median(sample.cpu_us),
        )
        for version, sample in zip(_VERSIONS, samples, strict=False)
    ]


def _measure_latencies_ms(
    address: str, path: str, callers: int, calls: int
) -> list[float]:
    return raw_load.run(
        raw_load.RawPlan(
            address=address,
            request=raw_load.build_get_request(path),
            callers=callers,
            calls=max(calls // callers, 100),
        )
    ).latencies_ms


def _median_percentile_ms(rounds: list[list[float]], share: float) -> float:
    return statistics.median(
        load.percentile(latencies_ms, share) for latencies_ms in rounds
    )


def main() -> None:
    """Run the measurement."""
    sys.exit(cappa.parse(LatencyCommand)())


if __name__ == "__main__":
    main()
