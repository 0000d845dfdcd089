"""Numeric network addresses in the form `IP:port`."""

import dataclasses
import ipaddress

from trefoilstand import exceptions


class AddressSyntaxError(exceptions.TrefoilstandError, ValueError):
    """A text is not a numeric IPv4 address with a port."""


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class SocketAddress:
    """Identify a TCP endpoint by numeric address.

    :param ip: IPv4 address as text.
    :param port: TCP port from 1 to 65535.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> SocketAddress:
    """Parse `IP:port`.

    :param text: an IPv4 address, a colon and a port.
    :raises AddressSyntaxError: the text has another form.
    """
    ip, separator, port_text = text.rpartition(":")
    if not separator or not (port_text.isascii() and port_text.isdigit()):
        raise AddressSyntaxError(f"{text!r} is not of the form IP:port")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError as error:
        raise AddressSyntaxError(f"{ip!r} is not an IPv4 address") from error
    port = int(port_text)
    if not 1 <= port <= 65535:
        raise AddressSyntaxError(f"port {port} is not in the range 1 to 65535")
    return SocketAddress(ip=ip, port=port)
