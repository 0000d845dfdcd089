import asyncio
import json
import signal
import time

from behave import given
from behave import then
from behave import when
import uvloop

from features.support import platform_fleet

_PACE_S = 0.02


def _play(context, work):
    async def whole():
        async with platform_fleet.PlatformFleet(hosts=context.count) as fleet:
            await work(fleet)

    uvloop.run(whole())


class _Load:
    """Send requests to hosts in turn until it is stopped."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.results = []
        self._tasks = set()
        self._sender = asyncio.get_running_loop().create_task(self._send())

    async def _send(self):
        number = 0
        while True:
            host = self.hosts[number % len(self.hosts)]
            task = asyncio.get_running_loop().create_task(
                self._one(host, b"n%d" % number)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            number += 1
            await asyncio.sleep(_PACE_S)

    async def _one(self, host, request_id):
        status, _ = await host.send(request_id=request_id, method=b"POST")
        self.results.append((host.ip, status))

    async def stop(self):
        self._sender.cancel()
        await asyncio.gather(*self._tasks)


async def _all_serve(hosts, path):
    found = [await host.send(path=path) for host in hosts]
    return all(status == 200 for status, _ in found)


@given("{count:d} hosts on the platform")
def some_hosts(context, count):
    context.count = count


@when("the operator adds a route")
def add_route(context):
    async def work(fleet):
        await asyncio.sleep(1)
        fleet.publish(["/q/", "/new/"])
        context.took_s = await fleet.wait_for(
            lambda: _all_serve(fleet.hosts, "/new/x"), 5
        )

    _play(context, work)


@when("the hosts that read the store are killed and a route is added")
def kill_readers(context):
    async def work(fleet):
        await asyncio.sleep(1)
        reads = {}
        for host in fleet.hosts:
            _, body = await host.page(9464, "/metrics")
            for line in body.decode().splitlines():
                if line.startswith("trefoilstand_store_reads "):
                    reads[host.ip] = float(line.split()[1])
        order = sorted(fleet.hosts, key=lambda host: -reads[host.ip])
        for host in order[:2]:
            host.stop()
        fleet.publish(["/q/", "/new/"])
        context.took_s = await fleet.wait_for(
            lambda: _all_serve(order[2:], "/new/x"), 5
        )

    _play(context, work)


@then("all hosts serve it within {limit_ms:d} ms")
@then("the hosts that are left serve it within {limit_ms:d} ms")
@then("all serve the newest configuration within {limit_ms:d} ms")
def check_took(context, limit_ms):
    assert context.took_s * 1000 <= limit_ms, context.took_s


@when("a target {leaves} under load")
def leave_target(context, leaves):
    async def work(fleet):
        load = _Load(fleet.hosts)
        await asyncio.sleep(1)
        target = fleet.targets[0]
        if leaves == "disappears":
            fleet.unregister(target)
        else:
            fleet.register(target, state="draining")
        if "history" in leaves:
            fleet.store.compact()
        await asyncio.sleep(2)
        context.before = len(target.requests)
        await asyncio.sleep(1.5)
        context.after = len(target.requests)
        await load.stop()
        context.results = load.results

    _play(context, work)


@then("it gets no new work {pause_ms:d} ms later")
def check_no_work(context, pause_ms):
    assert context.before > 0
    assert context.after == context.before, (context.before, context.after)


@then("every request was answered")
def check_answered(context):
    bad = [item for item in context.results if item[1] != 200]
    assert context.results
    assert not bad, (len(bad), bad[:5])


@when("a host stands still for {pause:d} s while a target drains")
def stand_still(context, pause):
    async def work(fleet):
        host = fleet.hosts[2]
        await asyncio.sleep(1)
        host.signal(signal.SIGSTOP)
        fleet.register(fleet.targets[0], state="draining")
        await asyncio.sleep(pause)
        host.signal(signal.SIGCONT)
        await asyncio.sleep(0.5)
        context.before = len(fleet.targets[0].requests)
        for number in range(40):
            status, _ = await host.send(request_id=b"s%d" % number)
            assert status == 200, status
        context.after = len(fleet.targets[0].requests)

    _play(context, work)


@then("it gives that target no work once it has caught up")
def check_caught_up(context):
    assert context.after == context.before


@when("a host is told to stop under load")
def stop_under_load(context):
    async def work(fleet):
        for target in fleet.targets:
            target.behavior = "slow"
        load = _Load(fleet.hosts[:1])
        await asyncio.sleep(1)
        host = fleet.hosts[0]
        host.signal(signal.SIGTERM)
        context.stop_s = time.monotonic()
        await asyncio.sleep(0.2)
        context.is_ready = await host.is_ready()
        await asyncio.sleep(2)
        await load.stop()
        context.results = load.results
        while host.process.poll() is None:
            assert time.monotonic() - context.stop_s < 10
            await asyncio.sleep(0.05)
        context.took_s = time.monotonic() - context.stop_s
        context.exit_code = host.process.returncode

    _play(context, work)


@then("the host is not ready at once and ends by itself within {limit:d} s")
def check_stopped(context, limit):
    assert not context.is_ready
    assert context.exit_code == 0, context.exit_code
    assert context.took_s <= limit, context.took_s


@when("the store is down for {pause:d} s and all entries lapse meanwhile")
def store_down(context, pause):
    async def work(fleet):
        load = _Load(fleet.hosts)
        await asyncio.sleep(1)
        fleet.store.is_down = True
        for target in fleet.targets:
            fleet.unregister(target)
        await asyncio.sleep(pause)
        fleet.store.is_down = False
        await asyncio.sleep(1.2)
        for target in fleet.targets:
            fleet.register(target)
        await asyncio.sleep(2)
        counts = [len(target.requests) for target in fleet.targets]
        await asyncio.sleep(2)
        context.gains = [
            len(target.requests) - count
            for target, count in zip(fleet.targets, counts, strict=True)
        ]
        await load.stop()
        context.results = load.results

    _play(context, work)


@then("all targets still get work")
def check_gains(context):
    assert all(gain > 0 for gain in context.gains), context.gains


@when("all hosts are killed and started again")
def kill_all(context):
    async def work(fleet):
        await asyncio.sleep(1)
        fleet.publish(["/q/", "/new/"])
        for host in fleet.hosts:
            host.stop()
        for host in fleet.hosts:
            host.start()
        context.took_s = await fleet.wait_for(
            lambda: _all_serve(fleet.hosts, "/new/x"), 10
        )

    _play(context, work)


@when("a host is killed")
def kill_one(context):
    async def work(fleet):
        await asyncio.sleep(2)
        dead = fleet.hosts[0]
        dead.stop()
        await asyncio.sleep(3)
        context.named = []
        for host in fleet.hosts[1:]:
            _, body = await host.page(
                8644, "/api/resolve?name=x&region=r&zone=zone-0"
            )
            context.named += json.loads(body)["addresses"]
        context.dead = f"{dead.ip}:8641"

    _play(context, work)


@then("no other host names it after {pause_ms:d} ms")
def check_named(context, pause_ms):
    assert context.named
    assert context.dead not in context.named, context.named
