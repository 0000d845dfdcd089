import random

from behave import given
from behave import then
from behave import when

from features.support import restored_host
from trefoilstand.fleet import replica


@given("a store with {changes}, of which a copy is made")
def make_store(context, changes):
    context.clock = restored_host.ManualClock()
    context.store = restored_host.Store(clock=context.clock)
    context.store.change(changes)
    context.copy = context.store.copy()
    context.copied_snapshot = context.store.snapshot()


@given("a host that reads it, and then {changes}")
def make_host(context, changes):
    context.host = restored_host.Host(clock=context.clock)
    context.host.read(context.store.snapshot())
    context.store.change(changes)
    context.host.follow(context.store)
    # An outage would keep removed targets by itself.
    context.host.run(3)
    context.position_before = context.host.replica.position


@given("a peer that {knows}")
def make_peer(context, knows):
    context.peer = restored_host.Host(clock=context.clock)
    context.peer_knows = knows
    if knows == "knows the same":
        context.peer.fetch(context.host)
    elif knows != "has just started":
        context.peer.read(context.copied_snapshot)


@when("the store comes back with {changes} before the host reads it")
def restore_store(context, changes):
    context.lost_snapshot = context.store.snapshot()
    context.lost_changes = context.store.changes_since(context.copy[0])
    context.store.restore(context.copy)
    context.store.change(changes)
    context.host.read(context.store.snapshot())


@when("it comes back from the same copy again, and the host {reads}")
def restore_again(context, reads):
    if reads != "reads it":
        # Only the second restoration is seen.
        restart = restored_host.Host(clock=context.clock)
        restart.read(context.copied_snapshot)
        restart.read(context.lost_changes)
        restart.run(3)
        context.host = restart
    context.store.restore(context.copy)
    context.host.read(context.store.snapshot())
    assert context.host.replica.era == 2


@when("the store then has {changes}")
def change_store(context, changes):
    context.host.run(1)
    context.store.change(changes)
    context.host.follow(context.store)


@when("the store is down for {seconds:d} s")
def stop_store(context, seconds):
    context.host.run(seconds, is_confirmed=False)


@when("{response} of the earlier era arrives late")
def receive_late_response(context, response):
    late_delta = (
        context.lost_snapshot
        if response == "a snapshot"
        else context.lost_changes
    )
    assert not context.host.read(late_delta)


@when("the store comes back and a change of the new era arrives first")
def receive_change_first(context):
    revision = context.host.replica.revision
    context.store.restore(context.copy)
    context.store.change("t4, t5, t6")
    assert not context.host.follow(context.store)
    assert context.store.revision > revision


@when("the peer fetches from the host and then reads a snapshot of the store")
def fetch_from_host(context):
    if context.peer_knows == "read the copy":
        context.peer.read(context.store.snapshot())
        context.store.change("other")
        context.host.read(context.store.snapshot())
    assert context.peer.fetch(context.host)
    context.store.change("other")
    context.peer.read(context.store.snapshot())


@then("the host holds {expected}")
def check_held(context, expected):
    assert context.host.describe() == expected, context.host.describe()


@then("{seconds:d} s later it holds {expected}")
def check_held_later(context, seconds, expected):
    context.host.run(seconds)
    assert context.host.describe() == expected, context.host.describe()


def _order_parts(text):
    return sorted(text.split(", "))


@then("the peer holds {expected}")
def check_peer(context, expected):
    held = context.peer.describe()
    assert _order_parts(held) == _order_parts(expected), held


@then("{seconds:d} s later the peer holds {expected}")
def check_peer_later(context, seconds, expected):
    context.peer.run(seconds)
    check_peer(context, expected)


@then("its position is era 1 at the revision of the copy")
def check_new_position(context):
    assert context.host.replica.position == (1, context.copy[0])


@then("its position is era 0 at the revision before")
def check_old_position(context):
    assert context.host.replica.position == context.position_before


@given("{count:d} stores with seeded random changes, copies and restorations")
def plan_histories(context, count):
    context.seeds = range(count)


@when("{count:d} hosts read them and fetch from each other in random order")
def run_histories(context, count):
    context.reverted = []
    context.differing = []
    for seed in context.seeds:
        random_source = random.Random(seed)
        store = restored_host.Store(clock=restored_host.ManualClock())
        store.revision = 0
        replicas = [replica.Replica() for _ in range(count)]
        copies = [store.copy()]
        for _ in range(60):
            kind = random_source.random()
            if kind < 0.5:
                restored_host.change_randomly(store, random_source)
            elif kind < 0.55:
                copies.append(store.copy())
            elif kind < 0.58:
                store.restore(random_source.choice(copies[-2:]))
                copies = [store.copy()]
            else:
                reader = random_source.choice(replicas)
                position = reader.position
                reader.apply(
                    restored_host.choose_delta(
                        reader, store, replicas, random_source
                    )
                )
                if reader.position < position:
                    context.reverted.append(seed)
        if not _converge(store, replicas, random_source):
            context.differing.append(seed)


def _converge(store, replicas, random_source):
    """Write all keys again; return whether all replicas have the content."""
    for reader in replicas:
        reader.apply(store.snapshot())
    restored_host.change_all(store, random_source)
    first, second, *others = replicas
    first.apply(store.snapshot())
    second.apply(store.changes_since(second.revision))
    for other in others:
        other.apply(first.changes_since(other.position))
    expected = {item.key: item.value for item in store.snapshot().items}
    for reader in replicas:
        reader.expire_lost()
    return all(
        {item.key: item.value for item in reader.items()} == expected
        for reader in replicas
    )


@then("no position goes back")
def check_no_reversion(context):
    assert not context.reverted, context.reverted[:5]


@then("all hosts have the store's content once all keys are written again")
def check_converged(context):
    assert not context.differing, context.differing[:5]
