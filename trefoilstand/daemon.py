"""Entry point of the daemon `trefoilstandd`."""

import dataclasses
import pathlib
import signal
import sys
import typing

import cappa

from trefoilstand import assembly
from trefoilstand import exceptions
from trefoilstand.settings import loader
from trefoilstand.telemetry import events

_EXIT_BAD_SETTINGS: typing.Final = 2


@cappa.command(name="trefoilstandd")
@dataclasses.dataclass(frozen=True, kw_only=True)
class DaemonCommand:
    """Run one entry host.

    SIGTERM drains and stops, a second SIGTERM stops at once.  Exit code
    0 means a stop on request, 2 means invalid settings.
    """

    settings: typing.Annotated[
        pathlib.Path, cappa.Arg(long=True, help="Settings file in TOML.")
    ]


def main() -> None:
    """Run the daemon until SIGTERM or SIGINT stops it."""
    command = cappa.parse(DaemonCommand)
    try:
        settings = loader.load_settings(command.settings)
    except exceptions.TextFaultsError as group:
        for fault in group.exceptions:
            print(fault, file=sys.stderr)
        sys.exit(_EXIT_BAD_SETTINGS)
    except OSError as error:
        print(error, file=sys.stderr)
        sys.exit(_EXIT_BAD_SETTINGS)
    events.configure_logging()
    daemon = assembly.Daemon(settings=settings)

    def leave(_signal_number: int, _frame: object) -> None:
        daemon.application.request_leave()

    signal.signal(signal.SIGTERM, leave)
    signal.signal(signal.SIGINT, leave)
    daemon.application.run()


if __name__ == "__main__":
    main()
