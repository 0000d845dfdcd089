"""Command that checks a configuration before it is sent to the store."""

import collections.abc
import dataclasses
import pathlib
import sys
import typing

import cappa

from trefoilstand.cli import const
from trefoilstand.cli import output
from trefoilstand.configuration import diff
from trefoilstand.gateway import configuration_checks as checks
from trefoilstand.platform import document

_EXIT_WARNINGS_FOUND: typing.Final = 3


@cappa.command(name="python3 -m trefoilstand.platform.check")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckCommand:
    """Check a configuration document of the platform before it is sent.

    Example: python3 -m trefoilstand.platform.check new.json in-force.json

    Prints all findings with their locations, and what differs from the
    document in force. Exit code 0 means no findings, 1 errors, 3 only
    warnings. Differences do not change the exit code.
    """

    new: typing.Annotated[
        pathlib.Path, cappa.Arg(help="Document to be sent, a JSON file.")
    ]
    in_force: typing.Annotated[
        pathlib.Path | None, cappa.Arg(help="Document in force.")
    ] = None
    json: typing.Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = (
        False
    )

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        new = _read(self.new, document.check)
        rows = [_to_row(self.new, finding) for finding in new.findings]
        changes: list[diff.Change] | None = None
        if self.in_force is not None:
            old = _read(self.in_force, document.read_in_force)
            if new.configuration and old.configuration:
                rows += (
                    _to_row(self.new, finding)
                    for finding in checks.find_version_mistakes(
                        new.configuration.version, old.configuration.version
                    )
                )
                changes = document.compare(old.raw, new.raw)
            rows += (
                _to_row(self.in_force, finding) for finding in old.findings
            )
        if self.json:
            output.print_json(
                {
                    "findings": rows,
                    "changes": [
                        dataclasses.asdict(item) for item in changes or ()
                    ],
                }
            )
        else:
            _print_text(rows, changes)
        severities = {row["severity"] for row in rows}
        if checks.Severity.ERROR in severities:
            return const.EXIT_FAULTS_FOUND
        return _EXIT_WARNINGS_FOUND if severities else 0


def main() -> None:
    """Run the command and exit with its exit code."""
    sys.exit(cappa.parse(CheckCommand)())


def _read(
    path: pathlib.Path,
    read: collections.abc.Callable[[bytes], document.Document],
) -> document.Document:
    try:
        value = path.read_bytes()
    except OSError as error:
        return document.unreadable(error)
    return read(value)


def _to_row(path: pathlib.Path, finding: checks.Finding) -> dict[str, str]:
    return {
        "severity": finding.severity,
        "document": str(path),
        "location": document.to_location(finding.path),
        "message": finding.message,
    }


def _print_text(
    rows: list[dict[str, str]], changes: list[diff.Change] | None
) -> None:
    if rows:
        output.print_table(
            ("severity", "document", "location", "message"),
            (row.values() for row in rows),
            is_wrapped=True,
        )
    else:
        print("no findings")
    if changes:
        print()
        output.print_table(
            ("kind", "entry", "before", "after"),
            (
                (item.kind, item.key_path, item.before, item.after)
                for item in changes
            ),
            is_wrapped=True,
        )
    elif changes is not None:
        print("no differences")


if __name__ == "__main__":
    main()
