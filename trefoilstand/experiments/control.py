"""Measure what an idle entry host spends on control traffic."""

import dataclasses
import pathlib
import re
import statistics
import sys
import time
import typing

import cappa

from trefoilstand.callers import const as callers_const
from trefoilstand.cli import output
from trefoilstand.helpers import http
from trefoilstand.standins import fleet

_COUNTER_PATTERN: typing.Final = re.compile(
    r"^(?P<name>trefoilstand_\w+_total)(?:\{[^}]*\})? (?P<value>[0-9.]+)$",
    re.M,
)
_SETTLE_S: typing.Final = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ControlCost:
    """Hold the median cost of one entry host.

    :param hosts: number of entry hosts in the fleet.
    :param cpu_percent: CPU time in percent of one core.
    :param resident_mb: resident memory in megabytes.
    :param peer_messages_per_s: messages a second, each with its reply.
    :param peer_bytes_per_s: encoded bytes of these messages a second.
    :param platform_calls_per_s: reads and watches of the platform a second.
    :param probes_per_s: probes to targets a second.
    """

    hosts: int
    cpu_percent: float
    resident_mb: float
    peer_messages_per_s: float
    peer_bytes_per_s: float
    platform_calls_per_s: float
    probes_per_s: float


def measure(*, text: str, hosts: int, seconds: float) -> ControlCost:
    """Return the medians over the entry hosts of an idle fleet.

    :param text: operators' text that the fleet serves.
    :param hosts: number of entry hosts to start.
    :param seconds: time between the two samples of each entry host.
    """
    plan = fleet.FleetPlan(text=text, network="127.70", entry_hosts=hosts)
    with fleet.Fleet(plan=plan) as running_fleet:
        time.sleep(_SETTLE_S)
        first_samples = [
            _sample_counters(entry) for entry in running_fleet.entries
        ]
        time.sleep(seconds)
        last_samples = [
            _sample_counters(entry) for entry in running_fleet.entries
        ]
        resident_mb = statistics.median(
            entry.resident_mb() for entry in running_fleet.entries
        )

    def median_rate(name: str) -> float:
        return statistics.median(
            (last.get(name, 0.0) - first.get(name, 0.0)) / seconds
            for first, last in zip(first_samples, last_samples, strict=True)
        )

    return ControlCost(
        hosts=hosts,
        cpu_percent=100 * median_rate("cpu_s"),
        resident_mb=resident_mb,
        peer_messages_per_s=median_rate("trefoilstand_peer_messages_total"),
        peer_bytes_per_s=median_rate("trefoilstand_peer_bytes_total"),
        platform_calls_per_s=median_rate("trefoilstand_platform_calls_total"),
        probes_per_s=median_rate("trefoilstand_probes_total"),
    )


def _sample_counters(entry: fleet.EntryProcess) -> dict[str, float]:
    fetcher = http.HttpFetcher(max_body_bytes=10_000_000)
    response = fetcher.get(
        f"http://{entry.caller_address}{callers_const.PATH_METRICS}",
        timeout_s=5.0,
    )
    fetcher.close()
    counters = {"cpu_s": entry.cpu_s()}
    for match in _COUNTER_PATTERN.finditer(response.body.decode()):
        name = match.group("name")
        value = float(match.group("value"))
        counters[name] = counters.get(name, 0.0) + value
    return counters


@cappa.command(name="control")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlCommand:
    """Measure the cost of control traffic for several fleet sizes."""

    hosts: typing.Annotated[list[int], cappa.Arg(long=True, num_args=-1)] = (
        dataclasses.field(default_factory=lambda: [4, 16, 32])
    )
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 20.0
    text: typing.Annotated[pathlib.Path, cappa.Arg(long=True)] = pathlib.Path(
        "examples/errata-desk.toml"
    )

    def __call__(self) -> int:
        """Run the measurement and return the exit code."""
        text = self.text.read_text(encoding="utf-8")
        rows = [
            measure(text=text, hosts=count, seconds=self.seconds)
            for count in self.hosts
        ]
        column_names = [
            field.name for field in dataclasses.fields(ControlCost)
        ]
        output.print_table(
            column_names,
            (
                [f"{getattr(row, name):.2f}" for name in column_names]
                for row in rows
            ),
        )
        return 0


def main() -> None:
    """Run the measurement."""
    sys.exit(cappa.parse(ControlCommand)())


if __name__ == "__main__":
    main()
