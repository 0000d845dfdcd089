import dataclasses
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from features.support import scripted_http
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


@given("the history of a store with seed-drawn changes")
def history(context):
    context.verdicts = []


@when("copies take deltas late, twice and out of order")
def take_deltas(context):
    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(changes=_CHANGES, source=strategies.randoms())
    def check(changes, source):
        store = replica.Replica()
        copies = [replica.Replica() for _ in range(3)]
        last = [{} for _ in copies]
        for revision, (key, is_set) in enumerate(changes, 1):
            value = b"%d" % revision if is_set else None
            store.apply(
                _delta(revision - 1, revision, _item(key, revision, value))
            )
            for index, copy in enumerate(copies):
                origin = source.choice([store, *copies])
                if source.random() < 0.5:
                    copy.apply(origin.changes_since(copy.revision))
                    copy.apply(origin.changes_since(copy.revision))
                for item in copy.items():
                    known = last[index].get(item.key, 0)
                    assert item.revision >= known
                    last[index][item.key] = item.revision
        for copy in copies:
            copy.apply(store.changes_since(copy.revision))
            context.verdicts.append(
                sorted(copy.items(), key=lambda item: item.key)
                == sorted(store.items(), key=lambda item: item.key)
            )

    check()


@then("no key ever goes back")
def no_key_back(context):
    assert context.verdicts


@then("all copies end with the store's content")
def same_content(context):
    assert all(context.verdicts)


@given("a copy with keys a, b and c at revision 3")
def copy_abc(context):
    context.copy = replica.Replica()
    context.copy.apply(
        _delta(0, 3, *(_item(key, n) for n, key in enumerate("abc", 1)))
    )


@when("a snapshot at revision {revision:d} holds a and c")
def snapshot_ac(context, revision):
    context.copy.apply(
        _delta(0, revision, _item("a", 1), _item("c", 3), is_snapshot=True)
    )


@when("a snapshot at revision {revision:d} holds a")
def snapshot_a(context, revision):
    context.copy.apply(_delta(0, revision, _item("a", 1), is_snapshot=True))


@when("a delta from revision {after:d} to {up_to:d} sets d")
def delta_d(context, after, up_to):
    context.copy.apply(_delta(after, up_to, _item("d", up_to)))


@then("the copy holds {keys} at revision {revision:d}")
def holds(context, keys, revision):
    wanted = set(keys.replace(" and ", ", ").split(", "))
    assert {item.key for item in context.copy.items()} == wanted
    assert context.copy.revision == revision


def _record(incarnation=1, state=gateway_models.TargetState.READY):
    target = scripted_http.ScriptedTarget(target_id="t", behavior="whole")
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
def registered(context):
    context.registry = registry.TargetRegistry()
    context.registry.set(_record())
    for number in range(3):
        other = dataclasses.replace(_record(), target_id=f"other-{number}")
        context.registry.set(other)
    context.now_s = 100.0


@when("its entry disappears {when_}")
def disappears(context, when_):
    if when_.startswith("in an outage"):
        context.registry.record_outage(context.now_s)
    if "drained" in when_:
        context.registry.set(
            _record(state=gateway_models.TargetState.DRAINING)
        )
    context.registry.remove(["t"], context.now_s)
    if "returns" in when_:
        context.returns = True


@when("it reports that it drains and then that it is ready")
def drains_then_ready(context):
    context.registry.set(_record(state=gateway_models.TargetState.DRAINING))
    context.registry.set(_record())


@then("it gets new work: {first}, and 3 seconds later: {later}")
def gets_work(context, first, later):
    context.registry.expire(context.now_s)
    assert ("t" in context.registry.eligible_targets()) == (first == "yes")
    if getattr(context, "returns", False):
        context.registry.set(_record())
    context.registry.expire(context.now_s + 3)
    assert ("t" in context.registry.eligible_targets()) == (later == "yes")


@then("it gets new work as another incarnation")
def other_incarnation(context):
    context.registry.set(_record(incarnation=2))
    assert "t" in context.registry.eligible_targets()


@given("{hosts:d} hosts in {domains:d} failure domains")
def some_hosts(context, hosts, domains):
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
def agree(context, count):
    source = random.Random(3)
    views = set()
    for _ in range(10):
        seen = list(context.hosts)
        source.shuffle(seen)
        views.add(tuple(readers.choose_readers(seen)))
    assert len(views) == 1
    context.readers = views.pop()
    assert len(context.readers) == count


@then("the readers are in {count:d} failure domains")
def reader_domains(context, count):
    found = {
        host.failure_domain
        for host in context.hosts
        if host.peer_address in context.readers
    }
    assert len(found) == count


@then("the loss of the readers makes other hosts readers")
def other_readers(context):
    left = [
        host
        for host in context.hosts
        if host.peer_address not in context.readers
    ]
    chosen = readers.choose_readers(left)
    assert bool(chosen) == bool(left)
    assert not set(chosen) & set(context.readers)


@given("{count:d} hosts that were confirmed a moment ago")
def confirmed_hosts(context, count):
    context.ages = [
        staleness_tracker.StalenessTracker(random_source=random.Random(seed))
        for seed in range(count)
    ]
    for age in context.ages:
        age.confirm(10.0)


@then("none is stale after {age_ms:d} ms")
def none_stale(context, age_ms):
    assert not any(age.is_stale(10.0 + age_ms / 1000) for age in context.ages)


@then("all are stale after {age_ms:d} ms")
def all_stale(context, age_ms):
    assert all(age.is_stale(10.0 + age_ms / 1000) for age in context.ages)


@when("most entries of its service disappear at once")
def most_disappear(context):
    context.registry.remove(["t", "other-0", "other-1"], context.now_s)


@then("it gets new work for {seconds:f} s, but not after {limit:f} s")
def check_grace(context, seconds, limit):
    context.registry.expire(context.now_s + seconds)
    assert "t" in context.registry.eligible_targets()
    context.registry.expire(context.now_s + limit)
    assert "t" not in context.registry.eligible_targets()
