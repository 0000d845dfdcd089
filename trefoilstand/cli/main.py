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
    """Check texts of operators and look into entry hosts."""

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
    """Run one command and exit with its code."""
    command = cappa.parse(MainCommand)
    run = typing.cast(collections.abc.Callable[[], int], command.subcommand)
    sys.exit(run())


if __name__ == "__main__":
    main()
