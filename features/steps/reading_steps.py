import asyncio
import random

from behave import given
from behave import then
from behave import when

from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import coordinator
from trefoilstand.fleet import models
from trefoilstand.fleet import readers
from trefoilstand.fleet import replica
from trefoilstand.fleet import staleness_tracker
from trefoilstand.fleet import store
from trefoilstand.fleet import topology
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models


class CountingStore(store.Store):
    """Answer at once and count the calls."""

    def __init__(self):
        self.reads = 0
        self.watches = 0

    async def read_all(self):
        self.reads += 1
        return models.Delta(
            after_revision=0, up_to_revision=5, items=(), is_snapshot=True
        )

    async def watch(self, after_revision, wait_s):
        self.watches += 1
        await asyncio.sleep(wait_s)
        return models.Delta(after_revision=5, up_to_revision=5, items=())

    def close(self):
        return


class SilentPeers:
    """Peers that take everything and say nothing."""

    def __init__(self, *, members, asked):
        self._members = members
        self._asked = asked

    @property
    def view(self):
        return topology.make_topology(
            self._members.own, self._members.live_members()
        )

    def announce(self, origin):
        return

    def announce_confirmation(self, origin):
        return

    def request_heartbeat(self, address):
        self._asked.append(address)


def _member(number):
    return peers_models.Member(
        peer_address=f"10.0.0.{number}:1",
        caller_address=f"10.0.0.{number}:2",
        failure_domain="a",
        process_id=f"p{number}",
        incarnation=1,
    )


def _by_rank():
    return sorted((_member(number) for number in (1, 2, 3)), key=readers.rank)


@given("a host alone that starts {start}")
def alone(context, start):
    context.reads_immediately = "no seed" not in start
    context.others = []
    context.own = _by_rank()[2]
    context.asked = []


@given("another host that ranks before it and is silent")
def another(context):
    context.others = _by_rank()[:2]


@given("another host that ranks after it and is silent")
def another_after(context):
    context.own, *context.others = _by_rank()[:2]


@when("it has run for {elapsed_ms:d} ms")
def run_for(context, elapsed_ms):
    async def play(loop):
        clock = virtual_time.LoopClock(loop=loop)
        source = random.Random(1)
        members = membership.MemberTable(
            own=context.own, random_source=source, clock=clock
        )
        for member in context.others:
            members.apply(member, clock.now_s())
        reader = coordinator.StateCoordinator(
            store=context.store,
            state=replica.Replica(),
            staleness=staleness_tracker.StalenessTracker(random_source=source),
            members=members,
            peers=SilentPeers(members=members, asked=context.asked),
            random_source=source,
            clock=clock,
            reads_immediately=context.reads_immediately,
        )
        await reader.start()
        await asyncio.sleep(elapsed_ms / 1000)
        await reader.stop()

    context.store = CountingStore()
    virtual_time.run(play)


@then("it has read the store {reads} and watched it {watches}")
def check_calls(context, reads, watches):
    found = (context.store.reads, context.store.watches)
    assert found[0] == (0 if reads == "never" else 1), found
    assert (found[1] == 0) == (watches == "never"), found


@then("it has asked only others")
def asked_others(context):
    assert context.asked, "nobody was asked"
    assert context.own.peer_address not in context.asked, context.asked
