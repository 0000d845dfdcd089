"""Print results as tables or as JSON."""

import collections.abc
import json
import sys
import typing

import rich.console
import rich.table


def print_json(content: object) -> None:
    """Print a document as JSON."""
    json.dump(content, sys.stdout, indent=2, default=str)
    sys.stdout.write("\n")


def print_table(
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> None:
    """Print rows in aligned columns."""
    table = rich.table.Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column, no_wrap=True)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    console = rich.console.Console(highlight=False, width=_width())
    console.print(table)


def print_error(text: object) -> None:
    """Print one line to standard error."""
    print(text, file=sys.stderr)


def _width() -> int | None:
    """Return a width that cuts nothing where nobody looks on."""
    return None if sys.stdout.isatty() else _WIDE_COLUMNS


_WIDE_COLUMNS: typing.Final = 200
