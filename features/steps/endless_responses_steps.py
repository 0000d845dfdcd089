import asyncio
import logging
import time

from absl import logging as absl_logging
from behave import given
from behave import then
from behave import when
import uvloop

from features.support import endless_target
from features.support import scripted_http
from trefoilstand.http import buffer_budget

_BYTES_PER_MB = 1024 * 1024
_TIMEOUT_S = 5.0


class _RecordingHandler(logging.Handler):
    """Keep the names and limits of logged events."""

    def __init__(self):
        super().__init__()
        self.limits = []

    def emit(self, record):
        if record.getMessage() == "response_limit_exceeded":
            self.limits.append(str(record.limit))


def _post(request_id, path=b"/q/x"):
    return scripted_http.request_bytes(
        request_id=request_id,
        method=b"POST",
        path=path,
        deadline_ms=int(_TIMEOUT_S * 1000),
        extra_fields=b"Content-Length: 0\r\n",
    )


def _run(context, exchange):
    """Run a coroutine function with a harness and record its log."""

    async def run_harness():
        context.buffers = buffer_budget.BufferBudget(
            limit_bytes=getattr(context, "memory_mb", 64) * _BYTES_PER_MB
        )
        harness = scripted_http.GatewayHarness(
            targets=[context.target],
            route=scripted_http.make_route(
                is_idempotent=False,
                timeout_s=getattr(context, "timeout_s", _TIMEOUT_S),
            ),
            buffers=context.buffers,
        )
        await harness.start()
        try:
            return await exchange(harness)
        finally:
            harness.stop()

    context.log = _RecordingHandler()
    logger = absl_logging.get_absl_logger()
    logger.addHandler(context.log)
    verbosity = absl_logging.get_verbosity()
    absl_logging.set_verbosity(logging.WARNING)
    try:
        return uvloop.run(run_harness())
    finally:
        absl_logging.set_verbosity(verbosity)
        logger.removeHandler(context.log)


@given("a target that sends {stream} without end")
def endless(context, stream):
    context.target = endless_target.EndlessTarget(
        target_id="i-endless", stream=stream
    )


@given("a timeout of {timeout_ms:d} ms for its requests")
def set_timeout(context, timeout_ms):
    context.timeout_s = timeout_ms / 1000


@given("a memory limit of {size:d} MB for bodies")
def limit_memory(context, size):
    context.memory_mb = size


@when("a non-idempotent request is sent to it")
def send_one(context):
    async def exchange(harness):
        response = await scripted_http.send_request(harness.port, _post(b"a1"))
        await asyncio.wait_for(context.target.connection_closed.wait(), 3)
        return response

    context.response = _run(context, exchange)


@when("{count:d} non-idempotent requests are sent to it at once")
def send_many(context, count):
    async def sample_memory():
        while True:
            context.held_bytes = max(
                context.held_bytes, context.buffers.used_bytes
            )
            await asyncio.sleep(0.005)

    async def answer_others(harness):
        """Time requests that need no target while the others run."""
        while True:
            started_s = time.monotonic()
            await scripted_http.send_request(
                harness.port, _post(b"b1", path=b"/none/")
            )
            context.other_times_s.append(time.monotonic() - started_s)
            await asyncio.sleep(0.05)

    async def exchange(harness):
        context.held_bytes = 0
        context.other_times_s = []
        watchers = [
            asyncio.create_task(sample_memory()),
            asyncio.create_task(answer_others(harness)),
        ]
        context.durations_s = []

        async def send_one(number):
            started_s = time.monotonic()
            try:
                return await scripted_http.send_request(
                    harness.port, _post(b"a%d" % number)
                )
            finally:
                context.durations_s.append(time.monotonic() - started_s)

        responses = await asyncio.gather(
            *(send_one(number) for number in range(count)),
            return_exceptions=True,
        )
        for watcher in watchers:
            watcher.cancel()
        await asyncio.sleep(0.05)
        context.released_bytes = context.buffers.used_bytes
        return responses

    context.responses = _run(context, exchange)


@then("each of them was answered within {limit_ms:d} ms")
def check_durations(context, limit_ms):
    assert context.durations_s
    assert max(context.durations_s) * 1000 <= limit_ms, context.durations_s


@then("the target's connection was closed within {limit_ms:d} ms")
def check_closed(context, limit_ms):
    assert context.target.closed_after_s is not None
    assert context.target.closed_after_s * 1000 <= limit_ms, (
        context.target.closed_after_s
    )


@then("the target had sent at most {size:d} MB")
def check_sent(context, size):
    assert context.target.sent_bytes <= size * _BYTES_PER_MB, (
        context.target.sent_bytes
    )


@then("one log line names the limit {limit}")
def check_log(context, limit):
    assert context.log.limits == [limit], context.log.limits


@then("the bodies held at most {size:d} MB at any time")
def check_held(context, size):
    assert 0 < context.held_bytes <= size * _BYTES_PER_MB, context.held_bytes


@then("other requests were answered within {limit_ms:d} ms meanwhile")
def check_others(context, limit_ms):
    assert len(context.other_times_s) >= 3, context.other_times_s
    assert max(context.other_times_s) * 1000 <= limit_ms, max(
        context.other_times_s
    )


@then("the memory of all bodies is released")
def check_released(context):
    assert context.released_bytes == 0, context.released_bytes
