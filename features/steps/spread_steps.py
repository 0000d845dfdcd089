import asyncio
import random

from behave import given
from behave import then
from behave import when

from features.support import heartbeat_fleet
from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import leaving_targets
from trefoilstand.fleet import rate_limits
from trefoilstand.fleet import topology
from trefoilstand.peers import models as peers_models


@given("a fleet of {hosts:d} hosts in {domains:d} domains")
def plan_fleet(context, hosts, domains):
    context.plan = {"hosts": hosts, "domains": domains}
    context.actions = []
    context.checks = []


@given("a network that loses {loss:d} of 100 datagrams, seed {seed:d}")
def plan_loss(context, loss, seed):
    context.plan["loss"] = loss / 100
    context.plan["seed"] = seed


async def run_fleet(context, loop):
    """Start the hosts and run the actions that the steps recorded."""
    net = heartbeat_fleet.FleetNetwork(loop=loop, **context.plan)
    await net.start()
    for action in context.actions:
        await action(net)
    return net


@when("they have run for {seconds:d} s")
@when("they run on for {seconds:d} s")
def run_on(context, seconds):
    async def action(net):
        for host in net.readers():
            if not host.state.revision:
                host.apply_store_change(1)
        net.reset_counts()
        net.elapsed_s = seconds
        await net.run(seconds)

    context.actions.append(action)


@when("a reader takes a change from the store")
def record_store_change(context):
    async def action(net):
        net.reset_counts()
        net.readers()[0].apply_store_change(2)

    context.actions.append(action)


@when("the primary relays that are not readers die")
def stop_primary_relays(context):
    async def action(net):
        view = net.up[0].peers.view
        reader_addresses = {host.address for host in net.readers()}
        for relays in view.relays.values():
            if relays[0] not in reader_addresses:
                await net.hosts[relays[0]].stop()

    context.actions.append(action)


@when("one of the hosts restarts")
def restart_host(context):
    async def action(net):
        stopped_host = net.up[-1]
        await stopped_host.stop()
        number = len(net.hosts) - 1
        net.reset_counts()
        net.restarted_host = net.add(number, stopped_host.domain, 2)
        net.restarted_host.start()

    context.actions.append(action)


@when("one of the hosts is down for {seconds:d} s")
def stop_host(context, seconds):
    async def action(net):
        net.stopped_host = net.up[-1]
        await net.stopped_host.stop()
        await net.run(seconds)

    context.actions.append(action)


@when("it starts again with incarnation {incarnation:d}")
def start_again(context, incarnation):
    async def action(net):
        net.restarted_host = net.add(
            len(net.hosts) - 1, net.stopped_host.domain, incarnation
        )
        net.restarted_host.start()

    context.actions.append(action)


@when("all hosts of a failure domain die")
def stop_domain(context):
    async def action(net):
        reader_domains = {host.domain for host in net.readers()}
        stopped_domain = next(
            host.domain for host in net.up if host.domain not in reader_domains
        )
        for host in net.up:
            if host.domain == stopped_domain:
                await host.stop()

    context.actions.append(action)


def ensure_run(context):
    """Run the fleet unless already done and return its network."""
    if not hasattr(context, "net"):
        context.net = virtual_time.run(lambda loop: run_fleet(context, loop))
    return context.net


@then("all hosts have the change after {limit_ms:d} ms")
def check_change_everywhere(context, limit_ms):
    async def action(net):
        net.limit_ms = limit_ms
        if limit_ms < 250:
            await asyncio.sleep(limit_ms / 1000)
        else:
            await net.run(limit_ms / 1000)
        net.outdated_addresses = [
            host.address for host in net.up if host.state.revision < 2
        ]

    context.actions.append(action)
    net = ensure_run(context)
    assert not net.outdated_addresses, net.outdated_addresses


@then("it crossed failure domains at most {crossings:d} times")
def check_crossings(context, crossings):
    assert context.net.cross_domain_messages <= crossings, (
        context.net.cross_domain_messages
    )


@then("at most {limit:d} bytes per second crossed failure domains")
def check_cross_domain_bytes(context, limit):
    net = ensure_run(context)
    assert net.cross_domain_bytes / net.elapsed_s <= limit, (
        net.cross_domain_bytes
    )


@then("each host knows all others")
def check_all_known(context):
    net = ensure_run(context)
    up_addresses = {host.address for host in net.up}
    difference_counts = {
        host.address: len(up_addresses ^ known_addresses)
        for host in net.up
        if (
            known_addresses := {
                m.peer_address for m in host.members.live_members()
            }
            | {host.address}
        )
        != up_addresses
    }
    assert not difference_counts, difference_counts


@then("the new process fetched nothing from other failure domains")
def check_no_remote_fetch(context):
    assert context.net.restarted_host.state.revision == 2
    host = context.net.restarted_host
    assert host.transfers.transfer_count <= 1, host.transfers.transfer_count


@then("each host of its domain knows the new process as alive")
def check_new_process(context):
    net = ensure_run(context)
    restarted = net.restarted_host
    for host in net.up:
        if host is restarted or host.domain != restarted.domain:
            continue
        member = host.members.get(restarted.address)
        assert member is not None, host.address
        assert member.process_id == restarted.members.own.process_id, (
            host.address,
            member,
        )
        assert member.state is peers_models.MemberState.ALIVE, member


_LIMITS_RUN_S = 8.0
_LEAVING_RUN_S = 8.0
_INCARNATION = 1_786_000_000_000


@when("{targets:d} targets state limits and respond {rate:d} times a second")
def state_limits(context, targets, rate):
    async def action(net):
        net.reset_counts()
        net.limits_started_s = net.loop.time()
        net.limits_known_s = None
        random_source = random.Random(3)
        while net.loop.time() < net.limits_started_s + _LIMITS_RUN_S:
            await asyncio.sleep(random_source.expovariate(rate))
            _respond_with_limit(
                random_source.choice(net.up),
                f"i-{random_source.randrange(targets):010x}",
            )
            if net.limits_known_s is None and all(
                len(host.limits) == targets for host in net.up
            ):
                net.limits_known_s = net.loop.time() - net.limits_started_s

    context.actions.append(action)


def _respond_with_limit(host, target_id):
    """Let a host get a response in which a target states a limit."""
    observation = rate_limits.LimitObservation(
        target_id=target_id,
        incarnation=_INCARNATION,
        requests_per_s=3.6,
        observed_s=host.net.clock.now_s(),
    )
    if host.limits.record(
        observation, now_s=host.net.clock.now_s(), source="response"
    ):
        host.peers.announce_target_news(topology.Origin.STORE)


@when("{targets:d} targets say within 1 s to a host that they leave")
def say_leaving(context, targets):
    context.leaving_count = targets

    async def action(net):
        net.reset_counts()
        random_source = random.Random(4)
        #: Times from the response of a target until all hosts know of it.
        net.leaving_known_s = {}
        started_s = net.clock.now_s()
        said_s = {}
        while (elapsed_s := net.clock.now_s() - started_s) < _LEAVING_RUN_S:
            if len(said_s) < targets and elapsed_s >= len(said_s) / targets:
                name = f"i-{len(said_s):010x}"
                said_s[name] = net.clock.now_s()
                _say_leaving(random_source.choice(net.up), name)
            for name, time_s in said_s.items():
                if name not in net.leaving_known_s and all(
                    host.leaving.find(name, _INCARNATION) for host in net.up
                ):
                    net.leaving_known_s[name] = net.clock.now_s() - time_s
            await asyncio.sleep(0.01)
        assert len(said_s) == targets

    context.actions.append(action)


def _say_leaving(host, target_id):
    """Let a host get a response in which a target says that it leaves."""
    now_s = host.net.clock.now_s()
    host.leaving.add(
        leaving_targets.LeavingMark(
            target_id=target_id,
            incarnation=_INCARNATION,
            source=leaving_targets.Source.RESPONSE,
            marked_s=now_s,
        ),
        now_s,
    )
    host.peers.announce_target_news(topology.Origin.STORE)


@then(
    "each host knows that each of them leaves {bound_s:g} s after it was said"
)
def check_leaving_known(context, bound_s):
    known_s = ensure_run(context).leaving_known_s
    assert len(known_s) == context.leaving_count, known_s
    assert max(known_s.values()) <= bound_s, known_s


@then("no host sends more than {limit:d} bytes in any second of the next 8 s")
def check_sent_bytes(context, limit):
    net = ensure_run(context)
    largest = max(net.sent_bytes.values())
    assert largest <= limit, largest


@then("each host knows all limits after {limit_s:d} s")
def check_limits_known(context, limit_s):
    known_s = ensure_run(context).limits_known_s
    assert known_s is not None and known_s <= limit_s, known_s


@then("the new process knows all limits")
def check_new_process_limits(context):
    net = ensure_run(context)
    known = len(net.restarted_host.limits)
    assert known == len(net.up[0].limits), known
