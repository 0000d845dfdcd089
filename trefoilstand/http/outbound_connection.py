"""Client connection to a server that carries one exchange at a time."""

import asyncio
import collections.abc
import typing

import httptools

from trefoilstand.http import body_storage
from trefoilstand.http import buffer_budget
from trefoilstand.http import errors
from trefoilstand.http import input_scheduler
from trefoilstand.http import models
from trefoilstand.telemetry import events

#: Largest body of a response.
MAX_BODY_BYTES: typing.Final = 32 * 1024 * 1024
#: Largest header section, and largest trailer section.  It also limits the
#: bytes that end neither a field nor a chunk, as the parser keeps them.
MAX_HEADER_BYTES: typing.Final = 64 * 1024
#: Bytes that one header field takes besides its name and value.
_FIELD_OVERHEAD_BYTES: typing.Final = 32
#: Interim responses (status 1xx) and responses to earlier requests that may
#: precede the response of an exchange.
_MAX_INTERIM_RESPONSES: typing.Final = 16
_MAX_FOREIGN_RESPONSES: typing.Final = 8
_STATUSES_WITHOUT_BODY: typing.Final = frozenset({204, 304})
_FIRST_FINAL_STATUS: typing.Final = 200
#: Statuses that HTTP defines.  The parser accepts others, and takes those
#: below 100 for interim responses.
_STATUSES: typing.Final = range(100, 600)
#: A response with this status ends HTTP on the connection, which no request
#: asks for.
_SWITCHING_PROTOCOLS: typing.Final = 101

#: Returns whether a response belongs to the request in progress.
Matcher = collections.abc.Callable[[models.Response], bool]


class OutboundConnection(input_scheduler.ScheduledProtocol):
    """Send requests on one connection and parse their responses.

    A response that the matcher of the exchange rejects is discarded, since
    it belongs to an earlier request; the connection is not reused after
    that.  A server that sends more than the limits allow has its connection
    closed at once.

    :param peer: address of the server, for logs.
    :param buffers: memory for bodies of all connections, None for no limit.
    :param scheduler: shares the event loop with other connections, None to
        share it with none.
    """

    def __init__(
        self,
        *,
        peer: str = "",
        buffers: buffer_budget.BufferBudget | None = None,
        scheduler: input_scheduler.InputScheduler | None = None,
    ) -> None:
        super().__init__(scheduler=scheduler)
        self._peer = peer
        self._lease = (
            None
            if buffers is None
            else buffers.open_lease(self._resume_reading)
        )
        self._parser = httptools.HttpResponseParser(self)
        self._pending_response: asyncio.Future[models.Response] | None = None
        self._matcher: Matcher | None = None
        self._is_head_request = False
        self._header_fields: models.HeaderFields = []
        self._header_bytes = 0
        #: Bytes received since the parser last completed a part.
        self._unparsed_bytes = 0
        self._interim_count = 0
        self._foreign_count = 0
        self._body = body_storage.BodyStorage()
        self._max_body_bytes = MAX_BODY_BYTES
        self._is_length_known = False
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
            self.is_closed
            or self._must_close
            or self._pending_response
            or self.has_unparsed_input
        )

    def send(
        self,
        data: bytes,
        *,
        matches: Matcher,
        is_head: bool = False,
        body: models.Body = b"",
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> asyncio.Future[models.Response]:
        """Send a request and return the future of its response.

        The future fails with :class:`errors.LinkError`.  Cancelling it
        aborts the connection, so that the server stops its work.

        :param data: encoded request.
        :param body: body that the encoded request does not contain.
        :param matches: returns whether a response belongs to this request.
        :param is_head: whether the method is HEAD, so that the response
            has no body.
        :param max_body_bytes: largest body of the response.
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
        self._max_body_bytes = max_body_bytes
        self._interim_count = 0
        self._foreign_count = 0
        self._unparsed_bytes = 0
        future.add_done_callback(self._on_exchange_done)
        self._transport.write(data)
        if body:
            self._transport.write(body)
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

    @property
    def _is_parsing_blocked(self) -> bool:
        """Return whether the body in progress waits for memory."""
        return self._lease is not None and self._lease.is_waiting

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse bytes that the server sent."""
        if self.is_closed:
            return
        if self._pending_response is None:
            # No request is in progress, so these bytes belong to none.
            self.abort()
            return
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail_exchange(models.ConnectionFault.MALFORMED)
        except httptools.HttpParserError:
            self._fail_exchange(models.ConnectionFault.MALFORMED)
        if self._unparsed_bytes > MAX_HEADER_BYTES:
            self._fail_exchange(models.ConnectionFault.HEADER_TOO_LARGE)

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the stream."""
        if self._is_close_delimited and self._is_in_message:
            self._must_close = True
            self.on_message_complete()
        self._fail_exchange(models.ConnectionFault.CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        if self.is_closed:
            self._discard_input()
        else:
            self._parse_remaining()
        self.is_closed = True
        self._fail_exchange(
            models.ConnectionFault.RESET
            if exc
            else models.ConnectionFault.CLOSED
        )
        self._release_buffers()
        # The parser refers to this object; without the cycle both are freed
        # now and not by the next garbage collection.
        del self._parser
        self._transport = None

    def on_message_begin(self) -> None:
        """Reset the state of the parser callbacks for a new response."""
        self._header_fields = []
        self._header_bytes = 0
        self._body.clear()
        self._is_length_known = False
        self._is_close_delimited = False
        self._is_in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field of the header or trailer section."""
        self._unparsed_bytes = 0
        self._slice_parts += 1
        self._header_bytes += len(name) + len(value) + _FIELD_OVERHEAD_BYTES
        if self._header_bytes > MAX_HEADER_BYTES:
            self._fail_exchange(models.ConnectionFault.HEADER_TOO_LARGE)
            return
        self._header_fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the end of the response is recognized."""
        self._unparsed_bytes = 0
        self._header_bytes = 0
        status = self._parser.get_status_code()
        if status not in _STATUSES or status == _SWITCHING_PROTOCOLS:
            self._fail_exchange(models.ConnectionFault.MALFORMED)
            return
        if status < _FIRST_FINAL_STATUS or status in _STATUSES_WITHOUT_BODY:
            return
        fields = dict(self._header_fields)
        self._is_close_delimited = not (
            b"content-length" in fields or b"transfer-encoding" in fields
        )
        if self._is_head_request:
            self._must_close = True
            self.on_message_complete()
        elif b"content-length" in fields:
            self._is_length_known = True
            self._reserve_body(int(fields[b"content-length"]))

    def on_chunk_header(self) -> None:
        """Record that the parser has completed a chunk's size line."""
        self._unparsed_bytes = 0
        self._slice_parts += 1

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body, up to the size limit."""
        self._unparsed_bytes = 0
        if self.is_closed:
            return
        if self._body.size_bytes + len(body) > self._max_body_bytes:
            self._fail_exchange(models.ConnectionFault.BODY_TOO_LARGE)
            return
        self._body.append(body)
        if not self._is_length_known:
            self._reserve_body(len(body))

    def on_message_complete(self) -> None:
        """Resolve the exchange if the complete response belongs to it."""
        if not self._is_in_message:
            return
        self._is_in_message = False
        self._unparsed_bytes = 0
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            self._interim_count += 1
            if self._interim_count > _MAX_INTERIM_RESPONSES:
                self._fail_exchange(models.ConnectionFault.TOO_MANY_INTERIM)
            return
        pending = self._pending_response
        if pending is None or pending.done():
            # A second response to one request.
            self._must_close = True
            return
        response = models.Response(
            status=status,
            fields=self._header_fields,
            body=self._body.take(),
        )
        if self._matcher is not None and not self._matcher(response):
            self._must_close = True
            self._release_buffers()
            self._foreign_count += 1
            if self._foreign_count > _MAX_FOREIGN_RESPONSES:
                self._fail_exchange(models.ConnectionFault.TOO_MANY_FOREIGN)
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
        self._body.clear()
        self._release_buffers()
        if future.cancelled() or future.exception() is not None:
            self.abort()
        elif self._transport and self._transport.get_write_buffer_size():
            # What the server has not read of the request would take memory
            # for as long as it does not read it.
            self.abort()
        elif (
            self._must_close or self._is_in_message or self.has_unparsed_input
        ):
            self.close()

    def _reserve_body(self, size_bytes: int) -> None:
        """Reserve memory for a body, and stop reading until it is granted.

        :param size_bytes: length of the body, or of the part of a body of
            unknown length that was received.
        """
        if (
            self._transport is None
            or self._transport.is_closing()
            or self.is_closed
        ):
            return
        if size_bytes > self._max_body_bytes:
            self._fail_exchange(models.ConnectionFault.BODY_TOO_LARGE)
            return
        if self._lease is None:
            return
        if not self._lease.reserve(size_bytes):
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if not self.is_closed:
            self._continue_input()

    def _release_buffers(self) -> None:
        if self._lease is not None:
            self._lease.release()

    def _fail_exchange(self, fault: models.ConnectionFault) -> None:
        self._must_close = True
        if fault in models.LIMIT_FAULTS and not self.is_closed:
            events.warning(
                events.ResponseLimitExceeded(peer=self._peer, limit=fault)
            )
        pending = self._pending_response
        if pending is not None and not pending.done():
            pending.set_exception(errors.LinkError(fault=fault, is_sent=True))
        if not self.is_closed:
            self.abort()


async def connect(
    *,
    ip: str,
    port: int,
    timeout_s: float,
    local_ip: str | None = None,
    buffers: buffer_budget.BufferBudget | None = None,
    scheduler: input_scheduler.InputScheduler | None = None,
) -> OutboundConnection:
    """Open a connection to a server.

    :param ip: IP address of the server.
    :param port: TCP port of the server.
    :param timeout_s: time limit for opening the connection.
    :param local_ip: IP address to connect from, None for any.
    :param buffers: memory for bodies of all connections, None for no limit.
    :param scheduler: shares the event loop with other connections, None to
        share it with none.
    :raises errors.LinkError: the connection could not be opened in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: OutboundConnection(
                    peer=f"{ip}:{port}", buffers=buffers, scheduler=scheduler
                ),
                ip,
                port,
                local_addr=(local_ip, 0) if local_ip else None,
            )
    except (OSError, TimeoutError) as error:
        raise errors.LinkError(
            fault=models.ConnectionFault.CONNECT_FAILED, is_sent=False
        ) from error
    return connection
