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


def _address(number):
    return f"127.9.0.{number + 1}:9000"


def _result(reason, **fields):
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


def _whole(**fields):
    return _result(models.Reason.WHOLE_ANSWER, **fields)


def _place(context, count, ends=True):
    """Begin calls and return how many went to each address."""
    placed = collections.Counter()
    for _ in range(count):
        found = context.engine.begin_attempt("quotes", context.now_s)
        if isinstance(found, models.Refusal):
            placed[found.reason] += 1
            continue
        placed[found.target.address] += 1
        if ends:
            context.engine.finish_attempt(found, _whole(), context.now_s)
    return placed


def _hear_all(context):
    for number in range(4):
        context.engine.observe(
            _address(number), _whole(incarnation="first"), context.now_s
        )


@given("an engine for a service of {count:d} targets")
def make_engine(context, count, leaving=0):
    source = random.Random(7)
    context.now_s = 1000.0
    context.engine = engine.DecisionEngine(
        policy=selection.LeastExpectedWaitPolicy(random_source=source),
        random_source=source,
    )
    context.engine.apply_configuration(
        loader.parse_configuration(
            source_name="test", text=texts.make_text(count, leaving)
        )
    )


@given(
    "an engine for a service of {count:d} targets, of which "
    "{leaving:d} is leaving"
)
def make_leaving_engine(context, count, leaving):
    make_engine(context, count, leaving)


@when("target 0 is found leaving by its own answer")
def leaving_by_answer(context):
    _hear_all(context)
    context.engine.observe(
        _address(0),
        _whole(incarnation="first", is_leaving=True),
        context.now_s,
    )


@when("target 0 is found leaving by a peer")
def leaving_by_peer(context):
    _hear_all(context)
    context.engine.mark_leaving(_address(0), "first", context.now_s)


@when("target 0 is found leaving by a peer before it was ever heard")
def leaving_unheard(context):
    context.engine.mark_leaving(_address(0), "first", context.now_s)


@when("a peer passes on an older report of another incarnation")
def older_report(context):
    message = peer_pb2.TargetReport(
        address=_address(0), incarnation="older", slots=6, age_ms=1500
    )
    result = reports.decode_report(message, context.now_s)
    context.engine.observe(_address(0), result, context.now_s)


@when("a peer says that target 0 is listed as leaving")
def listed_by_peer(context):
    _hear_all(context)
    context.engine.record_peer_listed_leaving(_address(0), context.now_s)


@then("target 0 gets work again {seconds:d} seconds after the last word of it")
def work_after_silence(context, seconds):
    context.now_s += seconds
    context.engine.tick(context.now_s)
    assert _place(context, 100)[_address(0)] > 0


@then("target 0 gets no new work")
def no_new_work(context):
    assert _place(context, 100)[_address(0)] == 0


@then("target 0 gets no new work after a lagging list calls it live")
def no_work_after_list(context):
    context.engine.record_listed_leaving(
        frozenset({_address(0)}), context.now_s
    )
    context.engine.record_listed_leaving(frozenset(), context.now_s)
    context.now_s += 600
    context.engine.tick(context.now_s)
    no_new_work(context)


@then("target 0 gets work again as another incarnation")
def work_again(context):
    context.engine.observe(
        _address(0), _whole(incarnation="second"), context.now_s
    )
    assert _place(context, 100)[_address(0)] > 0


@when("{count:d} calls are begun and ended")
def begin_and_end(context, count):
    context.placed = _place(context, count)


@then("the leaving target got none")
def leaving_got_none(context):
    assert context.placed[_address(0)] == 0
    assert sum(context.placed.values()) == 200


@when("target 0 fails {count:d} times")
def fail_often(context, count):
    for _ in range(count):
        context.engine.observe(
            _address(0),
            _result(models.Reason.CONNECTION_RESET),
            context.now_s,
        )


@then("target 0 gets no new work for a while")
def set_aside(context):
    no_new_work(context)
    context.now_s += 5.0
    assert _place(context, 100)[_address(0)] > 0


@when("all targets fail {count:d} times")
def all_fail(context, count):
    for _ in range(count):
        for number in range(4):
            context.engine.observe(
                _address(number),
                _result(models.Reason.CONNECTION_RESET),
                context.now_s,
            )


@then("at least {count:d} targets still get work")
def still_get_work(context, count):
    assert len(_place(context, 100)) >= count


@when("{count:d} calls are begun and not ended")
def begin_only(context, count):
    context.placed = _place(context, count, ends=False)


@then(
    "{total:d} were placed, {each:d} on each target, and the others "
    "refused as not run"
)
def check_slots(context, total, each):
    refused = context.placed.pop(models.Reason.TARGETS_BUSY)
    assert refused == 30 - total
    assert set(context.placed.values()) == {each}, context.placed


@then("all of them were placed, {each:d} on each target")
def check_all_placed(context, each):
    assert len(context.placed) == 120, context.placed
    assert set(context.placed.values()) == {each}, context.placed


@when("{count:d} calls are begun and each asks for {retries:d} retries")
def ask_retries(context, count, retries):
    context.granted = 0
    for _ in range(count):
        _place(context, 1)
        context.granted += sum(
            context.engine.try_spend_retry("quotes") for _ in range(retries)
        )


@then("at most {count:d} retries were granted")
def check_retries(context, count):
    assert 0 < context.granted <= count, context.granted


@when("target 0 holds a request ten times longer than usual")
def hold_request(context):
    _hear_all(context)
    while True:
        found = context.engine.begin_attempt("quotes", context.now_s)
        if found.target.address == _address(0):
            break
        context.engine.finish_attempt(found, _whole(), context.now_s)
    context.now_s += 0.1


@then("the next {count:d} calls go to other targets")
def check_avoided(context, count):
    placed = _place(context, count, ends=False)
    assert placed[_address(0)] == 0, placed


@when("all but target 0 report full slots and a second passes")
def old_reports(context):
    for number in range(1, 4):
        report = models.LoadReport(
            in_flight=6, slots=6, observed_s=context.now_s
        )
        context.engine.observe(
            _address(number), _whole(report=report), context.now_s
        )
    context.now_s += 1.0


@then("calls are spread over all targets")
def check_spread(context):
    assert len(_place(context, 100)) == 4


@given("a non-repeatable call whose attempt ended unknown")
def unknown_attempt(context):
    context.attempts = attempts.CallAttempts(is_repeatable=False)
    context.attempts.start()
    context.attempts.finish(
        models.ClassifiedOutcome(
            outcome=models.Outcome.UNKNOWN,
            reason=models.Reason.CONNECTION_RESET,
        )
    )


@then("a further attempt raises a typed error")
def check_invariant(context):
    assert not context.attempts.may_attempt()
    try:
        context.attempts.start()
    except attempts.RepeatedRunError:
        return
    raise AssertionError("no error")
