import asyncio
import base64
import dataclasses
import json
import random
import re

from behave import given
from behave import then
from behave import when

from features.support import reading_host
from features.support import restored_host
from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import codec
from trefoilstand.fleet import coordinator
from trefoilstand.fleet import models
from trefoilstand.fleet import replica
from trefoilstand.fleet import staleness_tracker
from trefoilstand.fleet import store as stores
from trefoilstand.http import models as http_models
from trefoilstand.peers import membership
from trefoilstand.platform import store
from trefoilstand.util import address as addresses


@when("the store comes back at {at_s:g} s without the entries of targets")
def plan_return(context, at_s):
    context.return_s = at_s


@when("{written} entries are written again {after_s:g} s later")
def write_again(context, written, after_s):
    count = 5 if written == "all" else int(written)

    async def scenario(clock, scripted_store, host):
        for number in range(5):
            scripted_store.remove(f"servers/t{number}")
        copy = scripted_store.copy()
        for number in range(5):
            scripted_store.put(
                f"servers/t{number}", reading_host.make_entry(number)
            )
        await asyncio.sleep(context.return_s - 0.001)
        assert all(host.uses(f"t{number}") for number in range(5))
        scripted_store.restore(copy)
        context.samples = []
        is_written = False
        while clock.now_s() < context.return_s + 8:
            if not is_written and clock.now_s() >= context.return_s + after_s:
                is_written = True
                for number in range(count):
                    scripted_store.put(
                        f"servers/t{number}", reading_host.make_entry(number)
                    )
            used = [host.uses(f"t{number}") for number in range(5)]
            context.samples.append(used)
            await asyncio.sleep(0.05)

    reading_host.run(scenario, outages_s=context.outages_s)


@then("{kept:d} targets stay in use throughout, and {used:d} in the end")
def check_kept(context, kept, used):
    always = [all(column) for column in zip(*context.samples, strict=True)]
    assert sum(always) == kept, always
    assert sum(context.samples[-1]) == used, context.samples[-1]


class _StubStore(stores.Store):
    """Store with scripted responses.

    :param snapshot: delta that a read of all keys returns.
    :param changes: delta that a watch returns.
    :param watch_s: time until it does.
    """

    def __init__(self, *, snapshot, changes, watch_s=0.5):
        self._snapshot = snapshot
        self._changes = changes
        self._watch_s = watch_s
        self.calls = 0

    async def read_all(self):
        self.calls += 1
        return self._snapshot

    async def watch(self, after_revision, wait_s):
        self.calls += 1
        await asyncio.sleep(self._watch_s)
        return self._changes

    def close(self):
        return


def _run_coordinator(context, stub_store, scenario):
    async def run_in_loop(loop):
        clock = virtual_time.LoopClock(loop=loop)
        random_source = random.Random(1)
        members = membership.MemberTable(
            own=reading_host.make_member(1),
            random_source=random_source,
            clock=clock,
        )
        context.state = replica.Replica()
        context.staleness = staleness_tracker.StalenessTracker(
            random_source=random_source
        )
        reader = coordinator.StateCoordinator(
            store=stub_store,
            state=context.state,
            staleness=context.staleness,
            members=members,
            peers=reading_host.SilentPeers(members=members),
            random_source=random_source,
            clock=clock,
            reads_immediately=True,
        )
        await reader.start()
        await scenario()
        await reader.stop()

    virtual_time.run(run_in_loop)


@given("a host that watches the store")
def watch_store(context):
    context.stub_store = _StubStore(
        snapshot=restored_host.make_snapshot(0, 7, "a"),
        changes=dataclasses.replace(
            restored_host.make_snapshot(0, 9, "b"),
            after_revision=7,
            is_snapshot=False,
        ),
    )


@when("a peer sends it the state of a new era during the watch")
def send_new_era(context):
    context.peer_delta = restored_host.make_snapshot(1, 5, "a", "c")


@when("the watch returns changes of the earlier era")
def return_late_changes(context):
    async def scenario():
        # The first watch starts when the process may act as a reader.
        await asyncio.sleep(1.4)
        context.confirmed_s = context.staleness.confirmed_s
        assert context.state.position == (0, 7)
        context.state.apply(context.peer_delta)
        await asyncio.sleep(0.4)

    _run_coordinator(context, context.stub_store, scenario)


@then("the host holds the state of the new era, not confirmed by the watch")
def check_new_era_kept(context):
    assert context.state.position == (1, 5)
    assert {item.key for item in context.state.items()} == {"a", "c"}
    assert context.staleness.confirmed_s == context.confirmed_s


@given("a store whose watches are of era {first}, snapshots of {second}")
def set_two_eras(context, first, second):
    context.stub_store = _StubStore(
        snapshot=restored_host.make_snapshot(int(second), 7, "a"),
        changes=dataclasses.replace(
            restored_host.make_snapshot(int(first), 9, "b"),
            after_revision=7,
            is_snapshot=False,
        ),
        watch_s=0.004,
    )


@then("a host calls it at most {limit:d} times in {seconds:d} s")
def check_calls(context, limit, seconds):
    async def scenario():
        await asyncio.sleep(seconds)

    _run_coordinator(context, context.stub_store, scenario)
    assert 2 < context.stub_store.calls <= limit, context.stub_store.calls


@given("a new process that reads a restored store at once")
def start_process(context):
    context.stub_store = _StubStore(
        snapshot=restored_host.make_snapshot(1, 5, "a", value=b"copied"),
        changes=restored_host.make_snapshot(1, 5, "a", value=b"copied"),
    )


@when("a peer {sends} its state after 500 ms")
def plan_peer_state(context, sends):
    peer = replica.Replica()
    peer.apply(restored_host.make_snapshot(0, 5, "a", value=b"copied"))
    peer.apply(
        models.Delta(
            after_revision=5,
            up_to_revision=9,
            items=(models.Item(key="a", revision=9, value=b"newer"),),
        )
    )
    peer.apply(restored_host.make_snapshot(1, 5, "a", value=b"copied"))

    async def scenario():
        await asyncio.sleep(0.5)
        assert not context.state.revision
        if sends == "sends":
            message = codec.encode_delta(
                peer.changes_since(models.NO_POSITION)
            )
            context.state.apply(codec.decode_delta(message))
        await asyncio.sleep(0.8)

    _run_coordinator(context, context.stub_store, scenario)


@then("the process holds the value {value} 1300 ms after its start")
def check_value(context, value):
    values = {item.key: item.value for item in context.state.items()}
    assert values["a"] == value.encode(), values


class _PagedConnection:
    """Connection to a store whose pages state different eras."""

    received_bytes = 0
    is_reusable = True

    def __init__(self, *, eras):
        self._eras = eras
        self._sent = 0

    def send(self, data, *, matches, is_head=False):
        era = self._eras[self._sent]
        self._sent += 1
        body = {
            "items": [
                {
                    "key": f"k{self._sent}",
                    "revision": self._sent,
                    "value": base64.b64encode(b"x").decode(),
                }
            ],
            "truncated": self._sent < len(self._eras),
            "store-revision": 9,
        }
        fields = [] if era == "none" else [(b"store-era", era.encode())]
        future = asyncio.get_running_loop().create_future()
        future.set_result(
            http_models.Response(
                status=200, fields=fields, body=json.dumps(body).encode()
            )
        )
        return future

    def abort(self):
        return


@given("a store whose responses state the eras {eras}")
def set_eras(context, eras):
    context.connection = _PagedConnection(eras=re.split(", ", eras))


@then("a snapshot of {pages:d} pages {is_read}")
def check_snapshot(context, pages, is_read):
    async def read():
        reader = store.PlatformStore(
            endpoint=addresses.parse_address("127.0.0.1:1"), local_ip=None
        )
        reader._connection = context.connection
        return await reader.read_all()

    try:
        delta = asyncio.run(read())
    except stores.StoreError:
        assert is_read == "fails"
        return
    assert is_read == f"is read in era {delta.era}", delta
    assert len(delta.items) == pages
    assert {item.era for item in delta.items} == {delta.era}
