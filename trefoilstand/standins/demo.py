"""Demonstration of a whole deployment on one machine."""

import collections
import dataclasses
import pathlib
import sys
import threading
import time
import typing

import cappa

from trefoilstand.cli import output
from trefoilstand.client import entry_client
from trefoilstand.configuration import const as configuration_const
from trefoilstand.decision import models as decision_models
from trefoilstand.standins import control
from trefoilstand.standins import fleet
from trefoilstand.standins import load

_CONCURRENT_CALLERS: typing.Final = 8
_OPERATIONS: typing.Final = (
    load.Operation(
        service="quotes", method="GET", path="/quotes/1", is_repeatable=True
    ),
    load.Operation(
        service="safety-register",
        method="GET",
        path="/sign-offs/9",
        is_repeatable=True,
    ),
    load.Operation(
        service="spike-stock",
        method="POST",
        path="/draws",
        is_repeatable=False,
    ),
    load.Operation(
        service="bookings",
        method="POST",
        path="/bookings",
        is_repeatable=False,
    ),
)


@cappa.command(name="demo")
@dataclasses.dataclass(frozen=True, kw_only=True)
class DemoCommand:
    """Start a deployment, send calls and print a table of results.

    Exit code 0 means that every call was answered, no violation was
    found and the probes stayed within their budget.
    """

    text: typing.Annotated[
        pathlib.Path, cappa.Arg(long=True, help="Operators' text.")
    ] = pathlib.Path("examples/perch-guard.toml")
    calls: typing.Annotated[
        int, cappa.Arg(long=True, help="Calls to send.")
    ] = 2000
    keep: typing.Annotated[
        bool, cappa.Arg(long=True, help="Keep running until Ctrl-C.")
    ] = False

    def __call__(self) -> int:
        """Run the demonstration and return its exit code."""
        plan = fleet.FleetPlan(text=self.text.read_text(encoding="utf-8"))
        print("starting platform, targets and 3 entry hosts ...")
        with fleet.Fleet(plan=plan) as started:
            exit_code = _send_calls(started, self.calls)
            if self.keep:
                _wait_for_interrupt(started)
        return exit_code


def _send_calls(started: fleet.Fleet, calls: int) -> int:
    start_s = time.monotonic()
    client = entry_client.EntryClient(
        seeds=tuple(item.caller_address for item in started.entries)
    )
    resolved = client.resolve()
    entry_addresses = ", ".join(item.address for item in resolved.addresses)
    print(f"entry hosts to use: {entry_addresses}")
    records = load.run(
        client, _OPERATIONS, calls=calls, callers=_CONCURRENT_CALLERS, seed=1
    )
    direct_ms = load.run_direct(
        [item.address for item in started.targets("quotes")],
        calls=calls // 2,
        callers=_CONCURRENT_CALLERS,
    )
    target_addresses = [target.address for target in started.targets()]
    violations = load.count_violations(
        records, load.count_runs(target_addresses)
    )
    _print_table(records, direct_ms)
    is_within_budget = _print_probes(started, time.monotonic() - start_s)
    print(
        f"violations: {violations.doubled} doubled, {violations.lost} lost,"
        f" {violations.foreign} foreign, {violations.denied} denied"
    )
    answered = sum(
        record.outcome is decision_models.Outcome.ANSWERED
        for record in records
    )
    is_correct = answered == len(records) and not violations.total
    return 0 if is_correct and is_within_budget else 1


def _print_table(
    records: list[load.CallRecord], direct_ms: list[float]
) -> None:
    rows = []
    for operation in _OPERATIONS:
        matching = [
            record for record in records if record.operation == operation
        ]
        outcomes = collections.Counter(record.outcome for record in matching)
        latencies = [record.latency_ms for record in matching]
        rows.append(
            (
                f"{operation.method} {operation.service}",
                outcomes[decision_models.Outcome.ANSWERED],
                outcomes[decision_models.Outcome.NOT_RUN],
                outcomes[decision_models.Outcome.UNKNOWN],
                f"{load.percentile(latencies, 0.5):.1f}",
                f"{load.percentile(latencies, 0.99):.1f}",
            )
        )
    rows.append(
        (
            "GET quotes, directly",
            len(direct_ms),
            0,
            0,
            f"{load.percentile(direct_ms, 0.5):.1f}",
            f"{load.percentile(direct_ms, 0.99):.1f}",
        )
    )
    output.print_table(
        ("call", "answered", "not run", "unknown", "p50 ms", "p99 ms"), rows
    )


def _print_probes(started: fleet.Fleet, elapsed_s: float) -> bool:
    probes = sum(
        control.TargetControl(address=target.address).read_counts().probes
        for target in started.targets()
    )
    budget = started.configuration.measuring
    # The probe count includes probes sent before the calls began.
    windows = 1 + (elapsed_s + 10.0) // configuration_const.BUDGET_WINDOW_S
    allowed_probes = (
        budget.fleet_probes_per_second
        * configuration_const.BUDGET_WINDOW_S
        * windows
    )
    print(f"probes: {probes} of {allowed_probes:.0f} allowed")
    return probes <= allowed_probes


def _wait_for_interrupt(started: fleet.Fleet) -> None:
    hosts = " ".join(item.caller_address for item in started.entries)
    first_host = started.entries[0].caller_address
    print(f"\nplatform {started.platform_address}, entry hosts {hosts}")
    print("try, in another terminal:")
    for command in (
        f"status {hosts}",
        f"resolve {first_host}",
        f"explain {first_host} bookings",
        f"call {first_host} quotes GET /quotes/17",
        f"call {first_host} bookings POST /bookings --body roof-4",
        f"report {hosts}",
    ):
        print(f"  .venv/bin/trefoilstand {command}")
    print("Ctrl-C stops everything")
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        print("stopping")


def main() -> None:
    """Run the demonstration."""
    sys.exit(cappa.parse(DemoCommand)())


if __name__ == "__main__":
    main()
