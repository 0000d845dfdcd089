import random
import re
import types

from behave import given
from behave import then
from behave import when

from trefoilstand.http import body_storage
from trefoilstand.http import buffer_budget
from trefoilstand.http import connection_limit
from trefoilstand.http import input_admission

_KIB = 1024
_SEED = 7
_TICK_S = 0.1


@given("{size:d} KiB for requests, {small:d} of them for small ones")
def make_admission(context, size, small):
    context.budget = buffer_budget.BufferBudget(
        limit_bytes=size * _KIB, small_reserve_bytes=small * _KIB
    )
    context.admission = input_admission.InputAdmission(budget=context.budget)
    context.leases = {}
    context.refused = {}
    context.now_s = 0.0
    context.admission.check(context.now_s)


def _lease(context, name):
    if name not in context.leases:

        def refuse(status):
            context.refused[name] = status
            context.leases.pop(name).release()

        context.leases[name] = context.admission.open_lease(
            on_granted=lambda: None, on_refused=refuse
        )
    return context.leases[name]


def _complete(context, name, size_bytes):
    if not _lease(context, name).complete(size_bytes):
        context.refused[name] = input_admission.STATUS_NO_MEMORY
        context.leases.pop(name).release()


def _hold_complete(context, name, size_bytes):
    try:
        context.leases[name] = context.admission.hold_complete(size_bytes)
    except MemoryError:
        context.refused[name] = input_admission.STATUS_NO_MEMORY


@when("requests come: {steps} KiB")
def act(context, steps):
    for name, verb, size in re.findall(r"(\w) (\w+) (\d+)", steps):
        size_bytes = int(size) * _KIB
        if verb == "announces":
            _lease(context, name).reserve(size_bytes)
        elif verb == "receives":
            _lease(context, name).receive(size_bytes)
        elif verb == "brings":
            _hold_complete(context, name, size_bytes)
        else:
            _complete(context, name, size_bytes)


@when("{count:d} others announce {size:d} KiB each")
def announce_many(context, count, size):
    for number in range(count):
        _lease(context, f"other-{number}").reserve(size * _KIB)


@when("{seconds:g} s pass while {name:w} receives {size:d} KiB")
def pass_time(context, seconds, name, size):
    lease = _lease(context, name)
    steps = round(seconds / _TICK_S)
    for _ in range(steps):
        lease.receive(lease.received_bytes + size * _KIB // steps)
        context.now_s += _TICK_S
        context.admission.check(context.now_s)


@when("the process stands still for {seconds:g} s")
def stand_still(context, seconds):
    context.now_s += seconds
    context.admission.check(context.now_s)


@when("{name:w} is answered")
def answer(context, name):
    context.leases.pop(name).release()


@then("{names} is read")
@then("{names} are read")
def check_read(context, names):
    for name in names.split(", "):
        assert not context.leases[name].is_waiting, name


@then("{names} is read and {waiting:w} waits")
@then("{names} are read and {waiting:w} waits")
def check_read_and_waiting(context, names, waiting):
    check_read(context, names)
    assert context.leases[waiting].is_waiting
    assert not context.refused, context.refused


@then("{name:w} is refused with {status:d}")
def check_refused(context, name, status):
    assert context.refused == {name: status}, context.refused


@when("{count:d} random steps of up to {most:d} requests are made")
def run_random(context, count, most):
    source = random.Random(_SEED)
    context.most_held = 0
    for _ in range(count):
        name = f"r{source.randrange(most)}"
        lease = _lease(context, name)
        choice = source.random()
        if choice < 0.1:
            context.leases.pop(name).release()
        elif choice < 0.2 and not lease.is_waiting:
            _complete(context, name, lease.received_bytes)
            context.leases.pop(name, lease).release()
        elif choice < 0.4 and not lease.received_bytes:
            lease.reserve(source.randint(1, 500) * _KIB)
        elif not lease.is_waiting:
            lease.receive(lease.received_bytes + source.randint(1, 16 * _KIB))
        context.now_s += source.random() / 10
        context.admission.check(context.now_s)
        held = sum(item.held_bytes for item in context.leases.values())
        assert held == context.budget.used_bytes
        context.most_held = max(context.most_held, held)


@then("never more than {size:d} KiB were held")
def check_most_held(context, size):
    assert 0 < context.most_held <= size * _KIB, context.most_held / _KIB


@then("no memory is held in the end")
def check_nothing_held(context):
    for lease in list(context.leases.values()):
        lease.release()
    assert context.budget.used_bytes == 0
    assert context.admission.waiting_count == 0


@given("open connections {texts}")
def make_connections(context, texts):
    context.connections = [
        types.SimpleNamespace(
            is_idle=text == "idle",
            receiving_since_s=float(text.split()[-1])
            if text.startswith("receiving")
            else None,
        )
        for text in texts.split(", ")
    ]


@then("{number} is closed for a new one")
def check_closed(context, number):
    expected = (
        None if number == "none" else context.connections[int(number) - 1]
    )
    chosen = connection_limit.choose_excess(context.connections)
    assert chosen is expected, chosen


@given("a body in {count:d} parts of {size:d} bytes")
def make_parts(context, count, size):
    source = random.Random(_SEED)
    context.parts = [source.randbytes(size) for _ in range(count)]


@then("it is returned whole, and the next one starts empty")
def check_body(context):
    storage = body_storage.BodyStorage()
    for part in context.parts:
        storage.append(part)
    assert storage.take() == b"".join(context.parts)
    assert storage.size_bytes == 0
    assert storage.take() == b""
