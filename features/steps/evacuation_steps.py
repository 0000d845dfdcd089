import json
import math
import random

from behave import given
from behave import then
from behave import when

from features.support import limited_fleet
from trefoilstand.experiments import gateway_model
from trefoilstand.fleet import models as fleet_models
from trefoilstand.gateway import models
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import state
from trefoilstand.gateway import targets
from trefoilstand.http import models as http_models
from trefoilstand.platform import decoder
from trefoilstand.platform import target_protocol

_SECOND_BOUND = 1.5 * 6.8 + 8
_COLD_IDS = tuple(str(number) for number in range(12))


class _Clock:
    def __init__(self):
        self.time_s = 100.0

    def now_s(self):
        return self.time_s


def _entry(domain, entry_state="ready"):
    return json.dumps(
        {
            "address": "127.0.0.1:80",
            "born": 1,
            "info": {
                "service": "quotes",
                "version": "v1",
                "zone": domain,
                "slots": 6,
            },
            "status": {
                "state": entry_state,
                "seq": 1,
                "warmup-left": "0ms",
            },
        }
    ).encode()


_CONFIGURATION = json.dumps(
    {
        "version": "r3",
        "routes": {},
        "services": {"quotes": {"warmup": "3s", "warmup-per-s": 6.8}},
    }
).encode()


@given("targets in the domains a, b and c")
def register_targets(context):
    context.clock = _Clock()
    context.revision = 0
    context.state = state.GatewayState(
        decoder=decoder.StoreDecoder(),
        connections=None,
        target_registry=gateway_model.make_registry(),
        retry_limits=retry_budget.RetryBudgetLimits(
            ratio=0.2, allowance=56.0, window_s=10.0
        ),
        random_source=random.Random(1),
        clock=context.clock,
    )
    _apply(context, "op/config", _CONFIGURATION)
    for domain in "abc":
        _apply(context, f"servers/i-{domain}", _entry(domain))
    context.chosen = context.state.targets.get("i-a")


def _apply(context, key, value):
    context.revision += 1
    context.state.apply_items(
        [fleet_models.Item(key=key, revision=context.revision, value=value)]
    )


@when("these changes arrive: {changes}")
def apply_changes(context, changes):
    for change in changes.split(", "):
        domain, _, kind = change.partition(" ")
        apply_change(context, domain, kind)


def apply_change(context, domain, change):
    key = f"op/evacuate/{domain}"
    if change == "is evacuated":
        _apply(context, key, b"{}")
    elif change == "is restored":
        _apply(context, key, None)
    elif change == "registers again":
        _apply(context, f"servers/i-{domain}", _entry(domain))
    elif change == "is evacuated in a snapshot":
        # The entry comes after the key that evacuates its domain.
        context.state.apply_items(
            [
                fleet_models.Item(key=key, revision=9, value=b"{}"),
                fleet_models.Item(
                    key=f"servers/i-{domain}",
                    revision=10,
                    value=_entry(domain),
                ),
            ]
        )
    elif change == "drains":
        _apply(context, f"servers/i-{domain}", _entry(domain, "draining"))
    else:
        assert change == "are lost", change
        for name in "abc":
            _apply(context, f"servers/i-{name}", _entry(name, "draining"))


@then("the targets of {domains} are used")
def check_used(context, domains):
    used = sorted(
        target.record.failure_domain
        for target in context.state.targets.of_service("quotes")
    )
    expected = [] if domains == "none" else domains.split(", ")
    assert used == expected, used


@then("only the targets of a are cold for 3 s")
def check_cold(context):
    now_s = context.clock.now_s()
    for target in context.state.targets.all():
        is_restored = target.record.failure_domain == "a"
        assert target.is_warming(now_s + 2.9) == is_restored
        assert not target.is_warming(now_s + 3.1)


@then("a target of a that was chosen before is no longer in the table")
def check_replaced(context):
    assert context.chosen is not None
    assert context.state.targets.get("i-a") is None


@given("a target of a service whose cold targets accept 6.8 a second")
def make_target(context):
    record = decoder.StoreDecoder().decode_target("i-a", _entry("a"))
    context.target = targets.Target(record=record, now_s=0.0)
    assert isinstance(record, models.TargetRecord)


@when("its health response says {field}")
def read_health(context, field):
    name, _, value = field.partition(": ")
    fields = [(name.lower().encode(), value.encode())] if value else []
    warmup_s = target_protocol.PlatformTargetProtocol().read_warmup_s(
        http_models.Response(status=200, fields=fields, body=b"")
    )
    context.warmup_s = warmup_s or 0.0


@then("it is {expected} 1 s later")
def check_state(context, expected):
    assert math.isfinite(context.warmup_s)
    assert (context.warmup_s > 1.0) == (expected == "cold")


@given("meanwhile nothing happens")
def no_disruption(context):
    context.events = []


@when("all targets are cold for 20 s and accept {rate:f} requests a second")
def cool_down(context, rate):
    async def event(fleet):
        await fleet.cool_down(_COLD_IDS, rate)

    context.fleet = limited_fleet.simulate(
        limits_per_s={},
        events=[(limited_fleet.LIMIT_START_S, event), *context.events],
        **context.fleet_arguments,
    )


def _cold_arrivals(context):
    for target_id in _COLD_IDS:
        yield [
            arrival.time_s
            for arrival in context.fleet.targets[target_id].arrivals
            if limited_fleet.LIMIT_START_S + 1.0
            <= arrival.time_s
            < limited_fleet.LIMIT_END_S
        ]


@then("no second has more than 18 requests to a cold target")
def check_seconds(context):
    for arrivals_s in _cold_arrivals(context):
        largest = limited_fleet.max_count_in_window(arrivals_s, 1.0)
        assert largest <= _SECOND_BOUND, largest


@then("every cold target gets requests")
def check_arrivals(context):
    assert all(_cold_arrivals(context))
