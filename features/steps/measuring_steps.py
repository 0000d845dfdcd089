import bisect
import random

from behave import given
from behave import then
from behave import when

from features.support import scripted_target as scripted
from features.support import texts
from trefoilstand.configuration import loader
from trefoilstand.configuration import models as configuration_models
from trefoilstand.decision import engine
from trefoilstand.decision import selection
from trefoilstand.measuring import budget
from trefoilstand.measuring import prober
from trefoilstand.telemetry import metrics
from trefoilstand.util import clock as clocks


def _make_budget(
    fleet_probes_per_second,
    processes,
    bytes_per_second=1e9,
    target_probes_per_second=3.0,
):
    return configuration_models.MeasuringBudget(
        fleet_probes_per_second=fleet_probes_per_second,
        fleet_bytes_per_second=bytes_per_second,
        target_probes_per_second=target_probes_per_second,
        max_entry_processes=processes,
    )


@given(
    "a fleet of {count:d} processes that share a budget of "
    "{probes:d} probes a second"
)
def make_rate_limiters(context, count, probes):
    context.budget = _make_budget(probes, count)
    context.rate_limiters = [
        _make_rate_limiter(context.budget) for _ in range(count)
    ]


def _make_rate_limiter(measuring_budget):
    rate_limiter = budget.ProbeRateLimiter()
    rate_limiter.set_share(budget.compute_share(measuring_budget, 1))
    return rate_limiter


@when("they probe as fast as permitted for {seconds:d} seconds, with freezes")
def probe_greedily(context, seconds):
    random_source = random.Random(11)
    context.sent_probes = []
    frozen_until_s = [0.0] * len(context.rate_limiters)
    now_s = 0.0
    while now_s < seconds:
        now_s += 0.02
        for index, rate_limiter in enumerate(context.rate_limiters):
            if now_s < frozen_until_s[index]:
                continue
            if random_source.random() < 0.001:
                frozen_until_s[index] = now_s + random_source.uniform(
                    0.1, 25.0
                )
            if random_source.random() < 0.0005:
                # The process reloads its text, which gives the same share.
                rate_limiter.set_share(budget.compute_share(context.budget, 1))
            target = f"target-{random_source.randrange(3)}"
            if rate_limiter.try_spend(target, now_s):
                context.sent_probes.append((now_s, target))


def _max_count_in_window(sorted_times_s, length_s):
    max_count = 0
    for index, start_s in enumerate(sorted_times_s):
        end_index = bisect.bisect_left(
            sorted_times_s, start_s + length_s - 1e-9
        )
        max_count = max(max_count, end_index - index)
    return max_count


@then("no window of {length_s:d} seconds holds more than {limit:d} probes")
def check_fleet_window(context, length_s, limit):
    times_s = [time_s for time_s, _ in context.sent_probes]
    probe_count = _max_count_in_window(times_s, length_s)
    assert probe_count <= limit, probe_count


@then(
    "no window of {length_s:d} seconds holds more than {limit:d} probes "
    "of one target"
)
def check_target_window(context, length_s, limit):
    for address in {target for _, target in context.sent_probes}:
        times_s = [
            time_s
            for time_s, target in context.sent_probes
            if target == address
        ]
        probe_count = _max_count_in_window(times_s, length_s)
        assert probe_count <= limit, probe_count


@then("at least half of the budget was used")
def check_budget_used(context):
    # Three targets with 3 probes/s each are a tighter limit than the
    # 12 probes/s of the fleet.
    assert len(context.sent_probes) >= 3 * 3 * 300 / 2, len(
        context.sent_probes
    )


@given("a budget of {probes:d} probes a second for {processes:d} processes")
def set_probe_budget(context, probes, processes):
    context.budget = _make_budget(probes, processes)


@given(
    "a budget of {probes:d} probes and {bytes_per_second:d} bytes a second "
    "for {processes:d} processes"
)
def set_byte_budget(context, probes, bytes_per_second, processes):
    context.budget = _make_budget(
        probes, processes, bytes_per_second=bytes_per_second
    )


@then(
    "with {known_processes:d} known processes each may send {probes:d} "
    "probes a window"
)
def check_share_for_known(context, known_processes, probes):
    share = budget.compute_share(context.budget, known_processes)
    assert share.window_probes == probes, share


@then("each may send {probes:d} probes a window")
def check_share(context, probes):
    share = budget.compute_share(context.budget, 1)
    assert share.window_probes == probes, share


class _FreezingClock(clocks.ManualClock):
    """Advance by 5 s after each reading, as a freeze after a permit does."""

    def now_s(self):
        now_s = super().now_s()
        self.advance(5.0)
        return now_s


@given("a process that freezes between the permit and the probe")
def run_freezing_prober(context):
    context.target = scripted.ScriptedTarget([scripted.READ])
    context.add_cleanup(context.target.close)
    random_source = random.Random(1)
    decision_engine = engine.DecisionEngine(
        policy=selection.RandomPolicy(random_source=random_source),
        random_source=random_source,
    )
    text = texts.make_text(1).replace("127.9.0.1:9000", context.target.address)
    decision_engine.apply_configuration(
        loader.parse_configuration(source_name="t", text=text)
    )
    context.metrics = metrics.Metrics()
    target_prober = prober.Prober(
        decisions=decision_engine,
        probe_limiter=_make_rate_limiter(
            _make_budget(100.0, 1, target_probes_per_second=100.0)
        ),
        clock=_FreezingClock(),
        process_metrics=context.metrics,
        listener=lambda address, statement: None,
        is_serving=lambda: True,
    )
    target_prober.step()


@then("the target sees no probe")
def check_no_probe(context):
    assert context.target.requests == []
    rendered, _ = context.metrics.render("")
    assert b"trefoilstand_probes_total 1" in rendered
