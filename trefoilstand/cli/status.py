"""Commands `status` and `explain`."""

import dataclasses
import typing

import cappa

from trefoilstand.callers import const as callers_const
from trefoilstand.cli import arguments
from trefoilstand.cli import const
from trefoilstand.cli import fetch
from trefoilstand.cli import output


@cappa.command(name="status")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StatusCommand:
    """Show the state and view of entry hosts.

    Example: trefoilstand status 127.0.1.1:8100 127.0.1.2:8100

    Exit code 0 means that all answered, 3 that some did not.
    """

    addresses: arguments.HostAddresses
    json: typing.Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = (
        False
    )

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        found = fetch.fetch_all(self.addresses, callers_const.PATH_STATUS)
        if self.json:
            output.print_json([dataclasses.asdict(item) for item in found])
        else:
            output.print_table(
                ("address", "phase", "version", "digest", "live", "leaving"),
                (_row(item) for item in found),
            )
        return report_unreachable(found)


@cappa.command(name="explain")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ExplainCommand:
    """Show why one entry host chooses or sets aside each target.

    Example: trefoilstand explain 127.0.1.1:8100 bookings

    Exit code 0 means that it answered, 3 that it did not.
    """

    address: arguments.HostAddress
    service: arguments.ServiceName
    json: typing.Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = (
        False
    )

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        path = f"{callers_const.PATH_EXPLAIN}?service={self.service}"
        found = fetch.fetch(self.address, path)
        if found.document is None:
            return report_unreachable([found])
        if self.json:
            output.print_json(found.document)
            return 0
        now_s = found.document["now_s"]
        output.print_table(
            (
                "target",
                "status",
                "own in flight",
                "latency ms",
                "failures",
                "reported",
                "age ms",
            ),
            (_target_row(row, now_s) for row in found.document["targets"]),
        )
        return 0


def report_unreachable(found: list[fetch.Fetched]) -> int:
    """Name the hosts that did not answer and return the exit code."""
    missing = [item for item in found if item.document is None]
    for item in missing:
        output.print_error(f"{item.address}: no answer: {item.detail}")
    return const.EXIT_UNREACHABLE if missing else 0


def _row(item: fetch.Fetched) -> tuple[object, ...]:
    if item.document is None:
        return (item.address, "no answer", "", "", "", "")
    document = item.document
    live = 1 + sum(member["state"] != "dead" for member in document["members"])
    return (
        item.address,
        document["phase"],
        document["configuration_version"],
        document["configuration_digest"][:12],
        live,
        len(document["leaving_targets"]),
    )


def _target_row(row: fetch.Document, now_s: float) -> tuple[object, ...]:
    health = row["health"]
    report = health["report"]
    latency = health["latency_ms"]
    return (
        row["address"],
        row["status"],
        row["own_in_flight"],
        "" if latency is None else f"{latency:.1f}",
        health["consecutive_failures"],
        f"{report['in_flight']}/{report['slots']}" if report else "",
        f"{(now_s - report['observed_s']) * 1000:.0f}" if report else "",
    )
