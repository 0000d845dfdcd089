import asyncio

from behave import given
from behave import then
from behave import when
import uvloop

from features.support import scripted_http
from trefoilstand.http import handling
from trefoilstand.http import models
from trefoilstand.http import pipeline
from trefoilstand.http import server

_GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"


class _BarrierHandler(handling.RequestHandler):
    """Answer requests once a number of them is being handled."""

    def __init__(self, count):
        self.barrier = asyncio.Barrier(count)

    async def handle(self, request):
        await asyncio.wait_for(self.barrier.wait(), 5)
        return handling.CallerResponse(status=200, body=request.target)


def _numbers(text):
    return [] if text == "none" else [int(item) for item in text.split()]


def _make_exchange(text):
    method, _, mode = text.partition("-")
    return pipeline.Exchange(
        request=models.Request(
            method=method.encode(),
            target=b"/",
            fields=[],
            body=b"",
            arrived_s=0.0,
        ),
        keeps_alive=mode != "close",
    )


@given("pipelined requests {texts}")
def make_pipeline(context, texts):
    method, _, count = texts.partition("*")
    items = [method] * int(count) if count else texts.split()
    context.exchanges = [_make_exchange(item) for item in items]
    context.pipeline = pipeline.Pipeline()
    for exchange in context.exchanges:
        context.pipeline.add(exchange)
    context.pipeline.take_startable()
    context.written = []


@when("{numbers} are complete")
def complete(context, numbers):
    for number in _numbers(numbers):
        exchange = context.exchanges[number - 1]
        assert exchange.is_started
        exchange.response = handling.CallerResponse(status=200)
        while (popped := context.pipeline.pop_complete()) is not None:
            context.written.append(context.exchanges.index(popped) + 1)
        context.pipeline.take_startable()


@then("{numbers} are started")
def check_started(context, numbers):
    started = [
        number
        for number, exchange in enumerate(context.exchanges, 1)
        if exchange.is_started
    ]
    assert started == _numbers(numbers), started


@then("{numbers} are written")
def check_written(context, numbers):
    assert context.written == _numbers(numbers), context.written


def _exchange_pipelined(count, *, drains):
    async def run_server():
        listener = server.Server(handler=_BarrierHandler(count))
        await listener.start(ip="127.0.0.1", port=0, backlog=16)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listener.port
        )
        try:
            writer.write(b"".join(_GET % number for number in range(count)))
            # Set before the loop reads the requests, which complete together.
            listener.is_draining = drains
            return [
                await asyncio.wait_for(scripted_http.read_response(reader), 10)
                for _ in range(count)
            ]
        finally:
            writer.close()
            listener.stop_listening()

    return uvloop.run(run_server())


@when("the server drains while {count:d} pipelined requests are in progress")
def drain_pipelined(context, count):
    context.responses = _exchange_pipelined(count, drains=True)


@when("{count:d} requests that wait for each other are pipelined")
def send_waiting(context, count):
    context.responses = _exchange_pipelined(count, drains=False)


@then("all of them are answered in order")
def check_answers(context):
    bodies = [body for _, _, body in context.responses]
    assert bodies == [b"/%d" % number for number in range(len(bodies))]


@then('only the last response has "Connection: close"')
def check_last_closes(context):
    closes = [b"connection: close" in head for _, head, _ in context.responses]
    assert closes == [False] * (len(closes) - 1) + [True], closes
