"""Refuse requests whose end two readers could see at different places."""

import select
import typing

import cheroot.server

_CHUNKED: typing.Final = b"chunked"
_LINGER_MS: typing.Final = 5
_LENGTH: typing.Final = b"Content-Length"
_CODING: typing.Final = b"Transfer-Encoding"
_SINGLE: typing.Final = frozenset({_LENGTH, _CODING, b"Host"})


class FramingError(ValueError):
    """Represent a header that leaves the end of the request in doubt.

    The server answers a ValueError of its header reader with status 400
    and closes the connection.
    """


class _SingleFields(dict[bytes, bytes]):
    """Refuse a second field of a kind that may stand only once."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in _SINGLE and name in self:
            raise FramingError(f"{name.decode()} stands twice")
        super().__setitem__(name, value)


class StrictHeaderReader(cheroot.server.HeaderReader):
    """Read a header and check the fields that frame the body."""

    def __call__(
        self, rfile: typing.Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read fields until the blank line.

        :raises FramingError: the end of the request is in doubt.
        """
        fields = _SingleFields()
        super().__call__(rfile, fields)
        _check_framing(fields)
        if hdict is None:
            return fields
        hdict.update(fields)
        return hdict

    def _transform_key(self, key_name: bytes) -> bytes:
        # WSGI cannot tell an underscore from a dash.
        if not key_name or key_name != key_name.strip() or b"_" in key_name:
            raise FramingError("malformed name of a field")
        return key_name.title()


class StrictRequest(cheroot.server.HTTPRequest):
    """Read requests with strict framing."""

    header_reader = StrictHeaderReader()


class StrictConnection(cheroot.server.HTTPConnection):
    """Hand strict requests to the application."""

    RequestHandlerClass = StrictRequest

    def communicate(self) -> bool:
        """Serve a request, and at once the next one where it is near.

        Handing a kept connection back to the selector and on to another
        thread costs two changes of threads.  Callers often send the next
        request within a moment, so this thread waits for it as long as
        enough others are idle.

        :returns: True where the connection is kept open.
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
        return bool(poller.poll(_LINGER_MS))


def _check_framing(fields: dict[bytes, bytes]) -> None:
    length = fields.get(_LENGTH)
    coding = fields.get(_CODING)
    if length is not None and coding is not None:
        raise FramingError("both a length and a transfer coding")
    if length is not None and not length.isdigit():
        raise FramingError("the length is no number")
    if coding is not None and coding.lower() != _CHUNKED:
        raise FramingError("unknown transfer coding")
