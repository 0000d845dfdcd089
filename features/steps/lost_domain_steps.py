import asyncio
import dataclasses
import random

from behave import given
from behave import then
from behave import when

from features.support import scripted_http
from trefoilstand.experiments import gateway_model
from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import rate_limits
from trefoilstand.gateway import calls
from trefoilstand.gateway import candidates
from trefoilstand.gateway import models
from trefoilstand.gateway import placements
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import probing
from trefoilstand.gateway import scheduling
from trefoilstand.gateway import target_quota
from trefoilstand.gateway import target_selection
from trefoilstand.gateway import targets
from trefoilstand.http import models as http_models
from trefoilstand.util import token_bucket

_NOW_S = 100.0


class _Clock:
    def __init__(self):
        self.time_s = _NOW_S

    def now_s(self):
        return self.time_s


class _Connections(pool.ConnectionSource):
    async def acquire(self, target):
        return object()

    def release(self, target, connection):
        return


class _FullProber(probing.TargetProber):
    """Answer each probe with the report of a target without capacity."""

    def __init__(self, clock):
        self.clock = clock
        self.is_full = True
        self.sent = 0

    async def probe(self, target):
        self.sent += 1
        await asyncio.sleep(0.002)
        target.report = models.LoadReport(
            running=6 if self.is_full else 0,
            waiting=20 if self.is_full else 0,
            slots=6,
            slowdown=1.0,
            observed_s=self.clock.now_s(),
        )
        return probing.ProbeResult(
            target=target, connection=object(), is_healthy=True
        )


class _Parts:
    """Selection and scheduling of one host in the domain d0."""

    def __init__(self, *, clock, targets_by_domain):
        self.table = targets.TargetTable()
        self.clock = clock
        self.table.replace(
            {
                f"{domain}-{number}": _record(domain, number)
                for domain, count in targets_by_domain.items()
                for number in range(count)
            },
            0.0,
        )
        predictor = self.predictor = prediction.Predictor()
        random_source = random.Random(1)
        quota = target_quota.TargetQuota(
            limits=rate_limits.RateLimitTable(random_source=random_source),
            ranking=gateway_model.StandaloneRanking(),
        )
        self.finder = candidates.CandidateFinder(
            table=self.table,
            predictor=predictor,
            quota=quota,
            clock=clock,
            random_source=random_source,
            own_domain="d0",
        )
        self.prober = _FullProber(clock)
        self.budget = token_bucket.TokenBucket(rate_per_s=1e6, burst=1e6)
        self.selector = target_selection.TargetSelector(
            finder=self.finder,
            connections=_Connections(),
            prober=self.prober,
            predictor=predictor,
            budget=self.budget,
            clock=clock,
        )
        self.scheduler = scheduling.RequestScheduler(
            table=self.table,
            selector=self.selector,
            connections=_Connections(),
            predictor=predictor,
            quota=quota,
            clock=clock,
            random_source=random_source,
        )


def _record(domain, number):
    return models.TargetRecord(
        target_id=f"{domain}-{number}",
        incarnation=1,
        service="quotes",
        ip="127.0.0.1",
        port=1,
        failure_domain=domain,
        slots=6,
        state=models.TargetState.READY,
        warmup_left_s=0.0,
    )


def _request(now_s, *, is_repeated=False):
    return placements.SelectionRequest(
        service="quotes",
        route=scripted_http.make_route(is_idempotent=True, timeout_s=2.0),
        excluded=frozenset(),
        due_s=now_s + 1.0,
        latest_s=now_s + 2.0,
        is_repeated=is_repeated,
    )


@given("6 targets in the own domain and 6 in others")
def make_targets(context):
    context.parts = _Parts(
        clock=_Clock(), targets_by_domain={"d0": 6, "d1": 3, "d2": 3}
    )


@given("no probe is left in the budget")
def spend_probes(context):
    context.parts.budget.set_rate(rate_per_s=0.0, burst=0.0, now_s=_NOW_S)


@when("{failing:d} of the {contacted:d} own targets used in the last 2 s fail")
def fail_targets(context, failing, contacted):
    for number in range(contacted):
        target = context.parts.table.get(f"d0-{number}")
        target.last_message_s = _NOW_S - 0.1
        target.reports_load = True
        if number < failing:
            target.record_failure(_NOW_S - 0.1)


@when("3 s pass without a message to them")
def pass_time(context):
    context.parts.clock.time_s += 3.0


@then("targets of {domains} are probed first")
def check_first(context, domains):
    found = context.parts.finder.find(_request(context.parts.clock.now_s()))
    first_domains = {
        target.record.failure_domain for target in found.preferred
    }
    expected = {"d0"} if domains == "the own domain" else {"d1", "d2"}
    assert first_domains == expected, first_domains


@then("a {kind} request is placed on a target of another domain")
def check_placed(context, kind):
    request = _request(_NOW_S, is_repeated=kind == "queued")
    placement = asyncio.run(context.parts.selector.select(request))
    assert isinstance(placement, placements.Placement), placement
    assert placement.target.record.failure_domain != "d0"


@given("a host whose first responses took longer than the objective")
def make_slow_start(context):
    context.parts = _Parts(clock=_Clock(), targets_by_domain={"d0": 6})
    context.parts.prober.is_full = False
    for _ in range(3):
        context.parts.predictor.record_duration(
            _request(_NOW_S).route, "quotes", 1.9, None
        )
    usual_s = context.parts.predictor.processing_time_s(_request(_NOW_S).route)
    assert usual_s > _request(_NOW_S).route.objective_s


@when("a request with 4 s left is to be placed on a free target")
def place_late(context):
    request = dataclasses.replace(_request(_NOW_S), latest_s=_NOW_S + 4.0)
    context.placement = asyncio.run(context.parts.selector.select(request))


@then("it is placed")
def check_is_placed(context):
    assert isinstance(context.placement, placements.Placement), (
        context.placement
    )


@given("72 targets without capacity")
def make_full_targets(context):
    context.targets_by_domain = {"d0": 24, "d1": 24, "d2": 24}


@when("{count:d} requests wait for 1 s")
def queue_requests(context, count):
    async def run(loop):
        clock = virtual_time.LoopClock(loop=loop)
        parts = _Parts(
            clock=clock, targets_by_domain=context.targets_by_domain
        )
        route = scripted_http.make_route(is_idempotent=True, timeout_s=4.0)
        tasks = [
            loop.create_task(
                parts.scheduler.place(
                    calls.Call(
                        request=http_models.Request(
                            method=b"GET",
                            target=b"/q/x",
                            fields=[],
                            body=b"",
                            arrived_s=0.0,
                        ),
                        route=route,
                        service="quotes",
                        deadline_s=4.0,
                        waited_s=0.0,
                    )
                )
            )
            for _ in range(count)
        ]
        await asyncio.sleep(1.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return parts.prober.sent

    context.probes = virtual_time.run(run)


@then("at most {count:d} probes are sent")
def check_probes(context, count):
    assert 0 < context.probes <= count, context.probes
