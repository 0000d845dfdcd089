import asyncio
import json

from behave import given
from behave import then
from behave import when

from features.steps import fuzz_steps
from features.steps import platform_steps
from features.support import platform_fleet
from trefoilstand.fleet import codec
from trefoilstand.platform import decoder

_SETTLE_S = 1.0


def _encode_entry(**replaced):
    """Return an entry with replaced fields; values are JSON texts."""
    texts = {
        "address": '"127.0.0.1:9"',
        "born": "1",
        "service": '"quotes"',
        "zone": '"zone-0"',
        "slots": "6",
        "warmup": '"0ms"',
        **replaced,
    }
    return (
        f'{{"address": {texts["address"]}, "born": {texts["born"]},'
        f' "info": {{"service": {texts["service"]}, "version": "v1",'
        f' "zone": {texts["zone"]}, "slots": {texts["slots"]}}},'
        ' "status": {"state": "ready", "seq": 1,'
        f' "warmup-left": {texts["warmup"]}}}}}'
    ).encode()


ODD_ENTRIES = {
    "100000 nested lists": b"[" * 100_000 + b"]" * 100_000,
    "400 digits of slots": _encode_entry(slots="9" * 400),
    "20 digits of slots": _encode_entry(slots="9" * 20),
    "400 digits of born": _encode_entry(born="9" * 400),
    "30 digits of born": _encode_entry(born="-" + "9" * 30),
    "5000 digits of born": _encode_entry(born="9" * 5000),
    "400 digits of warm-up": _encode_entry(warmup=f'"{"9" * 400}s"'),
    "20 digits of warm-up": _encode_entry(warmup=f'"{"9" * 20}s"'),
    "5000 digits of port": _encode_entry(address=f'"127.0.0.1:{"9" * 5000}"'),
    "the address 0.0.0.0:80": _encode_entry(address='"0.0.0.0:80"'),
    "the address 224.0.0.1:80": _encode_entry(address='"224.0.0.1:80"'),
    "the address 255.255.255.255:80": _encode_entry(
        address='"255.255.255.255:80"'
    ),
    "half a surrogate pair as zone": _encode_entry(zone='"\\ud800"'),
    "half a surrogate pair as service": _encode_entry(service='"\\ud800"'),
}
_ODD_KEYS = (
    "servers/",
    "servers/a\r\nX-Field: y",
    "servers/a b",
    "servers/\ud800",
)


@given("an entry with {content}")
def odd_entry(context, content):
    context.entry = ODD_ENTRIES[content]


@given("a page of the store with the key {key} and a valid one")
def page_with_odd_key(context, key):
    context.key = json.loads(key)
    items = [
        {"key": context.key, "revision": 1, "value": "eA=="},
        {"key": "servers/c", "revision": 2, "value": "eA=="},
    ]
    context.body = json.dumps(
        {"items": items, "truncated": False, "store-revision": 3}
    ).encode()


@then("hosts exchange the items of the page")
def check_exchange(context):
    delta = fuzz_steps.read_store("kv-range", context.body)
    message = codec.encode_delta(delta)
    assert type(message).FromString(message.SerializeToString()) == message


@then("requests name no target with the key {key}")
def check_no_target(context, key):
    del key
    delta = fuzz_steps.read_store("kv-range", context.body)
    target_ids = {
        decoder.StoreDecoder().target_id(item.key) for item in delta.items
    }
    assert target_ids - {None} == {"c"}, target_ids


@when("odd entries are written under load and then a route is added")
def write_odd_entries(context):
    async def scenario(fleet):
        await asyncio.sleep(1)
        context.processes = [host.process for host in fleet.hosts]
        load = platform_steps.Load(fleet.hosts)
        for number, content in enumerate(ODD_ENTRIES):
            fleet.store.put(f"servers/odd-{number}", ODD_ENTRIES[content])
            await asyncio.sleep(0.1)
        for key in _ODD_KEYS:
            fleet.store.put(key, _encode_entry())
            await asyncio.sleep(0.1)
        await asyncio.sleep(_SETTLE_S)
        fleet.publish(["/q/", "/new/"])
        context.elapsed_s = await fleet.wait_for(
            lambda: platform_steps.all_serve_path(fleet.hosts, "/new/x"), 5
        )
        await load.stop()
        context.results = load.results
        context.exit_codes = [process.poll() for process in context.processes]
        context.failures = [
            line
            for host in fleet.hosts
            for line in host.log_path.read_text().splitlines()
            if "component_failed" in line or not line.startswith("{")
        ]

    platform_fleet.run(context.host_count, scenario)


@then("no host has ended or logged a failed component")
def check_hosts_unharmed(context):
    assert context.exit_codes == [None] * len(context.exit_codes)
    assert not context.failures, context.failures[:3]
