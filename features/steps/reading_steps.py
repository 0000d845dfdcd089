import asyncio
import random

from behave import given
from behave import then
from behave import when

from features.support import reading_host
from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import coordinator
from trefoilstand.fleet import models
from trefoilstand.fleet import readers
from trefoilstand.fleet import replica
from trefoilstand.fleet import staleness_tracker
from trefoilstand.fleet import store
from trefoilstand.peers import membership


class CountingStore(store.Store):
    """Respond immediately and count the calls."""

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


def _members_by_rank():
    return sorted(
        (reading_host.make_member(number) for number in (1, 2, 3)),
        key=readers.rank,
    )


@given("a single host that starts {start}")
def single_host(context, start):
    context.reads_immediately = "no seed" not in start
    context.others = []
    context.own = _members_by_rank()[2]


@given("another host that ranks before it and does not respond")
def silent_host_ranked_before(context):
    context.others = _members_by_rank()[:2]


@given("another host that ranks after it and does not respond")
def silent_host_ranked_after(context):
    context.own, *context.others = _members_by_rank()[:2]


@when("it has run for {elapsed_ms:d} ms")
def run_for(context, elapsed_ms):
    async def run_coordinator(loop):
        clock = virtual_time.LoopClock(loop=loop)
        random_source = random.Random(1)
        members = membership.MemberTable(
            own=context.own, random_source=random_source, clock=clock
        )
        for member in context.others:
            members.apply(member, clock.now_s())
        context.peers = reading_host.SilentPeers(members=members)
        state_coordinator = coordinator.StateCoordinator(
            store=context.store,
            state=replica.Replica(),
            staleness=staleness_tracker.StalenessTracker(
                random_source=random_source
            ),
            members=members,
            peers=context.peers,
            random_source=random_source,
            clock=clock,
            reads_immediately=context.reads_immediately,
        )
        await state_coordinator.start()
        await asyncio.sleep(elapsed_ms / 1000)
        await state_coordinator.stop()

    context.store = CountingStore()
    virtual_time.run(run_coordinator)


@then("it has read the store {reads} and watched it {watches}")
def check_store_calls(context, reads, watches):
    call_counts = (context.store.reads, context.store.watches)
    assert call_counts[0] == (0 if reads == "never" else 1), call_counts
    assert (call_counts[1] == 0) == (watches == "never"), call_counts


@then("it has requested heartbeats only from others")
def check_requested_addresses(context):
    assert context.peers.requested_addresses, (
        "the host requested no heartbeat from any peer"
    )
    assert context.own.peer_address not in context.peers.requested_addresses, (
        context.peers.requested_addresses
    )
