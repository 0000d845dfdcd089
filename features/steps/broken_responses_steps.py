import asyncio

from behave import given
from behave import then
from behave import when
import uvloop

from features.support import scripted_http
from trefoilstand.http import errors
from trefoilstand.http import outbound_connection

_HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: a1\r\n"
_RESPONSES_BY_FRAMING = {
    "a content length": _HEAD + b"Content-Length: 4\r\n\r\ndone",
    "chunks and a trailer": (
        _HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX: y\r\n\r\n"
    ),
    "an interim response first": (
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        + _HEAD
        + b"Content-Length: 4\r\n\r\ndone"
    ),
    "a status without a body": _HEAD.replace(b"200 OK", b"204 No Content")
    + b"\r\n",
    "only a head until close": _HEAD + b"\r\n",
    "a body until close": _HEAD + b"\r\ndone",
}


class _Transport(asyncio.Transport):
    """Accept written bytes and do nothing."""

    def write(self, data):
        return

    def get_write_buffer_size(self):
        return 0

    def close(self):
        return

    def abort(self):
        return


@given("a target that refuses once and repeats that refusal {when_repeated}")
def repeating_target(context, when_repeated):
    context.refuses_before_health = when_repeated == "before a health check"


@given("the repetition {identification} the id of the refused request")
def identify_refusal(context, identification):
    context.refusal_has_id = identification == "echoes"


@given("the target {answer} afterwards")
def answer_afterwards(context, answer):
    context.answers_after_refusal = answer == "answers"


@when("two non-idempotent requests are sent one after the other")
def send_two_requests(context):
    async def exchange():
        target = scripted_http.ScriptedTarget(
            target_id="i-first", behaviour="refuse_again"
        )
        target.refusal_has_id = context.refusal_has_id
        target.answers_after_refusal = context.answers_after_refusal
        target.refuses_before_health = context.refuses_before_health
        harness = scripted_http.GatewayHarness(
            targets=[target],
            route=scripted_http.make_route(is_idempotent=False),
        )
        await harness.start()
        try:
            for request_id in (b"n1", b"n2"):
                status, _, _ = await scripted_http.send_request(
                    harness.port,
                    scripted_http.request_bytes(
                        request_id=request_id,
                        method=b"POST",
                        extra_fields=b"Content-Length: 0\r\n",
                    ),
                )
                context.statuses.append(status)
        finally:
            harness.stop()
        context.runs = target.runs

    context.statuses = []
    uvloop.run(exchange())


@then("the first request gets status {status:d} and did not run")
def check_first(context, status):
    assert context.statuses[0] == status, context.statuses
    assert b"n1" not in context.runs, context.runs


@then("the second request gets status {statuses} and ran at most once")
def check_second(context, statuses):
    expected = [int(status) for status in statuses.split(" or ")]
    assert context.statuses[1] in expected, context.statuses
    assert context.runs.count(b"n2") == 1, context.runs


@given("a response with {framing}")
def response_with_framing(context, framing):
    context.response_bytes = _RESPONSES_BY_FRAMING[framing]


@when("it ends early after each of its bytes by {end}")
def end_early(context, end):
    async def exchange(length):
        connection = outbound_connection.OutboundConnection()
        connection.connection_made(_Transport())
        future = connection.send(
            b"request",
            matches=lambda response: (
                response.find_field(b"request-id") == b"a1"
            ),
        )
        connection.data_received(context.response_bytes[:length])
        if end == "a reset":
            connection.connection_lost(ConnectionResetError())
        else:
            connection.eof_received()
            connection.connection_lost(None)
        try:
            await future
        except errors.LinkError:
            return
        context.complete_lengths.append(length)

    context.complete_lengths = []
    for length in range(len(context.response_bytes)):
        asyncio.run(exchange(length))


@then("no exchange succeeds")
def check_none_complete(context):
    assert context.complete_lengths == [], context.complete_lengths
