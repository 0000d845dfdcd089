import asyncio
import json
import signal
import time

from behave import given
from behave import then
from behave import when

from features.support import platform_fleet

_SEND_INTERVAL_S = 0.02
_CUT_INTERVAL_S = 0.6


class Load:
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
                self._send_one(host, b"n%d" % number)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            number += 1
            await asyncio.sleep(_SEND_INTERVAL_S)

    async def _send_one(self, host, request_id):
        status, _ = await host.send(request_id=request_id, method=b"POST")
        self.results.append((host.ip, status))

    async def stop(self):
        self._sender.cancel()
        await asyncio.gather(*self._tasks)


async def _cut_watches(fleet):
    while True:
        await asyncio.sleep(_CUT_INTERVAL_S)
        fleet.cut_watches()


async def all_serve_path(hosts, path):
    responses = [await host.send(path=path) for host in hosts]
    return all(status == 200 for status, _ in responses)


@given("{count:d} hosts on the platform")
def set_host_count(context, count):
    context.host_count = count


@when("the operator adds a route")
def add_route(context):
    async def scenario(fleet):
        await asyncio.sleep(1)
        fleet.publish(["/q/", "/new/"])
        context.elapsed_s = await fleet.wait_for(
            lambda: all_serve_path(fleet.hosts, "/new/x"), 5
        )

    platform_fleet.run(context.host_count, scenario)


async def _sort_by_reads(hosts):
    """Return the hosts with those that read the store most first."""
    store_reads = {}
    for host in hosts:
        _, body = await host.fetch_page(9464, "/metrics")
        for line in body.decode().splitlines():
            if line.startswith("trefoilstand_store_reads "):
                store_reads[host.ip] = float(line.split()[1])
    return sorted(hosts, key=lambda host: -store_reads[host.ip])


@when("the hosts that read the store are killed and 1 of 2 targets disappears")
def kill_readers_and_remove_target(context):
    async def scenario(fleet):
        await asyncio.sleep(4)
        by_reads = await _sort_by_reads(fleet.hosts)
        load = Load(by_reads[2:])
        await asyncio.sleep(0.5)
        # The replica was just confirmed when a reader begins its next call.
        calls = fleet.store.calls
        while fleet.store.calls == calls:
            await asyncio.sleep(0.002)
        await asyncio.sleep(0.01)
        for host in by_reads[:2]:
            host.stop()
        await asyncio.sleep(0.02)
        target = fleet.targets[0]
        fleet.unregister(target)
        removed_s = time.monotonic()
        await asyncio.sleep(4)
        await load.stop()
        context.arrivals_s = [
            arrival_s - removed_s for arrival_s in target.arrivals_s
        ]

    platform_fleet.run(context.host_count, scenario, targets=2)


@then("the remaining hosts send it no requests {bound_ms:d} ms later")
def check_no_late_arrivals(context, bound_ms):
    assert any(arrival_s > 0 for arrival_s in context.arrivals_s)
    late_s = [
        arrival_s
        for arrival_s in context.arrivals_s
        if arrival_s * 1000 > bound_ms
    ]
    assert not late_s, (len(late_s), max(late_s))


@when("the hosts that read the store are killed and a route is added")
def kill_readers(context):
    async def scenario(fleet):
        await asyncio.sleep(1)
        by_reads = await _sort_by_reads(fleet.hosts)
        for host in by_reads[:2]:
            host.stop()
        fleet.publish(["/q/", "/new/"])
        context.elapsed_s = await fleet.wait_for(
            lambda: all_serve_path(by_reads[2:], "/new/x"), 5
        )

    platform_fleet.run(context.host_count, scenario)


@then("all hosts serve it within {limit_ms:d} ms")
@then("the remaining hosts serve it within {limit_ms:d} ms")
@then("all serve the newest configuration within {limit_ms:d} ms")
def check_elapsed(context, limit_ms):
    assert context.elapsed_s * 1000 <= limit_ms, context.elapsed_s


@when("a target {withdrawal} under load")
def withdraw_target(context, withdrawal):
    async def scenario(fleet):
        load = Load(fleet.hosts)
        cutting = None
        if "cut" in withdrawal:
            cutting = asyncio.get_running_loop().create_task(
                _cut_watches(fleet)
            )
            await asyncio.sleep(2)
        await asyncio.sleep(1)
        target = fleet.targets[0]
        if withdrawal.startswith("disappears"):
            fleet.unregister(target)
        elif withdrawal.startswith("says"):
            fleet.store.is_down = True
            target.response_fields = b"Server-Leaving: 1\r\n"
        else:
            fleet.register(target, state="draining")
        if "history" in withdrawal:
            fleet.store.compact()
        await asyncio.sleep(2)
        context.count_before = len(target.requests)
        await asyncio.sleep(1.5)
        context.count_after = len(target.requests)
        if cutting is not None:
            cutting.cancel()
        await load.stop()
        context.results = load.results

    platform_fleet.run(context.host_count, scenario)


@then("it gets no new requests {pause_ms:d} ms later")
def check_no_requests(context, pause_ms):
    assert context.count_before > 0
    assert context.count_after == context.count_before, (
        context.count_before,
        context.count_after,
    )


@then("every request was answered")
def check_answered(context):
    failed = [item for item in context.results if item[1] != 200]
    assert context.results
    assert not failed, (len(failed), failed[:5])


@when("a host is frozen for {pause_s:d} s while a target drains")
def freeze_host(context, pause_s):
    async def scenario(fleet):
        host = fleet.hosts[2]
        await asyncio.sleep(1)
        host.send_signal(signal.SIGSTOP)
        fleet.register(fleet.targets[0], state="draining")
        await asyncio.sleep(pause_s)
        host.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.5)
        context.count_before = len(fleet.targets[0].requests)
        for number in range(40):
            status, _ = await host.send(request_id=b"s%d" % number)
            assert status == 200, status
        context.count_after = len(fleet.targets[0].requests)

    platform_fleet.run(context.host_count, scenario)


@then("it sends that target no requests once it is up to date")
def check_drain_known(context):
    assert context.count_after == context.count_before


@when("a host gets SIGTERM under load")
def stop_under_load(context):
    async def scenario(fleet):
        for target in fleet.targets:
            target.behaviour = "slow"
        load = Load(fleet.hosts[:1])
        await asyncio.sleep(1)
        host = fleet.hosts[0]
        host.send_signal(signal.SIGTERM)
        context.stop_sent_s = time.monotonic()
        await asyncio.sleep(0.2)
        context.is_ready = await host.is_ready()
        await asyncio.sleep(2)
        await load.stop()
        context.results = load.results
        while host.process.poll() is None:
            assert time.monotonic() - context.stop_sent_s < 10
            await asyncio.sleep(0.05)
        context.elapsed_s = time.monotonic() - context.stop_sent_s
        context.exit_code = host.process.returncode

    platform_fleet.run(context.host_count, scenario)


@then("the host is not ready at once and exits within {limit_s:d} s")
def check_stopped(context, limit_s):
    assert not context.is_ready
    assert context.exit_code == 0, context.exit_code
    assert context.elapsed_s <= limit_s, context.elapsed_s


@when("the store is down for {pause_s:d} s and all entries expire meanwhile")
def stop_store(context, pause_s):
    async def scenario(fleet):
        load = Load(fleet.hosts)
        await asyncio.sleep(1)
        fleet.store.is_down = True
        for target in fleet.targets:
            fleet.unregister(target)
        await asyncio.sleep(pause_s)
        fleet.store.is_down = False
        await asyncio.sleep(1.2)
        for target in fleet.targets:
            fleet.register(target)
        await asyncio.sleep(2)
        counts = [len(target.requests) for target in fleet.targets]
        await asyncio.sleep(2)
        context.new_requests = [
            len(target.requests) - count
            for target, count in zip(fleet.targets, counts, strict=True)
        ]
        await load.stop()
        context.results = load.results

    platform_fleet.run(context.host_count, scenario)


@then("all targets still get requests")
def check_new_requests(context):
    assert all(count > 0 for count in context.new_requests), (
        context.new_requests
    )


@when("all hosts are killed and started again")
def kill_all(context):
    async def scenario(fleet):
        await asyncio.sleep(1)
        fleet.publish(["/q/", "/new/"])
        for host in fleet.hosts:
            host.stop()
        for host in fleet.hosts:
            host.start()
        context.elapsed_s = await fleet.wait_for(
            lambda: all_serve_path(fleet.hosts, "/new/x"), 10
        )

    platform_fleet.run(context.host_count, scenario)


@when("a host is killed")
def kill_host(context):
    async def scenario(fleet):
        await asyncio.sleep(2)
        killed_host = fleet.hosts[0]
        killed_host.stop()
        await asyncio.sleep(3)
        context.listed_addresses = []
        for host in fleet.hosts[1:]:
            _, body = await host.fetch_page(
                8644, "/api/resolve?name=x&region=r&zone=zone-0"
            )
            context.listed_addresses += json.loads(body)["addresses"]
        context.killed_address = f"{killed_host.ip}:8641"

    platform_fleet.run(context.host_count, scenario)


@then("no other host lists it after {pause_ms:d} ms")
def check_not_listed(context, pause_ms):
    assert context.listed_addresses
    assert context.killed_address not in context.listed_addresses, (
        context.listed_addresses
    )
