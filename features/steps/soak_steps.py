import asyncio
import types

from behave import given
from behave import then
from behave import when

from features.support import soak
from features.support import soak_checks

_END_S = 1000.0


@given("the faults of seed {seed:d}")
def set_seed(context, seed):
    context.seed = seed


@when("they are injected into real entry hosts for {seconds:d} s")
def inject_faults(context, seconds):
    async def run_soak():
        async with soak.Soak(
            seed=context.seed, duration_s=seconds, hosts=3
        ) as soak_run:
            await soak_run.run()
        return soak_run

    context.soak_run = asyncio.run(run_soak())


@then("callers and targets observed no violated guarantee")
def check_no_violations(context):
    soak_run = context.soak_run
    assert not soak_run.violations, (soak_run.faults, soak_run.violations)


@given("the record of a run without faults")
def fault_free_record(context):
    evidence = soak_checks.Evidence(
        host_disturbances=[soak_checks.Disturbance()], ended_s=_END_S
    )
    evidence.published_s = [_END_S - 8, _END_S - 4]
    context.evidence = evidence
    for number in range(4):
        _record_call(evidence, b"ok%d" % number, sent_s=_END_S - 0.5)


def _record_call(
    evidence,
    request_id,
    *,
    path="/q/",
    status=200,
    sent_s=_END_S - 1.3,
    runs=1,
    body=None,
):
    evidence.target_records[request_id] = soak_checks.TargetRecord(
        runs=runs, arrived_s=[sent_s] * runs
    )
    evidence.caller_results.append(
        soak_checks.CallerResult(
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


def _target(*, probes=0, withdrawn_s=None, arrivals=()):
    return types.SimpleNamespace(
        target_id="i-1",
        probes=probes,
        started_s=_END_S - 2,
        withdrawn_s=withdrawn_s,
        arrivals=list(arrivals),
    )


@when("it shows {what}")
def record_violation(context, what):
    evidence = context.evidence
    if what.startswith("a response to another"):
        _record_call(evidence, b"x", body=b"done y")
    elif what.startswith("a non-idempotent request"):
        _record_call(evidence, b"x", runs=2)
    elif what.startswith("a request that ran"):
        _record_call(evidence, b"x", status=503)
    elif what.startswith("a request that was forwarded"):
        _record_call(evidence, b"x", status=0)
    elif what.startswith("a request to a target"):
        evidence.withdrawn_targets.append(
            _target(withdrawn_s=_END_S - 3, arrivals=[(_END_S - 0.5, 0)])
        )
    elif what.startswith("a missing route"):
        _record_call(
            evidence, b"x", path="/v2/", status=404, sent_s=_END_S - 1.5
        )
    elif what.startswith("an older route"):
        _record_call(evidence, b"x", path="/v2/", sent_s=_END_S - 3.5)
        _record_call(evidence, b"y", path="/v1/", sent_s=_END_S - 3)
    elif what.startswith("130 probes"):
        evidence.remaining_targets.append(_target(probes=130))
    elif what.startswith("no request served"):
        for result in evidence.caller_results:
            result.status = 504


@then('the report says "{report}"')
def check_report(context, report):
    violations = soak_checks.check(context.evidence)
    assert len(violations) == 1, violations
    assert report in violations[0], violations


@then('the report says ""')
def check_no_report(context):
    violations = soak_checks.check(context.evidence)
    assert not violations, violations
