import concurrent.futures
import dataclasses
import itertools
import json
import signal
import threading
import time

from behave import given
from behave import then
from behave import when

from trefoilstand import const as project_const
from trefoilstand.client import models as client_models
from trefoilstand.decision import models as decision_models
from trefoilstand.standins import control
from trefoilstand.standins import fleet
from trefoilstand.standins import load

_LOOKUP = load.Operation(
    service="quotes", method="GET", path="/quotes/1", is_repeatable=True
)
_BOOKING = load.Operation(
    service="bookings", method="POST", path="/bookings", is_repeatable=False
)
_CALLERS = 16
_NO_WORK_AFTER_S = 5.0
_SEEDS = itertools.count(0, 1_000_000)


@dataclasses.dataclass
class Copy:
    """One send of a booking under a ticket, as its caller sees it."""

    outcome: str
    status: int
    document: dict


def _target_control(target):
    return control.TargetControl(address=target.address)


def _runs(context):
    return load.count_runs(item.address for item in context.fleet.targets())


def _send_copy(context, address, ticket, mark, timeout_s=3.0):
    """Send one booking once and return what was told."""
    headers = ((load.MARK_HEADER, mark),)
    if ticket:
        headers += ((project_const.HEADER_TICKET, ticket),)
    request = client_models.ClientRequest(
        service="bookings",
        method="POST",
        path="/bookings",
        body=mark.encode(),
        is_repeatable=False,
    )
    answer = context.client.exchange(
        address, request, headers, time.monotonic() + timeout_s
    )
    if answer.fault is not None:
        return Copy(outcome="", status=0, document={})
    return Copy(
        outcome=answer.header(project_const.HEADER_OUTCOME),
        status=answer.status,
        document=json.loads(answer.body),
    )


def _take_ticket(context):
    held = context.client.take_ticket()
    context.owner = next(
        entry
        for entry in context.fleet.entries
        if entry.caller_address == held.owner_address
    )
    context.other = next(
        entry for entry in context.fleet.entries if entry != context.owner
    )
    context.ticket = held.text
    context.mark = f"booking-{held.text[-12:]}"


def _run_load(context, calls, during=None):
    """Send a mix until something has happened, and keep the ends."""
    seed = next(_SEEDS)
    is_over = threading.Event()

    def send():
        ends = []
        while len(ends) < calls or not is_over.is_set():
            ends += load.run(
                context.client,
                (_LOOKUP, _BOOKING),
                calls=min(calls, 500),
                callers=_CALLERS,
                seed=seed + len(ends),
                timeout_ms=5000,
            )
        return ends

    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        future = executor.submit(send)
        try:
            if during is not None:
                during()
        finally:
            is_over.set()
        context.calls = future.result()


@when("{calls:d} calls are sent by {callers:d} callers")
def send_calls(context, calls, callers):
    _run_load(context, calls)


@then("every call was answered")
def check_all_answered(context):
    ends = [
        call
        for call in context.calls
        if call.outcome is not decision_models.Outcome.ANSWERED
    ]
    assert context.calls
    assert not ends, (len(ends), ends[:5])


@then("the fleet answers every call once the faults are over")
def check_recovery(context):
    context.fleet.restore()
    _run_load(context, 500)
    check_all_answered(context)


@then("no promise was broken")
def check_violations(context):
    found = load.check(context.calls, _runs(context))
    assert not found.total, found
    for entry in context.fleet.entries:
        log = entry.log_path.read_text(encoding="utf-8", errors="replace")
        assert "invariant_broken" not in log, log[-2000:]


@when("one booking is sent to all hosts at the same time with one ticket")
def send_to_all(context):
    _take_ticket(context)
    addresses = [item.caller_address for item in context.fleet.entries] * 3
    with concurrent.futures.ThreadPoolExecutor(len(addresses)) as executor:
        context.copies = list(
            executor.map(
                lambda address: _send_copy(
                    context, address, context.ticket, context.mark
                ),
                addresses,
            )
        )


@then("it ran once and all copies got its answer")
def check_copies(context):
    assert _runs(context)[context.mark] == 1
    marks = {copy.document.get("mark") for copy in context.copies}
    assert marks == {context.mark}, context.copies


@when("a booking is sent without a ticket")
def send_without_ticket(context):
    address = context.fleet.entries[0].caller_address
    context.mark = f"bare-{time.monotonic_ns()}"
    context.copies = [_send_copy(context, address, "", context.mark)]


@then("it is refused as not run with a ticket that can be used")
def check_ticket_offer(context):
    refused = context.copies[0]
    assert refused.outcome == decision_models.Outcome.NOT_RUN, refused
    assert refused.status == 428
    assert _runs(context)[context.mark] == 0
    address = context.fleet.entries[0].caller_address
    ticket = refused.document["ticket"]
    answered = _send_copy(context, address, ticket, context.mark)
    assert answered.outcome == decision_models.Outcome.ANSWERED
    assert _runs(context)[context.mark] == 1


@when("a second booking is sent with the ticket of the first")
def reuse_ticket(context):
    _take_ticket(context)
    address = context.owner.caller_address
    first = _send_copy(context, address, context.ticket, context.mark)
    assert first.outcome == decision_models.Outcome.ANSWERED
    context.other_mark = context.mark + "-other"
    context.copies = [
        _send_copy(
            context,
            context.other.caller_address,
            context.ticket,
            context.other_mark,
        )
    ]


@then("the second one is refused as not run and did not run")
def check_reused(context):
    copy = context.copies[0]
    assert copy.outcome == decision_models.Outcome.NOT_RUN, copy
    assert copy.document["reason"] == decision_models.Reason.TICKET_REUSED
    assert _runs(context)[context.other_mark] == 0


@given("targets that work for {service_ms:d} ms")
def slow_targets(context, service_ms):
    for target in context.fleet.targets("bookings"):
        _target_control(target).change(service_ms=service_ms)


def _strike_owner(context, number):
    """Send a booking to its owner and signal the owner meanwhile."""
    _take_ticket(context)
    context.copies = []

    def send():
        context.copies.append(
            _send_copy(
                context,
                context.owner.caller_address,
                context.ticket,
                context.mark,
                timeout_s=1.5,
            )
        )

    context.first_send = threading.Thread(target=send)
    context.first_send.start()
    assert fleet.wait_for_change(
        lambda: _runs(context)[context.mark] == 1, 5.0
    )
    context.owner.signal(number)


@when("the owner is frozen while it runs a booking")
def freeze_owner(context):
    _strike_owner(context, signal.SIGSTOP)


@when("the owner is killed while it runs a booking")
def kill_owner(context):
    _strike_owner(context, signal.SIGKILL)


@when("the booking is sent again to another host")
def send_again(context):
    context.copies.append(
        _send_copy(
            context,
            context.other.caller_address,
            context.ticket,
            context.mark,
        )
    )


@when("the owner wakes up")
def wake_owner(context):
    context.first_send.join()
    context.owner.signal(signal.SIGCONT)
    context.fleet.wait_ready()
    send_again(context)
    send_to_owner(context)


@when("the owner is replaced at the same address")
def replace_owner(context):
    context.first_send.join()
    context.owner.stop()
    context.owner.start()
    context.fleet.wait_ready()


@when("the booking is sent again to the replacement")
def send_to_owner(context):
    context.copies.append(
        _send_copy(
            context,
            context.owner.caller_address,
            context.ticket,
            context.mark,
        )
    )
    send_again(context)


@then("the booking ran at most once")
def check_once(context):
    time.sleep(1.0)
    assert _runs(context)[context.mark] == 1, _runs(context)[context.mark]


@then("nobody was told that it did not run")
def check_not_denied(context):
    outcomes = [copy.outcome for copy in context.copies]
    assert decision_models.Outcome.NOT_RUN not in outcomes, context.copies
    assert len(outcomes) >= 3, outcomes


@when("{calls:d} calls are sent while hosts are killed, frozen and replaced")
def send_under_faults(context, calls):
    first, second, third = context.fleet.entries

    def strike():
        time.sleep(0.3)
        first.stop()
        time.sleep(0.3)
        second.signal(signal.SIGSTOP)
        first.start()
        time.sleep(2.5)
        second.signal(signal.SIGCONT)
        time.sleep(0.5)
        third.stop()
        third.start()

    _run_load(context, calls, strike)


@when("{calls:d} calls are sent while one host is told to stop")
def send_while_stopping(context, calls):
    context.stopped = context.fleet.entries[0]

    def strike():
        time.sleep(0.5)
        context.stopped.signal(signal.SIGTERM)
        context.stopped.process.wait(30.0)

    _run_load(context, calls, strike)


@then("the host ended with exit code 0")
def check_exit(context):
    assert context.stopped.process.wait(30.0) == 0


def _drain_under_load(context, target, strike):
    def work():
        time.sleep(0.3)
        strike()
        context.drained = target
        context.drained_s = time.time()

    _run_load(context, 4000, work)
    remaining_s = context.drained_s + _NO_WORK_AFTER_S - time.time()
    if remaining_s > 0:
        time.sleep(remaining_s)
    before = list(context.calls)
    _run_load(context, 1000)
    context.calls = before + context.calls


@when('target {number:d} of "{service}" says that it is leaving under load')
def say_leaving(context, number, service):
    target = context.fleet.targets(service)[number]
    _drain_under_load(
        context,
        target,
        lambda: _target_control(target).change(is_leaving=True),
    )


@when('target {number:d} of "{service}" is listed as leaving under load')
def list_leaving(context, number, service):
    target = context.fleet.targets(service)[number]
    _drain_under_load(
        context,
        target,
        lambda: context.fleet.publish_hosts(frozenset({target.address})),
    )


@then("it got no new work after {seconds:d} seconds")
def check_drained(context, seconds):
    counts = _target_control(context.drained).counts()
    late_s = counts.last_start_s - context.drained_s
    assert counts.runs, "the target never worked"
    assert late_s <= seconds, late_s


@when("a target process is frozen for a second under load")
def freeze_targets(context):
    process = context.fleet.target_processes[0]

    def strike():
        time.sleep(0.3)
        process.send_signal(signal.SIGSTOP)
        time.sleep(1.0)
        process.send_signal(signal.SIGCONT)

    _run_load(context, 3000, strike)


@then("no more probes were sent than the budget allows")
def check_probes(context):
    def count():
        return sum(
            _target_control(target).counts().probes
            for target in context.fleet.targets()
        )

    before = count()
    started_s = time.monotonic()
    time.sleep(4.0)
    elapsed_s = time.monotonic() - started_s
    budget = context.fleet.content.measuring.fleet_probes_per_second
    # The budget is stated for windows of 10 s, so it holds for less.
    assert elapsed_s < 10.0
    assert count() - before <= budget * 10.0
