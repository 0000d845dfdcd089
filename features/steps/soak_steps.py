import asyncio
import types

from behave import given
from behave import then
from behave import when

from features.support import soak
from features.support import soak_checks

_END_S = 1000.0


@given("the faults of seed {seed:d}")
def seeded(context, seed):
    context.seed = seed


@when("they strike real entry hosts for {seconds:d} s")
def strike(context, seconds):
    async def whole():
        async with soak.Soak(
            seed=context.seed, duration_s=seconds, hosts=3
        ) as played:
            await played.run()
        return played

    context.played = asyncio.run(whole())


@then("callers and targets saw no broken promise")
def none_broken(context):
    played = context.played
    assert not played.violations, (played.faults, played.violations)


@given("the record of a run in calm")
def calm(context):
    evidence = soak_checks.Evidence(
        disturbed=[soak_checks.Disturbed()], ended_s=_END_S
    )
    evidence.published = [_END_S - 8, _END_S - 4]
    context.evidence = evidence
    for number in range(4):
        _tell(evidence, b"ok%d" % number, sent_s=_END_S - 0.5)


def _tell(
    evidence,
    request_id,
    *,
    path="/q/",
    status=200,
    sent_s=_END_S - 1.3,
    runs=1,
    body=None,
):
    evidence.seen[request_id] = soak_checks.Seen(
        runs=runs, arrived_s=[sent_s] * runs
    )
    evidence.told.append(
        soak_checks.Told(
            request_id=request_id,
            host=0,
            is_idempotent=path != "/q/",
            path=path,
            sent_s=sent_s,
            ended_s=sent_s + 0.02,
            status=status,
            body=b"done " + request_id if body is None else body,
        )
    )


def _target(*, probes=0, left_s=None, arrivals=()):
    return types.SimpleNamespace(
        target_id="i-1",
        probes=probes,
        started_s=_END_S - 2,
        left_s=left_s,
        arrivals=list(arrivals),
    )


@when("it shows {what}")
def shows(context, what):
    evidence = context.evidence
    if what.startswith("an answer to another"):
        _tell(evidence, b"x", body=b"done y")
    elif what.startswith("a request that may not"):
        _tell(evidence, b"x", runs=2)
    elif what.startswith("a request that ran"):
        _tell(evidence, b"x", status=503)
    elif what.startswith("a request that was sent on"):
        _tell(evidence, b"x", status=0)
    elif what.startswith("work for a target"):
        evidence.gone.append(
            _target(left_s=_END_S - 3, arrivals=[(_END_S - 0.5, 0)])
        )
    elif what.startswith("a route that is missing"):
        _tell(evidence, b"x", path="/v2/", status=404, sent_s=_END_S - 1.5)
    elif what.startswith("an older route"):
        _tell(evidence, b"x", path="/v2/", sent_s=_END_S - 3.5)
        _tell(evidence, b"y", path="/v1/", sent_s=_END_S - 3)
    elif what.startswith("130 probes"):
        evidence.remaining.append(_target(probes=130))
    elif what.startswith("no request served"):
        for told in evidence.told:
            told.status = 504


@then('the report says "{report}"')
def says(context, report):
    found = soak_checks.check(context.evidence)
    assert len(found) == 1, found
    assert report in found[0], found


@then('the report says ""')
def says_nothing(context):
    found = soak_checks.check(context.evidence)
    assert not found, found
