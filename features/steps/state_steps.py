import dataclasses
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from features.support import scripted_http
from trefoilstand.experiments import gateway_model
from trefoilstand.fleet import leaving_targets
from trefoilstand.fleet import models
from trefoilstand.fleet import readers
from trefoilstand.fleet import replica
from trefoilstand.fleet import staleness_tracker
from trefoilstand.gateway import models as gateway_models
from trefoilstand.gateway import registry
from trefoilstand.peers import models as peers_models


def _item(key, revision, value=b"x"):
    return models.Item(key=key, revision=revision, value=value)


def _delta(after, up_to, *items, is_snapshot=False):
    return models.Delta(
        after_revision=after,
        up_to_revision=up_to,
        items=tuple(items),
        is_snapshot=is_snapshot,
    )


_CHANGES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abcdef"), strategies.booleans()
    ),
    min_size=1,
    max_size=30,
)


@given("a store with a seeded random history of changes")
def random_history(context):
    context.content_matches = []


@when("replicas apply deltas late, twice and out of order")
def apply_deltas(context):
    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(changes=_CHANGES, random_source=strategies.randoms())
    def check(changes, random_source):
        store = replica.Replica()
        replicas = [replica.Replica() for _ in range(3)]
        last_revisions = [{} for _ in replicas]
        for revision, (key, is_set) in enumerate(changes, 1):
            value = b"%d" % revision if is_set else None
            store.apply(
                _delta(revision - 1, revision, _item(key, revision, value))
            )
            for index, copy in enumerate(replicas):
                origin = random_source.choice([store, *replicas])
                if random_source.random() < 0.5:
                    copy.apply(origin.changes_since(copy.position))
                    copy.apply(origin.changes_since(copy.position))
                for item in copy.items():
                    last_revision = last_revisions[index].get(item.key, 0)
                    assert item.revision >= last_revision
                    last_revisions[index][item.key] = item.revision
        for copy in replicas:
            copy.apply(store.changes_since(copy.position))
            context.content_matches.append(
                sorted(copy.items(), key=lambda item: item.key)
                == sorted(store.items(), key=lambda item: item.key)
            )

    check()


@then("the revision of a key never decreases")
def check_revisions_increase(context):
    assert context.content_matches


@then("all replicas end with the store's content")
def check_same_content(context):
    assert all(context.content_matches)


@given("a replica with keys a, b and c at revision 3")
def make_replica_abc(context):
    context.replica = replica.Replica()
    context.replica.apply(
        _delta(0, 3, *(_item(key, n) for n, key in enumerate("abc", 1)))
    )


@when("a snapshot at revision {revision:d} holds a and c")
def apply_snapshot_ac(context, revision):
    context.replica.apply(
        _delta(0, revision, _item("a", 1), _item("c", 3), is_snapshot=True)
    )


@when("a snapshot at revision {revision:d} holds a")
def apply_snapshot_a(context, revision):
    context.replica.apply(_delta(0, revision, _item("a", 1), is_snapshot=True))


@when("a delta from revision {after:d} to {up_to:d} sets d")
def apply_delta_d(context, after, up_to):
    context.replica.apply(_delta(after, up_to, _item("d", up_to)))


@then("the replica holds {keys} at revision {revision:d}")
def check_replica(context, keys, revision):
    expected_keys = set(keys.replace(" and ", ", ").split(", "))
    assert {item.key for item in context.replica.items()} == expected_keys
    assert context.replica.revision == revision


def _record(incarnation=1, state=gateway_models.TargetState.READY):
    target = scripted_http.ScriptedTarget(target_id="t", behaviour="whole")
    target.port = 1
    record = target.record(target_state=state)
    return gateway_models.TargetRecord(
        **{
            name: getattr(record, name)
            for name in record.__dataclass_fields__
            if name != "incarnation"
        },
        incarnation=incarnation,
    )


@given("a registered target")
def register_target(context):
    context.now_s = 100.0
    context.staleness = staleness_tracker.StalenessTracker(
        random_source=random.Random(1)
    )
    context.staleness.confirm(context.now_s)
    context.registry = registry.TargetRegistry(
        leaving=leaving_targets.LeavingTargets(random_source=random.Random(1)),
        staleness=context.staleness,
        drain_s=2.0,
    )
    context.registry.set(_record(), context.now_s)
    for number in range(3):
        other = dataclasses.replace(_record(), target_id=f"other-{number}")
        context.registry.set(other, context.now_s)


@when("its entry disappears {when_}")
def remove_entry(context, when_):
    if when_.startswith("in an outage"):
        context.now_s += 4.0
        context.staleness.confirm(context.now_s)
    if "drained" in when_:
        context.registry.set(
            _record(state=gateway_models.TargetState.DRAINING), context.now_s
        )
    context.registry.remove(["t"], context.now_s)
    if "returns" in when_:
        context.entry_returns = True


@when("it reports draining and then ready")
def report_draining_then_ready(context):
    context.registry.set(
        _record(state=gateway_models.TargetState.DRAINING), context.now_s
    )
    context.registry.set(_record(), context.now_s)


@then("it gets new work: {first}, and 3 seconds later: {later}")
def check_new_work(context, first, later):
    context.registry.expire(context.now_s)
    assert ("t" in context.registry.eligible_targets()) == (first == "yes")
    if getattr(context, "entry_returns", False):
        context.registry.set(_record(), context.now_s)
    for number in range(1, 7):
        context.staleness.confirm(context.now_s + number / 2)
    context.registry.expire(context.now_s + 3)
    assert ("t" in context.registry.eligible_targets()) == (later == "yes")


@then("it gets new work as another incarnation")
def check_other_incarnation(context):
    context.registry.set(_record(incarnation=2), context.now_s)
    assert "t" in context.registry.eligible_targets()


@given("{hosts:d} hosts in {domains:d} failure domains")
def make_hosts(context, hosts, domains):
    context.hosts = [
        peers_models.Member(
            peer_address=f"10.0.0.{number}:1",
            caller_address=f"10.0.0.{number}:2",
            failure_domain=f"d{number % domains}",
            process_id=f"p{number}",
            incarnation=number,
        )
        for number in range(hosts)
    ]


@then("all hosts agree on {count:d} readers")
def check_readers_agree(context, count):
    random_source = random.Random(3)
    views = set()
    for _ in range(10):
        shuffled_hosts = list(context.hosts)
        random_source.shuffle(shuffled_hosts)
        views.add(tuple(readers.choose_readers(shuffled_hosts)))
    assert len(views) == 1
    context.readers = views.pop()
    assert len(context.readers) == count


@then("the readers are in {count:d} failure domains")
def check_reader_domains(context, count):
    domains = {
        host.failure_domain
        for host in context.hosts
        if host.peer_address in context.readers
    }
    assert len(domains) == count


@then("the loss of the readers makes other hosts readers")
def check_other_readers(context):
    remaining_hosts = [
        host
        for host in context.hosts
        if host.peer_address not in context.readers
    ]
    new_readers = readers.choose_readers(remaining_hosts)
    assert bool(new_readers) == bool(remaining_hosts)
    assert not set(new_readers) & set(context.readers)


@given("{count:d} hosts whose state was just confirmed")
def confirmed_hosts(context, count):
    context.trackers = [
        staleness_tracker.StalenessTracker(random_source=random.Random(seed))
        for seed in range(count)
    ]
    for tracker in context.trackers:
        tracker.confirm(10.0)


@then("none is stale after {age_ms:d} ms")
def check_none_stale(context, age_ms):
    assert not any(
        tracker.is_stale(10.0 + age_ms / 1000) for tracker in context.trackers
    )


@then("all are stale after {age_ms:d} ms")
def check_all_stale(context, age_ms):
    assert all(
        tracker.is_stale(10.0 + age_ms / 1000) for tracker in context.trackers
    )


@when("most entries of its service disappear at once")
def remove_most_entries(context):
    context.registry.remove(["t", "other-0", "other-1"], context.now_s)


@then("it gets new work for {seconds:f} s, but not after {limit:f} s")
def check_removal_delay(context, seconds, limit):
    context.registry.expire(context.now_s + seconds)
    assert "t" in context.registry.eligible_targets()
    context.registry.expire(context.now_s + limit)
    assert "t" not in context.registry.eligible_targets()


@given("a target that has announced in incarnation {number:d} that it leaves")
def target_left(context, number):
    context.registry = gateway_model.make_registry()
    scripted = scripted_http.ScriptedTarget(target_id="t", behaviour="whole")
    scripted.port = 1
    context.record = dataclasses.replace(scripted.record(), incarnation=number)
    context.registry.set(context.record, 0.0)
    context.registry.set(
        dataclasses.replace(
            context.record, state=gateway_models.TargetState.DRAINING
        ),
        0.0,
    )
    assert not context.registry.eligible_targets()


@when("it is registered as ready in incarnation {number:d}")
def register_again(context, number):
    context.registry.set(
        dataclasses.replace(context.record, incarnation=number), 0.0
    )


@then("it {gets} new requests")
def check_eligible(context, gets):
    assert bool(context.registry.eligible_targets()) == (gets == "gets")
