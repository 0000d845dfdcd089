import itertools

from behave import given
from behave import then
from behave import when

from features.support import scripted_target as scripted
from trefoilstand.decision import models as decision_models
from trefoilstand.decision import outcomes
from trefoilstand.targets import exchange
from trefoilstand.targets import models
from trefoilstand.util import clock as clocks

_BODY = b"answer"
_SCRIPTS_BY_FAILURE = {
    "closes after the connect": [scripted.CLOSE],
    "resets after the connect": [scripted.RESET],
    "resets in the request": [scripted.READ_SOME, scripted.RESET],
    "closes after the request": [scripted.READ, scripted.CLOSE],
    "resets after the request": [scripted.READ, scripted.RESET],
    "closes in the header": [
        scripted.READ,
        scripted.send(b"HTTP/1.1 200 OK\r\nContent-Le"),
        scripted.CLOSE,
    ],
    "closes after an empty length": [
        scripted.READ,
        scripted.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"),
        scripted.CLOSE,
    ],
    "closes after a bodiless status": [
        scripted.READ,
        scripted.send(b"HTTP/1.1 204 No Content\r\n"),
        scripted.CLOSE,
    ],
    "closes in the body": [
        scripted.READ,
        scripted.send(scripted.make_response(_BODY)[:-2]),
        scripted.CLOSE,
    ],
    "resets in the body": [
        scripted.READ,
        scripted.send(scripted.make_response(_BODY)[:-2]),
        scripted.sleep(0.05),
        scripted.RESET,
    ],
    "closes in a chunked body": [
        scripted.READ,
        scripted.send(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"4\r\nroof\r\n"
        ),
        scripted.CLOSE,
    ],
    "closes a body without length": [
        scripted.READ,
        scripted.send(b"HTTP/1.1 200 OK\r\n\r\nroof"),
        scripted.CLOSE,
    ],
    "closes after the body": [
        scripted.READ,
        scripted.send(scripted.make_response(_BODY)),
        scripted.CLOSE,
    ],
    "never answers": [scripted.READ, scripted.sleep(3.0)],
    "answers garbage": [scripted.READ, scripted.send(b"\x00\x01" * 40)],
    "answers too much": [
        scripted.READ,
        scripted.send(scripted.make_response(b"x" * 5000)),
    ],
    "sends two interim answers": [
        scripted.READ,
        scripted.send(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
        scripted.send(b"HTTP/1.1 103 Early Hints\r\n\r\n"),
        scripted.send(scripted.make_response(_BODY)),
    ],
    "sends two answers": [
        scripted.READ,
        scripted.send(
            scripted.make_response(_BODY) + scripted.make_response(b"other")
        ),
    ],
}
_ANSWER_AND_KEEP_ALIVE = [scripted.READ, scripted.respond_with_echo(b"one")]


class JumpingClock(clocks.Clock):
    """Return 0 at the first reading and a time past all deadlines later."""

    def __init__(self) -> None:
        self._reading_count = 0

    def now_s(self) -> float:
        self._reading_count += 1
        return 0.0 if self._reading_count <= 1 else 1e6


def _use_target(context, *scripts):
    context.target = scripted.ScriptedTarget(*scripts)
    context.address = context.target.address
    context.add_cleanup(context.target.close)


def _exchange(context, body=b"", is_repeatable=False, timeout_s=0.4):
    if not hasattr(context, "client"):
        context.clock = getattr(context, "clock", clocks.MonotonicClock())
        context.client = exchange.TargetClient(clock=context.clock)
    now_s = 0.0
    if isinstance(context.clock, clocks.MonotonicClock):
        now_s = context.clock.now_s()
    context.response = context.client.exchange(
        models.TargetRequest(
            address=context.address,
            method="POST",
            path="/bookings",
            headers=(),
            body=body,
            deadline_s=now_s + timeout_s,
            is_repeatable=is_repeatable,
            max_response_bytes=1000,
        )
    )
    context.classified_outcome = outcomes.classify(
        outcomes.ExchangeObservations(
            send_permitted=context.response.send_permitted,
            fault=context.response.fault,
            is_framed=context.response.is_framed,
            is_unstarted_reply=False,
        )
    )


@given("a target that closes a kept-alive connection after reading a request")
def make_target_closing_reused(context):
    first_script = [*_ANSWER_AND_KEEP_ALIVE, scripted.READ, scripted.CLOSE]
    _use_target(
        context, _ANSWER_AND_KEEP_ALIVE, first_script, _ANSWER_AND_KEEP_ALIVE
    )


@given("a target that closes every connection after reading a request")
def make_target_closing_all(context):
    _use_target(context, [scripted.READ, scripted.CLOSE])


@given("a target that refuses connections")
def use_closed_address(context):
    context.address = scripted.closed_address()


@given("a target that responds to the first request too late")
def make_late_target(context):
    late_script = [
        scripted.READ,
        scripted.sleep(0.6),
        scripted.send(scripted.make_response(b"late")),
        scripted.sleep(1.0),
    ]
    context.own_body = b"own"
    own_script = [scripted.READ, scripted.respond_with_echo(b"own")]
    _use_target(context, late_script, own_script)


@given("a target that sends an unsolicited response {moment}")
def make_target_with_unsolicited(context, moment):
    unsolicited = scripted.send(scripted.make_response(b"stray"))
    if moment.startswith("as soon as"):
        # The unsolicited response is sent after the next request was
        # read, so that no check before the send can detect it.
        second_exchange = [
            scripted.READ,
            unsolicited,
            scripted.respond_with_echo(b"own"),
        ]
    else:
        second_exchange = [
            unsolicited,
            scripted.READ,
            scripted.respond_with_echo(b"own"),
        ]
    first_script = [
        scripted.READ,
        scripted.respond_with_echo(b"one"),
        *second_exchange,
    ]
    if moment.endswith("without echo"):
        first_script = [
            scripted.READ,
            scripted.send(scripted.make_response(b"one")),
            *second_exchange,
        ]
    # The first connection is not reused, since nothing is known about
    # the target yet.
    own_script = [scripted.READ, scripted.respond_with_echo(b"own")]
    context.own_body = b"own"
    _use_target(context, own_script, first_script, own_script)


@given("a clock that jumps past the deadline before the send")
def set_jumping_clock(context):
    context.clock = JumpingClock()


@given("all combinations of observations")
def make_all_observations(context):
    context.observations = [
        outcomes.ExchangeObservations(
            send_permitted=is_permitted,
            fault=fault,
            is_framed=is_framed,
            is_unstarted_reply=is_unstarted,
        )
        for is_permitted, fault, is_framed, is_unstarted in itertools.product(
            (True, False),
            (None, *outcomes.Fault),
            (True, False),
            (True, False),
        )
        if is_permitted or fault is not None
    ]


@given("a target that {cut}")
def make_failing_target(context, cut):
    _use_target(context, _SCRIPTS_BY_FAILURE[cut])


@when('a {kind} request with body "{body}" is exchanged 3 times')
def exchange_three_times(context, kind, body):
    for _ in range(3):
        _exchange(context, body.encode(), is_repeatable=kind == "repeatable")


@when('a {kind} request with body "" is exchanged 3 times')
def exchange_empty_three_times(context, kind):
    exchange_three_times(context, kind, "")


@when('a non-repeatable request with body "{body}" is exchanged')
def exchange_once(context, body):
    _exchange(context, body.encode())


@when('a non-repeatable request with body "" is exchanged')
def exchange_empty(context):
    _exchange(context)


@when("a repeatable request times out and another one follows")
def time_out_and_follow(context):
    _exchange(context, is_repeatable=True)
    assert (
        context.classified_outcome.outcome is decision_models.Outcome.UNKNOWN
    )
    _exchange(context, is_repeatable=True, timeout_s=2.0)


@then("the target has read {count:d} requests")
def check_request_count(context, count):
    assert len(context.target.requests) == count, context.target.requests


@then("the exchange ended with {outcome} because of {reason}")
def check_outcome_and_reason(context, outcome, reason):
    classified_outcome = context.classified_outcome
    assert (classified_outcome.outcome, classified_outcome.reason) == (
        outcome,
        reason,
    ), classified_outcome


@then("the exchange ended with {outcome}")
def check_outcome(context, outcome):
    assert context.classified_outcome.outcome == outcome, (
        context.classified_outcome
    )


@then("the last response is its own or does not count as answered")
def check_own_or_unanswered(context):
    if context.classified_outcome.outcome is decision_models.Outcome.ANSWERED:
        check_own_response(context)


@then("the last response is its own")
def check_own_response(context):
    assert context.response.body == context.own_body, context.response


@then('"not run" is reported only when nothing was sent or the target shed it')
def check_not_run(context):
    for observations in context.observations:
        outcome = outcomes.classify(observations).outcome
        is_shed = (
            observations.fault is None
            and observations.is_unstarted_reply
            and observations.is_framed
        )
        may_be_not_run = not observations.send_permitted or is_shed
        if outcome is decision_models.Outcome.NOT_RUN:
            assert may_be_not_run, observations
        if outcome is decision_models.Outcome.ANSWERED:
            assert observations.fault is None and observations.is_framed, (
                observations
            )
