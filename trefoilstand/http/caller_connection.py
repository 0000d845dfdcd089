"""Connection of one caller: parse its requests and write the responses."""

import asyncio
import time
import typing

import httptools

from trefoilstand.http import delivery
from trefoilstand.http import handling
from trefoilstand.http import input_admission
from trefoilstand.http import input_scheduler
from trefoilstand.http import models
from trefoilstand.http import pipeline
from trefoilstand.http import read_timeout
from trefoilstand.http import request_reception
from trefoilstand.http import response_writing
from trefoilstand.http import wire

if typing.TYPE_CHECKING:
    from trefoilstand.http import server as servers

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
        self._waiting = response_writing.WaitingResponses(
            buffers=server.buffers
        )
        self._read_timeout = read_timeout.ReadTimeout(
            on_expired=self._close_unless_busy
        )
        self._request_target = b""
        self._header_fields: models.HeaderFields = []
        self._reception = request_reception.RequestReception(
            admission=server.admission,
            on_refused=self._refuse,
            on_granted=self._continue_input,
        )
        self._header_bytes = 0
        #: Bytes received since the parser last completed a part.
        self._unparsed_bytes = 0
        self._request_arrived_s = 0.0
        self._is_in_message = False
        self._is_in_header = False
        self._is_rejected = False
        #: Ends the connection once its last response was written.
        self._orderly_close: delivery.OrderlyClose | None = None
        self._unsent = response_writing.UnsentResponse(buffers=server.buffers)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timeout."""
        super().connection_made(transport)
        self._start_timeout(self._server.limits.idle_timeout_s)
        self._server.register(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, since no caller waits for it."""
        self._server.connections.pop(self, None)
        self._read_timeout.close()
        if self._orderly_close is not None:
            self._orderly_close.cancel()
            self._orderly_close = None
        self._unsent.resume()
        self._reception.close()
        self._pipeline.clear()
        self._waiting.release()
        self._discard_input()
        for task in self._handling_tasks:
            task.cancel()
        # The parser refers to this object; without the cycle both are freed
        # now and not by the next garbage collection.
        del self._parser
        self._transport = None

    def pause_writing(self) -> None:
        """Count a response that the caller has not read yet."""
        if self._transport is not None:
            self._unsent.pause(self._transport)

    def resume_writing(self) -> None:
        """Release a response that was sent, and write those behind it."""
        self._unsent.resume()
        if self._transport is not None:
            self._write_complete()

    def eof_received(self) -> bool:
        """Close the connection when the caller ends its stream."""
        return False

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse bytes that the caller sent."""
        if self._orderly_close is not None:
            self._orderly_close.discard(len(data))
            return
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
        if self._is_in_message and not self._is_rejected:
            self._count_incomplete()

    def _count_incomplete(self) -> None:
        """Count a partly received request, which may have to wait."""
        if self._transport is None:
            return
        self._reception.count(
            self._header_memory_bytes,
            self._transport,
            is_fragmented=self._is_fragmented,
        )
        if self._is_rejected:
            return
        if self._reception.is_waiting:
            self._transport.pause_reading()
        if not self._is_in_header and not self._reception.is_watched:
            timeout_s = self._server.handler.caller_timeout_s(
                self._header_fields
            )
            self._reception.watch(
                deadline_s=None
                if timeout_s is None
                else self._request_arrived_s + timeout_s,
                stall_timeout_s=self._server.limits.idle_timeout_s,
            )

    @property
    def _header_memory_bytes(self) -> int:
        return (
            self._header_bytes
            + len(self._header_fields) * request_reception.FIELD_OVERHEAD_BYTES
        )

    @property
    def receiving_since_s(self) -> float | None:
        """Return since when its only request is received, None without."""
        if len(self._pipeline) or not self._is_in_message:
            return None
        return self._request_arrived_s

    def give_up(self) -> None:
        """Close the connection for another one, as there are too many.

        A request that is being received is refused first.
        """
        if self._transport is None:
            return
        if self.receiving_since_s is not None:
            self._refuse(input_admission.STATUS_NO_PROGRESS)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection, and forget it at once."""
        self._server.connections.pop(self, None)
        if self._transport is not None:
            self._transport.close()

    @property
    def _has_request(self) -> bool:
        """Return whether a request is being received or handled."""
        return bool(
            len(self._pipeline)
            or self._is_in_message
            or self.has_unparsed_input
        )

    @property
    def is_idle(self) -> bool:
        """Return whether a close cuts off no request and no response."""
        return (
            self._transport is not None
            and not self._has_request
            and not delivery.undelivered_bytes(self._transport)
        )

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress on it."""
        if self._orderly_close is None and self.is_idle:
            self.close()

    def on_message_begin(self) -> None:
        """Reset the parser state for a new request, start its timeout."""
        self._is_in_message = True
        self._is_in_header = True
        self._request_target = b""
        self._header_fields = []
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
        self._read_timeout.cancel()
        size_bytes, expects_continue = wire.read_expectations(
            self._header_fields
        )
        if size_bytes > self._server.limits.body_bytes:
            self._refuse(413)
            return
        if size_bytes > request_reception.SOCKET_BUFFER_BYTES:
            self._reception.announce(
                size_bytes + self._header_memory_bytes, self._transport
            )
        if expects_continue and not self._is_rejected:
            self._transport.write(_CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body, up to the size limit."""
        self._unparsed_bytes = 0
        if self._is_rejected:
            return
        reception = self._reception
        size_bytes = reception.received_bytes + len(body)
        if size_bytes > self._server.limits.body_bytes:
            self._refuse(413)
            return
        try:
            reception.body.append(body)
        except OSError:
            self._refuse(input_admission.STATUS_NO_MEMORY)

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
        try:
            lease = self._reception.complete()
        except MemoryError:
            self._refuse(input_admission.STATUS_NO_MEMORY)
            return
        request = models.Request(
            method=self._parser.get_method(),
            target=self._request_target,
            fields=self._header_fields,
            body=self._reception.body.take(),
            arrived_s=self._request_arrived_s,
        )
        exchange = pipeline.Exchange(
            request=request,
            keeps_alive=self._parser.should_keep_alive(),
            lease=lease,
        )
        if request.is_ambiguous:
            exchange.release_memory()
            self._reject(400)
            return
        self._pipeline.add(exchange)
        if self._pipeline.is_full and self._transport is not None:
            self._transport.pause_reading()
        self._start_handling()

    def _count_header_bytes(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        if self._header_bytes > self._server.limits.header_bytes:
            self._reject(431)

    @property
    def _is_parsing_blocked(self) -> bool:
        """Return whether requests wait for responses or for memory."""
        return self._pipeline.is_full or self._reception.is_waiting

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
        exchange.response = await handling.handle(
            self._server.handler, exchange.request
        )
        self._write_complete()

    def _write_complete(self) -> None:
        """Write the responses whose turn has come, and start what waits."""
        was_full = self._pipeline.is_full
        if self._server.is_draining:
            # All requests that were read are answered before the connection
            # closes; later ones count as not read.
            self._pipeline.close()
        while (
            not self._unsent.is_paused
            and (exchange := self._pipeline.pop_complete()) is not None
        ):
            if self._transport is not None:
                response_writing.write(self._transport, exchange)
            exchange.release_memory()
        self._waiting.hold(self._pipeline.waiting_bytes)
        if self._transport is None or self._transport.is_closing():
            return
        if self._pipeline.is_closed and not len(self._pipeline):
            self._end_output()
            return
        self._start_handling()
        if not len(self._pipeline):
            self._start_read_timeout()
        if was_full:
            self._continue_input()

    def _end_output(self) -> None:
        """Close the connection once the last response is delivered.

        What the caller has sent behind the last request counts as not read.
        """
        if self._transport is None or self._orderly_close is not None:
            return
        self._is_in_message = False
        self._is_fragmented = False
        self._read_timeout.cancel()
        self._reception.abandon()
        self._discard_input()
        self._orderly_close = delivery.OrderlyClose(transport=self._transport)

    def _start_read_timeout(self) -> None:
        """Limit the time until the next request, or its header, is read."""
        limits = self._server.limits
        if self._is_in_header:
            self._start_timeout(limits.header_timeout_s)
        elif not self._is_in_message:
            self._start_timeout(limits.idle_timeout_s)

    def _refuse(self, status: int) -> None:
        """Reject a partly received request, which has not run."""
        if self._is_rejected or self._transport is None:
            return
        self._reception.log_refusal(status, self._transport)
        self._reject(status)

    def _reject(self, status: int) -> None:
        """Respond to an unacceptable request and close the connection.

        Requests that were read before it are answered first.

        :param status: HTTP status code.
        """
        if self._is_rejected or self._transport is None:
            return
        self._is_rejected = True
        self._reception.abandon()
        self._discard_input()
        self._read_timeout.cancel()
        self._transport.pause_reading()
        self._pipeline.add(pipeline.make_refusal(status))
        self._write_complete()

    def _start_timeout(self, timeout_s: float) -> None:
        if self._transport is not None:
            self._read_timeout.start(self._transport, timeout_s)

    def _close_unless_busy(self) -> None:
        """Close the connection if it has waited too long for a request."""
        if not len(self._pipeline) and self._transport is not None:
            self._transport.close()
