from behave import given
from behave import then

from trefoilstand.gateway import leaving


@given(
    "a grace period of {grace_s:g} s and routes that wait up to "
    "{timeout_s:g} s"
)
def plan_with_routes(context, grace_s, timeout_s):
    context.plan = leaving.make_plan(grace_s, [0.1, timeout_s])


@given("a grace period of {grace_s:g} s and no routes")
def plan_without_routes(context, grace_s):
    context.plan = leaving.make_plan(grace_s, [])


@then("new connections are accepted for {seconds:g} s")
def check_accept(context, seconds):
    assert abs(context.plan.accept_s - seconds) < 1e-9, context.plan


@then("the last responses are written after {seconds:g} s")
def check_answer(context, seconds):
    assert abs(context.plan.answer_s - seconds) < 1e-9, context.plan


@then("the process stops after {seconds:g} s")
def check_stop(context, seconds):
    assert abs(context.plan.stop_s - seconds) < 1e-9, context.plan
