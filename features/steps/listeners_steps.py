import asyncio
import json

from behave import given
from behave import then
from behave import when
import uvloop

from features.support import scripted_http
from trefoilstand.http import handling
from trefoilstand.http import server
from trefoilstand.platform import listeners


class _Handler(handling.RequestHandler):
    async def handle(self, request):
        return handling.CallerResponse(status=200, body=request.target)


def _open(front, directory):
    return listeners.open_listeners(
        json.dumps({"listen": {"front": front, "directory": directory}})
    )


@given("a listening socket opened from settings")
def open_socket(context):
    (context.socket,) = _open("127.0.0.1:0", None).values()


@when("a caller connects and sends a request before the server starts")
def send_early(context):
    async def exchange():
        ip, port = context.socket.getsockname()
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(b"GET /early HTTP/1.1\r\nHost: a\r\n\r\n")
        listener = server.Server(handler=_Handler())
        await listener.start(
            ip=ip, port=port, backlog=16, listening_socket=context.socket
        )
        try:
            return await scripted_http.read_response(reader)
        finally:
            writer.close()
            listener.stop_listening()

    context.response = uvloop.run(exchange())


@then("the request is answered once the server has started")
def check_answered(context):
    status, _, body = context.response
    assert (status, body) == (200, b"/early")


@given(
    "settings that listen on {front} for requests and {directory} for look-ups"
)
def open_from_settings(context, front, directory):
    context.sockets = _open(json.loads(front), json.loads(directory))


@then("{count:d} sockets listen")
def check_count(context, count):
    for listener in context.sockets.values():
        listener.close()
    assert len(context.sockets) == count, context.sockets
