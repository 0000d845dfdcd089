import collections
import random

from behave import given
from behave import then
from behave import when

from features.support import texts
from trefoilstand.configuration import loader
from trefoilstand.decision import attempts
from trefoilstand.decision import engine
from trefoilstand.decision import models
from trefoilstand.decision import selection
from trefoilstand.peers import peer_pb2
from trefoilstand.peers import reports


def _target_address(number):
    return f"127.9.0.{number + 1}:9000"


def _make_result(reason, **fields):
    outcome = models.Outcome.ANSWERED
    if reason is not models.Reason.WHOLE_ANSWER:
        outcome = models.Outcome.UNKNOWN
    return models.AttemptResult(
        classified_outcome=models.ClassifiedOutcome(
            outcome=outcome, reason=reason
        ),
        latency_ms=10.0,
        **fields,
    )


def _make_answered_result(**fields):
    return _make_result(models.Reason.WHOLE_ANSWER, **fields)


def _start_calls(context, count, finishes=True):
    """Start calls and count them by target address or refusal reason."""
    placed_counts = collections.Counter()
    for _ in range(count):
        placement = context.engine.begin_attempt("quotes", context.now_s)
        if isinstance(placement, models.Refusal):
            placed_counts[placement.reason] += 1
            continue
        placed_counts[placement.target.address] += 1
        if finishes:
            context.engine.finish_attempt(
                placement, _make_answered_result(), context.now_s
            )
    return placed_counts


def _observe_all_targets(context):
    for number in range(4):
        context.engine.observe(
            _target_address(number),
            _make_answered_result(incarnation="first"),
            context.now_s,
        )


@given("an engine for a service of {count:d} targets")
def make_engine(context, count, leaving_count=0):
    random_source = random.Random(7)
    context.now_s = 1000.0
    context.engine = engine.DecisionEngine(
        policy=selection.LeastExpectedWaitPolicy(random_source=random_source),
        random_source=random_source,
    )
    context.engine.apply_configuration(
        loader.parse_configuration(
            source_name="test", text=texts.make_text(count, leaving_count)
        )
    )


@given(
    "an engine for a service of {count:d} targets, of which "
    "{leaving_count:d} is leaving"
)
def make_leaving_engine(context, count, leaving_count):
    make_engine(context, count, leaving_count)


@when("target 0 is reported as leaving by its own answer")
def report_leaving_by_response(context):
    _observe_all_targets(context)
    context.engine.observe(
        _target_address(0),
        _make_answered_result(incarnation="first", is_leaving=True),
        context.now_s,
    )


@when("target 0 is reported as leaving by a peer")
def report_leaving_by_peer(context):
    _observe_all_targets(context)
    context.engine.mark_leaving(_target_address(0), "first", context.now_s)


@when("target 0 is reported as leaving by a peer before it was ever heard")
def report_leaving_before_first_response(context):
    context.engine.mark_leaving(_target_address(0), "first", context.now_s)


@when("a peer forwards an older report of another incarnation")
def observe_older_report(context):
    message = peer_pb2.TargetReport(
        address=_target_address(0), incarnation="older", slots=6, age_ms=1500
    )
    result = reports.decode_report(message, context.now_s)
    context.engine.observe(_target_address(0), result, context.now_s)


@when("a peer reports that target 0 is listed as leaving")
def report_listed_by_peer(context):
    _observe_all_targets(context)
    context.engine.record_peer_listed_leaving(
        _target_address(0), context.now_s
    )


@then(
    "target 0 gets work again {seconds:d} seconds after the last such report"
)
def check_work_after_expiry(context, seconds):
    context.now_s += seconds
    context.engine.tick(context.now_s)
    assert _start_calls(context, 100)[_target_address(0)] > 0


@then("target 0 gets no new work")
def check_no_new_work(context):
    assert _start_calls(context, 100)[_target_address(0)] == 0


@then("target 0 gets no new work after a stale list shows it as live")
def check_no_work_after_stale_list(context):
    context.engine.record_listed_leaving(
        frozenset({_target_address(0)}), context.now_s
    )
    context.engine.record_listed_leaving(frozenset(), context.now_s)
    context.now_s += 600
    context.engine.tick(context.now_s)
    check_no_new_work(context)


@then("target 0 gets work again as another incarnation")
def check_work_as_new_incarnation(context):
    context.engine.observe(
        _target_address(0),
        _make_answered_result(incarnation="second"),
        context.now_s,
    )
    assert _start_calls(context, 100)[_target_address(0)] > 0


@when("{count:d} calls are started and finished")
def start_and_finish_calls(context, count):
    context.placed_counts = _start_calls(context, count)


@then("the leaving target got no call")
def check_leaving_got_no_call(context):
    assert context.placed_counts[_target_address(0)] == 0
    assert sum(context.placed_counts.values()) == 200


@when("target 0 fails {count:d} times")
def record_failures(context, count):
    for _ in range(count):
        context.engine.observe(
            _target_address(0),
            _make_result(models.Reason.CONNECTION_RESET),
            context.now_s,
        )


@then("target 0 gets no new work until its ejection ends")
def check_ejected(context):
    check_no_new_work(context)
    context.now_s += 5.0
    assert _start_calls(context, 100)[_target_address(0)] > 0


@when("all targets fail {count:d} times")
def record_failures_of_all(context, count):
    for _ in range(count):
        for number in range(4):
            context.engine.observe(
                _target_address(number),
                _make_result(models.Reason.CONNECTION_RESET),
                context.now_s,
            )


@then("at least {count:d} targets still get work")
def check_targets_with_work(context, count):
    assert len(_start_calls(context, 100)) >= count


@when("{count:d} calls are started and not finished")
def start_calls_only(context, count):
    context.placed_counts = _start_calls(context, count, finishes=False)


@then(
    "{total:d} were placed, {per_target:d} on each target, and the others "
    "refused as not run"
)
def check_slots_respected(context, total, per_target):
    refused_count = context.placed_counts.pop(models.Reason.TARGETS_BUSY)
    assert refused_count == 30 - total
    assert set(context.placed_counts.values()) == {per_target}, (
        context.placed_counts
    )


@then("all of them were placed, {per_target:d} on each target")
def check_all_placed(context, per_target):
    assert len(context.placed_counts) == 120, context.placed_counts
    assert set(context.placed_counts.values()) == {per_target}, (
        context.placed_counts
    )


@when("{count:d} calls are started and each requests {retries:d} retries")
def request_retries(context, count, retries):
    context.granted_retries = 0
    for _ in range(count):
        _start_calls(context, 1)
        context.granted_retries += sum(
            context.engine.try_spend_retry("quotes") for _ in range(retries)
        )


@then("at most {count:d} retries were granted")
def check_retries(context, count):
    assert 0 < context.granted_retries <= count, context.granted_retries


@when("a request on target 0 takes ten times longer than usual")
def hold_request_on_first_target(context):
    _observe_all_targets(context)
    while True:
        placement = context.engine.begin_attempt("quotes", context.now_s)
        if placement.target.address == _target_address(0):
            break
        context.engine.finish_attempt(
            placement, _make_answered_result(), context.now_s
        )
    context.now_s += 0.1


@then("the next {count:d} calls go to other targets")
def check_avoided(context, count):
    placed_counts = _start_calls(context, count, finishes=False)
    assert placed_counts[_target_address(0)] == 0, placed_counts


@when("all but target 0 report full slots and a second passes")
def observe_full_slots(context):
    for number in range(1, 4):
        report = models.LoadReport(
            in_flight=6, slots=6, observed_s=context.now_s
        )
        context.engine.observe(
            _target_address(number),
            _make_answered_result(report=report),
            context.now_s,
        )
    context.now_s += 1.0


@then("calls are spread over all targets")
def check_spread(context):
    assert len(_start_calls(context, 100)) == 4


@given("a non-repeatable call whose attempt ended unknown")
def make_unknown_attempt(context):
    context.attempts = attempts.CallAttempts(is_repeatable=False)
    context.attempts.start()
    context.attempts.finish(
        models.ClassifiedOutcome(
            outcome=models.Outcome.UNKNOWN,
            reason=models.Reason.CONNECTION_RESET,
        )
    )


@then("a further attempt raises RepeatedRunError")
def check_further_attempt_fails(context):
    assert not context.attempts.may_attempt()
    try:
        context.attempts.start()
    except attempts.RepeatedRunError:
        return
    raise AssertionError("a second attempt raised no RepeatedRunError")
