import random

from behave import given
from behave import then
from behave import when
from google.protobuf import message as protobuf_message

from features.support import gossip_net
from trefoilstand.decision import models as decision_models
from trefoilstand.peers import models
from trefoilstand.peers import peer_pb2
from trefoilstand.targets import models as targets_models
from trefoilstand.util import address as addresses


def _rounds(seconds):
    return int(seconds / gossip_net.ROUND_S)


def _all_alive(net):
    others = len(net.nodes) - 1
    return all(
        list(node.states().values()) == [models.MemberState.ALIVE] * others
        for node in net.nodes.values()
    )


@given("{count:d} entry hosts that lose {loss:d} percent of messages")
def make_net(context, count, loss, seed=5):
    context.net = gossip_net.GossipNet(count, seed, loss / 100)
    context.net.publish(gossip_net.name_of(0), 1)
    limit = 400
    assert context.net.run(limit, lambda: _same(context.net, 1)) is not None


@given(
    "{count:d} entry hosts that lose {loss:d} percent of messages "
    "with seed {seed:d}"
)
def make_seeded_net(context, count, loss, seed):
    make_net(context, count, loss, seed)


def _same(net, version):
    return all(
        node.configurations.version == version
        for node in net.nodes.values()
        if not node.is_frozen
    )


@when("a configuration is accepted by one of them")
def publish_one(context):
    context.net.publish(gossip_net.name_of(1), 2, targets=3)


@then("it is in force everywhere within {seconds:d} seconds")
def check_spread(context, seconds):
    net = context.net
    assert net.run(_rounds(seconds), lambda: _same(net, 2)) is not None


@when("they are parted for a minute while both sides get newer texts")
def part(context):
    net = context.net
    net.groups = {name: index % 2 for index, name in enumerate(net.names)}
    net.publish(gossip_net.name_of(0), 2, targets=3)
    net.run(_rounds(20))
    net.publish(gossip_net.name_of(1), 3, targets=4)
    net.run(_rounds(40))
    sides = {
        (net.groups[name], node.configurations.version)
        for name, node in net.nodes.items()
    }
    assert sides == {(0, 2), (1, 3)}, sides


@when("one host is frozen and one replaced meanwhile")
def freeze_and_replace(context):
    net = context.net
    net.nodes[gossip_net.name_of(3)].is_frozen = True
    net.run(_rounds(10))
    net.replace(gossip_net.name_of(4), incarnation=2)
    net.run(_rounds(5))
    net.groups = None
    net.run(_rounds(5))
    net.nodes[gossip_net.name_of(3)].is_frozen = False
    net.nodes[gossip_net.name_of(3)].members.restart_ages(net.clock.now_s())


@then("all hosts end with the newest text and no host went back")
def check_newest(context):
    net = context.net
    assert net.run(_rounds(30), lambda: _same(net, 3)) is not None
    for node in net.nodes.values():
        assert node.versions == sorted(node.versions)


@then("all hosts believe all others alive within {seconds:d} seconds")
def check_alive(context, seconds):
    net = context.net
    found = net.run(_rounds(seconds), lambda: _all_alive(net))
    assert found is not None, {
        name: node.states() for name, node in net.nodes.items()
    }


@when("one host is killed")
def kill(context):
    context.net.run(_rounds(10))
    del context.net.nodes[gossip_net.name_of(2)]


@then("all others believe it dead within {seconds:d} seconds")
def check_dead(context, seconds):
    net = context.net

    def is_dead():
        return all(
            node.states().get(gossip_net.name_of(2)) is models.MemberState.DEAD
            for node in net.nodes.values()
        )

    assert net.run(_rounds(seconds), is_dead) is not None


@when("one host is replaced by a process with a lower incarnation")
def replace_lower(context):
    context.net.run(_rounds(10))
    context.net.replace(gossip_net.name_of(2), incarnation=0)


@then("all others know the new process within {seconds:d} seconds")
def check_replaced(context, seconds):
    net = context.net
    process_id = net.nodes[gossip_net.name_of(2)].members.own.process_id

    def is_known():
        return all(
            (found := node.members.find_process(process_id)) is not None
            and found.state is models.MemberState.ALIVE
            for name, node in net.nodes.items()
            if name != gossip_net.name_of(2)
        )

    assert net.run(_rounds(seconds), is_known) is not None


@when("one host learns that a target is leaving")
def learn_leaving(context):
    context.net.nodes[gossip_net.name_of(1)].decisions.mark_leaving(
        "127.9.0.1:9000", "x", context.net.clock.now_s()
    )


@then("all hosts know it within {seconds:d} seconds")
def check_marks(context, seconds):
    net = context.net

    def is_known():
        return all(
            node.decisions.leaving_marks() for node in net.nodes.values()
        )

    assert net.run(_rounds(seconds), is_known) is not None


_LISTED = "127.9.0.1:9000"


def _gives_work(node):
    rows = node.decisions.explain("quotes", node.clock.now_s())
    return any(
        row.address == _LISTED and row.status == "eligible" for row in rows
    )


@when("one host reads in the list that a target is leaving")
def read_list(context):
    context.net.nodes[gossip_net.name_of(1)].list_leaving = {_LISTED}


@then("no host gives it new work after {seconds:d} seconds")
def check_listed(context, seconds):
    context.net.run(_rounds(seconds))
    for _ in range(40):
        context.net.run(1)
        working = [
            name
            for name, node in context.net.nodes.items()
            if _gives_work(node)
        ]
        assert not working, working


@then("all give it new work {seconds:d} seconds after the list calls it live")
def check_unlisted(context, seconds):
    context.net.nodes[gossip_net.name_of(1)].list_leaving = set()
    context.net.run(_rounds(seconds))
    assert all(_gives_work(node) for node in context.net.nodes.values())


@when("one host probes a target")
def probe(context):
    net = context.net
    net.nodes[gossip_net.name_of(1)].own_reports.add(
        "127.9.0.1:9000",
        targets_models.TargetStatus(
            incarnation="x",
            is_leaving=False,
            report=decision_models.LoadReport(
                in_flight=3, slots=6, observed_s=net.clock.now_s()
            ),
        ),
    )


@then(
    "at least {count:d} other hosts know its load within {seconds:d} seconds"
)
def check_reports(context, count, seconds):
    net = context.net

    def is_known():
        informed = [
            name
            for name, node in net.nodes.items()
            if node.decisions.explain("quotes", 0.0)[0].health.report
        ]
        return len(informed) >= count

    assert net.run(_rounds(seconds), is_known) is not None


@when("nothing happens for {seconds:d} seconds after they met")
def run_idle(context, seconds):
    net = context.net
    net.run(_rounds(60))
    net.bytes = 0
    net.run(_rounds(seconds))
    context.bytes_per_second = net.bytes / len(net.nodes) / seconds


@then("each host spends at most {limit:d} bytes a second")
def check_bytes(context, limit):
    assert context.bytes_per_second <= limit, context.bytes_per_second


@when("{count:d} messages of random fields and bytes arrive")
def send_random(context, count):
    node = context.net.nodes[gossip_net.name_of(0)]
    source = random.Random(9)
    context.before = node.configurations.order_key
    template = context.net.nodes[
        gossip_net.name_of(1)
    ].exchange.build_message()
    packed = template.SerializeToString()
    for _ in range(count):
        data = bytearray(packed)
        for _ in range(source.randrange(1, 6)):
            data[source.randrange(len(data))] = source.randrange(256)
        try:
            message = peer_pb2.Gossip.FromString(bytes(data))
        except protobuf_message.DecodeError:
            continue
        node.exchange.process_message(message, context.net.clock.now_s())
        node.exchange.build_message()
        for address in node.members.ping_addresses():
            addresses.parse_address(address)


@then("no error is raised and the text in force is the same")
def check_unchanged(context):
    node = context.net.nodes[gossip_net.name_of(0)]
    assert node.configurations.order_key == context.before
