"""Command `report`, which shows error budget burn rates."""

import collections
import dataclasses
import typing

import cappa

from trefoilstand.callers import const as callers_const
from trefoilstand.cli import arguments
from trefoilstand.cli import fetch
from trefoilstand.cli import output
from trefoilstand.cli import status
from trefoilstand.telemetry import burn


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BurnRow:
    """Hold the burn rates of one service in one window.

    :param service: name of the service.
    :param window_s: length of the window in seconds.
    :param calls: number of calls, whatever their outcome.
    :param answer_burn: burn rate of the budget for unanswered calls.
    :param latency_burn: burn rate of the budget for slow calls.
    """

    service: str
    window_s: float
    calls: int
    answer_burn: float
    latency_burn: float


@cappa.command(name="report")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ReportCommand:
    """Show the error budget burn rates of services.

    A burn rate of 1.0 spends a budget exactly within its period.

    Example: trefoilstand report 127.0.1.1:8100 127.0.1.2:8100

    Exit code 0 means that all hosts answered, 3 that some did not, so
    that their calls are missing from the figures.
    """

    addresses: arguments.HostAddresses
    json: typing.Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = (
        False
    )

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        results = fetch.fetch_all(self.addresses, callers_const.PATH_REPORT)
        rows = make_rows(
            [
                result.document
                for result in results
                if result.document is not None
            ]
        )
        if self.json:
            output.print_json(
                {
                    "rows": [dataclasses.asdict(row) for row in rows],
                    "missing": [
                        result.address
                        for result in results
                        if result.document is None
                    ],
                }
            )
        else:
            output.print_table(
                (
                    "service",
                    "window s",
                    "calls",
                    "answer burn",
                    "latency burn",
                ),
                (
                    (
                        row.service,
                        f"{row.window_s:.0f}",
                        row.calls,
                        f"{row.answer_burn:.2f}",
                        f"{row.latency_burn:.2f}",
                    )
                    for row in rows
                ),
            )
        return status.report_unreachable(results)


def make_rows(documents: list[fetch.Document]) -> list[BurnRow]:
    """Sum the counts of several entry hosts and return burn rates.

    :param documents: report documents of the entry hosts.
    :returns: one row for each service and window, sorted by both.
    """
    counts: collections.defaultdict[tuple[str, float], burn.ServiceCounts]
    counts = collections.defaultdict(burn.ServiceCounts)
    objectives: dict[str, fetch.Document] = {}
    for document in documents:
        for name, service in document["services"].items():
            objectives[name] = service["objective"]
            for window in service["windows"]:
                key = (name, window["window_s"])
                counts[key] = counts[key].plus(_read_counts(window))
    return [
        _make_row(name, window_s, total, objectives[name])
        for (name, window_s), total in sorted(counts.items())
    ]


def _read_counts(window: fetch.Document) -> burn.ServiceCounts:
    return burn.ServiceCounts(
        answered=window["answered"],
        not_run=window["not_run"],
        unknown=window["unknown"],
        slow=window["slow"],
    )


def _make_row(
    name: str,
    window_s: float,
    total: burn.ServiceCounts,
    objective: fetch.Document,
) -> BurnRow:
    return BurnRow(
        service=name,
        window_s=window_s,
        calls=total.calls,
        answer_burn=burn.burn_rate(
            total.not_run + total.unknown,
            total.calls,
            objective["answered_ratio"],
        ),
        latency_burn=burn.burn_rate(
            total.slow, total.answered, objective["latency_ratio"]
        ),
    )
