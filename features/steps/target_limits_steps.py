import random

from behave import given
from behave import then
from behave import when

from features.support import limit_faults
from features.support import limited_fleet
from trefoilstand.fleet import codec
from trefoilstand.fleet import rate_limits


@given("{hosts:d} hosts that send {rate:d} requests a second to 12 targets")
def describe_fleet(context, hosts, rate):
    context.fleet_arguments = {"hosts": hosts, "rate_per_s": float(rate)}
    context.events = []


@when("a target states a limit of {limit:f} a second for 20 s")
def limit_one_target(context, limit):
    context.limits_per_s = {"3": limit}
    _simulate(context)


def _simulate(context):
    context.fleet = limited_fleet.simulate(
        limits_per_s=context.limits_per_s,
        events=context.events,
        **context.fleet_arguments,
    )


def _limited_targets(context):
    for target_id, limit_per_s in context.limits_per_s.items():
        yield context.fleet.targets[target_id], limit_per_s


@then("no window of 4 s has more messages from told hosts than allowed")
def check_windows(context):
    for target, limit_per_s in _limited_targets(context):
        largest = target.largest_told_count()
        allowed = limited_fleet.allowed_count(limit_per_s)
        assert largest <= allowed, (largest, allowed)


@then("all hosts together stay within the limit from 3 s on")
def check_total(context):
    start_s = limited_fleet.LIMIT_START_S + limited_fleet.STABILITY_S
    end_s = limited_fleet.LIMIT_END_S
    for target, limit_per_s in _limited_targets(context):
        count = target.count_arrivals(start_s, end_s)
        # One message may cross the edge of the span.
        allowed = limit_per_s * (end_s - start_s) + 1
        assert count <= allowed, (count, allowed)


_RESTART_INTERVAL_S = 1.0
_FIRST_RESTART_S = limited_fleet.LIMIT_START_S + 4.0
_CUT_S = 6.0


def _restart_one_by_one(count):
    def restart(number):
        return lambda fleet: fleet.restart(number)

    return [
        (
            _FIRST_RESTART_S + number * _RESTART_INTERVAL_S * 13 / count,
            restart(number),
        )
        for number in range(count)
    ]


@given("meanwhile all hosts restart one by one")
def restart_in_turn(context):
    context.events = _restart_one_by_one(13)


@given("meanwhile 30 hosts restart one by one")
def restart_some_in_turn(context):
    context.events = _restart_one_by_one(30)


@given("meanwhile all hosts restart at once")
def restart_at_once(context):
    context.events = [
        (_FIRST_RESTART_S, event) for _, event in _restart_one_by_one(13)
    ]


@given("meanwhile three in ten heartbeats are lost")
def lose_heartbeats(context):
    context.fleet_arguments["loss"] = 0.3


@given("meanwhile a failure domain is cut off")
def cut_domain(context):
    async def cut(fleet):
        fleet.net.cut_domains = {"d1"}

    async def heal(fleet):
        fleet.net.cut_domains = set()

    context.events = [
        (_FIRST_RESTART_S, cut),
        (_FIRST_RESTART_S + _CUT_S, heal),
    ]


@when("all targets state a limit of {limit:f} a second for 20 s")
def limit_all_targets(context, limit):
    context.limits_per_s = {str(number): limit for number in range(12)}
    _simulate(context)


@when("{hosts:d} hosts run with the limits, load and faults of seed {seed:d}")
def run_with_faults(context, hosts, seed):
    plan = limit_faults.FaultPlan(seed=seed, hosts=hosts)
    context.fleet = limited_fleet.simulate(
        hosts=hosts,
        rate_per_s=plan.rate_per_s,
        limits_per_s=plan.limits_per_s,
        events=plan.events,
        loss=plan.loss,
        seed=seed,
    )
    context.limits_per_s = plan.highest_per_s


@then("at least half of the permitted requests are served")
def check_served(context):
    start_s = limited_fleet.LIMIT_START_S + limited_fleet.STABILITY_S
    end_s = limited_fleet.LIMIT_END_S
    served = sum(
        end.status == 200 and start_s <= end.time_s < end_s
        for end in context.fleet.ends
    )
    permitted = sum(context.limits_per_s.values()) * (end_s - start_s)
    assert served >= permitted / 2, (served, permitted)


@then("nine in ten refusals come within an eighth of the objective")
def check_refusals(context):
    start_s = limited_fleet.LIMIT_START_S + limited_fleet.STABILITY_S
    waits_s = sorted(
        end.waited_s
        for end in context.fleet.ends
        if end.status == 503
        and start_s <= end.time_s < limited_fleet.LIMIT_END_S
    )
    assert waits_s
    wait_s = waits_s[int(0.9 * len(waits_s))]
    assert wait_s <= limited_fleet.OBJECTIVE_S / 8, wait_s


@then("no request waits for longer than its deadline")
def check_waits(context):
    longest_s = max(end.waited_s for end in context.fleet.ends)
    assert longest_s <= limited_fleet.DEADLINE_S + 0.01, longest_s


@then("it gets at least half of its share of the requests 4 s later")
def check_release(context):
    start_s = limited_fleet.LIMIT_END_S + 4.0
    target = context.fleet.targets["3"]
    counts = [
        item.count_arrivals(start_s, limited_fleet.RUN_S)
        for item in context.fleet.targets.values()
    ]
    mean_count = sum(counts) / len(counts)
    count = target.count_arrivals(start_s, limited_fleet.RUN_S)
    assert count >= mean_count / 2, (count, mean_count)


def _observe(table, now_s, requests_per_s):
    table.record(
        rate_limits.LimitObservation(
            target_id="t",
            incarnation=1,
            requests_per_s=requests_per_s,
            observed_s=now_s,
        ),
        now_s=now_s,
        source="response",
    )


@given(
    "a host that saw the limit of a target end before a suspension of "
    "{seconds:d} s"
)
def suspend_after_release(context, seconds):
    table = rate_limits.RateLimitTable(random_source=random.Random(1))
    _observe(table, 0.0, 4.0)
    _observe(table, 2.0, None)
    table.add_suspension(float(seconds))
    # Its clock has advanced by 0.1 s.
    context.reports = [
        codec.encode_limit(report, 2.1)
        for report in table.choose_reports(8, 2.1)
    ]
    context.resumed_s = 2.1 + seconds


@when("another host has seen a new limit {seconds:d} s before it resumes")
def observe_elsewhere(context, seconds):
    context.limits = rate_limits.RateLimitTable(random_source=random.Random(1))
    _observe(context.limits, context.resumed_s - seconds, 4.0)


@then("the report of the suspended host leaves that limit in force")
def check_limit_kept(context):
    now_s = context.resumed_s
    assert context.reports
    for report in context.reports:
        context.limits.record(
            codec.decode_limit(report, now_s), now_s=now_s, source="host"
        )
    assert context.limits.find("t", 1, now_s) is not None
