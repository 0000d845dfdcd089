import asyncio
import re

from behave import given
from behave import then
from behave import when
import uvloop

from features.support import client_crowd

_ANSWER_TIMEOUT_S = 30
_TIMEOUT_MS = 10_000


@given("a host of {memory:d} MB with {descriptors:d} descriptors")
def describe_host(context, memory, descriptors):
    context.limits = {"memory-mb": memory, "max-fds": descriptors}
    context.is_unreading = False
    context.body_bytes = 4 * client_crowd.MIB


@given("targets that do not read large bodies")
def use_unreading_targets(context):
    context.is_unreading = True


def _run(context, scenario):
    async def run_in_fleet():
        fleet = client_crowd.make_fleet(
            context.limits, is_unreading=context.is_unreading
        )
        async with fleet:
            fleet.publish(
                ["/q/"],
                timeout_ms=_TIMEOUT_MS,
                limits={"max-body-bytes": context.body_bytes},
            )
            host = fleet.hosts[0]

            async def is_configured():
                _, page = await host.fetch_page(9464, "/metrics")
                shown = re.search(rb"configuration_version\S* (\d+)", page)
                return shown and int(shown[1]) == fleet.version

            await fleet.wait_for(is_configured, _ANSWER_TIMEOUT_S)
            context.usage = client_crowd.UsageSampler(host)
            await scenario(fleet, host)
            context.usage.sample()
            context.is_alive = host.process.poll() is None

    uvloop.run(run_in_fleet())


@when("{count:d} clients send {stream}")
def send_crowd(context, count, stream):
    async def scenario(fleet, host):
        async def is_answered():
            context.usage.sample()
            context.status, _ = await host.send(request_id=b"ordinary")
            return context.status == 200

        sampling = asyncio.create_task(context.usage.run())
        writers = await client_crowd.send_crowd(
            host, client_crowd.STREAMS[stream], count
        )
        await fleet.wait_for(is_answered, _ANSWER_TIMEOUT_S)
        sampling.cancel()
        for writer in writers:
            writer.transport.abort()

    _run(context, scenario)


@when("one client sends a body of the largest size, {size:d} bytes")
def send_largest(context, size):
    context.body_bytes = size

    async def scenario(_fleet, host):
        context.status = await client_crowd.upload(host, size)

    _run(context, scenario)


@then("the process lives, within its memory and descriptors")
def check_usage(context):
    assert context.is_alive
    usage = context.usage
    print(f"{usage.most_memory_mb:.0f} MB, {usage.most_descriptors} fds")
    assert usage.most_memory_mb <= context.limits["memory-mb"], (
        usage.most_memory_mb
    )
    assert usage.most_descriptors <= context.limits["max-fds"], (
        usage.most_descriptors
    )


@then("an ordinary request is answered")
def check_answered(context):
    assert context.status == 200, context.status
