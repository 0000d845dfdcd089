import asyncio

from behave import given
from behave import then
from behave import when

from features.support import heartbeat_fleet
from trefoilstand.experiments import virtual_time


@given("a fleet of {hosts:d} hosts in {domains:d} domains")
def some_hosts(context, hosts, domains):
    context.plan = {"hosts": hosts, "domains": domains}
    context.acts = []
    context.checks = []


@given("a network that loses {loss:d} of 100 datagrams, seed {seed:d}")
def losses(context, loss, seed):
    context.plan["loss"] = loss / 100
    context.plan["seed"] = seed


async def play(context, loop):
    """Start the hosts and do what the steps asked for."""
    net = heartbeat_fleet.Net(loop=loop, **context.plan)
    await net.start()
    for act in context.acts:
        await act(net)
    return net


@when("they have run for {seconds:d} s")
@when("they run on for {seconds:d} s")
def run_on(context, seconds):
    async def act(net):
        for host in net.readers():
            if not host.state.revision:
                host.change(1)
        net.reset_counts()
        net.elapsed_s = seconds
        await net.run(seconds)

    context.acts.append(act)


@when("a reader takes a change from the store")
def change(context):
    async def act(net):
        net.reset_counts()
        net.readers()[0].change(2)

    context.acts.append(act)


@when("the primary relays that do not read die")
def relays_die(context):
    async def act(net):
        view = net.up[0].peers.view
        reading = {host.address for host in net.readers()}
        for relays in view.relays.values():
            if relays[0] not in reading:
                await net.hosts[relays[0]].stop()

    context.acts.append(act)


@when("a host starts again")
def starts_again(context):
    async def act(net):
        old = net.up[-1]
        await old.stop()
        number = len(net.hosts) - 1
        net.reset_counts()
        net.restarted = net.add(number, old.domain, 2)
        net.restarted.start()

    context.acts.append(act)


@when("all hosts of a failure domain die")
def domain_dies(context):
    async def act(net):
        reading = {host.domain for host in net.readers()}
        lost = next(
            host.domain for host in net.up if host.domain not in reading
        )
        for host in net.up:
            if host.domain == lost:
                await host.stop()

    context.acts.append(act)


def finish(context):
    """Play once and return the network."""
    if not hasattr(context, "net"):
        context.net = virtual_time.run(lambda loop: play(context, loop))
    return context.net


@then("all hosts have it after {limit_ms:d} ms")
def all_have_it(context, limit_ms):
    async def act(net):
        net.late = limit_ms
        if limit_ms < 250:
            await asyncio.sleep(limit_ms / 1000)
        else:
            await net.run(limit_ms / 1000)
        net.missing = [
            host.address for host in net.up if host.state.revision < 2
        ]

    context.acts.append(act)
    net = finish(context)
    assert not net.missing, net.missing


@then("it crossed failure domains at most {crossings:d} times")
def crossings(context, crossings):
    assert context.net.far_messages <= crossings, context.net.far_messages


@then("at most {limit:d} bytes a second crossed failure domains")
def far_bytes(context, limit):
    net = finish(context)
    assert net.far_bytes / net.elapsed_s <= limit, net.far_bytes


@then("each knows all others")
def all_known(context):
    net = finish(context)
    alive = {host.address for host in net.up}
    wrong = {
        host.address: len(alive ^ found)
        for host in net.up
        if (
            found := {m.peer_address for m in host.members.live_members()}
            | {host.address}
        )
        != alive
    }
    assert not wrong, wrong


@then("the new process fetched nothing from other failure domains")
def nothing_far(context):
    assert context.net.restarted.state.revision == 2
    source = context.net.restarted
    assert source.transfers.transfer_count <= 1, (
        source.transfers.transfer_count
    )
