import asyncio
import ipaddress
import json
import math
import os
import random

from behave import given
from behave import then
import hypothesis
from hypothesis import strategies

from features.support import heartbeat_fleet
from features.support import scripted_http
from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import messages
from trefoilstand.fleet import store as stores
from trefoilstand.gateway import models
from trefoilstand.http import errors
from trefoilstand.http import handling
from trefoilstand.http import models as http_models
from trefoilstand.http import outbound_connection
from trefoilstand.platform import decoder
from trefoilstand.platform import store
from trefoilstand.platform import target_protocol
from trefoilstand.util import address as addresses

_EXAMPLE_COUNT = int(os.environ.get("FUZZ_EXAMPLES", "300"))

_ANY_JSON = strategies.recursive(
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
    lambda children: strategies.one_of(
        strategies.lists(children, max_size=3),
        strategies.dictionaries(
            strategies.sampled_from(
                ["info", "status", "address", "routes", "services", "items"]
            ),
            children,
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
_FIELD_PATHS = [
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


def _fuzz(check, **drawn_strategies):
    hypothesis.settings(
        max_examples=_EXAMPLE_COUNT,
        deadline=None,
        derandomize="FUZZ_EXAMPLES" not in os.environ,
        database=None,
    )(hypothesis.given(**drawn_strategies)(check))()


@given("entries with one field replaced by anything")
def create_decoder(context):
    context.decoder = decoder.StoreDecoder()


@then("each is a target with a numeric address or is dropped")
def entry_or_dropped(context):
    def check(path, value):
        data = _entry_with(path, value)
        target = context.decoder.decode_target("i", data)
        if target is None:
            return
        ipaddress.IPv4Address(target.ip)
        assert 0 < target.port < 65536
        assert type(target.slots) is int
        assert target.service
        assert math.isfinite(target.warmup_left_s)

    _fuzz(check, path=strategies.sampled_from(_FIELD_PATHS), value=_ANY_JSON)


def _entry_with(path, value):
    entry = json.loads(json.dumps(_ENTRY))
    parent = entry
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    return json.dumps(entry).encode()


@given("an entry whose {field} is {value}")
def create_invalid_entry(context, field, value):
    context.entry = _entry_with(field.split(), json.loads(value))


@then("it is dropped")
def is_dropped(context):
    target = decoder.StoreDecoder().decode_target("i", context.entry)
    assert target is None, target


@given("{content} of the store with arbitrary content")
def set_content_kind(context, content):
    context.content = content


@then("each is decoded or fails with the expected error")
def decoded_or_error(context):
    store_decoder = decoder.StoreDecoder()

    def check(value, noise):
        data = noise + json.dumps(value).encode()
        if context.content == "entries":
            store_decoder.decode_target("i", data)
            return
        if context.content == "configurations":
            try:
                store_decoder.decode_configuration(data)
            except ValueError:
                return
            return
        for endpoint in ("kv-range", "kv-watch"):
            try:
                read_store(endpoint, data)
            except stores.StoreError:
                continue

    _fuzz(
        check,
        value=strategies.one_of(
            _ANY_JSON,
            strategies.fixed_dictionaries(
                {
                    "version": strategies.just("r1"),
                    "routes": strategies.dictionaries(
                        strategies.text(max_size=3), _ANY_JSON, max_size=2
                    ),
                    "services": strategies.dictionaries(
                        strategies.text(max_size=3), _ANY_JSON, max_size=2
                    ),
                    "items": strategies.lists(_ANY_JSON, max_size=2),
                    "events": strategies.lists(_ANY_JSON, max_size=2),
                    "truncated": _ANY_JSON,
                    "store-revision": _ANY_JSON,
                }
            ),
        ),
        noise=strategies.sampled_from([b"", b"", b"", b"\xff", b"[" * 3000]),
    )


class _FixedConnection:
    """Connection on which each request gets the same body."""

    received_bytes = 0
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


def read_store(endpoint, body):
    """Read from a store that responds with the given body."""

    async def run_async():
        reader = store.PlatformStore(
            endpoint=addresses.parse_address("127.0.0.1:1"), local_ip=None
        )
        reader._connection = _FixedConnection(body)
        if endpoint.endswith("kv-range"):
            return await reader.read_all()
        return await reader.watch(1, 0.0)

    return asyncio.run(run_async())


@given("a store that responds to {path} with {body}")
def set_store_response(context, path, body):
    context.path = path
    context.body = body.encode()


@then("the read fails with a store error")
def read_fails(context):
    try:
        content = read_store(context.path, context.body)
    except stores.StoreError:
        return
    raise AssertionError(f"no store error, but content: {content}")


@given("a page of the store with such a key and a valid one")
def create_page_with_invalid_values(context):
    items = [
        {"key": "servers/a", "revision": 1, "value": "ä"},
        {"key": "servers/b", "revision": 2, "value": 5},
        {"key": "servers/c", "revision": 3, "value": "eA=="},
    ]
    context.body = json.dumps(
        {"items": items, "truncated": False, "store-revision": 3}
    ).encode()


@then("the valid one is read")
def check_valid_is_read(context):
    values = {
        item.key: item.value
        for item in read_store("kv-range", context.body).items
    }
    assert values["servers/c"] == b"x", values


@given("responses with any load header")
def create_protocol(context):
    context.protocol = target_protocol.PlatformTargetProtocol()


@then("each yields a report with finite values or no report")
def finite_report(context):
    def check(parts):
        value = b",".join(b"%d" % part for part in parts)
        response = http_models.Response(
            status=200, fields=[(b"server-load", value)], body=b""
        )
        report = context.protocol.read_load(response, 1.0)
        if report is not None:
            assert isinstance(report, models.LoadReport)
            assert math.isfinite(report.slowdown)
            assert math.isfinite(float(report.running + report.waiting))

    number = strategies.one_of(
        strategies.integers(0, 300),
        strategies.integers(-5, 10**400),
    )
    _fuzz(check, parts=strategies.lists(number, max_size=5))


@given("connections on which targets send arbitrary bytes")
def set_byte_pieces(context):
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
    """Transport that discards what is written."""

    def write(self, data):
        return

    def get_write_buffer_size(self):
        return 0

    def close(self):
        return

    def abort(self):
        return


@then("each request ends with a response or a failed connection")
def request_ends(context):
    def check(pieces):
        async def run_async():
            connection = outbound_connection.OutboundConnection()
            connection.connection_made(_Transport())
            future = connection.send(b"x", matches=lambda _: True)
            for piece in pieces:
                connection.data_received(piece)
            connection.eof_received()
            connection.connection_lost(None)
            try:
                response = await asyncio.wait_for(future, 1)
            except errors.LinkError:
                return
            assert response.status >= 200

        asyncio.run(run_async())

    _fuzz(check, pieces=strategies.lists(context.pieces, max_size=8))


@given("heartbeats with corrupted bytes")
def process_corrupted_heartbeats(context):
    def run(loop):
        async def run_async():
            network = heartbeat_fleet.FleetNetwork(
                loop=loop, hosts=3, domains=2
            )
            sender, receiver = list(network.hosts.values())[:2]
            sender.apply_store_change(1)
            for _ in range(_EXAMPLE_COUNT):
                data = bytearray(
                    sender.peers._heartbeats.build_message(
                        receiver.address, 1.0, wants_reply=True
                    )
                )
                for _ in range(context.random.randrange(4)):
                    position = context.random.randrange(len(data))
                    data[position] = context.random.randrange(256)
                length_bytes = context.random.choice(
                    [len(data), len(data) // 2]
                )
                try:
                    receiver.peers._heartbeats.process_message(
                        bytes(data[:length_bytes]), 1.0
                    )
                except messages.MalformedMessageError:
                    continue
                context.accepted_count += 1

        return run_async()

    context.accepted_count = 0
    context.random = random.Random(11)
    virtual_time.run(run)


@then("each is accepted or rejected as malformed")
def check_accepted_count(context):
    assert 0 < context.accepted_count < _EXAMPLE_COUNT


@given("a caller whose deadline header has 5000 digits")
def send_long_deadline(context):
    async def run_async():
        target = scripted_http.ScriptedTarget(target_id="t", behaviour="whole")
        harness = scripted_http.GatewayHarness(
            targets=[target],
            route=scripted_http.make_route(is_idempotent=False),
        )
        await harness.start()
        harness.server.limits = handling.Limits(header_bytes=16384)
        data = scripted_http.request_bytes().replace(
            b"Deadline-Ms: 500", b"Deadline-Ms: " + b"9" * 5000
        )
        context.response = await scripted_http.send_request(harness.port, data)
        harness.stop()

    asyncio.run(run_async())


@then("the request is forwarded as without a deadline")
def check_forwarded(context):
    assert context.response[0] == 200, context.response
