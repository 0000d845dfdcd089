"""HTTP server for the requests of callers on one event loop."""

import abc
import asyncio
import collections
import collections.abc
import dataclasses
import time
import typing

import httptools

from trefoilstand.http import buffer_budget
from trefoilstand.http import input_scheduler
from trefoilstand.http import models
from trefoilstand.http import wire
from trefoilstand.telemetry import events

#: Requests that may wait on one connection while another is handled.
_MAX_PIPELINED_REQUESTS: typing.Final = 8
#: Larger bodies are written apart from their header, without a copy.
_MAX_COPIED_BODY_BYTES: typing.Final = 16 * 1024
#: A caller that reads nothing of its response for this long is cut off, as
#: the response takes memory.
_UNREAD_RESPONSE_TIMEOUT_S: typing.Final = 5.0
_CONTINUE_RESPONSE: typing.Final = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Hold the limits on sizes and times of callers' requests.

    :param header_bytes: largest header section in bytes.
    :param body_bytes: largest body in bytes.
    :param header_timeout_s: time limit in seconds for receiving a header
        section.
    :param idle_timeout_s: longest time in seconds between two requests.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerResponse:
    """Hold the response to a caller's request.

    :param status: HTTP status code.
    :param fields: header fields.
    :param body: complete body.
    """

    status: int
    fields: models.HeaderFields = dataclasses.field(default_factory=list)
    body: bytes = b""


class RequestHandler(abc.ABC):
    """Produce the responses to requests."""

    @abc.abstractmethod
    async def handle(self, request: models.Request) -> CallerResponse:
        """Return the response to a request.

        The call is cancelled when the caller disconnects.
        """


class CallerConnection(input_scheduler.ScheduledProtocol):
    """Parse the requests on one connection and respond in their order.

    :param server: server that accepted the connection.
    """

    def __init__(self, *, server: "Server") -> None:
        super().__init__(scheduler=server.input_scheduler)
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._request_queue: collections.deque[models.Request] = (
            collections.deque()
        )
        self._handling_task: asyncio.Task[None] | None = None
        self._timeout_handle: asyncio.TimerHandle | None = None
        self._request_target = b""
        self._header_fields: models.HeaderFields = []
        self._body = bytearray()
        self._header_bytes = 0
        #: Bytes received since the parser last completed a part.
        self._unparsed_bytes = 0
        self._request_arrived_s = 0.0
        self._is_in_message = False
        self._is_rejected = False
        self._unsent_lease: buffer_budget.BufferLease | None = None
        self._stall_handle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timeout."""
        super().connection_made(transport)
        self._server.connections[self] = None
        self._start_timeout(self._server.limits.idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, since no caller waits for it."""
        self._server.connections.pop(self, None)
        self._cancel_timeout()
        self.resume_writing()
        self._request_queue.clear()
        self._discard_input()
        if self._handling_task is not None:
            self._handling_task.cancel()
        # The parser refers to this object; without the cycle both are freed
        # now and not by the next garbage collection.
        del self._parser
        self._transport = None

    def pause_writing(self) -> None:
        """Count a response that the caller has not read yet."""
        if self._transport is None:
            return
        unsent_bytes = self._transport.get_write_buffer_size()
        if self._server.buffers is not None and self._unsent_lease is None:
            self._unsent_lease = self._server.buffers.open_lease(lambda: None)
            self._unsent_lease.hold(unsent_bytes)
        self._watch_unsent(unsent_bytes)

    def resume_writing(self) -> None:
        """Release the memory of a response that was sent."""
        if self._stall_handle is not None:
            self._stall_handle.cancel()
            self._stall_handle = None
        if self._unsent_lease is not None:
            self._unsent_lease.release()
            self._unsent_lease = None

    def _watch_unsent(self, unsent_bytes: int) -> None:
        """Check later that the caller has read some of its response."""
        self._stall_handle = asyncio.get_running_loop().call_later(
            _UNREAD_RESPONSE_TIMEOUT_S, self._check_unsent, unsent_bytes
        )

    def _check_unsent(self, previous_bytes: int) -> None:
        self._stall_handle = None
        if self._transport is None:
            return
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes < previous_bytes:
            self._watch_unsent(unsent_bytes)
            return
        events.info(events.CallerStalled(unsent_bytes=unsent_bytes))
        self._transport.abort()

    def eof_received(self) -> bool:
        """Close the connection when the caller ends its stream."""
        return False

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse bytes that the caller sent."""
        if self._is_rejected:
            return
        if not self._is_in_message:
            self._request_arrived_s = time.monotonic()
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)
        if self._unparsed_bytes > self._server.limits.header_bytes:
            self._reject(431)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or handled."""
        return not (
            self._handling_task
            or self._is_in_message
            or self.has_unparsed_input
        )

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress on it."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def on_message_begin(self) -> None:
        """Reset the parser state for a new request, start its timeout."""
        self._is_in_message = True
        self._request_target = b""
        self._header_fields = []
        self._body = bytearray()
        self._header_bytes = 0
        if self._handling_task is None:
            self._start_timeout(self._server.limits.header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._unparsed_bytes = 0
        self._request_target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field of the header or trailer section."""
        self._unparsed_bytes = 0
        self._slice_parts += 1
        if self._is_rejected:
            return
        self._header_fields.append((name.lower(), value))
        self._count_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Send status 100 to a caller that expects it before its body."""
        self._unparsed_bytes = 0
        if self._is_rejected or self._transport is None:
            return
        self._cancel_timeout()
        for name, value in self._header_fields:
            if name == b"expect" and value.lower() == b"100-continue":
                self._transport.write(_CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body, up to the size limit."""
        self._unparsed_bytes = 0
        if self._is_rejected:
            return
        if len(self._body) + len(body) > self._server.limits.body_bytes:
            self._reject(413)
            return
        self._body += body

    def on_chunk_header(self) -> None:
        """Record that the parser has completed a chunk's size line."""
        self._unparsed_bytes = 0
        self._slice_parts += 1

    def on_message_complete(self) -> None:
        """Queue a complete request and start handling it."""
        self._unparsed_bytes = 0
        self._is_in_message = False
        if self._is_rejected:
            return
        request = models.Request(
            method=self._parser.get_method(),
            target=self._request_target,
            fields=self._header_fields,
            body=bytes(self._body),
            arrived_s=self._request_arrived_s,
        )
        self._body = bytearray()
        if self._is_ambiguous(request):
            self._reject(400)
            return
        self._request_queue.append(request)
        if len(self._request_queue) > _MAX_PIPELINED_REQUESTS:
            self._reject(400)
            return
        if self._handling_task is None:
            keeps_alive = self._parser.should_keep_alive()
            self._handling_task = asyncio.get_running_loop().create_task(
                self._handle_queued_requests(keeps_alive)
            )

    def _is_ambiguous(self, request: models.Request) -> bool:
        """Return whether its framing or host could be read in two ways."""
        field_names = [name for name, _ in request.fields]
        if (
            field_names.count(b"host") > 1
            or field_names.count(b"content-length") > 1
        ):
            return True
        return (
            b"content-length" in field_names
            and b"transfer-encoding" in field_names
        )

    def _count_header_bytes(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        if self._header_bytes > self._server.limits.header_bytes:
            self._reject(431)

    async def _handle_queued_requests(self, keeps_alive: bool) -> None:
        try:
            while self._request_queue:
                request = self._request_queue.popleft()
                response = await self._handle(request)
                self._write_response(request, response, keeps_alive)
        finally:
            self._handling_task = None
            if self._transport is not None and not self._is_in_message:
                self._start_timeout(self._server.limits.idle_timeout_s)

    async def _handle(self, request: models.Request) -> CallerResponse:
        """Return the handler's response, or status 500 if it raises."""
        try:
            return await self._server.handler.handle(request)
        except Exception as error:
            # Without a response the caller would wait for its full timeout.
            events.error(
                events.ComponentFailed(
                    component="callers",
                    error_type=type(error).__name__,
                    detail=str(error)[:500],
                )
            )
            return CallerResponse(status=500)

    def _write_response(
        self,
        request: models.Request,
        response: CallerResponse,
        keeps_alive: bool,
    ) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        is_closing = not keeps_alive or self._server.is_draining
        header = wire.encode_response_header(
            status=response.status,
            fields=response.fields,
            body_bytes=len(response.body),
            is_closing=is_closing,
        )
        if request.method == b"HEAD":
            self._transport.write(header)
        elif len(response.body) > _MAX_COPIED_BODY_BYTES:
            self._transport.write(header)
            self._transport.write(response.body)
        else:
            self._transport.write(header + response.body)
        if is_closing:
            self._transport.close()

    def _reject(self, status: int) -> None:
        """Respond to an unacceptable request and close the connection.

        The response is left out while an earlier request is handled.

        :param status: HTTP status code.
        """
        if self._is_rejected or self._transport is None:
            return
        self._is_rejected = True
        self._discard_input()
        if self._handling_task is None:
            self._transport.write(
                wire.encode_response_header(
                    status=status, fields=[], body_bytes=0, is_closing=True
                )
            )
        self._transport.close()

    def _start_timeout(self, timeout_s: float) -> None:
        self._cancel_timeout()
        self._timeout_handle = asyncio.get_running_loop().call_later(
            timeout_s, self._on_timeout
        )

    def _cancel_timeout(self) -> None:
        if self._timeout_handle is not None:
            self._timeout_handle.cancel()
            self._timeout_handle = None

    def _on_timeout(self) -> None:
        if self._handling_task is None and self._transport is not None:
            self._transport.close()


class Server:
    """Accept connections of callers on one address.

    :param handler: produces the responses.
    :param buffers: memory for bodies, None for no limit.
    :param scheduler: shares the event loop with other connections, None to
        share it only among those of this server.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        buffers: buffer_budget.BufferBudget | None = None,
        scheduler: input_scheduler.InputScheduler | None = None,
    ) -> None:
        self.handler = handler
        self.buffers = buffers
        self.input_scheduler = scheduler or input_scheduler.InputScheduler()
        self.limits = Limits()
        #: Open connections, in the order in which they were accepted.
        self.connections: dict[CallerConnection, None] = {}
        self.is_draining = False
        self._server: asyncio.Server | None = None

    async def start(self, *, ip: str, port: int, backlog: int) -> None:
        """Start to listen.

        :param ip: IP address to listen on.
        :param port: TCP port, 0 for any free one.
        :param backlog: connections that may wait to be accepted.
        :raises OSError: the address cannot be listened on.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(server=self),
            ip,
            port,
            backlog=backlog,
            reuse_address=True,
        )

    @property
    def port(self) -> int:
        """Return the TCP port of the listening socket, 0 without one."""
        if self._server is None:
            return 0
        return int(self._server.sockets[0].getsockname()[1])

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones continue."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle_connections(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    @property
    def busy_count(self) -> int:
        """Return how many connections have a request in progress."""
        return sum(not connection.is_idle for connection in self.connections)
