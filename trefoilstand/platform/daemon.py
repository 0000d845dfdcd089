"""Run an entry host on the platform."""

import asyncio
import os
import pathlib
import random
import secrets
import signal
import sys
import typing

import uvloop

from trefoilstand.gateway import application
from trefoilstand.platform import decoder
from trefoilstand.platform import dialect
from trefoilstand.platform import pages
from trefoilstand.platform import settings
from trefoilstand.platform import store
from trefoilstand.telemetry import events
from trefoilstand.telemetry import stream

_SETTINGS_VARIABLE: typing.Final = "TREFOILSTAND_SETTINGS"
_EXIT_BAD_SETTINGS: typing.Final = 2
#: How often the settings file is looked at, as it may change unannounced.
_SETTINGS_CHECK_S: typing.Final = 1.0


class SettingsWatch:
    """Read the settings file again whenever it changes.

    :param path: the file.
    :param gateway: takes over what may change.
    """

    def __init__(
        self, *, path: pathlib.Path, gateway: application.Gateway
    ) -> None:
        self._path = path
        self._gateway = gateway
        self._text = path.read_text(encoding="utf-8")

    async def repeat(self) -> None:
        """Look at the file until cancelled."""
        while True:
            await asyncio.sleep(_SETTINGS_CHECK_S)
            self.reload("file changed")

    def reload(self, cause: str) -> None:
        """Take over the file if its content is new and sound."""
        try:
            text = self._path.read_text(encoding="utf-8")
            if text == self._text:
                return
            self._gateway.update_settings(settings.parse_settings(text))
        except (OSError, settings.PlatformSettingsError) as error:
            events.warning(
                events.ComponentFailed(
                    component="settings",
                    error_type=type(error).__name__,
                    detail=str(error),
                )
            )
            return
        self._text = text
        events.info(events.SettingsReloaded(cause=cause, is_changed=True))


async def run(path: pathlib.Path) -> None:
    """Run until a signal asks for the end.

    :raises settings.PlatformSettingsError: the file cannot be used.
    :raises OSError: the file or an address cannot be used.
    """
    found = settings.parse_settings(path.read_text(encoding="utf-8"))
    gateway = application.Gateway(
        settings=found,
        store=store.PlatformStore(
            endpoint=found.store_endpoint, local_ip=found.caller_endpoint.ip
        ),
        decoder=decoder.StoreDecoder(),
        protocol=dialect.PlatformDialect(),
        random_source=random.Random(secrets.randbits(64)),
    )
    gateway.add_page(
        found.readiness_endpoint,
        pages.ReadinessPage(addresses=gateway.directory),
    )
    if found.directory_endpoint is not None:
        gateway.add_page(
            found.directory_endpoint,
            pages.ResolvePage(
                addresses=gateway.directory,
                lifetime_s=found.answer_lifetime_s,
            ),
        )
    watch = SettingsWatch(path=path, gateway=gateway)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, gateway.request_leave)
    loop.add_signal_handler(signal.SIGINT, gateway.request_leave)
    loop.add_signal_handler(signal.SIGHUP, watch.reload, "signal")
    watching = loop.create_task(watch.repeat())
    try:
        await gateway.run()
    finally:
        watching.cancel()


def main() -> None:
    """Run the program."""
    # A signal that comes before the handlers stand must not end us.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    events.set_up(stream.BoundedStreamHandler(descriptor=1))
    path = pathlib.Path(os.environ[_SETTINGS_VARIABLE])
    try:
        uvloop.run(run(path))
    except (OSError, settings.PlatformSettingsError) as error:
        events.error(
            events.ComponentFailed(
                component="daemon",
                error_type=type(error).__name__,
                detail=str(error),
            )
        )
        events.flush()
        sys.exit(_EXIT_BAD_SETTINGS)


if __name__ == "__main__":
    main()
