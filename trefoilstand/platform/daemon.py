"""Program of an entry host on the platform.

It listens for callers before it imports the modules that serve them.
"""

import importlib
import os
import pathlib
import signal
import typing

from trefoilstand.platform import listeners

_SETTINGS_VARIABLE: typing.Final = "TREFOILSTAND_SETTINGS"


def main() -> None:
    """Run an entry host with the settings file of the environment."""
    # SIGHUP must not end the process before its handler is installed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = pathlib.Path(os.environ[_SETTINGS_VARIABLE])
    try:
        settings_text = path.read_text(encoding="utf-8")
    except (OSError, ValueError):
        # The runner reads the file again and reports the error.
        settings_text = ""
    sockets = listeners.open_listeners(settings_text)
    runner = importlib.import_module("trefoilstand.platform.runner")
    runner.main(path, sockets)


if __name__ == "__main__":
    main()
