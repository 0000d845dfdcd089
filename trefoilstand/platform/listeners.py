"""Listening sockets that are opened before the rest of a host is loaded.

Importing the gateway takes most of the time of a start.  Callers that connect
meanwhile wait for it instead of being refused, as after a loss of power no
other host could serve them.
"""

import collections.abc
import json
import socket
import typing

#: Connections that may wait to be accepted.
BACKLOG: typing.Final = 512
#: Names of the addresses in the settings for requests and look-ups of callers.
_LISTENER_NAMES: typing.Final = ("front", "directory")
#: Errors of settings that the runner reports when it reads them again.
_MALFORMED_ERRORS: typing.Final = (
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)
#: Errors of an address that is malformed or of another machine.
_ADDRESS_ERRORS: typing.Final = (OSError, OverflowError, ValueError)


def open_listeners(settings_text: str) -> dict[str, socket.socket]:
    """Listen on the addresses for callers.

    Addresses that are malformed or cannot be listened on are left out; the
    runner reports them.

    :param settings_text: content of the settings file.
    :returns: listening sockets by `IP:port`.
    """
    sockets: dict[str, socket.socket] = {}
    for address in _read_addresses(settings_text):
        try:
            sockets[address] = _listen(address)
        except _ADDRESS_ERRORS:
            continue
    return sockets


def _read_addresses(settings_text: str) -> collections.abc.Iterator[str]:
    try:
        listen = json.loads(settings_text)["listen"]
        addresses = [listen.get(name) for name in _LISTENER_NAMES]
    except _MALFORMED_ERRORS:
        return
    yield from (item for item in addresses if isinstance(item, str))


def _listen(address: str) -> socket.socket:
    """Return a socket that listens on an address.

    :raises OSError: the address cannot be listened on.
    :raises OverflowError: the port is out of range.
    :raises ValueError: the address has no numeric port.
    """
    ip, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, int(port)))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except _ADDRESS_ERRORS:
        listener.close()
        raise
    return listener
