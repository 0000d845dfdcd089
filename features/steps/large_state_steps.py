import asyncio
import json
import random

from behave import given
from behave import then
from behave import when

from features.support import heartbeat_fleet
from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import models
from trefoilstand.fleet import replica
from trefoilstand.fleet import store as stores
from trefoilstand.fleet import sync
from trefoilstand.fleet import uploads
from trefoilstand.gateway import settings
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models
from trefoilstand.platform import store
from trefoilstand.util import clock as clocks

_SETTLED_S = 12.0


@given("{hosts:d} hosts in 3 domains with links of {rate:d} bytes a second")
def describe_fleet(context, hosts, rate):
    context.fleet = {"hosts": hosts, "link_bytes_per_s": float(rate)}


@when("a change of {size:d} bytes is read from the store")
def spread_change(context, size):
    async def run(loop):
        net = heartbeat_fleet.FleetNetwork(
            loop=loop, domains=3, **context.fleet
        )
        await net.start()
        reader = net.readers()[0]
        reader.apply_store_change(1)
        await net.run(_SETTLED_S)
        reader.apply_store_change(2, size_bytes=size)
        changed_s = loop.time()
        while any(host.state.revision < 2 for host in net.up):
            await asyncio.sleep(0.01)
            if loop.time() - changed_s > 20:
                break
        return loop.time() - changed_s

    context.elapsed_s = virtual_time.run(run)


@then("all hosts have it within {limit_s:g} s")
def check_spread(context, limit_s):
    assert context.elapsed_s <= limit_s, context.elapsed_s


@given("a link of {rate:d} bytes a second")
def make_schedule(context, rate):
    context.schedule = uploads.UploadSchedule(bytes_per_s=float(rate))


@when("transfers of {sizes} bytes are requested at once")
def request_transfers(context, sizes):
    context.admitted = sum(
        context.schedule.try_add("", int(size), 10.0) for size in sizes.split()
    )


@then("{count:d} of them are admitted")
def check_admitted(context, count):
    assert context.admitted == count, context.admitted


@then("another one is admitted {later_s:g} s later")
def check_later(context, later_s):
    assert context.schedule.try_add("", 1000, 10.0 + later_s)


@given("a store that sends a response over {seconds:g} s, {manner}")
def describe_store(context, seconds, manner):
    context.response_s = seconds
    context.pauses = manner == "with a pause"


@when("it is read with a timeout of 0.3 s")
def read_slowly(context):
    body = json.dumps({"events": [], "store-revision": 7}).encode()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        )
        pieces = 1 if context.pauses else len(body)
        for number in range(pieces):
            await asyncio.sleep(context.response_s / pieces)
            writer.write(body[number : number + 1] if pieces > 1 else body)
        await writer.drain()

    async def read():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = store.PlatformStore(
            endpoint=settings.Endpoint(ip="127.0.0.1", port=port),
            local_ip=None,
        )
        try:
            # The margin of a watch is 0.5 s.
            return (await client.watch(3, -0.2)).up_to_revision
        except stores.StoreError:
            return None
        finally:
            client.close()
            server.close()

    context.revision = asyncio.run(read())


@then("the read {result}")
def check_read(context, result):
    assert (context.revision == 7) == (result == "succeeds")


def _member_table():
    return membership.MemberTable(
        own=peers_models.Member(
            peer_address="127.0.0.1:1",
            caller_address="127.0.0.1:2",
            failure_domain="a",
            process_id="p",
            incarnation=1,
        ),
        random_source=random.Random(1),
        clock=clocks.MonotonicClock(),
        update_sends=4,
    )


def _make_transfer(state):
    return sync.StateTransfer(
        state=state,
        members=_member_table(),
        schedule=uploads.UploadSchedule(bytes_per_s=1e9),
        clock=clocks.MonotonicClock(),
    )


@given("a host with a configuration of {count:d} routes")
def make_large_state(context, count):
    random_source = random.Random(1)
    routes = {
        f"r-{random_source.randrange(10**9)}": {
            "host": "app.example",
            "prefix": f"/{random_source.randrange(10**9)}/",
            "route-type": "safe",
            "timeout": "1000ms",
            "target-latency": "515ms",
            "priority": 0,
            "service": "quotes",
            "max-attempts": 2,
        }
        for _ in range(count)
    }
    context.value = json.dumps({"version": "r9", "routes": routes}).encode()
    context.state = replica.Replica()
    context.state.apply(
        models.Delta(
            after_revision=0,
            up_to_revision=5,
            items=(
                models.Item(key="op/config", revision=5, value=context.value),
            ),
            is_snapshot=True,
        )
    )


@when("{count:d} peers fetch it over gRPC")
def fetch_large_state(context, count):
    async def run():
        server = _make_transfer(context.state)
        service = sync.StateService(
            state=context.state,
            members=_member_table(),
            schedule=uploads.UploadSchedule(bytes_per_s=1e9),
            clock=clocks.MonotonicClock(),
        )
        context.sent_bytes = service._encode_changes(
            models.NO_POSITION
        ).ByteSize()
        await server.start("127.0.0.1", 46199)
        try:
            return [
                await _make_transfer(replica.Replica()).fetch(
                    "127.0.0.1:46199", wants_members=False
                )
                for _ in range(count)
            ]
        finally:
            server.close()

    context.fetched = asyncio.run(run())


@then("each has the configuration")
def check_fetched(context):
    for fetched in context.fetched:
        (item,) = fetched.delta.items
        assert item.value == context.value


@then("less than {limit:d} bytes are sent to each")
def check_sent(context, limit):
    assert context.sent_bytes < limit, context.sent_bytes
