import asyncio
import ipaddress
import json
import math
import os
import random

from behave import given
from behave import then
import google.protobuf.message
import hypothesis
from hypothesis import strategies

from features.support import heartbeat_fleet
from features.support import scripted_http
from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import store as stores
from trefoilstand.gateway import models
from trefoilstand.http import errors
from trefoilstand.http import models as http_models
from trefoilstand.http import outbound_connection
from trefoilstand.http import server
from trefoilstand.platform import decoder
from trefoilstand.platform import store
from trefoilstand.platform import target_protocol
from trefoilstand.util import address as addresses

_EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "300"))

_ANY = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(-(10**20), 10**20),
        strategies.floats(),
        strategies.text(max_size=12),
        strategies.sampled_from(
            ["ready", "1500ms", "10.0.0.1:80", "10.0.0.1:99999", "r7", "safe"]
        ),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(
            strategies.sampled_from(
                ["info", "status", "address", "routes", "services", "items"]
            ),
            inner,
            max_size=3,
        ),
    ),
    max_leaves=8,
)

_ENTRY = {
    "address": "10.0.0.1:80",
    "born": 1,
    "info": {"service": "q", "version": "v1", "zone": "a", "slots": 6},
    "status": {"state": "ready", "seq": 1, "warmup-left": "0ms"},
}
_FIELDS = [
    ("address",),
    ("born",),
    ("info",),
    ("status",),
    ("info", "service"),
    ("info", "zone"),
    ("info", "slots"),
    ("status", "state"),
    ("status", "warmup-left"),
]


def _fuzz(check, **drawn):
    hypothesis.settings(
        max_examples=_EXAMPLES,
        deadline=None,
        derandomize="FUZZ_EXAMPLES" not in os.environ,
        database=None,
    )(hypothesis.given(**drawn)(check))()


@given("entries with one field replaced by anything")
def entries(context):
    context.decoder = decoder.StoreDecoder()


@then("each is a target with a numeric address or is dropped")
def entry_or_dropped(context):
    def check(path, value):
        data = _entry_with(path, value)
        found = context.decoder.decode_target("i", data)
        if found is None:
            return
        ipaddress.IPv4Address(found.ip)
        assert 0 < found.port < 65536
        assert type(found.slots) is int
        assert found.service
        assert math.isfinite(found.warmup_left_s)

    _fuzz(check, path=strategies.sampled_from(_FIELDS), value=_ANY)


def _entry_with(path, value):
    raw = json.loads(json.dumps(_ENTRY))
    place = raw
    for name in path[:-1]:
        place = place[name]
    place[path[-1]] = value
    return json.dumps(raw).encode()


@given("an entry whose {field} is {value}")
def odd_entry(context, field, value):
    context.entry = _entry_with(field.split(), json.loads(value))


@then("it is dropped")
def is_dropped(context):
    found = decoder.StoreDecoder().decode_target("i", context.entry)
    assert found is None, found


@given("{content} of the store that hold anything")
def contents(context, content):
    context.content = content


@then("each is decoded or fails with an error of its kind")
def decoded_or_error(context):
    reads = decoder.StoreDecoder()

    def check(value, noise):
        data = noise + json.dumps(value).encode()
        if context.content == "entries":
            reads.decode_target("i", data)
            return
        if context.content == "configurations":
            try:
                reads.decode_configuration(data)
            except ValueError:
                return
            return
        for act in ("kv-range", "kv-watch"):
            try:
                _read(act, data)
            except stores.StoreError:
                continue

    _fuzz(
        check,
        value=strategies.one_of(
            _ANY,
            strategies.fixed_dictionaries(
                {
                    "version": strategies.just("r1"),
                    "routes": strategies.dictionaries(
                        strategies.text(max_size=3), _ANY, max_size=2
                    ),
                    "services": strategies.dictionaries(
                        strategies.text(max_size=3), _ANY, max_size=2
                    ),
                    "items": strategies.lists(_ANY, max_size=2),
                    "events": strategies.lists(_ANY, max_size=2),
                    "truncated": _ANY,
                    "store-revision": _ANY,
                }
            ),
        ),
        noise=strategies.sampled_from([b"", b"", b"", b"\xff", b"[" * 3000]),
    )


class _FixedLink:
    """Answer each request with the same body."""

    is_reusable = True

    def __init__(self, body):
        self._body = body

    def send(self, data, *, matches, is_head=False):
        future = asyncio.get_running_loop().create_future()
        future.set_result(
            http_models.Response(status=200, fields=[], body=self._body)
        )
        return future

    def abort(self):
        return


def _read(act, body):
    """Read a store that answers with a body."""

    async def whole():
        reader = store.PlatformStore(
            endpoint=addresses.parse_address("127.0.0.1:1"), local_ip=None
        )
        reader._connection = _FixedLink(body)
        if act.endswith("kv-range"):
            return await reader.read_all()
        return await reader.watch(1, 0.0)

    return asyncio.run(whole())


@given("a store that answers {path} with {body}")
def fixed_store(context, path, body):
    context.path = path
    context.body = body.encode()


@then("reading fails as a failed read of the store")
def read_fails(context):
    try:
        found = _read(context.path, context.body)
    except stores.StoreError:
        return
    raise AssertionError(found)


@given("a page of the store with such a key and a good one")
def bad_value(context):
    items = [
        {"key": "servers/a", "revision": 1, "value": "ä"},
        {"key": "servers/b", "revision": 2, "value": 5},
        {"key": "servers/c", "revision": 3, "value": "eA=="},
    ]
    context.body = json.dumps(
        {"items": items, "truncated": False, "store-revision": 3}
    ).encode()


@then("the good one is read")
def good_is_read(context):
    found = {
        item.key: item.value for item in _read("kv-range", context.body).items
    }
    assert found["servers/c"] == b"x", found


@given("answers with any load")
def any_load(context):
    context.speaks = target_protocol.PlatformTargetProtocol()


@then("each is a report with finite figures or none")
def finite_report(context):
    def check(parts):
        value = b",".join(b"%d" % part for part in parts)
        response = http_models.Response(
            status=200, fields=[(b"server-load", value)], body=b""
        )
        found = context.speaks.read_load(response, 1.0)
        if found is not None:
            assert isinstance(found, models.LoadReport)
            assert math.isfinite(found.slowdown)
            assert math.isfinite(float(found.running + found.waiting))

    number = strategies.one_of(
        strategies.integers(0, 300),
        strategies.integers(-5, 10**400),
    )
    _fuzz(check, parts=strategies.lists(number, max_size=5))


@given("connections on which targets send anything")
def any_bytes(context):
    context.pieces = strategies.sampled_from(
        [
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 99999 \r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n",
            b"Content-Length: 5\r\n",
            b"Content-Length: 99999999999999999999999\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Connection: close\r\n",
            b"Connection: Upgrade\r\nUpgrade: x\r\n",
            b"Keep-Alive: timeout=" + b"9" * 5000 + b"\r\n",
            b"Keep-Alive: timeout=\xb2\r\n",
            b"Request-Id: a1\r\n",
            b"\r\n",
            b"hello",
            b"5\r\nhello\r\n0\r\n\r\n",
            b"\x00\xff",
        ]
    )


class _Transport(asyncio.Transport):
    def write(self, data):
        return

    def get_write_buffer_size(self):
        return 0

    def close(self):
        return

    def abort(self):
        return


@then("each request ends with an answer or a failed connection")
def request_ends(context):
    def check(pieces):
        async def whole():
            used = outbound_connection.OutboundConnection()
            used.connection_made(_Transport())
            future = used.send(b"x", matches=lambda _: True)
            for piece in pieces:
                used.data_received(piece)
            used.eof_received()
            used.connection_lost(None)
            try:
                response = await asyncio.wait_for(future, 1)
            except errors.LinkError:
                return
            assert response.status >= 200

        asyncio.run(whole())

    _fuzz(check, pieces=strategies.lists(context.pieces, max_size=8))


@given("heartbeats with bytes changed")
def changed_heartbeats(context):
    def run(loop):
        async def whole():
            net = heartbeat_fleet.FleetNetwork(loop=loop, hosts=3, domains=2)
            sender, receiver = list(net.hosts.values())[:2]
            sender.apply_store_change(1)
            for _ in range(_EXAMPLES):
                data = bytearray(
                    sender.peers._heartbeats.build_message(
                        receiver.address, 1.0, wants_reply=True
                    )
                )
                for _ in range(context.source.randrange(4)):
                    place = context.source.randrange(len(data))
                    data[place] = context.source.randrange(256)
                cut = context.source.choice([len(data), len(data) // 2])
                try:
                    receiver.peers._heartbeats.process_message(
                        bytes(data[:cut]), 1.0
                    )
                except google.protobuf.message.DecodeError:
                    continue
                context.taken += 1

        return whole()

    context.taken = 0
    context.source = random.Random(11)
    virtual_time.run(run)


@then("each is taken in or refused as malformed")
def taken_in(context):
    assert 0 < context.taken < _EXAMPLES


@given("a caller who states a time of 5000 digits")
def long_time(context):
    async def whole():
        target = scripted_http.ScriptedTarget(target_id="t", behavior="whole")
        harness = scripted_http.GatewayHarness(
            targets=[target],
            route=scripted_http.make_route(is_idempotent=False),
        )
        await harness.start()
        harness.server.limits = server.Limits(header_bytes=16384)
        data = scripted_http.request_bytes().replace(
            b"Deadline-Ms: 500", b"Deadline-Ms: " + b"9" * 5000
        )
        context.answer = await scripted_http.send_request(harness.port, data)
        harness.stop()

    asyncio.run(whole())


@then("the request is forwarded as without one")
def forwarded(context):
    assert context.answer[0] == 200, context.answer
