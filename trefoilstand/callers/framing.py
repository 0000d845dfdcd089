"""Reject requests with ambiguous framing.

Two HTTP parsers could disagree about where such a request ends, which allows
request smuggling.
"""

import select
import typing

import cheroot.server

_CHUNKED: typing.Final = b"chunked"
_NEXT_REQUEST_WAIT_MS: typing.Final = 5
_CONTENT_LENGTH: typing.Final = b"Content-Length"
_TRANSFER_ENCODING: typing.Final = b"Transfer-Encoding"
_UNIQUE_FIELDS: typing.Final = frozenset(
    {_CONTENT_LENGTH, _TRANSFER_ENCODING, b"Host"}
)


class FramingError(ValueError):
    """Represent a header with ambiguous or malformed framing.

    Cheroot responds to a ValueError of its header reader with status 400
    and closes the connection.
    """


class _UniqueFields(dict[bytes, bytes]):
    """Reject a repeated header field that may occur only once."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in _UNIQUE_FIELDS and name in self:
            raise FramingError(f"{name.decode()} stands twice")
        super().__setitem__(name, value)


class StrictHeaderReader(cheroot.server.HeaderReader):
    """Read a header and check the fields that determine body framing."""

    def __call__(
        self, rfile: typing.Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read the header fields up to the blank line.

        :param rfile: stream to read from.
        :param hdict: mapping to fill, None for a new one.
        :returns: the header fields by name.
        :raises FramingError: the framing of the request is ambiguous.
        """
        fields = _UniqueFields()
        super().__call__(rfile, fields)
        _check_framing(fields)
        if hdict is None:
            return fields
        hdict.update(fields)
        return hdict

    def _transform_key(self, key_name: bytes) -> bytes:
        # WSGI environment keys do not distinguish underscores from dashes.
        if not key_name or key_name != key_name.strip() or b"_" in key_name:
            raise FramingError("malformed name of a field")
        return key_name.title()


class StrictRequest(cheroot.server.HTTPRequest):
    """Parse requests with strict framing."""

    header_reader = StrictHeaderReader()


class StrictConnection(cheroot.server.HTTPConnection):
    """Serve requests with strict framing on one connection."""

    RequestHandlerClass = StrictRequest

    def communicate(self) -> bool:
        """Serve a request, and further ones that follow it closely.

        Returning a keep-alive connection to the selector, which hands it
        on to another thread, costs two thread switches.  Callers often
        send the next request right after a response, so this thread waits
        briefly for it while at least half of the pool is idle.

        :returns: True if the connection is kept open.
        """
        while super().communicate():  # type: ignore[no-untyped-call]
            if not self._has_next_request():
                return True
        return False

    def _has_next_request(self) -> bool:
        pool = self.server.requests
        if not self.server.ready:
            return False
        if pool.idle * 2 < len(pool._threads):
            return False
        if self.rfile.has_data():
            return True
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        return bool(poller.poll(_NEXT_REQUEST_WAIT_MS))


def _check_framing(fields: dict[bytes, bytes]) -> None:
    content_length = fields.get(_CONTENT_LENGTH)
    transfer_encoding = fields.get(_TRANSFER_ENCODING)
    if content_length is not None and transfer_encoding is not None:
        raise FramingError("both a length and a transfer coding")
    if content_length is not None and not content_length.isdigit():
        raise FramingError("the length is no number")
    if transfer_encoding is not None and transfer_encoding.lower() != _CHUNKED:
        raise FramingError("unknown transfer coding")
