"""Commands `status` and `explain`, which inspect entry hosts."""

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
    """Show the phase, configuration and members that entry hosts report.

    Example: trefoilstand status 127.0.1.1:8100 127.0.1.2:8100

    Exit code 0 means that all hosts answered, 3 that some did not.
    """

    addresses: arguments.HostAddresses
    json: typing.Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = (
        False
    )

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        results = fetch.fetch_all(self.addresses, callers_const.PATH_STATUS)
        if self.json:
            output.print_json(
                [dataclasses.asdict(result) for result in results]
            )
        else:
            output.print_table(
                ("address", "phase", "version", "digest", "live", "leaving"),
                (_status_row(result) for result in results),
            )
        return report_unreachable(results)


@cappa.command(name="explain")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ExplainCommand:
    """Show why one entry host uses or excludes each target of a service.

    Example: trefoilstand explain 127.0.1.1:8100 bookings

    Exit code 0 means that the host answered, 3 that it did not.
    """

    address: arguments.HostAddress
    service: arguments.ServiceName
    json: typing.Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = (
        False
    )

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        path = f"{callers_const.PATH_EXPLAIN}?service={self.service}"
        result = fetch.fetch(self.address, path)
        if result.document is None:
            return report_unreachable([result])
        if self.json:
            output.print_json(result.document)
            return 0
        now_s = result.document["now_s"]
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
            (_target_row(row, now_s) for row in result.document["targets"]),
        )
        return 0


def report_unreachable(results: list[fetch.FetchResult]) -> int:
    """Print the hosts that did not answer to standard error.

    :param results: one fetch result for each host.
    :returns: exit code of the command.
    """
    failed = [result for result in results if result.document is None]
    for result in failed:
        output.print_error(f"{result.address}: no answer: {result.detail}")
    return const.EXIT_UNREACHABLE if failed else 0


def _status_row(result: fetch.FetchResult) -> tuple[object, ...]:
    if result.document is None:
        return (result.address, "no answer", "", "", "", "")
    document = result.document
    live = 1 + sum(member["state"] != "dead" for member in document["members"])
    return (
        result.address,
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
