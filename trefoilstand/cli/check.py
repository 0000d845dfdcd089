"""Command `check`, which validates an operators' text."""

import dataclasses
import pathlib
import typing

import cappa

from trefoilstand import exceptions
from trefoilstand.cli import const
from trefoilstand.cli import output
from trefoilstand.configuration import loader
from trefoilstand.configuration import models


@cappa.command(name="check")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckCommand:
    """Validate an operators' text and print all its faults.

    Example: trefoilstand check examples/perch-guard.toml

    Exit code 0 means that the text has no faults, 1 that it has some.
    """

    text: typing.Annotated[
        pathlib.Path, cappa.Arg(help="Operators' text, a TOML file.")
    ]
    json: typing.Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = (
        False
    )

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        configuration, faults = load_text(self.text)
        if self.json:
            output.print_json({"faults": faults})
        for fault in faults:
            output.print_error(fault)
        if configuration is None:
            return const.EXIT_FAULTS_FOUND
        if not self.json:
            targets = sum(
                len(service.targets)
                for service in configuration.services.values()
            )
            print(
                f"{self.text}: {len(configuration.services)} services, "
                f"{targets} targets, no faults"
            )
        return 0


def load_text(
    path: pathlib.Path,
) -> tuple[models.Configuration | None, list[str]]:
    """Read and validate an operators' text.

    :param path: TOML file.
    :returns: the configuration, None if the text is unreadable or has
        faults, and one message for each fault.
    """
    try:
        text = path.read_text(encoding="utf-8")
        return (
            loader.parse_configuration(source_name=str(path), text=text),
            [],
        )
    except exceptions.TextFaultsError as group:
        return None, [str(fault) for fault in group.exceptions]
    except (OSError, UnicodeDecodeError) as error:
        return None, [str(error)]
