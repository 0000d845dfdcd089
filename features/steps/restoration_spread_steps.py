import asyncio
import random

from behave import given
from behave import then
from behave import when

from features.steps import spread_steps
from features.support import reading_host
from features.support import restored_host
from trefoilstand.fleet import codec
from trefoilstand.fleet import heartbeat
from trefoilstand.fleet import leaving_targets
from trefoilstand.fleet import models
from trefoilstand.fleet import rate_limits
from trefoilstand.fleet import replica
from trefoilstand.fleet import staleness_tracker
from trefoilstand.fleet import topology
from trefoilstand.peers import membership
from trefoilstand.peers import peer_pb2


@when("a reader takes {count:d} changes from the store")
def take_changes(context, count):
    async def action(net):
        for revision in range(2, 2 + count):
            net.readers()[0].apply_store_change(revision)
            await net.run(0.25)

    context.actions.append(action)


@when("nothing fails")
def fail_nothing(context):
    return


@when("the reader dies after it has told one host")
def plan_reader_death(context):
    context.plan_reader_death = True


@when("one domain is cut off for {seconds:d} s from here on")
def cut_domain(context, seconds):
    async def action(net):
        reader_domains = {host.domain for host in net.readers()}
        net.cut_domains = {
            next(h.domain for h in net.up if h.domain not in reader_domains)
        }
        net.loop.call_later(seconds, net.cut_domains.clear)

    context.actions.append(action)


@when("a reader reads the store, which came back from a copy at revision 5")
def read_restored_store(context):
    is_dying = getattr(context, "plan_reader_death", False)

    async def action(net):
        reader = net.readers()[0]
        keys = [f"k{number}" for number in range(1, 6)]
        reader.state.apply(restored_host.make_snapshot(1, 5, *keys))
        reader.state.expire_lost()
        assert reader.state.position == (1, 5)
        if is_dying:
            told = reader.peers.view.near_hosts
            reader.peers._send_heartbeat(next(iter(told)), wants_reply=False)
            await asyncio.sleep(0.05)
            await reader.stop()
        else:
            reader.confirm()
            reader.peers.announce(topology.Origin.STORE)

    context.actions.append(action)


@then("all hosts have the content of the restored store")
def check_restored_content(context):
    net = spread_steps.ensure_run(context)
    differing = {}
    for host in net.up:
        host.state.expire_lost()
        keys = {item.key for item in host.state.items()}
        if host.state.position != (1, 5) or keys != {
            f"k{number}" for number in range(1, 6)
        }:
            differing[host.address] = (host.state.position, sorted(keys))
    assert not differing, (len(differing), list(differing.items())[:3])


class _Clock:
    def now_s(self):
        return 100.0


def _make_handler(number, era, revision):
    random_source = random.Random(number)
    state = replica.Replica()
    state.apply(restored_host.make_snapshot(era, revision, "a", value=b"v"))
    staleness = staleness_tracker.StalenessTracker(random_source=random_source)
    handler = heartbeat.HeartbeatHandler(
        members=membership.MemberTable(
            own=reading_host.make_member(number),
            random_source=random_source,
            clock=_Clock(),
        ),
        state=state,
        staleness=staleness,
        limits=rate_limits.RateLimitTable(random_source=random_source),
        leaving=leaving_targets.LeavingTargets(random_source=random_source),
        random_source=random_source,
    )
    return handler, staleness, state


@given("a host in era {era:d} at revision 7, not confirmed for 5 s")
def make_heartbeat_host(context, era):
    context.handler, context.staleness, context.state = _make_handler(
        1, era, 7
    )
    context.staleness.confirm(95.0)


@when("a peer in era {era} at revision {revision:d} confirms its state")
def receive_heartbeat(context, era, revision):
    handler, staleness, _ = _make_handler(
        2, 0 if era == "no" else int(era), revision
    )
    staleness.confirm(100.0)
    data = handler.build_message("10.0.0.1:1", 100.0, wants_reply=False)
    message = peer_pb2.Heartbeat.FromString(data)
    if era == "no":
        message.ClearField("era")
    context.result = context.handler.process_message(
        message.SerializeToString(), 100.0
    )


@then("the host {is_behind}, the peer {peer_is_behind}")
def check_behind(context, is_behind, peer_is_behind):
    assert context.result.is_replica_behind == (is_behind == "is behind")
    assert context.result.is_sender_behind == (peer_is_behind == "is behind")


@then("the host's state is {confirmed}")
def check_confirmed(context, confirmed):
    is_confirmed = context.staleness.confirmed_s > 95.0
    assert is_confirmed == (confirmed == "confirmed")


@then("its heartbeats and transfers have no bytes for the era")
def check_no_era_bytes(context):
    data = context.handler.build_message("x:1", 100.0, wants_reply=True)
    message = peer_pb2.Heartbeat.FromString(data)
    message.ClearField("era")
    assert len(data) == message.ByteSize()
    delta = codec.encode_delta(context.state.changes_since(models.NO_POSITION))
    size = delta.ByteSize()
    delta.ClearField("era")
    for item in delta.items:
        for field in ("eras_before", "origin_era", "origin_revision"):
            item.ClearField(field)
    assert delta.items and size == delta.ByteSize()
