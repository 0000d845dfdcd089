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


def _round_count(seconds):
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
    context.net.publish(gossip_net.host_address(0), 1)
    max_rounds = 400
    assert (
        context.net.run(max_rounds, lambda: _all_at_version(context.net, 1))
        is not None
    )


@given(
    "{count:d} entry hosts that lose {loss:d} percent of messages "
    "with seed {seed:d}"
)
def make_seeded_net(context, count, loss, seed):
    make_net(context, count, loss, seed)


def _all_at_version(net, version):
    return all(
        node.configurations.version == version
        for node in net.nodes.values()
        if not node.is_frozen
    )


@when("one of them accepts a configuration")
def publish_version_2(context):
    context.net.publish(gossip_net.host_address(1), 2, targets=3)


@then(
    "the new configuration is active on all hosts within {seconds:d} seconds"
)
def check_in_force(context, seconds):
    net = context.net
    assert (
        net.run(_round_count(seconds), lambda: _all_at_version(net, 2))
        is not None
    )


@when("they are partitioned for a minute while both sides get newer texts")
def partition(context):
    net = context.net
    net.groups = {name: index % 2 for index, name in enumerate(net.names)}
    net.publish(gossip_net.host_address(0), 2, targets=3)
    net.run(_round_count(20))
    net.publish(gossip_net.host_address(1), 3, targets=4)
    net.run(_round_count(40))
    versions_by_side = {
        (net.groups[name], node.configurations.version)
        for name, node in net.nodes.items()
    }
    assert versions_by_side == {(0, 2), (1, 3)}, versions_by_side


@when("one host is frozen and one is replaced meanwhile")
def freeze_and_replace(context):
    net = context.net
    net.nodes[gossip_net.host_address(3)].is_frozen = True
    net.run(_round_count(10))
    net.replace(gossip_net.host_address(4), incarnation=2)
    net.run(_round_count(5))
    net.groups = None
    net.run(_round_count(5))
    net.nodes[gossip_net.host_address(3)].is_frozen = False
    net.nodes[gossip_net.host_address(3)].members.restart_ages(
        net.clock.now_s()
    )


@then("all hosts end with the newest text and no version decreased")
def check_newest_text(context):
    net = context.net
    assert (
        net.run(_round_count(30), lambda: _all_at_version(net, 3)) is not None
    )
    for node in net.nodes.values():
        assert node.versions == sorted(node.versions)


@then("all hosts see all others as alive within {seconds:d} seconds")
def check_all_alive(context, seconds):
    net = context.net
    rounds_taken = net.run(_round_count(seconds), lambda: _all_alive(net))
    assert rounds_taken is not None, {
        name: node.states() for name, node in net.nodes.items()
    }


@when("one host is killed")
def kill_host(context):
    context.net.run(_round_count(10))
    del context.net.nodes[gossip_net.host_address(2)]


@then("all others see it as dead within {seconds:d} seconds")
def check_seen_dead(context, seconds):
    net = context.net

    def is_dead():
        return all(
            node.states().get(gossip_net.host_address(2))
            is models.MemberState.DEAD
            for node in net.nodes.values()
        )

    assert net.run(_round_count(seconds), is_dead) is not None


@when("one host is replaced by a process with a lower incarnation")
def replace_with_lower_incarnation(context):
    context.net.run(_round_count(10))
    context.net.replace(gossip_net.host_address(2), incarnation=0)


@then("all others see the new process as alive within {seconds:d} seconds")
def check_replacement_alive(context, seconds):
    net = context.net
    process_id = net.nodes[gossip_net.host_address(2)].members.own.process_id

    def is_known():
        return all(
            (member := node.members.find_process(process_id)) is not None
            and member.state is models.MemberState.ALIVE
            for name, node in net.nodes.items()
            if name != gossip_net.host_address(2)
        )

    assert net.run(_round_count(seconds), is_known) is not None


@when("one host learns that a target is leaving")
def mark_target_leaving(context):
    context.net.nodes[gossip_net.host_address(1)].decisions.mark_leaving(
        "127.9.0.1:9000", "x", context.net.clock.now_s()
    )


@then("all hosts know it within {seconds:d} seconds")
def check_leaving_marks(context, seconds):
    net = context.net

    def is_known():
        return all(
            node.decisions.leaving_marks() for node in net.nodes.values()
        )

    assert net.run(_round_count(seconds), is_known) is not None


_LISTED_ADDRESS = "127.9.0.1:9000"


def _sends_work(node):
    rows = node.decisions.explain("quotes", node.clock.now_s())
    return any(
        row.address == _LISTED_ADDRESS and row.status == "eligible"
        for row in rows
    )


@when("one host finds a target listed as leaving")
def list_as_leaving(context):
    context.net.nodes[gossip_net.host_address(1)].list_leaving = {
        _LISTED_ADDRESS
    }


@then("no host sends it new work after {seconds:d} seconds")
def check_no_new_work(context, seconds):
    context.net.run(_round_count(seconds))
    for _ in range(40):
        context.net.run(1)
        senders = [
            name
            for name, node in context.net.nodes.items()
            if _sends_work(node)
        ]
        assert not senders, senders


@then("all send it new work {seconds:d} seconds after it is listed as live")
def check_new_work(context, seconds):
    context.net.nodes[gossip_net.host_address(1)].list_leaving = set()
    context.net.run(_round_count(seconds))
    assert all(_sends_work(node) for node in context.net.nodes.values())


@when("one host probes a target")
def add_probe_result(context):
    net = context.net
    net.nodes[gossip_net.host_address(1)].own_reports.add(
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
def check_load_known(context, count, seconds):
    net = context.net

    def is_known():
        informed_names = [
            name
            for name, node in net.nodes.items()
            if node.decisions.explain("quotes", 0.0)[0].health.report
        ]
        return len(informed_names) >= count

    assert net.run(_round_count(seconds), is_known) is not None


@when(
    "nothing happens for {seconds:d} seconds after they discovered each other"
)
def run_idle(context, seconds):
    net = context.net
    net.run(_round_count(60))
    net.total_bytes = 0
    net.run(_round_count(seconds))
    context.bytes_per_second = net.total_bytes / len(net.nodes) / seconds


@then("each host sends at most {limit:d} bytes per second")
def check_bytes_per_second(context, limit):
    assert context.bytes_per_second <= limit, context.bytes_per_second


@when("{count:d} messages with randomly changed bytes arrive")
def send_corrupt_messages(context, count):
    node = context.net.nodes[gossip_net.host_address(0)]
    random_source = random.Random(9)
    context.order_key_before = node.configurations.order_key
    template = context.net.nodes[
        gossip_net.host_address(1)
    ].exchange.build_message()
    encoded = template.SerializeToString()
    for _ in range(count):
        corrupted = bytearray(encoded)
        for _ in range(random_source.randrange(1, 6)):
            corrupted[random_source.randrange(len(corrupted))] = (
                random_source.randrange(256)
            )
        try:
            message = peer_pb2.Gossip.FromString(bytes(corrupted))
        except protobuf_message.DecodeError:
            continue
        node.exchange.process_message(message, context.net.clock.now_s())
        node.exchange.build_message()
        for address in node.members.ping_addresses():
            addresses.parse_address(address)


@then("no error is raised and the text in force is the same")
def check_unchanged(context):
    node = context.net.nodes[gossip_net.host_address(0)]
    assert node.configurations.order_key == context.order_key_before
