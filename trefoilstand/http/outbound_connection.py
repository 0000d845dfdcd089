"""Client connection to a server that carries one exchange at a time."""

import asyncio
import collections.abc
import typing

import httptools

from trefoilstand.http import errors
from trefoilstand.http import models

_MAX_RESPONSE_BODY_BYTES: typing.Final = 32 * 1024 * 1024
_STATUSES_WITHOUT_BODY: typing.Final = frozenset({204, 304})
_FIRST_FINAL_STATUS: typing.Final = 200

#: Returns whether a response belongs to the request in progress.
Matcher = collections.abc.Callable[[models.Response], bool]


class OutboundConnection(asyncio.Protocol):
    """Send requests on one connection and parse their responses.

    A response that the matcher of the exchange rejects is discarded, since
    it belongs to an earlier request; the connection is not reused after
    that.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._pending_response: asyncio.Future[models.Response] | None = None
        self._matcher: Matcher | None = None
        self._is_head_request = False
        self._header_fields: models.HeaderFields = []
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self._is_close_delimited = False
        self._is_in_message = False
        self._must_close = False
        self.is_closed = False
        self.idle_since_s = 0.0
        self.keep_alive_timeout_s: float | None = None

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent on it."""
        return not (
            self.is_closed or self._must_close or self._pending_response
        )

    def send(
        self, data: bytes, *, matches: Matcher, is_head: bool = False
    ) -> asyncio.Future[models.Response]:
        """Send a request and return the future of its response.

        The future fails with :class:`errors.LinkError`.  Cancelling it
        aborts the connection, so that the server stops its work.

        :param data: encoded request.
        :param matches: returns whether a response belongs to this request.
        :param is_head: whether the method is HEAD, so that the response
            has no body.
        """
        future: asyncio.Future[models.Response] = (
            asyncio.get_running_loop().create_future()
        )
        if self._transport is None or not self.is_reusable:
            future.set_exception(
                errors.LinkError(
                    fault=models.ConnectionFault.CLOSED, is_sent=False
                )
            )
            return future
        self._pending_response = future
        self._matcher = matches
        self._is_head_request = is_head
        future.add_done_callback(self._on_exchange_done)
        self._transport.write(data)
        return future

    def close(self) -> None:
        """Close the connection once its write buffer is sent."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard its write buffer."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened connection."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes that the server sent."""
        if self._pending_response is None:
            # No request is in progress, so these bytes belong to none.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail_exchange(models.ConnectionFault.MALFORMED)
        except httptools.HttpParserError:
            self._fail_exchange(models.ConnectionFault.MALFORMED)

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the stream."""
        if self._is_close_delimited and self._is_in_message:
            self._must_close = True
            self.on_message_complete()
        self._fail_exchange(models.ConnectionFault.CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.is_closed = True
        self._fail_exchange(
            models.ConnectionFault.RESET
            if exc
            else models.ConnectionFault.CLOSED
        )

    def on_message_begin(self) -> None:
        """Reset the state of the parser callbacks for a new response."""
        self._header_fields = []
        self._body_chunks = []
        self._body_bytes = 0
        self._is_close_delimited = False
        self._is_in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._header_fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the end of the response is recognized."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS or status in _STATUSES_WITHOUT_BODY:
            return
        field_names = {name for name, _ in self._header_fields}
        self._is_close_delimited = not (
            b"content-length" in field_names
            or b"transfer-encoding" in field_names
        )
        if self._is_head_request:
            self._must_close = True
            self.on_message_complete()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body, up to the size limit."""
        self._body_bytes += len(body)
        if self._body_bytes > _MAX_RESPONSE_BODY_BYTES:
            self._fail_exchange(models.ConnectionFault.TOO_LARGE)
            return
        self._body_chunks.append(body)

    def on_message_complete(self) -> None:
        """Resolve the exchange if the complete response belongs to it."""
        if not self._is_in_message:
            return
        self._is_in_message = False
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            return
        pending = self._pending_response
        if pending is None or pending.done():
            # A second response to one request.
            self._must_close = True
            return
        response = models.Response(
            status=status,
            fields=self._header_fields,
            body=b"".join(self._body_chunks),
        )
        if self._matcher is not None and not self._matcher(response):
            self._must_close = True
            return
        if not self._parser.should_keep_alive():
            self._must_close = True
        if self._transport and self._transport.get_write_buffer_size():
            # The server responded before the whole request was sent.
            self._must_close = True
        self._read_keep_alive_timeout(response)
        pending.set_result(response)

    def _read_keep_alive_timeout(self, response: models.Response) -> None:
        value = response.find_field(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            key, _, seconds = part.strip().partition(b"=")
            if key.lower() == b"timeout" and seconds.isdigit():
                self.keep_alive_timeout_s = float(seconds)

    def _on_exchange_done(
        self, future: asyncio.Future[models.Response]
    ) -> None:
        self._pending_response = None
        self._matcher = None
        if future.cancelled() or future.exception() is not None:
            self.abort()
        elif self._must_close or self._is_in_message:
            self.close()

    def _fail_exchange(self, fault: models.ConnectionFault) -> None:
        self._must_close = True
        pending = self._pending_response
        if pending is not None and not pending.done():
            pending.set_exception(errors.LinkError(fault=fault, is_sent=True))
        elif self._transport is not None and not self.is_closed:
            self.abort()


async def connect(
    *, ip: str, port: int, timeout_s: float, local_ip: str | None = None
) -> OutboundConnection:
    """Open a connection to a server.

    :param ip: IP address of the server.
    :param port: TCP port of the server.
    :param timeout_s: time limit for opening the connection.
    :param local_ip: IP address to connect from, None for any.
    :raises errors.LinkError: the connection could not be opened in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                OutboundConnection,
                ip,
                port,
                local_addr=(local_ip, 0) if local_ip else None,
            )
    except (OSError, TimeoutError) as error:
        raise errors.LinkError(
            fault=models.ConnectionFault.CONNECT_FAILED, is_sent=False
        ) from error
    return connection
