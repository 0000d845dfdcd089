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

_ROOF = b"answer"
_CUTS = {
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
        scripted.send(scripted.whole(_ROOF)[:-2]),
        scripted.CLOSE,
    ],
    "resets in the body": [
        scripted.READ,
        scripted.send(scripted.whole(_ROOF)[:-2]),
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
        scripted.send(scripted.whole(_ROOF)),
        scripted.CLOSE,
    ],
    "never answers": [scripted.READ, scripted.sleep(3.0)],
    "answers garbage": [scripted.READ, scripted.send(b"\x00\x01" * 40)],
    "answers too much": [
        scripted.READ,
        scripted.send(scripted.whole(b"x" * 5000)),
    ],
    "sends two interim answers": [
        scripted.READ,
        scripted.send(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
        scripted.send(b"HTTP/1.1 103 Early Hints\r\n\r\n"),
        scripted.send(scripted.whole(_ROOF)),
    ],
    "sends two answers": [
        scripted.READ,
        scripted.send(scripted.whole(_ROOF) + scripted.whole(b"other")),
    ],
}
_KEPT = [scripted.READ, scripted.answer(b"one")]


class JumpingClock(clocks.Clock):
    """Runs normally for two readings, then stands past every deadline."""

    def __init__(self) -> None:
        self._readings = 0

    def now_s(self) -> float:
        self._readings += 1
        return 0.0 if self._readings <= 1 else 1e6


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
    context.answer = context.client.exchange(
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
            send_permitted=context.answer.send_permitted,
            fault=context.answer.fault,
            is_framed=context.answer.is_framed,
            is_unstarted_reply=False,
        )
    )


@given("a target that closes a kept connection after reading a request")
def dying_kept_connection(context):
    first = [*_KEPT, scripted.READ, scripted.CLOSE]
    _use_target(context, _KEPT, first, _KEPT)


@given("a target that closes every connection after reading a request")
def dying_connections(context):
    _use_target(context, [scripted.READ, scripted.CLOSE])


@given("a target that refuses connections")
def refusing_target(context):
    context.address = scripted.closed_address()


@given("a target that answers the first request too late")
def late_target(context):
    late = [
        scripted.READ,
        scripted.sleep(0.6),
        scripted.send(scripted.whole(b"late")),
        scripted.sleep(1.0),
    ]
    context.own_body = b"own"
    own = [scripted.READ, scripted.answer(b"own")]
    _use_target(context, late, own)


@given("a target that sends a stray answer {moment}")
def talkative_target(context, moment):
    stray = scripted.send(scripted.whole(b"stray"))
    if moment.startswith("as soon as"):
        # The stray answer is sent after the next request was read, so
        # that no check before the send can see it.
        second = [scripted.READ, stray, scripted.answer(b"own")]
    else:
        second = [stray, scripted.READ, scripted.answer(b"own")]
    first = [scripted.READ, scripted.answer(b"one"), *second]
    if moment.endswith("without echo"):
        first = [
            scripted.READ,
            scripted.send(scripted.whole(b"one")),
            *second,
        ]
    # The first connection is not kept, since nothing is known yet.
    own = [scripted.READ, scripted.answer(b"own")]
    context.own_body = b"own"
    _use_target(context, own, first, own)


@given("a clock that jumps past the deadline before the send")
def jumping_clock(context):
    context.clock = JumpingClock()


@given("evidence of every kind")
def all_evidence(context):
    context.evidence = [
        outcomes.ExchangeObservations(
            send_permitted=permitted,
            fault=fault,
            is_framed=framed,
            is_unstarted_reply=unstarted,
        )
        for permitted, fault, framed, unstarted in itertools.product(
            (True, False),
            (None, *outcomes.Fault),
            (True, False),
            (True, False),
        )
        if permitted or fault is not None
    ]


@given("a target that {cut}")
def cutting_target(context, cut):
    _use_target(context, _CUTS[cut])


@when('a {kind} request with body "{body}" is exchanged 3 times')
def exchange_often(context, kind, body):
    for _ in range(3):
        _exchange(context, body.encode(), is_repeatable=kind == "repeatable")


@when('a {kind} request with body "" is exchanged 3 times')
def exchange_empty_often(context, kind):
    exchange_often(context, kind, "")


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
def check_arrivals(context, count):
    assert len(context.target.requests) == count, context.target.requests


@then("the exchange ended with {outcome} because of {reason}")
def check_end(context, outcome, reason):
    found = context.classified_outcome
    assert (found.outcome, found.reason) == (outcome, reason), found


@then("the exchange ended with {outcome}")
def check_outcome(context, outcome):
    assert context.classified_outcome.outcome == outcome, (
        context.classified_outcome
    )


@then("the last answer is its own or is not passed off as whole")
def check_own_or_refused(context):
    if context.classified_outcome.outcome is decision_models.Outcome.ANSWERED:
        check_own(context)


@then("the last answer is its own")
def check_own(context):
    assert context.answer.body == context.own_body, context.answer


@then('"not run" is said only when no byte left or the target shed it')
def check_evidence(context):
    for evidence in context.evidence:
        judged = outcomes.classify(evidence).outcome
        is_shed = (
            evidence.fault is None
            and evidence.is_unstarted_reply
            and evidence.is_framed
        )
        may_deny = not evidence.send_permitted or is_shed
        if judged is decision_models.Outcome.NOT_RUN:
            assert may_deny, evidence
        if judged is decision_models.Outcome.ANSWERED:
            assert evidence.fault is None and evidence.is_framed, evidence
