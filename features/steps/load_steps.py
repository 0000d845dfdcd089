from behave import given
from behave import then

from trefoilstand.experiments import gateway_load

_GATEWAY_POLICY = "room and prediction"


@given("the load pattern {pattern} with seed {seed:d}")
def load_pattern(context, pattern, seed):
    context.pattern = next(
        item for item in gateway_load.PATTERNS if item.name == pattern
    )
    context.seed = seed


@then("at least {share:f} of the callers are served within the objective")
def check_share(context, share):
    context.share = share
    result = gateway_load.simulate(
        context.pattern, _GATEWAY_POLICY, context.seed
    )
    assert result.requests > 100, result
    assert result.in_time_share >= share, result


@then("the policy {baseline} serves a smaller share")
def check_baseline_is_worse(context, baseline):
    result = gateway_load.simulate(context.pattern, baseline, context.seed)
    assert result.in_time_share < context.share, result


@then("two runs give the same counts")
def check_reproducible(context):
    results = [
        gateway_load.simulate(context.pattern, _GATEWAY_POLICY, context.seed)
        for _ in range(2)
    ]
    assert results[0] == results[1], results


@then("at least {share:f} of the callers are served at all")
def check_served(context, share):
    result = gateway_load.simulate(
        context.pattern, _GATEWAY_POLICY, context.seed
    )
    assert result.requests > 100, result
    assert result.served_share >= share, result
