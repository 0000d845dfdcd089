"""One client connection to a server, with one exchange at a time."""

import asyncio
import collections.abc
import typing

import httptools

from trefoilstand.http import errors
from trefoilstand.http import models

_MAX_BODY_BYTES: typing.Final = 32 * 1024 * 1024
_NO_BODY_STATUSES: typing.Final = frozenset({204, 304})
_FIRST_FINAL_STATUS: typing.Final = 200

#: Tells whether an answer belongs to the request in progress.
Matcher = collections.abc.Callable[[models.Response], bool]


class Link(asyncio.Protocol):
    """Send requests on one connection and parse their answers.

    An answer that the matcher of the exchange refuses is discarded, since
    it belongs to an earlier request; the connection is not used again
    after that.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._pending: asyncio.Future[models.Response] | None = None
        self._matches: Matcher | None = None
        self._is_head = False
        self._fields: models.HeaderFields = []
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._ends_with_connection = False
        self._in_message = False
        self._is_spoiled = False
        self.is_closed = False
        self.idle_since_s = 0.0
        self.idle_limit_s: float | None = None

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        return not (self.is_closed or self._is_spoiled or self._pending)

    def send(
        self, data: bytes, *, matches: Matcher, is_head: bool = False
    ) -> asyncio.Future[models.Response]:
        """Send a request and return the future of its answer.

        The future fails with :class:`errors.LinkError`.  Cancelling it
        aborts the connection, so that the server stops its work.
        """
        future: asyncio.Future[models.Response] = (
            asyncio.get_running_loop().create_future()
        )
        if self._transport is None or not self.is_reusable:
            future.set_exception(
                errors.LinkError(fault=models.LinkFault.CLOSED, is_sent=False)
            )
            return future
        self._pending = future
        self._matches = matches
        self._is_head = is_head
        future.add_done_callback(self._on_done)
        self._transport.write(data)
        return future

    def close(self) -> None:
        """Close the connection."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Drop the connection at once."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse what the server sent."""
        if self._pending is None:
            # Nothing was asked, so these bytes belong to no request.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(models.LinkFault.MALFORMED)
        except httptools.HttpParserError:
            self._fail(models.LinkFault.MALFORMED)

    def eof_received(self) -> bool:
        """End an answer whose length is that of the connection."""
        if self._ends_with_connection and self._in_message:
            self._is_spoiled = True
            self.on_message_complete()
        self._fail(models.LinkFault.CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what is in progress."""
        self.is_closed = True
        self._fail(models.LinkFault.RESET if exc else models.LinkFault.CLOSED)

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._fields = []
        self._chunks = []
        self._body_bytes = 0
        self._ends_with_connection = False
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Find out how the answer will end."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS or status in _NO_BODY_STATUSES:
            return
        names = {name for name, _ in self._fields}
        self._ends_with_connection = not (
            b"content-length" in names or b"transfer-encoding" in names
        )
        if self._is_head:
            self._is_spoiled = True
            self.on_message_complete()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > _MAX_BODY_BYTES:
            self._fail(models.LinkFault.TOO_LARGE)
            return
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Hand over a whole answer if it is the one waited for."""
        if not self._in_message:
            return
        self._in_message = False
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            return
        pending = self._pending
        if pending is None or pending.done():
            # A second answer to one request.
            self._is_spoiled = True
            return
        response = models.Response(
            status=status, fields=self._fields, body=b"".join(self._chunks)
        )
        if self._matches is not None and not self._matches(response):
            self._is_spoiled = True
            return
        if not self._parser.should_keep_alive():
            self._is_spoiled = True
        if self._transport and self._transport.get_write_buffer_size():
            # The server answered before it took the whole request.
            self._is_spoiled = True
        self._read_idle_limit(response)
        pending.set_result(response)

    def _read_idle_limit(self, response: models.Response) -> None:
        value = response.find(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            key, _, seconds = part.strip().partition(b"=")
            if key.lower() == b"timeout" and seconds.isdigit():
                self.idle_limit_s = float(seconds)

    def _on_done(self, future: asyncio.Future[models.Response]) -> None:
        self._pending = None
        self._matches = None
        if future.cancelled() or future.exception() is not None:
            self.abort()
        elif self._is_spoiled or self._in_message:
            self.close()

    def _fail(self, fault: models.LinkFault) -> None:
        self._is_spoiled = True
        pending = self._pending
        if pending is not None and not pending.done():
            pending.set_exception(errors.LinkError(fault=fault, is_sent=True))
        elif self._transport is not None and not self.is_closed:
            self.abort()


async def connect(
    *, ip: str, port: int, timeout_s: float, local_ip: str | None = None
) -> Link:
    """Open a connection.

    :raises errors.LinkError: it could not be opened in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, link = await loop.create_connection(
                Link,
                ip,
                port,
                local_addr=(local_ip, 0) if local_ip else None,
            )
    except (OSError, TimeoutError) as error:
        raise errors.LinkError(
            fault=models.LinkFault.CONNECT_FAILED, is_sent=False
        ) from error
    return link
