import asyncio
import time

from behave import then
from behave import when

from features.support import limited_fleet
from features.support import platform_fleet

_LIMIT_PER_S = 4.0
_LIMIT_KEPT_FROM_S = 3.0


@when("{count:d} of 6 targets state a limit of 4 a second for {seconds:d} s")
def describe_limits(context, count, seconds):
    context.limited_count = count
    context.limited_s = seconds


@when("callers send {rate:d} requests a second meanwhile")
def send_to_limited(context, rate):
    async def scenario(fleet):
        for target in fleet.targets:
            target.behaviour = "working"
            target.work_s = 0.05
        fleet.publish([], safe=["/q/"])
        await asyncio.sleep(4)
        context.limited = fleet.targets[: context.limited_count]
        for target in context.limited:
            target.limit_per_s = _LIMIT_PER_S
            target.arrivals_s.clear()
        context.started_s = time.monotonic()
        context.sent = []
        await _send_at_rate(context, fleet, rate)

    platform_fleet.run(context.host_count, scenario, targets=6)


async def _send_at_rate(context, fleet, rate):
    """Send each request to the next host and record when it was sent."""

    async def send(number):
        sent_s = time.monotonic() - context.started_s
        host = fleet.hosts[number % len(fleet.hosts)]
        status, _ = await host.send(request_id=b"n%d" % number)
        context.sent.append((sent_s, status))

    tasks = []
    for number in range(rate * context.limited_s):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(
            max(
                context.started_s + (number + 1) / rate - time.monotonic(),
                0.0,
            )
        )
    await asyncio.gather(*tasks)


@then(
    "from 3 s on no window of 4 s has more messages to a target than {most:d}"
)
def check_messages(context, most):
    for target in context.limited:
        arrivals_s = [
            arrival_s
            for arrival_s in target.arrivals_s
            if arrival_s - context.started_s >= _LIMIT_KEPT_FROM_S
        ]
        largest = limited_fleet.max_count_in_window(arrivals_s, 4.0)
        # One message may cross the edge of the window.
        assert largest <= most + 1, (target.target_id, largest)


@then("from 3 s on at least {rate:d} requests a second are answered with 200")
def check_answered(context, rate):
    statuses = [
        status
        for sent_s, status in context.sent
        if sent_s >= _LIMIT_KEPT_FROM_S
    ]
    answered = statuses.count(200)
    required = rate * (context.limited_s - _LIMIT_KEPT_FROM_S)
    assert answered >= required, (answered, len(statuses))
