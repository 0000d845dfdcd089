from behave import given
from behave import then

from trefoilstand.experiments import gateway_load

_OURS = "room and prediction"


@given("the load pattern {pattern} with seed {seed:d}")
def load_pattern(context, pattern, seed):
    context.pattern = next(
        item for item in gateway_load.PATTERNS if item.name == pattern
    )
    context.seed = seed


@then("at least {share:f} of the callers are served within the objective")
def check_share(context, share):
    context.share = share
    found = gateway_load.simulate(context.pattern, _OURS, context.seed)
    assert found.requests > 100, found
    assert found.in_time_share >= share, found


@then("with {baseline} fewer than that are")
def check_baseline(context, baseline):
    found = gateway_load.simulate(context.pattern, baseline, context.seed)
    assert found.in_time_share < context.share, found


@then("two runs give the same counts")
def check_same(context):
    results = [
        gateway_load.simulate(context.pattern, _OURS, context.seed)
        for _ in range(2)
    ]
    assert results[0] == results[1], results
