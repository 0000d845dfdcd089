import asyncio
import itertools
import json
import signal
import time

from behave import then
from behave import when

from features.steps import platform_steps
from features.support import platform_fleet

_OUTAGE_S = 0.5
#: Entries and configuration are written again this long after the return.
_REWRITE_DELAY_S = 1.8
#: Further changes that are lost; the restored store needs a long time until
#: it reaches the same revision again.
_LOST_CHANGES = 60


@when("the store comes back from a copy before some changes {meanwhile}")
def restore_store(context, meanwhile):
    async def scenario(fleet):
        is_done = asyncio.Event()
        try:
            await run_faults(fleet, is_done)
        finally:
            is_done.set()

    async def run_faults(fleet, is_done):
        drained, _, _, added = fleet.targets
        fleet.unregister(added)
        fleet.store.put("op/evacuate/zone-1", b"{}")
        await asyncio.sleep(1.5)
        copy = fleet.store.copy()
        fleet.store.remove("op/evacuate/zone-1")
        fleet.register(added)
        fleet.register(drained, state="draining")
        fleet.publish(["/q/", "/new/"])
        for number in range(_LOST_CHANGES):
            fleet.store.put(f"notes/{number}", b"x")
        await asyncio.sleep(3.5)
        context.drained_count = len(drained.requests)
        by_reads = await platform_steps._sort_by_reads(fleet.hosts)
        steady_hosts = _start_fault(meanwhile, by_reads)
        load = platform_steps.Load(steady_hosts)
        polling = asyncio.get_running_loop().create_task(
            _poll_route(context, fleet.hosts, is_done)
        )
        context.lost_s = time.monotonic()
        fleet.store.is_down = True
        await asyncio.sleep(_OUTAGE_S)
        fleet.store.restore(copy)
        fleet.store.is_down = False
        await _rewrite(fleet, meanwhile, by_reads)
        context.end_s = time.monotonic()
        await load.stop()
        context.results = load.results
        context.target_arrivals_s = {
            target.target_id: list(target.arrivals_s)
            for target in fleet.targets[1::2]
        }
        running = [h for h in fleet.hosts if h.process.poll() is None]
        fleet.publish(["/q/", "/new/", "/later/"])
        context.elapsed_s = await fleet.wait_for(
            lambda: platform_steps.all_serve_path(running, "/later/x"), 8
        )
        is_done.set()
        await polling
        context.drained_later = len(drained.requests)
        context.restorations = {
            host.ip: _count_restorations(host) for host in running
        }
        context.restarted_ip = (
            by_reads[3].ip if "starts again" in meanwhile else None
        )

    platform_fleet.run(context.host_count, scenario)


def _start_fault(meanwhile, by_reads):
    """Inject the fault before the outage; return the unaffected hosts."""
    if "frozen" in meanwhile:
        by_reads[3].send_signal(signal.SIGSTOP)
        return by_reads[:3]
    if "starts again" in meanwhile:
        return by_reads[:3]
    return by_reads[2:] if "killed" in meanwhile else by_reads


async def _rewrite(fleet, meanwhile, by_reads):
    """Write entries and configuration again, as their owners do."""
    if "killed" in meanwhile:
        for host in by_reads[:2]:
            host.stop()
    if "starts again" in meanwhile:
        by_reads[3].stop()
        by_reads[3].start()
    await asyncio.sleep(_REWRITE_DELAY_S)
    for target in fleet.targets[1:]:
        fleet.register(target)
    fleet.version -= 1
    fleet.publish(["/q/", "/new/"])
    if "frozen" in meanwhile:
        by_reads[3].send_signal(signal.SIGCONT)
    await asyncio.sleep(4)


async def _poll_route(context, hosts, is_done):
    """Send requests to the route that the copy lacks, to each host.

    A cancelled connection attempt may report its own failure instead, so an
    event ends the loops.
    """
    context.route_statuses = set()

    async def poll(host):
        while not is_done.is_set():
            status, _ = await host.send(path="/new/x")
            context.route_statuses.add((host.ip, status))
            await asyncio.sleep(0.03)

    await asyncio.gather(*(poll(host) for host in hosts))


def _count_restorations(host):
    events = [
        json.loads(line)
        for line in host.log_path.read_text().splitlines()
        if "store_restored" in line
    ]
    return [(event["previous_era"], event["era"]) for event in events]


@then("no host went back to the configuration of the copy")
def check_route(context):
    reverted = [item for item in context.route_statuses if item[1] == 404]
    assert not reverted, reverted
    assert {200} <= {status for _, status in context.route_statuses}


@then("the target that drained before gets no requests")
def check_drained(context):
    assert context.drained_later == context.drained_count, (
        context.drained_count,
        context.drained_later,
    )


@then("the targets that the copy lacks or evacuates got requests throughout")
def check_targets_used(context):
    for target_id, arrivals_s in context.target_arrivals_s.items():
        during_s = [
            context.lost_s,
            *(at_s for at_s in arrivals_s if at_s > context.lost_s),
            context.end_s,
        ]
        gaps_s = [
            later_s - earlier_s
            for earlier_s, later_s in itertools.pairwise(during_s)
        ]
        assert max(gaps_s) < 1.0, (target_id, max(gaps_s), len(during_s))


@then("all hosts serve a route that is added later within {limit_ms:d} ms")
def check_later_route(context, limit_ms):
    assert context.elapsed_s * 1000 <= limit_ms, context.elapsed_s


@then("all hosts have logged the restoration once")
def check_logged(context):
    for ip, restorations in context.restorations.items():
        # A new process knows no earlier era.
        expected = [] if ip == context.restarted_ip else [(0, 1)]
        assert restorations == expected, (ip, restorations)
