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


def _budget(probes, processes, bytes_per_second=1e9, target=3.0):
    return configuration_models.MeasuringBudget(
        fleet_probes_per_second=probes,
        fleet_bytes_per_second=bytes_per_second,
        target_probes_per_second=target,
        max_entry_processes=processes,
    )


@given(
    "a fleet of {count:d} processes that share a budget of "
    "{probes:d} probes a second"
)
def fleet_of_ledgers(context, count, probes):
    context.budget = _budget(probes, count)
    context.ledgers = [_ledger(context.budget) for _ in range(count)]


def _ledger(text_budget):
    made = budget.ProbeRateLimiter()
    made.set_share(budget.compute_share(text_budget, 1))
    return made


@when("they probe as fast as they may for {seconds:d} seconds, with freezes")
def probe_greedily(context, seconds):
    source = random.Random(11)
    context.sent = []
    frozen_until_s = [0.0] * len(context.ledgers)
    now_s = 0.0
    while now_s < seconds:
        now_s += 0.02
        for index, ledger in enumerate(context.ledgers):
            if now_s < frozen_until_s[index]:
                continue
            if source.random() < 0.001:
                frozen_until_s[index] = now_s + source.uniform(0.1, 25.0)
            if source.random() < 0.0005:
                # Its text is read again and gives the same share.
                ledger.set_share(budget.compute_share(context.budget, 1))
            target = f"target-{source.randrange(3)}"
            if ledger.try_spend(target, now_s):
                context.sent.append((now_s, target))


def _greatest_window(times, length_s):
    greatest = 0
    for index, start_s in enumerate(times):
        end = bisect.bisect_left(times, start_s + length_s - 1e-9)
        greatest = max(greatest, end - index)
    return greatest


@then("no window of {length:d} seconds holds more than {limit:d} probes")
def check_window(context, length, limit):
    times = [time_s for time_s, _ in context.sent]
    found = _greatest_window(times, length)
    assert found <= limit, found


@then(
    "no window of {length:d} seconds holds more than {limit:d} probes "
    "of one target"
)
def check_target_window(context, length, limit):
    for name in {target for _, target in context.sent}:
        times = [time_s for time_s, target in context.sent if target == name]
        found = _greatest_window(times, length)
        assert found <= limit, found


@then("at least half of the budget was used")
def check_use(context):
    # Three targets of 3 probes a second bind before the fleet's 12.
    assert len(context.sent) >= 3 * 3 * 300 / 2, len(context.sent)


@given("a budget of {probes:d} probes a second for {processes:d} processes")
def plain_budget(context, probes, processes):
    context.budget = _budget(probes, processes)


@given(
    "a budget of {probes:d} probes and {size:d} bytes a second for "
    "{processes:d} processes"
)
def byte_budget(context, probes, size, processes):
    context.budget = _budget(probes, processes, bytes_per_second=size)


@then("{known:d} known processes leave {probes:d} probes a window to each")
def check_shrunk(context, known, probes):
    share = budget.compute_share(context.budget, known)
    assert share.window_probes == probes, share


@then("each may send {probes:d} probes a window")
def check_bytes(context, probes):
    share = budget.compute_share(context.budget, 1)
    assert share.window_probes == probes, share


class _FreezingClock(clocks.ManualClock):
    """Jumps ahead after the permit was given."""

    def now_s(self):
        found = super().now_s()
        self.advance(5.0)
        return found


@given("a process that freezes between the permit and the probe")
def freezing_prober(context):
    context.target = scripted.ScriptedTarget([scripted.READ])
    context.add_cleanup(context.target.close)
    source = random.Random(1)
    decisions = engine.DecisionEngine(
        policy=selection.RandomPolicy(random_source=source),
        random_source=source,
    )
    text = texts.make_text(1).replace("127.9.0.1:9000", context.target.address)
    decisions.apply_configuration(
        loader.parse_configuration(source_name="t", text=text)
    )
    context.metrics = metrics.Metrics()
    made = prober.Prober(
        decisions=decisions,
        probe_limiter=_ledger(_budget(100.0, 1, target=100.0)),
        clock=_FreezingClock(),
        process_metrics=context.metrics,
        listener=lambda address, statement: None,
        is_serving=lambda: True,
    )
    made.step()


@then("the target sees no probe")
def check_no_probe(context):
    assert context.target.requests == []
    rendered, _ = context.metrics.render("")
    assert b"trefoilstand_probes_total 1" in rendered
