"""Command `diff`, which compares two operators' texts."""

import dataclasses
import pathlib
import typing

import cappa

from trefoilstand.cli import check
from trefoilstand.cli import const
from trefoilstand.cli import output
from trefoilstand.configuration import diff


@cappa.command(name="diff")
@dataclasses.dataclass(frozen=True, kw_only=True)
class DiffCommand:
    """Show the differences between two operators' texts.

    Example: trefoilstand diff old.toml new.toml --json

    Exit code 0 means that both texts have no faults, 1 that at least
    one of them has some.
    """

    before: typing.Annotated[pathlib.Path, cappa.Arg(help="Earlier text.")]
    after: typing.Annotated[pathlib.Path, cappa.Arg(help="Later text.")]
    json: typing.Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = (
        False
    )

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        before, before_faults = check.load_text(self.before)
        after, after_faults = check.load_text(self.after)
        for fault in (*before_faults, *after_faults):
            output.print_error(fault)
        if before is None or after is None:
            return const.EXIT_FAULTS_FOUND
        changes = diff.compare(before, after)
        if self.json:
            output.print_json(
                [dataclasses.asdict(change) for change in changes]
            )
        elif not changes:
            print("no differences")
        else:
            output.print_table(
                ("kind", "entry", "before", "after"),
                (
                    (change.kind, change.key_path, change.before, change.after)
                    for change in changes
                ),
            )
        return 0
