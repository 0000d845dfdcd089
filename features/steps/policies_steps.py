import asyncio
import bisect
import collections
import random

from behave import given
from behave import then
from behave import when

from features.support import scripted_http
from trefoilstand.experiments import gateway_model
from trefoilstand.fleet import rate_limits
from trefoilstand.gateway import caller_retries
from trefoilstand.gateway import candidates
from trefoilstand.gateway import const
from trefoilstand.gateway import models
from trefoilstand.gateway import placements
from trefoilstand.gateway import prediction
from trefoilstand.gateway import request_queue
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import routing
from trefoilstand.gateway import target_quota
from trefoilstand.gateway import targets
from trefoilstand.util import clock as clocks
from trefoilstand.util import token_bucket


def _route(name, prefix="/", priority=1, services=("quotes",), weights=(1.0,)):
    return models.Route(
        name=name,
        host="h",
        prefix=prefix,
        is_idempotent=True,
        timeout_s=1.0,
        objective_s=0.4,
        max_attempts=2,
        priority=priority,
        weighted_services=tuple(
            models.WeightedService(service=service, weight=weight)
            for service, weight in zip(services, weights, strict=True)
        ),
    )


def _target(running, slots=4, now_s=0.0):
    scripted = scripted_http.ScriptedTarget(target_id="t", behaviour="whole")
    scripted.port = 1
    target = targets.Target(record=scripted.record(), now_s=now_s)
    target.report = _report(running, slots=slots, now_s=now_s)
    return target


def _report(running, slots=4, slowdown=1.0, now_s=0.0):
    return models.LoadReport(
        running=running,
        waiting=0,
        slots=slots,
        slowdown=slowdown,
        observed_s=now_s,
    )


@given("routes with the prefixes /, /a/, /a/b/ and /c/")
def nested_routes(context):
    prefixes = ("/", "/a/", "/a/b/", "/c/")
    context.route_table = routing.RouteTable(
        routes={item: _route(item, prefix=item) for item in prefixes}
    )


@then("the path {path} matches the prefix {prefix}")
def check_prefix(context, path, prefix):
    route = context.route_table.find("h", path.partition("?")[0])
    assert route.prefix == prefix, route


@given("a route that is split by weight {weights}")
def split_route(context, weights):
    context.weights = [float(item) for item in weights.split(",")]
    names = tuple(f"s{n}" for n in range(len(context.weights)))
    context.route = _route("r", services=names, weights=context.weights)


@when("{count:d} requests are distributed")
def choose_services(context, count):
    balancer = routing.SplitBalancer(random_source=random.Random(1))
    context.chosen = collections.Counter(
        balancer.choose(context.route) for _ in range(count)
    )


@then("each service has its share within {tolerance:d} requests")
def check_shares(context, tolerance):
    total = sum(context.chosen.values())
    for number, weight in enumerate(context.weights):
        expected = total * weight / sum(context.weights)
        assert abs(context.chosen[f"s{number}"] - expected) <= tolerance


@given("{hosts:d} hosts that share a retry budget of 0.2 and 56 in 10 s")
def shared_budget(context, hosts):
    context.budgets = _make_budgets(hosts)
    context.restart = None


def _make_budgets(hosts, started_s=float("-inf"), known=None):
    budgets = []
    for _ in range(hosts):
        tracker = retry_budget.HostCountTracker(now_s=started_s)
        tracker.update(known or hosts, started_s)
        budget = retry_budget.FleetRetryBudget(
            limits=retry_budget.RetryBudgetLimits(
                ratio=0.2, allowance=56.0, window_s=10.0
            ),
            hosts=tracker,
        )
        budget.tracker = tracker
        budgets.append(budget)
    return budgets


@when(
    "all restart at {start_s:d} s and know {known:d} hosts for {period_s:d} s"
)
def restart_all(context, start_s, known, period_s):
    context.restart = (start_s, known, period_s)


@when("each gets {rate:d} requests a second and retries up to its limit")
def retry_at_limit(context, rate):
    context.requests = []
    context.retries = []
    for step in range(60 * rate):
        now_s = step / rate
        known = len(context.budgets)
        if context.restart is not None:
            start_s, known_after_restart, period_s = context.restart
            if step == start_s * rate:
                context.budgets = _make_budgets(
                    known, start_s, known_after_restart
                )
            if 0 <= now_s - start_s < period_s:
                # Hosts learn of each other gradually.
                learned_share = (now_s - start_s) / period_s
                known = known_after_restart + int(
                    (known - known_after_restart) * learned_share
                )
        for budget in context.budgets:
            budget.tracker.update(known, now_s)
            budget.record_request(now_s)
            context.requests.append(now_s)
            while budget.try_spend(now_s):
                context.retries.append(now_s)


@then("no window of 10 s has more retries than the budget")
def check_windows(context):
    for start in range(50):
        counts = [
            bisect.bisect_left(times, start + 10)
            - bisect.bisect_left(times, start)
            for times in (context.requests, context.retries)
        ]
        assert counts[1] <= 0.2 * counts[0] + 56, (start, counts)


@given("a route whose callers send timeouts of {time_ms:d} ms")
def uniform_callers(context, time_ms):
    context.retry_detector = caller_retries.CallerRetryDetector()
    for _ in range(100):
        context.retry_detector.previous_wait_s("r", time_ms / 1000)


@given("a route whose callers send timeouts of {low_ms:d} to {high_ms:d} ms")
def varied_callers(context, low_ms, high_ms):
    random_source = random.Random(4)
    context.retry_detector = caller_retries.CallerRetryDetector()
    for _ in range(200):
        context.retry_detector.previous_wait_s(
            "r", random_source.uniform(low_ms, high_ms) / 1000
        )


@then("a caller with {time_ms:d} ms left has waited {waited_ms:d} ms")
def check_waited(context, time_ms, waited_ms):
    waited_s = context.retry_detector.previous_wait_s("r", time_ms / 1000)
    assert abs(waited_s * 1000 - waited_ms) < 1, waited_s


@given(
    "a service whose targets take {factor:f} times as long when nearly full"
)
def saturating_service(context, factor):
    context.factor = factor


@when("{count:d} requests are answered")
def record_requests(context, count):
    random_source = random.Random(6)
    context.predictor = prediction.Predictor()
    route = _route("r")
    for _ in range(count):
        running = random_source.randrange(4)
        elapsed_s = 0.16 * random_source.uniform(0.8, 1.2)
        if running == 3:
            elapsed_s *= context.factor
        context.predictor.record_duration(
            route, "quotes", elapsed_s, _report(running)
        )


@then("a target with 4 slots has capacity for {capacity:d} requests")
def check_capacity(context, capacity):
    assert context.predictor.capacity_limit(_target(0)) == capacity
    assert context.predictor.has_capacity(_target(capacity - 1), 0.0)
    assert not context.predictor.has_capacity(_target(capacity), 0.0)


@given("a target with a slowdown of {slowdown:d}")
def slow_target(context, slowdown):
    context.target = _target(0)
    context.target.report = _report(0, slowdown=float(slowdown))
    context.predictor = prediction.Predictor()
    context.route = _route("r")
    for _ in range(200):
        context.predictor.record_duration(
            context.route, "quotes", 0.16, _report(0)
        )


@then("a request of {work_ms:d} ms is predicted at {predicted_ms:d} ms")
def check_predicted(context, work_ms, predicted_ms):
    predicted_s = context.predictor.predict_s(
        context.target, context.route, 0.0
    )
    assert abs(predicted_s * 1000 - predicted_ms) < 2, predicted_s


@then("it {fits} an objective of {objective_ms:d} ms")
def check_fits(context, fits, objective_ms):
    request = placements.SelectionRequest(
        service="quotes",
        route=context.route,
        excluded=set(),
        due_s=objective_ms / 1000,
        latest_s=10.0,
    )
    is_accepted = request.accepts(context.target, context.predictor, 0.0)
    assert is_accepted == (fits == "fits")


def _enqueue(queue, name, due_s, priority):
    return queue.enqueue(
        placements.SelectionRequest(
            service="quotes",
            route=_route(name, priority=priority),
            excluded=set(),
            due_s=due_s,
            latest_s=10.0,
        ),
        0.0,
    )


@given("a queue with a late, an early and an urgent request")
def queue_of_three(context):
    context.served = []


@when("targets with capacity are offered")
def offer_targets(context):
    async def work():
        queue = request_queue.RequestQueue(predictor=prediction.Predictor())
        queued_requests = {
            "late": _enqueue(queue, "late", 0.0, 1),
            "early": _enqueue(queue, "early", 5.0, 1),
            "urgent": _enqueue(queue, "urgent", 5.0, 0),
        }
        for _ in range(3):
            assert queue.offer(_target(0, now_s=1.0), None, 1.0)
            for name, queued_request in list(queued_requests.items()):
                if queued_request.offered_placement() is not None:
                    context.served.append(name)
                    queue.remove(
                        queued_requests.pop(name), 1.0, is_served=True
                    )

    asyncio.run(work())


@then("they are served in the order urgent, early, late")
def check_order(context):
    assert context.served == ["urgent", "early", "late"], context.served


@given("a token bucket of {rate:d} a second with a burst of {burst:d}")
def make_bucket(context, rate, burst):
    context.bucket = token_bucket.TokenBucket(rate_per_s=rate, burst=burst)


@when("tokens are requested {count:d} times in {seconds:d} seconds")
def take_tokens(context, count, seconds):
    context.granted_tokens = sum(
        context.bucket.try_acquire(step * seconds / count)
        for step in range(count)
    )


@then("it granted at most {limit:d} tokens")
def check_tokens(context, limit):
    assert 0 < context.granted_tokens <= limit, context.granted_tokens


@when("hedges spend their share of the budget")
def spend_on_hedges(context):
    budget = context.budgets[0]
    for _ in range(100):
        budget.record_request(1.0)
    while budget.try_spend(1.0, share=const.HEDGE_BUDGET_SHARE):
        pass


@then("a failed request may still be retried")
def check_retry_allowed(context):
    assert context.budgets[0].try_spend(1.0)


@when("the budget shrinks to {ratio:f} and {allowance:d}")
def shrink_budget(context, ratio, allowance):
    context.budgets[0].set_limits(
        retry_budget.RetryBudgetLimits(
            ratio=ratio, allowance=float(allowance), window_s=10.0
        )
    )


@then("a failed request may not be retried")
def check_retry_denied(context):
    assert not context.budgets[0].try_spend(1.0)


@given("a service whose only target states no limit and is full")
def full_service(context):
    context.clock = clocks.ManualClock()
    now_s = context.clock.now_s()
    table = targets.TargetTable()
    table.replace({"t": _target(0).record}, now_s)
    table.get("t").report = _report(4, now_s=now_s)
    context.finder = candidates.CandidateFinder(
        table=table,
        predictor=prediction.Predictor(),
        quota=target_quota.TargetQuota(
            limits=rate_limits.RateLimitTable(random_source=random.Random(1)),
            ranking=gateway_model.StandaloneRanking(),
        ),
        clock=context.clock,
        random_source=random.Random(1),
        own_domain="near",
    )


@when("a request with too little time left finds no target")
def find_without_time(context):
    now_s = context.clock.now_s()
    request = placements.SelectionRequest(
        service="quotes",
        route=_route("r"),
        excluded=set(),
        due_s=now_s,
        latest_s=now_s + 0.01,
    )
    found = context.finder.find(request)
    assert not (found.probed or found.limited), found
    context.refusal = context.finder.explain_absence(request)


@then("it is refused because of overload")
def check_refusal(context):
    assert context.refusal is models.Refusal.OVERLOADED, context.refusal
