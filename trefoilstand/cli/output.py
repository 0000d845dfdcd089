"""Print results as tables or as JSON."""

import collections.abc
import json
import sys
import typing

import rich.console
import rich.table
import rich.text


def print_json(content: object) -> None:
    """Print a document as indented JSON to standard output.

    :param content: document; values unknown to JSON become strings.
    """
    json.dump(content, sys.stdout, indent=2, default=str)
    sys.stdout.write("\n")


def print_table(
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Iterable[object]],
    *,
    is_wrapped: bool = False,
) -> None:
    """Print rows in aligned columns to standard output.

    :param columns: column headings.
    :param rows: the cells of each row.
    :param is_wrapped: whether long cells continue on further lines instead
        of being cut.
    """
    table = rich.table.Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(
            column,
            no_wrap=not is_wrapped,
            overflow="fold" if is_wrapped else "ellipsis",
        )
    for row in rows:
        # Brackets in plain strings would be read as markup.
        table.add_row(*(rich.text.Text(str(cell)) for cell in row))
    console = rich.console.Console(highlight=False, width=_table_width())
    console.print(table)


def print_error(message: object) -> None:
    """Print one line to standard error.

    :param message: text, or an error that is printed as text.
    """
    print(message, file=sys.stderr)


def _table_width() -> int | None:
    """Return the table width, None for the width of the terminal.

    Output to a pipe or file gets a fixed width, so that no cell is cut.
    """
    return None if sys.stdout.isatty() else _PIPED_WIDTH_COLUMNS


_PIPED_WIDTH_COLUMNS: typing.Final = 200
