import asyncio
import dataclasses
import re
import time

from behave import given
from behave import then
from behave import when
import uvloop

from features.support import scripted_http
from trefoilstand.gateway import metrics_page
from trefoilstand.gateway import models as gateway_models
from trefoilstand.http import models


def _target(name, manner, *, tells_load=True):
    if not tells_load:
        return scripted_http.ScriptedTarget(
            target_id=name, manner=manner, load=None
        )
    # The scripted manner is tried first, since its load is lower.
    load = b"0,0,6,100" if name == "i-first" else b"0,0,6,130"
    return scripted_http.ScriptedTarget(
        target_id=name, manner=manner, load=load
    )


def _run(context, work, *, is_idempotent=False, allowance=100.0):
    """Run a coroutine function with a started bench."""

    async def whole():
        context.targets = [
            _target(
                name,
                manner,
                tells_load=getattr(context, "tells_load", True),
            )
            for name, manner in zip(
                ("i-first", "i-second"), context.manners, strict=False
            )
        ]
        bench = scripted_http.Bench(
            targets=context.targets,
            route=scripted_http.make_route(is_idempotent=is_idempotent),
            allowance=getattr(context, "allowance", allowance),
        )
        await bench.start()
        try:
            return await work(bench)
        finally:
            bench.stop()

    return uvloop.run(whole())


@given("a target that answers {manner} and one that answers whole")
def two_targets(context, manner):
    context.manners = (manner, "whole")


@given("a target that answers {manner} and no other")
def one_target(context, manner):
    context.manners = (manner,)


@given("a budget of no repeats")
def no_repeats(context):
    context.allowance = 0.0


@given("a forwarder without a configuration")
def no_configuration(context):
    context.manners = ()


@when("a request is sent to it")
def ask_unconfigured(context):
    async def work(bench):
        bench.state.routes = None
        return await scripted_http.ask(
            bench.port, scripted_http.request_bytes()
        )

    context.answer = _run(context, work)


@when("a request that may not be repeated is sent")
def ask_once(context):
    async def work(bench):
        return await scripted_http.ask(
            bench.port,
            scripted_http.request_bytes(
                method=b"POST", more=b"Content-Length: 0\r\n"
            ),
        )

    context.answer = _run(context, work)


@when("the target that is asked first leaves as it tells its load")
def leave_while_asked(context):
    async def work(bench):
        prober = bench.forwarder._scheduler._selector._prober
        ask = prober.probe
        left = []

        async def ask_and_leave(target):
            found = await ask(target)
            if not left:
                left.append(target.target_id)
                bench.state.registry.set(
                    dataclasses.replace(
                        target.record,
                        state=gateway_models.TargetState.DRAINING,
                    )
                )
                bench.apply()
            return found

        prober.probe = ask_and_leave
        return await scripted_http.ask(
            bench.port,
            scripted_http.request_bytes(
                method=b"POST", more=b"Content-Length: 0\r\n"
            ),
        )

    context.answer = _run(context, work)


@when("a request that may not be repeated is sent {count:d} times")
def ask_often(context, count):
    async def work(bench):
        for number in range(count):
            await scripted_http.ask(
                bench.port,
                scripted_http.request_bytes(request_id=b"n%d" % number),
            )

    _run(context, work)


@when("an idempotent request is sent")
def ask_idempotent(context):
    async def work(bench):
        return await scripted_http.ask(
            bench.port, scripted_http.request_bytes()
        )

    context.answer = _run(context, work, is_idempotent=True)


@when("a request for an unknown route is sent")
def ask_unknown(context):
    async def work(bench):
        return await scripted_http.ask(
            bench.port, scripted_http.request_bytes(path=b"/other/x")
        )

    context.answer = _run(context, work)


@when("{count:d} requests are sent one after the other")
def ask_in_turn(context, count):
    async def work(bench):
        found = []
        for number in range(count):
            found.append(
                await scripted_http.ask(
                    bench.port,
                    scripted_http.request_bytes(request_id=b"n%d" % number),
                )
            )
        return found

    context.answers = _run(context, work, is_idempotent=True)


@when("a caller leaves {pause_ms:d} ms after it sent a request")
def leave_early(context, pause_ms):
    async def work(bench):
        _, writer = await asyncio.open_connection("127.0.0.1", bench.port)
        writer.write(scripted_http.request_bytes())
        await asyncio.sleep(pause_ms / 1000)
        writer.close()
        left_s = time.monotonic()
        await asyncio.wait_for(bench.targets[0].closed.wait(), 2)
        context.close_s = time.monotonic() - left_s

    _run(context, work, is_idempotent=True)


@when("a request with a deadline of {deadline_ms:d} ms is sent")
def ask_with_deadline(context, deadline_ms):
    async def work(bench):
        asked_s = time.monotonic()
        found = await scripted_http.ask(
            bench.port,
            scripted_http.request_bytes(deadline_ms=deadline_ms),
        )
        context.took_s = time.monotonic() - asked_s
        return found

    context.answer = _run(context, work)


@then('the caller gets status {status:d} with body "{body}"')
def check_answer(context, status, body):
    assert context.answer[0] == status, context.answer
    assert context.answer[2] == body.encode(), context.answer


@then('the caller gets status {status:d} with body ""')
def check_empty(context, status):
    assert context.answer[0] == status, context.answer
    assert context.answer[2] == b"", context.answer


@then("the caller is told when to return")
def check_retry_after(context):
    assert re.search(rb"retry-after: \d", context.answer[1])


@then("the request ran {runs:d} times")
def check_runs(context, runs):
    ran = sum(len(target.runs) for target in context.targets)
    assert ran == runs, ran


@then("each caller gets the answer to its own request")
def check_own(context):
    for number, (status, head, body) in enumerate(context.answers):
        assert status == 200
        assert b"request-id: n%d" % number in head
        assert body == b"done"


@then("the target's connection is closed within {limit_ms:d} ms")
def check_closed(context, limit_ms):
    assert context.close_s * 1000 <= limit_ms, context.close_s


@then("the caller gets status {status:d} within {limit_ms:d} ms")
def check_in_time(context, status, limit_ms):
    assert context.answer[0] == status, context.answer
    assert context.took_s * 1000 <= limit_ms, context.took_s


@then("the target was told of at most {limit_ms:d} ms")
def check_deadline(context, limit_ms):
    found = re.search(
        rb"(?i)deadline-ms: (\d+)", context.targets[0].requests[0]
    )
    assert int(found[1]) <= limit_ms


@then("the target was named in the request")
def check_named(context):
    assert re.search(
        rb"(?i)target-instance: i-first", context.targets[0].requests[0]
    )


@then("no request was sent twice")
def check_single(context):
    sent = sum(len(target.requests) for target in context.targets)
    assert sent == 20, sent


@when("{count:d} requests are sent and the metrics are read")
def ask_and_read_metrics(context, count):
    async def work(bench):
        for number in range(count):
            await scripted_http.ask(
                bench.port,
                scripted_http.request_bytes(request_id=b"n%d" % number),
            )
        page = metrics_page.MetricsPage(
            counts=bench.counts, gauges=lambda: {"trefoilstand_targets": 1.0}
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

    context.metrics = _run(context, work).body.decode()


@then("the metrics tell of {count:d} answered requests and their latencies")
def check_metrics(context, count):
    requests = (
        'trefoilstand_requests_total{outcome="answered",'
        f'service="quotes",status="200"}} {count}'
    )
    assert requests in context.metrics, context.metrics
    latencies = f'latency_ms_count{{service="quotes"}} {count}'
    assert latencies in context.metrics, context.metrics
    assert "trefoilstand_targets 1" in context.metrics, context.metrics


@given("targets that answer whole and do not tell their load")
def mute_targets(context):
    context.manners = ("whole", "whole")
    context.tells_load = False


@then("at most {limit:d} health checks were sent")
def check_probes(context, limit):
    sent = sum(target.probes for target in context.targets)
    assert sent <= limit, sent
