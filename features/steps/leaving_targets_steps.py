import asyncio
import re
import time

from behave import given
from behave import then
from behave import when
import uvloop

from features.support import scripted_http
from trefoilstand.gateway import leaving_reader
from trefoilstand.platform import target_protocol
from trefoilstand.util import clock as clocks

#: Requests that are sent at once have reached their target by then.
_START_S = 0.1
_FIELD = b"Server-Leaving: 1\r\n"
#: Behaviour of the target, and the fields of its responses to requests and
#: to health checks.
_RESPONSES = {
    "a success": ("whole", _FIELD, b""),
    "a slow success": ("slow", _FIELD, b""),
    "a failure": ("error", _FIELD, b""),
    "a refusal": ("shed", _FIELD, b""),
    "a health response": ("whole", b"", _FIELD),
    "a misdirected response": ("misdirected", _FIELD, b""),
    "a response to another request": ("foreign_first", _FIELD, b""),
    "a response without a stamp": ("unsigned", _FIELD, b""),
    "a health response of another target": ("whole", b"", _FIELD),
    "a success with the value 0": ("whole", b"Server-Leaving: 0\r\n", b""),
}


def _make_target(response):
    behaviour, response_fields, health_fields = _RESPONSES[response]
    target = scripted_http.ScriptedTarget(
        target_id="i-leaving", behaviour=behaviour
    )
    target.response_fields = response_fields
    target.health_fields = health_fields
    if response.endswith("of another target"):
        target.health_id = "i-other"
    return target


def _run(context, exchange, *, has_other=True):
    """Run a coroutine function with a started harness.

    The target that stays reports more load, so that the other is preferred.
    """

    async def run_harness():
        context.target = _make_target(context.leaving_response)
        targets = [context.target]
        if has_other:
            targets.append(
                scripted_http.ScriptedTarget(
                    target_id="i-staying",
                    behaviour="whole",
                    load=b"0,0,6,130",
                )
            )
        harness = scripted_http.GatewayHarness(
            targets=targets,
            route=scripted_http.make_route(is_idempotent=False, timeout_s=2.0),
        )
        await harness.start()
        try:
            await exchange(harness)
            context.used_ids = {
                target.target_id for target in harness.state.targets.all()
            }
        finally:
            harness.stop()

    uvloop.run(run_harness())


async def _send(harness, number):
    response = await scripted_http.send_request(
        harness.port,
        scripted_http.request_bytes(
            request_id=b"n%d" % number,
            method=b"POST",
            deadline_ms=2000,
            extra_fields=b"Content-Length: 0\r\n",
        ),
    )
    return time.monotonic(), *response


@given("a target that says in {response} that it leaves")
def set_leaving_response(context, response):
    context.leaving_response = response


@when("{count:d} non-idempotent requests go to it and a target that stays")
def send_in_turn(context, count):
    async def exchange(harness):
        context.responses = [
            await _send(harness, number) for number in range(count)
        ]

    _run(context, exchange)


@when("{ran:d} requests run at it alone and {queued:d} more are queued")
def send_at_once(context, ran, queued):
    async def exchange(harness):
        loop = asyncio.get_running_loop()
        sends = [
            loop.create_task(_send(harness, number)) for number in range(ran)
        ]
        await asyncio.sleep(_START_S)
        assert len(context.target.runs) == ran
        context.target.load = b"6,0,6,100"
        sends += [
            loop.create_task(_send(harness, ran + number))
            for number in range(queued)
        ]
        context.responses = await asyncio.gather(*sends)

    _run(context, exchange, has_other=False)


@when("a send to it is cancelled in the moment of its response")
def cancel_send(context):
    async def exchange(harness):
        target = harness.state.targets.get("i-leaving")
        reader = leaving_reader.LeavingReader(
            protocol=target_protocol.PlatformTargetProtocol(),
            marks=harness.state.registry.leaving,
            clock=clocks.MonotonicClock(),
        )
        connection = await harness.connections.acquire(target)
        sends = []

        def matches(_response):
            sends[0].cancel()
            return True

        async def send():
            await connection.send(
                scripted_http.request_bytes(),
                matches=reader.watch(target, matches, is_health_check=False),
            )

        sends.append(asyncio.get_running_loop().create_task(send()))
        await asyncio.wait(sends)
        assert sends[0].cancelled()

    _run(context, exchange)


@then("the leaving target got {count:d} requests")
def check_count(context, count):
    assert len(context.target.requests) == count, context.target.requests


@then("each request got the response of a target")
def check_responses(context):
    statuses = {status for _, status, _, _ in context.responses}
    assert statuses <= {200, 500}, context.responses


@then("the target is still in use")
def check_in_use(context):
    assert "i-leaving" in context.used_ids, context.used_ids


@then("the target is not in use")
def check_not_in_use(context):
    assert "i-leaving" not in context.used_ids, context.used_ids


@then("each request that it ran got its response")
def check_none_lost(context):
    answered = [item for item in context.responses if item[1] == 200]
    assert answered
    assert len(answered) == len(context.target.runs), context.target.runs


@then("the others were refused within {bound_ms:d} ms of its first response")
def check_refused_at_once(context, bound_ms):
    first_s = min(item[0] for item in context.responses if item[1] == 200)
    refused = [item for item in context.responses if item[1] != 200]
    assert refused
    assert {item[1] for item in refused} == {503}, refused
    last_s = max(item[0] for item in refused)
    assert (last_s - first_s) * 1000 <= bound_ms, last_s - first_s


@then("each refusal has a Retry-After field")
def check_retry_after(context):
    for _, status, head, _ in context.responses:
        if status != 200:
            assert re.search(rb"retry-after: \d", head), head
