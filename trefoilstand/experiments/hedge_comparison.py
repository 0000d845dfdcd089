"""Compare hedging policies in the queueing model, in simulated time."""

import concurrent.futures
import dataclasses
import typing

import cappa

from trefoilstand.cli import output
from trefoilstand.experiments import gateway_load
from trefoilstand.experiments import gateway_model
from trefoilstand.gateway import options
from trefoilstand.standins import load

_NOISY: typing.Final = gateway_model.Scenario(
    name="slow machines",
    hosts=13,
    domains=3,
    targets=22,
    slots=3,
    noise_share=0.3,
    work_s=0.095,
    objective_s=0.313,
    deadline_s=1.025,
    rate_per_s=80.0,
    duration_s=30.0,
)
PATTERNS: typing.Final = {
    pattern.name: pattern
    for pattern in (
        _NOISY,
        dataclasses.replace(
            _NOISY, name="and 1% stragglers", straggler_share=0.01
        ),
        dataclasses.replace(
            _NOISY, name="high load", straggler_share=0.01, rate_per_s=250.0
        ),
        # Machines that are slow for 30% of the time run 480 requests a second
        # at the most.
        dataclasses.replace(
            _NOISY,
            name="overload",
            straggler_share=0.01,
            rate_per_s=600.0,
            duration_s=5.0,
        ),
    )
}
LIMITS: typing.Final[dict[str, options.HedgingOptions | None]] = {
    "none": options.HedgingOptions(extra_ratio=0.0, quantile=0.95),
    "objective": None,
    "0.02 from 0.99": options.HedgingOptions(extra_ratio=0.02, quantile=0.99),
    "0.05 from 0.95": options.HedgingOptions(extra_ratio=0.05, quantile=0.95),
    "0.05 from 0.90": options.HedgingOptions(extra_ratio=0.05, quantile=0.90),
}
_POLICY: typing.Final = "room and prediction"
_MAX_PROCESSES: typing.Final = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ComparisonRow:
    """Hold the results of all seeds with one policy and pattern.

    :param p50_ms: median of the latencies of served requests.
    :param p99_ms: 99th percentile of these.
    :param p999_ms: 99.9th percentile of these.
    :param in_time_share: share of requests served within the objective.
    :param served_share: share of requests served at all.
    :param extra_share: sends beyond the first, per request.
    """

    p50_ms: float
    p99_ms: float
    p999_ms: float
    in_time_share: float
    served_share: float
    extra_share: float


def simulate(pattern: str, limit: str, seed: int) -> gateway_model.LoadResult:
    """Simulate one run.

    :param pattern: key of `PATTERNS`.
    :param limit: key of `LIMITS`.
    :param seed: seed of callers and targets.
    """
    return gateway_load.simulate(
        PATTERNS[pattern], _POLICY, seed, LIMITS[limit]
    )


def summarize(results: list[gateway_model.LoadResult]) -> ComparisonRow:
    """Return the row of some runs.

    :param results: results of the runs of all seeds.
    """
    latencies_ms = [
        latency_ms for result in results for latency_ms in result.latencies_ms
    ]
    requests = sum(result.requests for result in results)
    in_time = sum(result.in_time for result in results)
    late = sum(result.late for result in results)
    return ComparisonRow(
        p50_ms=load.percentile(latencies_ms, 0.5),
        p99_ms=load.percentile(latencies_ms, 0.99),
        p999_ms=load.percentile(latencies_ms, 0.999),
        in_time_share=in_time / requests,
        served_share=(in_time + late) / requests,
        extra_share=sum(result.repeated_sends for result in results)
        / requests,
    )


@cappa.command(name="hedge-comparison")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ComparisonCommand:
    """Compare hedging policies in simulated time."""

    seeds: typing.Annotated[int, cappa.Arg(long=True)] = 3

    def __call__(self) -> None:
        """Print one row for each pattern and policy."""
        with concurrent.futures.ProcessPoolExecutor(
            _MAX_PROCESSES
        ) as executor:
            futures = {
                (pattern, limit): [
                    executor.submit(simulate, pattern, limit, seed)
                    for seed in range(1, self.seeds + 1)
                ]
                for pattern in PATTERNS
                for limit in LIMITS
            }
            rows = {
                key: summarize([future.result() for future in runs])
                for key, runs in futures.items()
            }
        output.print_table(
            (
                "pattern",
                "hedges",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "in time %",
                "served %",
                "extra %",
            ),
            (
                (
                    pattern,
                    limit,
                    f"{row.p50_ms:.0f}",
                    f"{row.p99_ms:.0f}",
                    f"{row.p999_ms:.0f}",
                    f"{100 * row.in_time_share:.2f}",
                    f"{100 * row.served_share:.2f}",
                    f"{100 * row.extra_share:.2f}",
                )
                for (pattern, limit), row in rows.items()
            ),
        )


if __name__ == "__main__":
    cappa.invoke(ComparisonCommand)
