import random
import re

from behave import given
from behave import then
from behave import when

from trefoilstand.http import buffer_budget

_SEED = 11
_STEPS = 20_000


@given("a budget of {size:d} bytes")
def make_budget(context, size):
    context.budget = buffer_budget.BufferBudget(limit_bytes=size)
    context.leases = {}
    context.max_used = 0


def _lease(context, name):
    if name not in context.leases:
        context.leases[name] = context.budget.open_lease(lambda: None)
    return context.leases[name]


def _reserve_all(context, text):
    for name, size in re.findall(r"(\w) reserves (\d+)", text):
        _lease(context, name).reserve(int(size))


@when("{name:w} reserves {rest}")
def reserve(context, name, rest):
    _reserve_all(context, f"{name} reserves {rest}")


@when("{name:w} holds {size:d}")
def hold(context, name, size):
    _lease(context, name).hold(size)


@when("{name:w} is released")
def release(context, name):
    context.leases.pop(name).release()


def _check(context, granted, waiting):
    expected_waiting = [] if waiting == "none" else waiting.split(", ")
    for name in granted.split(", "):
        assert not context.leases[name].is_waiting, name
        assert context.leases[name].held_bytes, name
    assert [
        name for name, lease in context.leases.items() if lease.is_waiting
    ] == expected_waiting


@then("{granted} is granted and {waiting} wait")
def check_several_wait(context, granted, waiting):
    _check(context, granted, waiting)


@then("{granted} is granted and {waiting} waits")
def check_one_waits(context, granted, waiting):
    _check(context, granted, waiting)


@then("{granted} are granted and none waits")
def check_none_waits(context, granted):
    _check(context, granted, "none")


@then("{size:d} bytes are used")
def check_used(context, size):
    assert context.budget.used_bytes == size, context.budget.used_bytes


@when("{count:d} bodies of up to 300 bytes come, grow and go at random")
def run_random(context, count):
    source = random.Random(_SEED)
    for _ in range(_STEPS):
        name = str(source.randrange(count))
        lease = _lease(context, name)
        if source.random() < 0.2:
            context.leases.pop(name).release()
        elif not lease.is_waiting and lease.held_bytes < 250:
            lease.reserve(source.randint(1, 50))
        held = sum(item.held_bytes for item in context.leases.values())
        assert held == context.budget.used_bytes
        context.max_used = max(context.max_used, held)


@then("never more than {size:d} bytes were used")
def check_max_used(context, size):
    assert 0 < context.max_used <= size, context.max_used


@then("all waiting bodies are granted in the end")
def check_granted(context):
    while context.leases:
        granted = [
            name
            for name, lease in context.leases.items()
            if not lease.is_waiting
        ]
        assert granted, "every body waits"
        context.leases.pop(granted[0]).release()
    assert context.budget.used_bytes == 0
    assert context.budget.waiting_count == 0
