import asyncio
import dataclasses
import gc
import re
import time

from behave import given
from behave import then
from behave import when
import uvloop

from features.support import scripted_http
from trefoilstand.gateway import calls
from trefoilstand.gateway import metrics_page
from trefoilstand.gateway import models as gateway_models
from trefoilstand.http import caller_connection
from trefoilstand.http import models
from trefoilstand.http import outbound_connection

_EXCHANGE_TYPES = (
    calls.Call,
    outbound_connection.OutboundConnection,
    caller_connection.CallerConnection,
)


def _target(name, behaviour, *, reports_load=True):
    if not reports_load:
        return scripted_http.ScriptedTarget(
            target_id=name, behaviour=behaviour, load=None
        )
    # The target with the scripted behaviour reports the lower load, so that
    # it is tried first.
    load = b"0,0,6,100" if name == "i-first" else b"0,0,6,130"
    return scripted_http.ScriptedTarget(
        target_id=name, behaviour=behaviour, load=load
    )


def _run(context, exchange, *, is_idempotent=False, allowance=100.0):
    """Run a coroutine function with a started harness."""

    async def run_harness():
        context.targets = [
            _target(
                name,
                behaviour,
                reports_load=getattr(context, "reports_load", True),
            )
            for name, behaviour in zip(
                ("i-first", "i-second"), context.behaviours, strict=False
            )
        ]
        harness = scripted_http.GatewayHarness(
            targets=context.targets,
            route=scripted_http.make_route(is_idempotent=is_idempotent),
            allowance=getattr(context, "allowance", allowance),
        )
        await harness.start()
        try:
            return await exchange(harness)
        finally:
            harness.stop()

    return uvloop.run(run_harness())


@given("a target with behaviour {behaviour} and another with behaviour whole")
def two_targets(context, behaviour):
    context.behaviours = (behaviour, "whole")


@given("a target with behaviour {behaviour} only")
def one_target(context, behaviour):
    context.behaviours = (behaviour,)


@given("a retry budget of zero")
def no_retries(context):
    context.allowance = 0.0


@given("a forwarder without a configuration")
def no_configuration(context):
    context.behaviours = ()


@when("a request is sent to the unconfigured forwarder")
def send_unconfigured(context):
    async def exchange(harness):
        harness.state.routes = None
        return await scripted_http.send_request(
            harness.port, scripted_http.request_bytes()
        )

    context.response = _run(context, exchange)


@when("a non-idempotent request is sent")
def send_once(context):
    async def exchange(harness):
        return await scripted_http.send_request(
            harness.port,
            scripted_http.request_bytes(
                method=b"POST", extra_fields=b"Content-Length: 0\r\n"
            ),
        )

    context.response = _run(context, exchange)


@when("the target that is probed first starts to drain during the probe")
def drain_while_probed(context):
    async def exchange(harness):
        prober = harness.forwarder._scheduler._selector._prober
        probe = prober.probe
        drained_ids = []

        async def probe_and_drain(target):
            result = await probe(target)
            if not drained_ids:
                drained_ids.append(target.target_id)
                harness.state.registry.set(
                    dataclasses.replace(
                        target.record,
                        state=gateway_models.TargetState.DRAINING,
                    ),
                    time.monotonic(),
                )
                harness.apply_registry()
            return result

        prober.probe = probe_and_drain
        return await scripted_http.send_request(
            harness.port,
            scripted_http.request_bytes(
                method=b"POST", extra_fields=b"Content-Length: 0\r\n"
            ),
        )

    context.response = _run(context, exchange)


@when("a non-idempotent request is sent {count:d} times")
def send_repeatedly(context, count):
    async def exchange(harness):
        for number in range(count):
            await scripted_http.send_request(
                harness.port,
                scripted_http.request_bytes(request_id=b"n%d" % number),
            )

    _run(context, exchange)


@when("an idempotent request is sent")
def send_idempotent(context):
    async def exchange(harness):
        return await scripted_http.send_request(
            harness.port, scripted_http.request_bytes()
        )

    context.response = _run(context, exchange, is_idempotent=True)


@when("a request for an unknown route is sent")
def send_unknown_route(context):
    async def exchange(harness):
        return await scripted_http.send_request(
            harness.port, scripted_http.request_bytes(path=b"/other/x")
        )

    context.response = _run(context, exchange)


@when("{count:d} requests are sent one after the other")
def send_sequentially(context, count):
    async def exchange(harness):
        responses = []
        for number in range(count):
            responses.append(
                await scripted_http.send_request(
                    harness.port,
                    scripted_http.request_bytes(request_id=b"n%d" % number),
                )
            )
        return responses

    context.responses = _run(context, exchange, is_idempotent=True)


@when("a caller disconnects {pause_ms:d} ms after it sent a request")
def disconnect_early(context, pause_ms):
    async def exchange(harness):
        _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        writer.write(scripted_http.request_bytes())
        await asyncio.sleep(pause_ms / 1000)
        writer.close()
        disconnected_s = time.monotonic()
        await asyncio.wait_for(harness.targets[0].connection_closed.wait(), 2)
        context.close_delay_s = time.monotonic() - disconnected_s

    _run(context, exchange, is_idempotent=True)


@when("a request with a deadline of {deadline_ms:d} ms is sent")
def send_with_deadline(context, deadline_ms):
    async def exchange(harness):
        sent_s = time.monotonic()
        response = await scripted_http.send_request(
            harness.port,
            scripted_http.request_bytes(deadline_ms=deadline_ms),
        )
        context.elapsed_s = time.monotonic() - sent_s
        return response

    context.response = _run(context, exchange)


@then('the caller gets status {status:d} with body "{body}"')
def check_response(context, status, body):
    assert context.response[0] == status, context.response
    assert context.response[2] == body.encode(), context.response


@then('the caller gets status {status:d} with body ""')
def check_empty_body(context, status):
    assert context.response[0] == status, context.response
    assert context.response[2] == b"", context.response


@then("the response has a Retry-After field")
def check_retry_after(context):
    assert re.search(rb"retry-after: \d", context.response[1])


@then("the request ran {runs:d} times")
def check_runs(context, runs):
    ran = sum(len(target.runs) for target in context.targets)
    assert ran == runs, ran


@then("each caller gets the response to its own request")
def check_own_responses(context):
    for number, (status, head, body) in enumerate(context.responses):
        assert status == 200
        assert b"request-id: n%d" % number in head
        assert body == b"done"


@then("the target's connection is closed within {limit_ms:d} ms")
def check_connection_closed(context, limit_ms):
    assert context.close_delay_s * 1000 <= limit_ms, context.close_delay_s


@then("the caller gets status {status:d} within {limit_ms:d} ms")
def check_status_in_time(context, status, limit_ms):
    assert context.response[0] == status, context.response
    assert context.elapsed_s * 1000 <= limit_ms, context.elapsed_s


@then("the target received a deadline of at most {limit_ms:d} ms")
def check_deadline(context, limit_ms):
    deadline_match = re.search(
        rb"(?i)deadline-ms: (\d+)", context.targets[0].requests[0]
    )
    assert int(deadline_match[1]) <= limit_ms


@then("the request contained the target's id")
def check_target_field(context):
    assert re.search(
        rb"(?i)target-instance: i-first", context.targets[0].requests[0]
    )


@then("no request was retried")
def check_no_retries(context):
    sent = sum(len(target.requests) for target in context.targets)
    assert sent == 20, sent


@when("{count:d} requests are sent and the metrics are read")
def send_and_read_metrics(context, count):
    async def exchange(harness):
        for number in range(count):
            await scripted_http.send_request(
                harness.port,
                scripted_http.request_bytes(request_id=b"n%d" % number),
            )
        page = metrics_page.MetricsPage(
            counts=harness.counts, gauges=lambda: {"trefoilstand_targets": 1.0}
        )
        return await page.handle(
            models.Request(
                method=b"GET",
                target=b"/metrics",
                fields=[],
                body=b"",
                arrived_s=0.0,
            )
        )

    context.metrics = _run(context, exchange).body.decode()


@then("the metrics count {count:d} answered requests and their latencies")
def check_metrics(context, count):
    requests = (
        'trefoilstand_requests_total{outcome="answered",'
        f'service="quotes",status="200"}} {count}'
    )
    assert requests in context.metrics, context.metrics
    latencies = f'latency_ms_count{{service="quotes"}} {count}'
    assert latencies in context.metrics, context.metrics
    assert "trefoilstand_targets 1" in context.metrics, context.metrics


@given("targets with behaviour whole that do not report load")
def non_reporting_targets(context):
    context.behaviours = ("whole", "whole")
    context.reports_load = False


@then("at most {limit:d} health checks were sent")
def check_probes(context, limit):
    sent = sum(target.probes for target in context.targets)
    assert sent <= limit, sent


@given("two targets that take 60 ms")
def brief_targets(context):
    context.behaviours = ("brief", "brief")


@when("an idempotent request waits {wait_ms:d} ms before it gets a target")
def send_delayed(context, wait_ms):
    async def exchange(harness):
        scheduler = harness.forwarder._scheduler
        place = scheduler.place

        async def place_later(call):
            scheduler.place = place
            await asyncio.sleep(wait_ms / 1000)
            return await place(call)

        scheduler.place = place_later
        return await scripted_http.send_request(
            harness.port, scripted_http.request_bytes()
        )

    context.response = _run(context, exchange, is_idempotent=True)


@when("{count:d} requests are sent without garbage collection")
def send_uncollected(context, count):
    async def exchange(harness):
        gc.collect()
        gc.disable()
        try:
            for number in range(count):
                await scripted_http.send_request(
                    harness.port,
                    scripted_http.request_bytes(
                        request_id=b"n%d" % number, deadline_ms=60
                    ),
                )
            await asyncio.sleep(0.3)
            alive = gc.get_objects()
        finally:
            gc.enable()
        pooled = {
            id(connection)
            for idle in harness.connections._idle.values()
            for connection in idle
        }
        context.unreleased = [
            type(item).__name__
            for item in alive
            if isinstance(item, _EXCHANGE_TYPES) and id(item) not in pooled
        ]

    _run(context, exchange, is_idempotent=True)


@then("only pooled connections and no request remain in memory")
def check_released(context):
    assert not context.unreleased, context.unreleased
