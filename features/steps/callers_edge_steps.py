import asyncio
import socket
import time

from behave import given
from behave import then
from behave import when
import uvloop

from features.support import scripted_http
from trefoilstand.http import buffer_budget
from trefoilstand.http import handling
from trefoilstand.http import server

_HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
_MALFORMED = {
    "no HTTP": b"hello there\r\n\r\n",
    "two lengths": _HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "length and chunks": _HEAD
    + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a signed length": _HEAD + b"Content-Length: +1\r\n\r\na",
    "two hosts": b"GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "a long header": _HEAD + b"X: " + b"y" * 3000 + b"\r\n\r\n",
    "a long body": _HEAD + b"Content-Length: 5000\r\n\r\n" + b"z" * 5000,
    "a spaced header name": b"GET /x HTTP/1.1\r\nHost : a\r\n\r\n",
}
_WELL_FORMED = {
    "a chunked body": [
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"
    ],
    "a body in small pieces": [
        _HEAD + b"Content-Length: 5\r\n",
        b"\r\nhe",
        b"llo",
    ],
    "a body on request": [
        _HEAD + b"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n",
        b"hello",
    ],
    "no body": [b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"],
}


class _EchoHandler(handling.RequestHandler):
    def __init__(self):
        self.handled = 0
        self.delay_s = 0.0
        self.fails = False
        self.timeout_s = None

    def caller_timeout_s(self, fields):
        return self.timeout_s

    async def handle(self, request):
        self.handled += 1
        await asyncio.sleep(self.delay_s)
        if self.fails:
            raise ZeroDivisionError(
                "handler failure requested by the scenario"
            )
        return handling.CallerResponse(status=200, body=request.body)


def _run(context, exchange):
    async def run_server():
        context.handler = _EchoHandler()
        listener = server.Server(handler=context.handler)
        listener.limits = handling.Limits(
            header_bytes=2000,
            body_bytes=4000,
            header_timeout_s=0.3,
            idle_timeout_s=context.idle_timeout_s,
        )
        await listener.start(ip="127.0.0.1", port=0, backlog=16)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listener.port
        )
        try:
            return await exchange(listener, reader, writer)
        finally:
            writer.close()
            listener.stop_listening()

    return uvloop.run(run_server())


@given("a server that echoes requests")
def echo_server(context):
    context.responses = []
    context.idle_timeout_s = 15.0


@when("a caller that waits {wait_ms:d} ms stops within its body")
def stop_within_body(context, wait_ms):
    context.idle_timeout_s = 0.5

    async def exchange(_listener, reader, writer):
        context.handler.timeout_s = wait_ms / 1000
        writer.write(_HEAD + b"Content-Length: 5\r\n\r\nhell")
        response = await scripted_http.read_response(reader)
        context.trailing_bytes = await asyncio.wait_for(reader.read(), 3)
        return response

    context.responses = [_run(context, exchange)]


@when("a caller asks to send a body of {size:d} bytes")
def ask_to_send(context, size):
    async def exchange(_listener, reader, writer):
        writer.write(
            _HEAD
            + b"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n" % size
        )
        response = await scripted_http.read_response(reader)
        context.trailing_bytes = await asyncio.wait_for(reader.read(), 3)
        return response

    context.responses = [_run(context, exchange)]


@when("{count:d} requests are pipelined")
def send_pipelined(context, count):
    async def exchange(_listener, reader, writer):
        for number in range(count):
            writer.write(_HEAD + b"Content-Length: 1\r\n\r\n%d" % number)
        return [
            await scripted_http.read_response(reader) for _ in range(count)
        ]

    context.responses = _run(context, exchange)


@when("an incomplete header section is sent")
def send_partial_header(context):
    async def exchange(_listener, reader, writer):
        writer.write(_HEAD)
        sent_s = time.monotonic()
        await asyncio.wait_for(reader.read(), 5)
        context.elapsed_s = time.monotonic() - sent_s

    _run(context, exchange)


@when("the server drains while a request is in progress")
def drain_in_progress(context):
    async def exchange(listener, reader, writer):
        context.handler.delay_s = 0.1
        writer.write(_HEAD + b"Content-Length: 5\r\n\r\nhello")
        await asyncio.sleep(0.05)
        listener.is_draining = True
        listener.stop_listening()
        listener.close_idle_connections()
        return await scripted_http.read_response(reader)

    context.responses = [_run(context, exchange)]


@when("the server receives {name}")
def send_named(context, name):
    async def exchange(_listener, reader, writer):
        for chunk in _WELL_FORMED.get(name) or [_MALFORMED[name]]:
            writer.write(chunk)
            await asyncio.sleep(0.02)
        response = await scripted_http.read_response(reader)
        if response[0] == 100:
            response = await scripted_http.read_response(reader)
        if name in _MALFORMED:
            context.trailing_bytes = await asyncio.wait_for(reader.read(), 3)
        return response

    context.responses = [_run(context, exchange)]


@then("it responds with {status:d} and the connection closes")
def check_rejected(context, status):
    assert context.responses[0][0] == status, context.responses
    assert context.trailing_bytes == b"", context.trailing_bytes


@then("{count:d} requests were handled")
def check_handled(context, count):
    assert context.handler.handled == count


@then('it responds with {status:d} with body "{body}"')
def check_body(context, status, body):
    assert context.responses[0][0] == status
    assert context.responses[0][2] == body.encode()


@then('it responds with {status:d} with body ""')
def check_no_body(context, status):
    assert context.responses[0][0] == status
    assert context.responses[0][2] == b""


@then("the responses come in the same order")
def check_order(context):
    bodies = [body for _, _, body in context.responses]
    assert bodies == [b"%d" % number for number in range(len(bodies))]


@then("the connection closes within {limit_ms:d} ms")
def check_closed_in_time(context, limit_ms):
    assert context.elapsed_s * 1000 <= limit_ms


@then('the response has the field "Connection: close"')
def check_close_field(context):
    assert b"connection: close" in context.responses[0][1]


@when("the handler raises an exception")
def fail_handler(context):
    async def exchange(_listener, reader, writer):
        context.handler.fails = True
        writer.write(_HEAD + b"Content-Length: 0\r\n\r\n")
        return await scripted_http.read_response(reader)

    context.responses = [_run(context, exchange)]


_ENDLESS = {
    "blank lines": (b"", b"\r\n" * 8192),
    "a request target": (b"GET /", b"y" * 65536),
    "header fields": (_HEAD, b"X-Field: value\r\n" * 4096),
    "a header field": (_HEAD + b"X-Field: ", b"y" * 65536),
    "a chunk extension": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n2;x=",
        b"y" * 65536,
    ),
    "trailer fields": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        b"X-Field: value\r\n" * 4096,
    ),
    "a trailer field": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: ",
        b"y" * 65536,
    ),
}


@when("a caller sends {stream} without end")
def send_endless(context, stream):
    async def exchange(_listener, reader, writer):
        start, repeated = _ENDLESS[stream]
        started_s = time.monotonic()
        context.sent_bytes = 0
        writer.write(start)
        try:
            while True:
                writer.write(repeated)
                context.sent_bytes += len(repeated)
                await writer.drain()
                await asyncio.sleep(0)
        except OSError:
            context.elapsed_s = time.monotonic() - started_s

    _run(context, exchange)


@then("it had sent at most {size:d} MB")
def check_sent_bytes(context, size):
    assert context.sent_bytes <= size * 1024 * 1024, context.sent_bytes


def _run_large(context, size, exchange):
    """Echo one large body to a caller with a small receive buffer."""

    async def run_server():
        buffers = buffer_budget.BufferBudget(limit_bytes=1024 * 1024)
        listener = server.Server(handler=_EchoHandler(), buffers=buffers)
        await listener.start(ip="127.0.0.1", port=0, backlog=16)
        raw_socket = socket.socket()
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        raw_socket.connect(("127.0.0.1", listener.port))
        reader, writer = await asyncio.open_connection(sock=raw_socket)
        try:
            writer.write(
                _HEAD + b"Content-Length: %d\r\n\r\n" % (size * 1024 * 1024)
            )
            writer.write(b"z" * (size * 1024 * 1024))
            await writer.drain()
            await exchange(listener, buffers, reader)
        finally:
            writer.close()
            listener.stop_listening()

    uvloop.run(run_server())


@when("a caller sends a body of {size:d} MB and does not read the response")
def stall(context, size):
    async def exchange(listener, buffers, _reader):
        started_s = time.monotonic()
        context.held_bytes = 0
        while time.monotonic() - started_s < 15:
            await asyncio.sleep(0.05)
            context.held_bytes = max(context.held_bytes, buffers.used_bytes)
            if context.held_bytes and not buffers.used_bytes:
                break
        context.elapsed_s = time.monotonic() - started_s
        context.open_connections = len(listener.connections)

    _run_large(context, size, exchange)


@when(
    "a caller sends a body of {size:d} MB and reads the response over "
    "{seconds:d} s"
)
def read_slowly(context, size, seconds):
    async def exchange(_listener, _buffers, reader):
        total = size * 1024 * 1024
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"content-length: %d" % total in head.lower(), head
        context.expected_bytes = total
        context.read_bytes = 0
        while context.read_bytes < total:
            part = await reader.read(total // (seconds * 20))
            if not part:
                return
            context.read_bytes += len(part)
            await asyncio.sleep(len(part) / total * seconds)

    _run_large(context, size, exchange)


@then("it has read the whole body")
def check_whole(context):
    assert context.read_bytes == context.expected_bytes, context.read_bytes


@then("the memory of the response is released within {seconds:d} s")
def check_memory_released(context, seconds):
    assert context.held_bytes > 0
    assert context.elapsed_s <= seconds, context.elapsed_s


@then("the server has no open connection")
def check_no_connection(context):
    assert context.open_connections == 0, context.open_connections
