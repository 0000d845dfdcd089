"""Entry point of the command-line tool `trefoilstand`."""

import collections.abc
import dataclasses
import sys
import typing

import cappa

from trefoilstand.cli import call
from trefoilstand.cli import check
from trefoilstand.cli import diff
from trefoilstand.cli import report
from trefoilstand.cli import status
from trefoilstand.cli import trace


@cappa.command(name="trefoilstand")
@dataclasses.dataclass(frozen=True, kw_only=True)
class MainCommand:
    """Check operators' texts and inspect entry hosts."""

    subcommand: cappa.Subcommands[
        call.CallCommand
        | call.ResolveCommand
        | check.CheckCommand
        | diff.DiffCommand
        | report.ReportCommand
        | status.ExplainCommand
        | status.StatusCommand
        | trace.TraceCommand
    ]


def main() -> None:
    """Run the selected command and exit with its exit code."""
    command = cappa.parse(MainCommand)
    run_command = typing.cast(
        collections.abc.Callable[[], int], command.subcommand
    )
    sys.exit(run_command())


if __name__ == "__main__":
    main()
