import concurrent.futures
import signal
import threading
import time

from behave import given
from behave import then
from behave import when

from features.support import fleet_calls
from trefoilstand.decision import models as decision_models
from trefoilstand.standins import fleet


@when("one booking is sent to all hosts at the same time with one ticket")
def send_to_all(context):
    fleet_calls.acquire_ticket(context)
    addresses = [item.caller_address for item in context.fleet.entries] * 3
    with concurrent.futures.ThreadPoolExecutor(len(addresses)) as executor:
        context.send_results = list(
            executor.map(
                lambda address: fleet_calls.send_booking(
                    context, address, context.ticket, context.mark
                ),
                addresses,
            )
        )


@then("it ran once and all sends got its response")
def check_send_results(context):
    assert fleet_calls.count_runs(context)[context.mark] == 1
    marks = {
        send_result.document.get("mark")
        for send_result in context.send_results
    }
    assert marks == {context.mark}, context.send_results


@when("a booking is sent without a ticket")
def send_without_ticket(context):
    address = context.fleet.entries[0].caller_address
    context.mark = f"bare-{time.monotonic_ns()}"
    context.send_results = [
        fleet_calls.send_booking(context, address, "", context.mark)
    ]


@then("it is refused as not run with a usable ticket")
def check_ticket_offer(context):
    refusal = context.send_results[0]
    assert refusal.outcome == decision_models.Outcome.NOT_RUN, refusal
    assert refusal.status == 428
    assert fleet_calls.count_runs(context)[context.mark] == 0
    address = context.fleet.entries[0].caller_address
    ticket = refusal.document["ticket"]
    result = fleet_calls.send_booking(context, address, ticket, context.mark)
    assert result.outcome == decision_models.Outcome.ANSWERED
    assert fleet_calls.count_runs(context)[context.mark] == 1


@when("a second booking is sent with the ticket of the first")
def send_with_used_ticket(context):
    fleet_calls.acquire_ticket(context)
    address = context.owner.caller_address
    first_result = fleet_calls.send_booking(
        context, address, context.ticket, context.mark
    )
    assert first_result.outcome == decision_models.Outcome.ANSWERED
    context.second_mark = context.mark + "-other"
    context.send_results = [
        fleet_calls.send_booking(
            context,
            context.non_owner.caller_address,
            context.ticket,
            context.second_mark,
        )
    ]


@then("the second one is refused as not run and did not run")
def check_reuse_refused(context):
    send_result = context.send_results[0]
    assert send_result.outcome == decision_models.Outcome.NOT_RUN, send_result
    assert (
        send_result.document["reason"] == decision_models.Reason.TICKET_REUSED
    )
    assert fleet_calls.count_runs(context)[context.second_mark] == 0


@given("targets that work for {service_ms:d} ms")
def set_service_time(context, service_ms):
    for target in context.fleet.targets("bookings"):
        fleet_calls.target_control(target).change_behaviour(
            service_ms=service_ms, spread=0.0
        )


def _signal_owner_during_run(context, signal_number):
    """Send a booking to its owner and signal the owner while it runs."""
    fleet_calls.acquire_ticket(context)
    context.send_results = []

    def send():
        context.send_results.append(
            fleet_calls.send_booking(
                context,
                context.owner.caller_address,
                context.ticket,
                context.mark,
                timeout_s=1.5,
            )
        )

    context.first_send = threading.Thread(target=send)
    context.first_send.start()
    assert fleet.wait_until(
        lambda: fleet_calls.count_runs(context)[context.mark] == 1, 5.0
    )
    context.owner.send_signal(signal_number)


@when(
    "the owner gets SIGTERM and a booking is forwarded to it by another host"
)
def forward_to_stopping_owner(context):
    fleet_calls.acquire_ticket(context)
    context.owner.send_signal(signal.SIGTERM)
    # The booking is still running when the owner stops serving.
    time.sleep(context.fleet.plan.answer_lifetime_s - 0.4)
    context.send_results = []
    send_again(context)


@then("the booking gets a complete response")
def check_forwarded(context):
    send_result = context.send_results[0]
    assert send_result.outcome == decision_models.Outcome.ANSWERED, send_result
    assert send_result.document["mark"] == context.mark
    assert context.owner.process.wait(30.0) == 0


@when("the owner is frozen while it runs a booking")
def freeze_owner(context):
    _signal_owner_during_run(context, signal.SIGSTOP)


@when("the owner is killed while it runs a booking")
def kill_owner(context):
    _signal_owner_during_run(context, signal.SIGKILL)


@when("the booking is sent again to another host")
def send_again(context):
    context.send_results.append(
        fleet_calls.send_booking(
            context,
            context.non_owner.caller_address,
            context.ticket,
            context.mark,
        )
    )


@when("the owner is resumed")
def resume_owner(context):
    context.first_send.join()
    context.owner.send_signal(signal.SIGCONT)
    context.fleet.wait_ready()
    send_again(context)
    send_to_owner(context)


@when("the owner is replaced at the same address")
def replace_owner(context):
    context.first_send.join()
    context.owner.stop()
    context.owner.start()
    context.fleet.wait_ready()


@when("the booking is sent again to the replacement")
def send_to_owner(context):
    context.send_results.append(
        fleet_calls.send_booking(
            context,
            context.owner.caller_address,
            context.ticket,
            context.mark,
        )
    )
    send_again(context)


@then("the booking ran at most once")
def check_ran_once(context):
    time.sleep(1.0)
    assert fleet_calls.count_runs(context)[context.mark] == 1, (
        fleet_calls.count_runs(context)[context.mark]
    )


@then("no caller got the outcome that it did not run")
def check_no_not_run_outcome(context):
    outcomes = [send_result.outcome for send_result in context.send_results]
    assert decision_models.Outcome.NOT_RUN not in outcomes, (
        context.send_results
    )
    assert len(outcomes) >= 3, outcomes
