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
_DRAIN_LIMIT_S = 5.0
_SEED_SEQUENCE = itertools.count(0, 1_000_000)


def _run_load(context, calls, concurrent_action=None):
    """Send mixed calls until a concurrent action is over; keep results."""
    seed = next(_SEED_SEQUENCE)
    action_done = threading.Event()

    def send():
        results = []
        while len(results) < calls or not action_done.is_set():
            results += load.run(
                context.client,
                (_LOOKUP, _BOOKING),
                calls=min(calls, 500),
                callers=_CALLERS,
                seed=seed + len(results),
                timeout_ms=5000,
            )
        return results

    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        future = executor.submit(send)
        try:
            if concurrent_action is not None:
                concurrent_action()
        finally:
            action_done.set()
        context.calls = future.result()


@when("{calls:d} calls are sent by {callers:d} callers")
def send_calls(context, calls, callers):
    _run_load(context, calls)


@then("every call was answered")
def check_all_answered(context):
    unanswered = [
        call
        for call in context.calls
        if call.outcome is not decision_models.Outcome.ANSWERED
    ]
    assert context.calls
    assert not unanswered, (len(unanswered), unanswered[:5])


@then("the fleet answers every call once the faults are over")
def check_recovery(context):
    context.fleet.restore()
    _run_load(context, 500)
    check_all_answered(context)


@then("no guarantee was violated")
def check_violations(context):
    violations = load.count_violations(
        context.calls, fleet_calls.count_runs(context)
    )
    assert not violations.total, violations
    for entry in context.fleet.entries:
        log = entry.log_path.read_text(encoding="utf-8", errors="replace")
        assert "invariant_broken" not in log, log[-2000:]


@when("{calls:d} calls are sent while hosts are killed, frozen and replaced")
def send_under_faults(context, calls):
    killed, frozen, replaced = context.fleet.entries

    def inject_faults():
        time.sleep(0.3)
        killed.stop()
        time.sleep(0.3)
        frozen.send_signal(signal.SIGSTOP)
        killed.start()
        time.sleep(2.5)
        frozen.send_signal(signal.SIGCONT)
        time.sleep(0.5)
        replaced.stop()
        replaced.start()

    _run_load(context, calls, inject_faults)


@when("{calls:d} calls are sent while one host gets SIGTERM")
def send_while_stopping(context, calls):
    context.stopped = context.fleet.entries[0]

    def inject_faults():
        time.sleep(0.5)
        context.stopped.send_signal(signal.SIGTERM)
        context.stopped.process.wait(30.0)

    _run_load(context, calls, inject_faults)


@then("the host ended with exit code 0")
def check_exit(context):
    assert context.stopped.process.wait(30.0) == 0


def _drain_under_load(context, target, start_drain):
    def drain_target():
        time.sleep(0.3)
        start_drain()
        context.drained_target = target
        context.drain_started_s = time.time()

    _run_load(context, 4000, drain_target)
    remaining_s = context.drain_started_s + _DRAIN_LIMIT_S - time.time()
    if remaining_s > 0:
        time.sleep(remaining_s)
    earlier_calls = list(context.calls)
    _run_load(context, 1000)
    context.calls = earlier_calls + context.calls


@when('target {number:d} of "{service}" reports that it is leaving under load')
def report_leaving(context, number, service):
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


@then("it got no new requests after {seconds:d} seconds")
def check_drained(context, seconds):
    counts = fleet_calls.target_control(context.drained_target).read_counts()
    late_s = counts.last_start_s - context.drain_started_s
    assert counts.runs, (
        f"target {context.drained_target.address} never ran a request"
    )
    assert late_s <= seconds, late_s


@when("a target process is frozen for a second under load")
def freeze_target_process(context):
    target_process = context.fleet.target_processes[0]

    def inject_faults():
        time.sleep(0.3)
        target_process.send_signal(signal.SIGSTOP)
        time.sleep(1.0)
        target_process.send_signal(signal.SIGCONT)

    _run_load(context, 3000, inject_faults)


@then("no more probes were sent than the budget allows")
def check_probes(context):
    def count_probes():
        return sum(
            fleet_calls.target_control(target).read_counts().probes
            for target in context.fleet.targets()
        )

    count_before = count_probes()
    started_s = time.monotonic()
    time.sleep(4.0)
    elapsed_s = time.monotonic() - started_s
    budget = context.fleet.configuration.measuring.fleet_probes_per_second
    # The budget applies to windows of 10 s, so also to this shorter time.
    assert elapsed_s < 10.0
    assert count_probes() - count_before <= budget * 10.0
