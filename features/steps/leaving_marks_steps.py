import logging
import random

from behave import given
from behave import then
from behave import when

from features.support import reading_host
from features.support import restored_host
from trefoilstand.fleet import heartbeat
from trefoilstand.fleet import leaving_targets
from trefoilstand.fleet import rate_limits
from trefoilstand.peers import membership

_TARGETS = "t0, t1, t2"


class _LeaveLog(logging.Handler):
    """Keep the sources of logged notices about targets that leave."""

    def __init__(self):
        super().__init__()
        self.sources = []

    def emit(self, record):
        if record.getMessage() == "target_leave_noticed":
            self.sources.append(str(record.source))


def _make_host(context):
    host = restored_host.Host(clock=context.clock)
    host.follow(context.store)
    return host


def _mark(host, source, target_id="t1", incarnation=1):
    now_s = host.clock.now_s()
    host.state.registry.leaving.add(
        leaving_targets.LeavingMark(
            target_id=target_id,
            incarnation=incarnation,
            source=source,
            marked_s=now_s,
        ),
        now_s,
    )


def _make_handler(host, number):
    random_source = random.Random(number)
    return heartbeat.HeartbeatHandler(
        members=membership.MemberTable(
            own=reading_host.make_member(number),
            random_source=random_source,
            clock=host.clock,
        ),
        state=host.replica,
        staleness=host.staleness,
        limits=rate_limits.RateLimitTable(random_source=random_source),
        leaving=host.state.registry.leaving,
        random_source=random_source,
    )


@given("a host with the targets t0, t1 and t2")
def one_host(context):
    context.clock = restored_host.ManualClock()
    context.store = restored_host.Store(clock=context.clock)
    context.store.change(_TARGETS)
    context.older_copy = context.store.copy()
    context.host = _make_host(context)


@given("a host whose target t1 has said in a response that it leaves")
def host_with_mark(context):
    one_host(context)
    context.peer = _make_host(context)
    _mark(context.host, leaving_targets.Source.RESPONSE)
    check_targets(context, "t0, t2")


@given("two hosts with the targets t0, t1 and t2")
def two_hosts(context):
    one_host(context)
    context.peer = _make_host(context)
    context.handlers = [
        _make_handler(host, number)
        for number, host in enumerate((context.host, context.peer))
    ]


@when("the store shows {changes}")
def change_store(context, changes):
    if changes.startswith("nothing for"):
        context.host.run(float(changes.split()[2]))
        return
    if changes == "its older copy":
        context.store.change("t1 draining")
        context.host.follow(context.store)
        context.store.restore(context.older_copy)
        context.host.read(context.store.snapshot())
        context.host.run(5)
        return
    for change in changes.split(" and then "):
        context.store.change(change)
        context.host.follow(context.store)


@when("it fetches an older list from a peer")
def fetch_from_peer(context):
    context.peer.replica.apply(
        restored_host.make_snapshot(
            0,
            context.host.replica.revision + 1,
            *(f"servers/t{number}" for number in range(3)),
            value=reading_host.make_entry(1),
        )
    )
    assert context.host.fetch(context.peer)


@when("{target_id} is said to leave by {sources}")
def say_leaving(context, target_id, sources):
    logger = logging.getLogger("absl")
    context.log = _LeaveLog()
    logger.addHandler(context.log)
    try:
        for source in sources.split(", "):
            if source == "store":
                change_store(context, f"{target_id} draining")
            elif source == "removal":
                change_store(context, f"no {target_id}")
            else:
                _mark(context.host, leaving_targets.Source(source), target_id)
    finally:
        logger.removeHandler(context.log)


@when("the first hears in a response that t1 leaves")
def hear_response(context):
    _mark(context.host, leaving_targets.Source.RESPONSE)


@when("the first hears in a response that t1 leaves and reads it in the store")
def hear_response_and_read(context):
    hear_response(context)
    context.store.change("t1 draining")
    context.host.follow(context.store)


@when("{count:d} targets come, say that they leave and go within {length:d} s")
def replace_targets(context, count, length):
    for number in range(count):
        name = f"t{number + 10}"
        context.store.change(name)
        context.host.follow(context.store)
        _mark(context.host, leaving_targets.Source.RESPONSE, name)
        context.store.change(f"no {name}")
        context.host.follow(context.store)
        context.host.run(length / count)


@when("{count:d} targets say to the first that they leave")
def hear_many(context, count):
    for number in range(count):
        _mark(context.host, leaving_targets.Source.RESPONSE, f"t{number + 10}")


@then("it looks at no more than {count:d} of them for a heartbeat")
def check_report_count(context, count):
    reports = context.host.state.registry.leaving.choose_reports(
        10_000, context.clock.now_s()
    )
    assert len(reports) <= count, len(reports)


@then("the host uses {targets}")
def check_targets(context, targets):
    assert context.host.describe() == targets, context.host.describe()


@then("one line of the log names {source}")
def check_log(context, source):
    assert context.log.sources == [source], context.log.sources


def _exchange(context):
    """Send a heartbeat from the first host to the second."""
    sender, receiver = context.handlers
    now_s = context.clock.now_s()
    return receiver.process_message(
        sender.build_message("10.0.0.9:1", now_s, wants_reply=False), now_s
    )


def _count_told(context):
    data = context.handlers[0].build_message(
        "10.0.0.9:1", context.clock.now_s(), wants_reply=False
    )
    return len(heartbeat.peer_pb2.Heartbeat.FromString(data).leaving_targets)


@then("the next heartbeat makes the second use {targets}")
def check_told(context, targets):
    result = _exchange(context)
    assert result.has_target_news
    assert context.peer.describe() == targets, context.peer.describe()
    assert not _exchange(context).has_target_news


@then("heartbeats tell it until 60 s have passed and no longer")
def check_told_later(context):
    context.host.run(54)
    assert _count_told(context) == 1
    context.host.run(8)
    assert _count_told(context) == 0


@then("its heartbeats do not tell it")
def check_not_told(context):
    assert _count_told(context) == 0


@then("the host holds marks of at most {count:d} of them")
def check_mark_count(context, count):
    held = len(context.host.state.registry.leaving)
    assert held <= count, held
