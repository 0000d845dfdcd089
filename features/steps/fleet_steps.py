import concurrent.futures
import itertools
import signal
import threading
import time

from behave import then
from behave import when

from features.support import fleet_calls
from trefoilstand.decision import models as decision_models
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
    found = load.count_violations(
        context.calls, fleet_calls.count_runs(context)
    )
    assert not found.total, found
    for entry in context.fleet.entries:
        log = entry.log_path.read_text(encoding="utf-8", errors="replace")
        assert "invariant_broken" not in log, log[-2000:]


@when("{calls:d} calls are sent while hosts are killed, frozen and replaced")
def send_under_faults(context, calls):
    first, second, third = context.fleet.entries

    def strike():
        time.sleep(0.3)
        first.stop()
        time.sleep(0.3)
        second.send_signal(signal.SIGSTOP)
        first.start()
        time.sleep(2.5)
        second.send_signal(signal.SIGCONT)
        time.sleep(0.5)
        third.stop()
        third.start()

    _run_load(context, calls, strike)


@when("{calls:d} calls are sent while one host is told to stop")
def send_while_stopping(context, calls):
    context.stopped = context.fleet.entries[0]

    def strike():
        time.sleep(0.5)
        context.stopped.send_signal(signal.SIGTERM)
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
        lambda: fleet_calls.target_control(target).change_behaviour(
            is_leaving=True
        ),
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
    counts = fleet_calls.target_control(context.drained).read_counts()
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
            fleet_calls.target_control(target).read_counts().probes
            for target in context.fleet.targets()
        )

    before = count()
    started_s = time.monotonic()
    time.sleep(4.0)
    elapsed_s = time.monotonic() - started_s
    budget = context.fleet.configuration.measuring.fleet_probes_per_second
    # The budget is stated for windows of 10 s, so it holds for less.
    assert elapsed_s < 10.0
    assert count() - before <= budget * 10.0
