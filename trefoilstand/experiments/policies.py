"""Compare selection policies with an oracle in seeded simulations."""

import concurrent.futures
import dataclasses
import statistics
import sys
import typing

import cappa

from trefoilstand.cli import output
from trefoilstand.decision import selection
from trefoilstand.experiments import queueing
from trefoilstand.standins import load

_ORACLE: typing.Final = "oracle"
_POLICIES: typing.Final[dict[str, type[selection.SelectionPolicy] | None]] = {
    _ORACLE: None,
    "random": selection.RandomPolicy,
    "round robin": selection.RoundRobinPolicy,
    "two choices": selection.TwoChoicesPolicy,
    "least in flight": selection.LeastInFlightPolicy,
    "expected wait": selection.LeastExpectedWaitPolicy,
}
_SCENARIOS: typing.Final = (
    queueing.Scenario(name="steady 70%", load_ratio=0.70),
    queueing.Scenario(name="steady 85%", load_ratio=0.85),
    queueing.Scenario(
        name="slowdowns 70%",
        load_ratio=0.70,
        slow_factor=5.0,
        slow_s=0.1,
        slow_every_s=0.25,
    ),
    queueing.Scenario(
        name="one 20-fold",
        load_ratio=0.70,
        slow_factor=20.0,
        slow_s=1.0,
        slow_every_s=3.0,
    ),
    queueing.Scenario(name="quarter fails", load_ratio=0.70, failing=3),
)
_MAX_PROCESSES: typing.Final = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PolicyRow:
    """Hold the medians over seeds of one policy in one scenario.

    :param scenario: name of the scenario.
    :param policy: name of the policy.
    :param p50_ms: median latency in milliseconds.
    :param p99_ms: 99th percentile of the latency.
    :param p999_ms: 99.9th percentile of the latency.
    :param failed_percent: calls that a failing target answered, in percent.
    :param refused_percent: calls that found no free target, in percent.
    """

    scenario: str
    policy: str
    p50_ms: float
    p99_ms: float
    p999_ms: float
    failed_percent: float
    refused_percent: float


def run_one(scenario: queueing.Scenario, policy: str, seed: int) -> PolicyRow:
    """Run one scenario with one policy and one seed.

    :param scenario: load and disturbances.
    :param policy: key of `_POLICIES`.
    :param seed: seed of all randomness.
    """
    result = queueing.QueueingRun(
        scenario=scenario, policy=_POLICIES[policy], seed=seed
    ).run()
    calls = len(result.latencies_ms) + result.failed + result.refused
    return PolicyRow(
        scenario=scenario.name,
        policy=policy,
        p50_ms=load.percentile(result.latencies_ms, 0.5),
        p99_ms=load.percentile(result.latencies_ms, 0.99),
        p999_ms=load.percentile(result.latencies_ms, 0.999),
        failed_percent=100 * result.failed / calls,
        refused_percent=100 * result.refused / calls,
    )


def measure(seeds: int) -> list[PolicyRow]:
    """Return the medians over seeds of all policies and scenarios.

    :param seeds: number of seeds, starting at 1.
    """
    with concurrent.futures.ProcessPoolExecutor(_MAX_PROCESSES) as executor:
        futures = {
            (scenario.name, policy): [
                executor.submit(run_one, scenario, policy, seed)
                for seed in range(1, seeds + 1)
            ]
            for scenario in _SCENARIOS
            for policy in _POLICIES
        }
        return [
            _median_row([future.result() for future in seed_futures])
            for seed_futures in futures.values()
        ]


def _median_row(rows: list[PolicyRow]) -> PolicyRow:
    def median(name: str) -> float:
        return float(statistics.median(getattr(row, name) for row in rows))

    return PolicyRow(
        scenario=rows[0].scenario,
        policy=rows[0].policy,
        p50_ms=median("p50_ms"),
        p99_ms=median("p99_ms"),
        p999_ms=median("p999_ms"),
        failed_percent=median("failed_percent"),
        refused_percent=median("refused_percent"),
    )


@cappa.command(name="policies")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PoliciesCommand:
    """Compare selection policies with an oracle."""

    seeds: typing.Annotated[int, cappa.Arg(long=True)] = 3
    json: typing.Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> int:
        """Run the comparison and return the exit code."""
        rows = measure(self.seeds)
        if self.json:
            output.print_json([dataclasses.asdict(row) for row in rows])
            return 0
        oracle_rows = {
            row.scenario: row for row in rows if row.policy == _ORACLE
        }
        output.print_table(
            (
                "scenario",
                "policy",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "p99 to oracle",
                "failed %",
                "refused %",
            ),
            (
                (
                    row.scenario,
                    row.policy,
                    f"{row.p50_ms:.1f}",
                    f"{row.p99_ms:.1f}",
                    f"{row.p999_ms:.1f}",
                    f"{row.p99_ms / oracle_rows[row.scenario].p99_ms:.2f}",
                    f"{row.failed_percent:.2f}",
                    f"{row.refused_percent:.2f}",
                )
                for row in rows
            ),
        )
        return 0


def main() -> None:
    """Run the comparison."""
    sys.exit(cappa.parse(PoliciesCommand)())


if __name__ == "__main__":
    main()
