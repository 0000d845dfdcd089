import asyncio
import itertools
import time

from behave import given
from behave import then
from behave import when
import uvloop

from features.support import scripted_http
from trefoilstand.http import handling
from trefoilstand.http import input_scheduler
from trefoilstand.http import outbound_connection
from trefoilstand.http import server

_SMALL_CHUNK = b"1\r\ny\r\n"
_CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class _Transport:
    """Record whether the protocol reads and is closed."""

    def __init__(self):
        self.is_reading = True
        self.is_closed = False

    def write(self, data):
        return

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        return ("10.0.0.1", 80)

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    abort = close


class _Connection:
    """Connection with a request in progress; must be made in a loop."""

    def __init__(self, scheduler):
        self.transport = _Transport()
        self.protocol = outbound_connection.OutboundConnection(
            scheduler=scheduler
        )
        self.protocol.connection_made(self.transport)
        self.response = self.protocol.send(b"request", matches=lambda _: True)

    def receive_small_chunks(self, size_bytes):
        """Receive a header section, and the start of a body in one read."""
        self.protocol.data_received(_CHUNKED_HEAD)
        count = size_bytes // len(_SMALL_CHUNK)
        self.size_bytes = count * len(_SMALL_CHUNK)
        self.protocol.data_received(_SMALL_CHUNK * count)

    @property
    def unparsed_bytes(self):
        return len(self.protocol._unparsed_input)


def _response(size_bytes):
    return (
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size_bytes
        + b"z" * size_bytes
    )


@given("a connection that waits for a response")
def one_connection(context):
    context.count = 1
    context.busy_count = 0


@given("{count:d} connections that wait for responses")
def several_connections(context, count):
    context.count = count


@given("{count:d} connections that receive a body in chunks of one byte")
def busy_connections(context, count):
    context.busy_count = count


@when("it receives {size:d} bytes of a body in chunks of one byte")
@when("each receives {size:d} bytes of a body in chunks of one byte")
def receive_small_chunks(context, size):
    async def receive():
        scheduler = input_scheduler.InputScheduler()
        connections = [_Connection(scheduler) for _ in range(context.count)]
        for connection in connections:
            connection.receive_small_chunks(size)
        context.parsed_at_once = [
            connection.size_bytes - connection.unparsed_bytes
            for connection in connections
        ]
        context.was_reading = [
            connection.transport.is_reading for connection in connections
        ]
        context.unparsed_bytes = []
        for _ in range(40 * context.count):
            context.unparsed_bytes.append(
                [connection.unparsed_bytes for connection in connections]
            )
            await asyncio.sleep(0)
        context.is_reading = [
            connection.transport.is_reading for connection in connections
        ]
        for connection in connections:
            connection.response.cancel()

    asyncio.run(receive())


@then("it has parsed at most {size:d} bytes of them and does not read")
def check_parsed_at_once(context, size):
    assert context.parsed_at_once[0] <= size, context.parsed_at_once
    assert context.was_reading == [False]


@then("after {count:d} iterations of the loop it has parsed all and reads")
def check_parsed_all(context, count):
    assert context.unparsed_bytes[count - 1] == [0]
    assert context.is_reading == [True]


@then("at most {size:d} bytes are parsed in each iteration of the loop")
def check_slices(context, size):
    totals = [sum(unparsed) for unparsed in context.unparsed_bytes]
    parsed = [before - after for before, after in itertools.pairwise(totals)]
    assert max(parsed) <= size, max(parsed)


@then("all are parsed in turns")
def check_turns(context):
    assert not any(context.unparsed_bytes[-1])
    for unparsed in context.unparsed_bytes:
        spread = max(unparsed) - min(unparsed)
        assert spread <= input_scheduler.SLICE_BYTES, unparsed


@when("it receives a response of {size:d} bytes")
def receive_response(context, size):
    async def receive():
        scheduler = input_scheduler.InputScheduler()
        busy = [_Connection(scheduler) for _ in range(context.busy_count)]
        for connection in busy:
            connection.receive_small_chunks(64000)
        connection = _Connection(scheduler)
        connection.protocol.data_received(_response(size))
        context.has_response = connection.response.done()
        for other in busy:
            other.response.cancel()

    asyncio.run(receive())


@then("it has the response at once")
def check_response_at_once(context):
    assert context.has_response


@when("it receives two responses of {size:d} bytes in one read")
def receive_two(context, size):
    async def receive():
        connection = _Connection(input_scheduler.InputScheduler())
        context.was_reusable = False
        connection.protocol.data_received(_response(size) * 2)
        for _ in range(20):
            if connection.protocol.is_reusable:
                context.was_reusable = True
            await asyncio.sleep(0)
        context.body = connection.response.result().body
        context.expected_bytes = size
        context.is_closed = connection.transport.is_closed

    asyncio.run(receive())


@then("the first one is returned")
@then("the whole response is returned")
def check_body(context):
    assert context.body == b"z" * context.expected_bytes


@then("the connection is closed and was never reusable")
def check_closed_connection(context):
    assert context.is_closed
    assert not context.was_reusable


@when("it receives a response of {size:d} bytes and is reset at once")
def receive_and_reset(context, size):
    async def receive():
        connection = _Connection(input_scheduler.InputScheduler())
        connection.protocol.data_received(_response(size))
        connection.transport.is_closed = True
        connection.protocol.connection_lost(ConnectionResetError())
        context.body = (await connection.response).body
        context.expected_bytes = size

    asyncio.run(receive())


class _EmptyHandler(handling.RequestHandler):
    async def handle(self, request):
        return handling.CallerResponse(status=200)


@given(
    "{count:d} callers that send bodies in chunks of one byte for {run_s:g} s"
)
def upload_in_small_chunks(context, count, run_s):
    context.other_times_s = []
    is_over = asyncio.Event()

    async def upload(port):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            b"POST /x HTTP/1.1\r\nHost: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        try:
            while True:
                writer.write(_SMALL_CHUNK * 10_000)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            writer.transport.abort()

    async def measure(port):
        # Ends by itself: `asyncio.wait_for` may lose a cancellation that comes
        # at the moment of a response, and the scenario would wait for good.
        while not is_over.is_set():
            started_s = time.monotonic()
            await scripted_http.send_request(
                port, b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
            )
            context.other_times_s.append(time.monotonic() - started_s)
            await asyncio.sleep(0.02)

    async def run():
        http_server = server.Server(handler=_EmptyHandler())
        await http_server.start(ip="127.0.0.1", port=0, backlog=64)
        tasks = [
            asyncio.create_task(upload(http_server.port)) for _ in range(count)
        ]
        tasks.append(asyncio.create_task(measure(http_server.port)))
        await asyncio.sleep(run_s)
        is_over.set()
        for task in tasks[:count]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        http_server.stop_listening()

    uvloop.run(run())
