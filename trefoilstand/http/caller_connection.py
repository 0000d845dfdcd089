"""Connection of one caller: parse its requests and write the responses."""

import asyncio
import time
import typing

import httptools

from trefoilstand.http import buffer_budget
from trefoilstand.http import handling
from trefoilstand.http import input_scheduler
from trefoilstand.http import models
from trefoilstand.http import pipeline
from trefoilstand.http import wire
from trefoilstand.telemetry import events

if typing.TYPE_CHECKING:
    from trefoilstand.http import server as servers

#: Larger bodies are written apart from their header, without a copy.
_MAX_COPIED_BODY_BYTES: typing.Final = 16 * 1024
#: A caller that reads nothing of its response for this long is cut off, as
#: the response takes memory.
_UNREAD_RESPONSE_TIMEOUT_S: typing.Final = 5.0
_CONTINUE_RESPONSE: typing.Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerConnection(input_scheduler.ScheduledProtocol):
    """Parse the requests on one connection and respond in their order.

    :param server: server that accepted the connection.
    """

    def __init__(self, *, server: "servers.Server") -> None:
        super().__init__(scheduler=server.input_scheduler)
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._pipeline = pipeline.Pipeline()
        self._handling_tasks: set[asyncio.Task[None]] = set()
        #: Memory of responses that wait for those of earlier requests.
        self._waiting_lease: buffer_budget.BufferLease | None = None
        self._timeout_handle: asyncio.TimerHandle | None = None
        self._request_target = b""
        self._header_fields: models.HeaderFields = []
        self._body = bytearray()
        self._header_bytes = 0
        #: Bytes received since the parser last completed a part.
        self._unparsed_bytes = 0
        self._request_arrived_s = 0.0
        self._is_in_message = False
        self._is_in_header = False
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
        self._pipeline.clear()
        self._release_waiting()
        self._discard_input()
        for task in self._handling_tasks:
            task.cancel()
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
            len(self._pipeline)
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
        self._is_in_header = True
        self._request_target = b""
        self._header_fields = []
        self._body = bytearray()
        self._header_bytes = 0
        if not len(self._pipeline):
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
        self._is_in_header = False
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
        self._pipeline.add(
            pipeline.Exchange(
                request=request, keeps_alive=self._parser.should_keep_alive()
            )
        )
        if self._pipeline.is_full and self._transport is not None:
            self._transport.pause_reading()
        self._start_handling()

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

    @property
    def _is_parsing_blocked(self) -> bool:
        """Return whether further requests have to wait for responses."""
        return self._pipeline.is_full

    def _start_handling(self) -> None:
        for exchange in self._pipeline.take_startable():
            task = asyncio.get_running_loop().create_task(
                self._handle_exchange(exchange)
            )
            self._handling_tasks.add(task)
            task.add_done_callback(self._handling_tasks.discard)

    async def _handle_exchange(self, exchange: pipeline.Exchange) -> None:
        if exchange.request is None:
            return
        exchange.response = await self._handle(exchange.request)
        self._write_complete()

    def _write_complete(self) -> None:
        """Write the responses whose turn has come, and start what waits."""
        was_full = self._pipeline.is_full
        if self._server.is_draining:
            # All requests that were read are answered before the connection
            # closes; later ones count as not read.
            self._pipeline.close()
        while (exchange := self._pipeline.pop_complete()) is not None:
            self._write_response(exchange)
        self._hold_waiting()
        if self._transport is None or self._transport.is_closing():
            return
        self._start_handling()
        if not len(self._pipeline):
            self._start_read_timeout()
        if was_full:
            self._continue_input()

    def _start_read_timeout(self) -> None:
        """Limit the time until the next request, or its header, is read."""
        limits = self._server.limits
        if self._is_in_header:
            self._start_timeout(limits.header_timeout_s)
        elif not self._is_in_message:
            self._start_timeout(limits.idle_timeout_s)

    def _hold_waiting(self) -> None:
        """Count the responses that wait for those of earlier requests."""
        self._release_waiting()
        waiting_bytes = self._pipeline.waiting_bytes
        if self._server.buffers is not None and waiting_bytes:
            self._waiting_lease = self._server.buffers.open_lease(lambda: None)
            self._waiting_lease.hold(waiting_bytes)

    def _release_waiting(self) -> None:
        if self._waiting_lease is not None:
            self._waiting_lease.release()
            self._waiting_lease = None

    async def _handle(
        self, request: models.Request
    ) -> handling.CallerResponse:
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
            return handling.CallerResponse(status=500)

    def _write_response(self, exchange: pipeline.Exchange) -> None:
        response = exchange.response
        if (
            response is None
            or self._transport is None
            or self._transport.is_closing()
        ):
            return
        is_closing = not exchange.keeps_alive
        header = wire.encode_response_header(
            status=response.status,
            fields=response.fields,
            body_bytes=len(response.body),
            is_closing=is_closing,
        )
        if exchange.request is not None and exchange.request.method == b"HEAD":
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

        Requests that were read before it are answered first.

        :param status: HTTP status code.
        """
        if self._is_rejected or self._transport is None:
            return
        self._is_rejected = True
        self._discard_input()
        self._cancel_timeout()
        self._transport.pause_reading()
        self._pipeline.add(
            pipeline.Exchange(
                request=None,
                keeps_alive=False,
                is_started=True,
                response=handling.CallerResponse(status=status),
            )
        )
        self._write_complete()

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
        if not len(self._pipeline) and self._transport is not None:
            self._transport.close()
