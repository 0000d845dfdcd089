import asyncio
import time

from behave import given
from behave import then
from behave import when
import uvloop

from features.support import scripted_http
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


class _Echo(server.RequestHandler):
    def __init__(self):
        self.handled = 0
        self.pause_s = 0.0
        self.fails = False

    async def handle(self, request):
        self.handled += 1
        await asyncio.sleep(self.pause_s)
        if self.fails:
            raise ZeroDivisionError("on purpose")
        return server.CallerResponse(status=200, body=request.body)


def _run(context, work):
    async def whole():
        context.echo = _Echo()
        listener = server.Server(handler=context.echo)
        listener.limits = server.Limits(
            header_bytes=2000, body_bytes=4000, header_timeout_s=0.3
        )
        await listener.start(ip="127.0.0.1", port=0, backlog=16)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listener.port
        )
        try:
            return await work(listener, reader, writer)
        finally:
            writer.close()
            listener.stop_listening()

    return uvloop.run(whole())


@given("a server that echoes requests")
def echo_server(context):
    context.answers = []


@when("{count:d} requests are sent at once")
def send_several(context, count):
    async def work(_listener, reader, writer):
        for number in range(count):
            writer.write(_HEAD + b"Content-Length: 1\r\n\r\n%d" % number)
        return [await scripted_http.read_answer(reader) for _ in range(count)]

    context.answers = _run(context, work)


@when("half a header section is sent and nothing more")
def send_half(context):
    async def work(_listener, reader, writer):
        writer.write(_HEAD)
        asked_s = time.monotonic()
        await asyncio.wait_for(reader.read(), 5)
        context.took_s = time.monotonic() - asked_s

    _run(context, work)


@when("the server drains while a request is answered")
def drain_in_progress(context):
    async def work(listener, reader, writer):
        context.echo.pause_s = 0.1
        writer.write(_HEAD + b"Content-Length: 5\r\n\r\nhello")
        await asyncio.sleep(0.05)
        listener.is_draining = True
        listener.stop_listening()
        listener.close_idle_connections()
        return await scripted_http.read_answer(reader)

    context.answers = [_run(context, work)]


@when("the server gets {name}")
def send_named(context, name):
    async def work(_listener, reader, writer):
        for part in _WELL_FORMED.get(name) or [_MALFORMED[name]]:
            writer.write(part)
            await asyncio.sleep(0.02)
        found = await scripted_http.read_answer(reader)
        if found[0] == 100:
            found = await scripted_http.read_answer(reader)
        if name in _MALFORMED:
            context.rest = await asyncio.wait_for(reader.read(), 3)
        return found

    context.answers = [_run(context, work)]


@then("it is answered {status:d} and the connection closes")
def check_refused(context, status):
    assert context.answers[0][0] == status, context.answers
    assert context.rest == b"", context.rest


@then("{count:d} requests were handled")
def check_handled(context, count):
    assert context.echo.handled == count


@then('it is answered {status:d} with body "{body}"')
def check_body(context, status, body):
    assert context.answers[0][0] == status
    assert context.answers[0][2] == body.encode()


@then('it is answered {status:d} with body ""')
def check_no_body(context, status):
    assert context.answers[0][0] == status
    assert context.answers[0][2] == b""


@then("the answers come in the same order")
def check_order(context):
    bodies = [body for _, _, body in context.answers]
    assert bodies == [b"%d" % number for number in range(len(bodies))]


@then("the connection closes within {limit_ms:d} ms")
def check_close(context, limit_ms):
    assert context.took_s * 1000 <= limit_ms


@then("the answer announces the close")
def check_announced(context):
    assert b"connection: close" in context.answers[0][1]


@when("its handler fails")
def fail_handler(context):
    async def work(_listener, reader, writer):
        context.echo.fails = True
        writer.write(_HEAD + b"Content-Length: 0\r\n\r\n")
        return await scripted_http.read_answer(reader)

    context.answers = [_run(context, work)]
