from behave import given
from behave import then
from behave import when

from trefoilstand.gateway import const
from trefoilstand.gateway import probe_budget
from trefoilstand.gateway import retry_budget

_PROBES_PER_TARGET_S = 60.0
_PROBED_TARGETS = 32
_PROBE_RUN_S = 60.0
_PROBE_STEP_S = 0.05


@given("{hosts:d} hosts that share 60 probes a second of each of 32 targets")
def shared_probe_budget(context, hosts):
    context.host_count = hosts


@when("all start at once and know {known:d} hosts for {period_s:g} s")
def start_with_few_known(context, known, period_s):
    context.known = known
    context.learning_s = period_s


@when("they start at once again after 20 s and after 40 s")
def probe_and_restart(context):
    """Spend the probes of one host; all hosts behave alike."""
    starts_s = (0.0, 20.0, 40.0)
    context.probes_sent = 0
    context.early_probes = []
    for start_s in starts_s:
        tracker = retry_budget.HostCountTracker(now_s=start_s)
        budget = probe_budget.ProbeBudget(hosts=tracker, now_s=start_s)
        early_probes = 0
        for step in range(round(_PROBE_RUN_S / 3 / _PROBE_STEP_S)):
            now_s = start_s + step * _PROBE_STEP_S
            is_learning = now_s < start_s + context.learning_s
            count = context.known if is_learning else context.host_count
            _update_hosts(context, tracker, count, now_s)
            budget.update(
                probes_per_target_s=_PROBES_PER_TARGET_S,
                target_count=_PROBED_TARGETS,
                now_s=now_s,
            )
            while budget.bucket.try_acquire(now_s):
                context.probes_sent += 1
                if now_s <= start_s + 0.1:
                    early_probes += 1
        context.early_probes.append(early_probes)


def _update_hosts(context, tracker, count, now_s):
    tracker.update(count, now_s)


@then("all hosts send at most the probes that the targets accept in 60 s")
def check_probe_total(context):
    sent = context.probes_sent * context.host_count
    accepted = _PROBES_PER_TARGET_S * _PROBED_TARGETS * _PROBE_RUN_S
    assert sent <= accepted, (sent, accepted)


@then("a host may probe within 0.1 s after each start")
def check_early_probes(context):
    assert min(context.early_probes) >= 1, context.early_probes


@when("one of them has just started")
def start_one(context):
    tracker = retry_budget.HostCountTracker(now_s=0.0)
    _update_hosts(context, tracker, context.host_count, 0.0)
    budget = probe_budget.ProbeBudget(hosts=tracker, now_s=0.0)
    budget.update(
        probes_per_target_s=_PROBES_PER_TARGET_S,
        target_count=_PROBED_TARGETS,
        now_s=0.0,
    )
    context.bucket = budget.bucket


@then("a repeated search may send a probe")
def check_repeated_search(context):
    assert _acquire_for_repeated_search(context)


def _acquire_for_repeated_search(context):
    return context.bucket.try_acquire(
        0.0, reserve_share=const.REPEATED_SEARCH_RESERVE_SHARE
    )


@then("it leaves the probes of {seconds:g} s to new requests")
def check_reserve(context, seconds):
    while _acquire_for_repeated_search(context):
        pass
    left = 0
    while context.bucket.try_acquire(0.0):
        left += 1
    # Of the probes that the targets accept, the fleet uses eight in ten.
    rate_per_s = _PROBES_PER_TARGET_S * _PROBED_TARGETS * 0.8
    reserved = int(rate_per_s / context.host_count * seconds)
    assert left >= reserved, (left, reserved)
