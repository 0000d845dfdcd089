import asyncio
import contextlib
import socket
import time

from behave import given
from behave import then
from behave import when
import uvloop

from trefoilstand.http import handling
from trefoilstand.http import server

_BODY = bytes(range(256)) * 256
_WINDOW_BYTES = 4096
_READ_PAUSE_S = 0.01
_GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
_CLOSING_GET = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
_POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
_KIB = 1024
_IDLE_TIMEOUT_S = 0.2


class _Handler(handling.RequestHandler):
    def __init__(self):
        self.body = _BODY
        self.release = asyncio.Event()

    async def handle(self, request):
        await self.release.wait()
        return handling.CallerResponse(status=200, body=self.body)


class _Setting:
    """One server and one caller with a small window."""

    def __init__(self, *, max_connections=None, idle_timeout_s=15.0):
        self.handler = _Handler()
        self.handler.release.set()
        self.server = server.Server(
            handler=self.handler, max_connections=max_connections
        )
        self.server.limits = handling.Limits(
            body_bytes=64 * _KIB,
            idle_timeout_s=idle_timeout_s,
            header_timeout_s=idle_timeout_s,
        )
        self.loop = asyncio.get_running_loop()

    async def __aenter__(self):
        await self.server.start(ip="127.0.0.1", port=0, backlog=256)
        self.caller = await self.connect()
        return self

    async def __aexit__(self, *_details):
        self.caller.close()
        self.server.stop_listening()

    async def connect(self, window_bytes=_WINDOW_BYTES):
        caller = socket.socket()
        caller.setblocking(False)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        await self.loop.sock_connect(caller, ("127.0.0.1", self.server.port))
        return caller

    async def send(self, data):
        await self.loop.sock_sendall(self.caller, data)

    async def read_slowly(self, on_first_part):
        """Return what can be read until the end or an error."""
        data = b""
        with contextlib.suppress(OSError):
            while part := await self.loop.sock_recv(
                self.caller, _WINDOW_BYTES
            ):
                if not data:
                    await on_first_part()
                data += part
                if len(data) > len(_BODY) // 2 and self.server.is_draining:
                    self.server.close_idle_connections()
                await asyncio.sleep(_READ_PAUSE_S)
        return data

    async def wait_for_close(self):
        """Return the seconds until the server has no connection."""
        started_s = time.monotonic()
        async with asyncio.timeout(12):
            while self.server.connections:
                await asyncio.sleep(0.01)
        return time.monotonic() - started_s


async def _drain_before(setting):
    setting.server.is_draining = True
    await setting.send(_GET)
    return _GET


async def _drain_after(setting):
    await setting.send(_GET)
    # The response is written, and most of it waits in the system's buffer.
    await asyncio.sleep(0.1)
    setting.server.is_draining = True
    setting.server.close_idle_connections()
    return _GET


async def _send_request(setting):
    await setting.send(_GET)
    return _GET


async def _send_closing(setting):
    await setting.send(_CLOSING_GET)
    return _GET


async def _send_malformed_next(setting):
    await setting.send(_GET)
    return b"no HTTP\r\n\r\n" + b"x" * 5000


async def _send_large_next(setting):
    await setting.send(_GET)
    return _POST + b"Content-Length: 70000\r\n\r\n" + b"x" * 5000


async def _crowd_out(setting):
    await setting.send(_GET)
    await asyncio.sleep(0.1)
    setting.other = await setting.connect()
    return b"GET / HT"


_CAUSES = {
    "the caller asked for it": _send_closing,
    "the server drains": _drain_before,
    "the server drains after the request": _drain_after,
    "it is idle for too long": _send_request,
    "a further request is malformed": _send_malformed_next,
    "a further request is too large": _send_large_next,
    "there are too many connections": _crowd_out,
}


@given("a caller that reads slowly and sends more meanwhile")
def use_slow_caller(context):
    context.data = b""


@when("its connection ends because {cause}")
def end_connection(context, cause):
    async def run():
        setting = _Setting(
            max_connections=1 if "too many" in cause else None,
            idle_timeout_s=_IDLE_TIMEOUT_S if "idle" in cause else 15.0,
        )
        async with setting:
            further = await _CAUSES[cause](setting)
            # The pause lets the server write, and act on its timeout.
            await asyncio.sleep(2 * _IDLE_TIMEOUT_S)

            async def send_further():
                if cause != "it is idle for too long":
                    await setting.send(further)

            async def send_late():
                await asyncio.sleep(0.1)
                with contextlib.suppress(OSError):
                    await setting.send(_GET)

            late = asyncio.create_task(send_late())
            context.data = await setting.read_slowly(send_further)
            await late
            setting.caller.close()
            context.close_s = await setting.wait_for_close()

    uvloop.run(run())


@then("it has read the whole response")
def check_whole(context):
    body = context.data.partition(b"\r\n\r\n")[2]
    assert body.startswith(_BODY), f"{len(body)} of {len(_BODY)} bytes"


@then("the server has closed the connection within {limit_s:d} s")
def check_close_time(context, limit_s):
    assert context.close_s <= limit_s, context.close_s


@given("a server that accepts bodies of 64 KiB")
def use_small_limit(context):
    context.error = None


def _encode_upload(size, form):
    if form == "chunks":
        part = b"400\r\n" + b"x" * _KIB + b"\r\n"
        return _POST + b"Transfer-Encoding: chunked\r\n\r\n" + part * size
    return (
        _POST
        + b"Content-Length: %d\r\n\r\n" % (size * _KIB)
        + b"x" * size * _KIB
    )


@when("a caller sends {size:d} KiB in {form} before it reads")
def upload(context, size, form):
    async def run():
        async with _Setting() as setting:
            context.data = b""
            try:
                await setting.send(_encode_upload(size, form))
                while part := await setting.loop.sock_recv(
                    setting.caller, _KIB
                ):
                    context.data += part
            except OSError as error:
                context.error = error

    uvloop.run(run())


@then("it was able to send everything")
def check_sent(context):
    assert context.error is None, context.error


@then("it reads status 413 and the end of the connection")
def check_refusal(context):
    assert context.data.startswith(b"HTTP/1.1 413"), context.data


async def _stay(setting):
    while await setting.loop.sock_recv(setting.caller, 65536):
        pass


async def _read_nothing(_setting):
    return


async def _flood(setting):
    await _stay(setting)

    async def send_on():
        with contextlib.suppress(OSError):
            while True:
                await setting.send(_GET * 100)
                await asyncio.sleep(0)

    setting.flood = asyncio.create_task(send_on())


_BEHAVIOURS = {
    "stays connected": _stay,
    "reads nothing": _read_nothing,
    "sends requests without end": _flood,
}


@when("a caller {behaviour} after its last response")
def behave_after_response(context, behaviour):
    async def run():
        async with _Setting() as setting:
            await setting.send(_CLOSING_GET)
            await _BEHAVIOURS[behaviour](setting)
            context.close_s = await setting.wait_for_close()

    uvloop.run(run())


@given("a server for {limit:d} connections")
def use_connection_limit(context, limit):
    context.max_connections = limit


@when("{count:d} callers stop within their requests")
def crowd_with_uploads(context, count):
    async def run():
        setting = _Setting(max_connections=context.max_connections)
        async with setting:
            callers = []
            context.most_connections = 0
            for _ in range(count):
                caller = await setting.connect()
                await setting.loop.sock_sendall(
                    caller, _POST + b"Content-Length: 9\r\n\r\nx"
                )
                callers.append(caller)
                context.most_connections = max(
                    context.most_connections, len(setting.server.connections)
                )
            for caller in callers:
                caller.close()

    uvloop.run(run())


@then("the server never had more than {limit:d} connections")
def check_most_connections(context, limit):
    assert context.most_connections <= limit, context.most_connections
