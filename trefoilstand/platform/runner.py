"""Run an entry host on the platform."""

import asyncio
import collections.abc
import os
import pathlib
import random
import secrets
import signal
import socket
import sys
import typing

import uvloop

from trefoilstand.gateway import application
from trefoilstand.gateway import options
from trefoilstand.helpers import supervision
from trefoilstand.platform import decoder
from trefoilstand.platform import pages
from trefoilstand.platform import settings
from trefoilstand.platform import store
from trefoilstand.platform import target_protocol
from trefoilstand.telemetry import events
from trefoilstand.telemetry import stream

#: Path of the options file; without it there are no options.
_OPTIONS_VARIABLE: typing.Final = "TREFOILSTAND_OPTIONS"
_EXIT_BAD_SETTINGS: typing.Final = 2
#: Interval between checks of the settings file, which may change without
#: a signal.
_SETTINGS_CHECK_INTERVAL_S: typing.Final = 2.0


class SettingsWatcher:
    """Reload the settings file whenever its content changes.

    :param path: path of the settings file.
    :param gateway: gateway that applies the changed settings.
    :param options_file: read again along with the settings, None without
        options.
    """

    def __init__(
        self,
        *,
        path: pathlib.Path,
        gateway: application.Gateway,
        options_file: options.OptionsFile | None = None,
    ) -> None:
        self._path = path
        self._gateway = gateway
        self._options_file = options_file
        self._applied_text = path.read_text(encoding="utf-8")

    async def run(self) -> None:
        """Check the file at regular intervals until cancelled."""
        await supervision.repeat("settings", self._check)

    async def _check(self) -> None:
        await asyncio.sleep(_SETTINGS_CHECK_INTERVAL_S)
        self.reload("file changed")

    def handle_signal(self) -> None:
        """Read the settings and the options again on SIGHUP."""
        is_changed = self.reload("signal")
        # A change has read the options already.
        if self._options_file is not None and not is_changed:
            self._options_file.reload("signal")

    def reload(self, cause: str) -> bool:
        """Apply the settings if the file has changed and is valid.

        An unreadable or invalid file is logged, and the settings in force
        remain.

        :param cause: reason of the check, as logged.
        :returns: whether changed settings, and the options, were applied.
        """
        try:
            text = self._path.read_text(encoding="utf-8")
            if text == self._applied_text:
                return False
            self._gateway.update_settings(settings.parse_settings(text))
        except (OSError, settings.PlatformSettingsError) as error:
            events.warning(
                events.ComponentFailed(
                    component="settings",
                    error_type=type(error).__name__,
                    detail=str(error),
                )
            )
            return False
        self._applied_text = text
        events.info(events.SettingsReloaded(cause=cause, is_changed=True))
        if self._options_file is not None:
            self._options_file.reload(cause)
        return True


async def run(
    path: pathlib.Path,
    sockets: collections.abc.Mapping[str, socket.socket],
    options_path: pathlib.Path | None = None,
) -> None:
    """Run the gateway until SIGTERM or SIGINT, and let it drain.

    :param path: path of the settings file.
    :param sockets: sockets that listen already, by `IP:port`.
    :param options_path: path of the options file, None without options.
    :raises settings.PlatformSettingsError: the file is not valid.
    :raises OSError: the file cannot be read or an address cannot be
        listened on.
    """
    gateway_settings = settings.parse_settings(
        path.read_text(encoding="utf-8")
    )
    gateway = application.Gateway(
        settings=gateway_settings,
        store=store.PlatformStore(
            endpoint=gateway_settings.store_endpoint,
            local_ip=gateway_settings.caller_endpoint.ip,
        ),
        decoder=decoder.StoreDecoder(),
        protocol=target_protocol.PlatformTargetProtocol(),
        random_source=random.Random(secrets.randbits(64)),
        sockets=sockets,
    )
    gateway.add_page(
        gateway_settings.readiness_endpoint,
        pages.ReadinessPage(host_directory=gateway.directory),
    )
    if gateway_settings.directory_endpoint is not None:
        gateway.add_page(
            gateway_settings.directory_endpoint,
            pages.ResolvePage(
                host_directory=gateway.directory,
                lifetime_s=gateway_settings.answer_lifetime_s,
            ),
        )
    options_file: options.OptionsFile | None = None
    if options_path is not None:
        options_file = options.OptionsFile(
            path=options_path, apply=gateway.forwarder.apply_options
        )
        options_file.reload("start")
    settings_watcher = SettingsWatcher(
        path=path, gateway=gateway, options_file=options_file
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, gateway.request_leave)
    loop.add_signal_handler(signal.SIGINT, gateway.request_leave)
    loop.add_signal_handler(signal.SIGHUP, settings_watcher.handle_signal)
    tasks = [
        loop.create_task(settings_watcher.run()),
        loop.create_task(_configure_logging_late(gateway)),
    ]
    try:
        await gateway.run()
    finally:
        for task in tasks:
            task.cancel()


async def _configure_logging_late(gateway: application.Gateway) -> None:
    """Configure logging once callers no longer wait for it.

    :param gateway: gateway that loads its first state.
    """
    await gateway.wait_until_loaded()
    await asyncio.to_thread(events.import_libraries)
    _configure_logging()


def _configure_logging() -> None:
    events.configure_logging(stream.BoundedStreamHandler(descriptor=1))


def main(
    path: pathlib.Path,
    sockets: collections.abc.Mapping[str, socket.socket],
) -> None:
    """Run an entry host until it has drained.

    :param path: path of the settings file.
    :param sockets: sockets that listen already, by `IP:port`.
    """
    options_text = os.environ.get(_OPTIONS_VARIABLE)
    options_path = pathlib.Path(options_text) if options_text else None
    try:
        uvloop.run(run(path, sockets, options_path))
    except (OSError, settings.PlatformSettingsError) as error:
        _configure_logging()
        events.error(
            events.ComponentFailed(
                component="daemon",
                error_type=type(error).__name__,
                detail=str(error),
            )
        )
        events.flush()
        sys.exit(_EXIT_BAD_SETTINGS)
