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
    fleet_calls.take_ticket(context)
    addresses = [item.caller_address for item in context.fleet.entries] * 3
    with concurrent.futures.ThreadPoolExecutor(len(addresses)) as executor:
        context.copies = list(
            executor.map(
                lambda address: fleet_calls.send_copy(
                    context, address, context.ticket, context.mark
                ),
                addresses,
            )
        )


@then("it ran once and all copies got its answer")
def check_copies(context):
    assert fleet_calls.count_runs(context)[context.mark] == 1
    marks = {copy.document.get("mark") for copy in context.copies}
    assert marks == {context.mark}, context.copies


@when("a booking is sent without a ticket")
def send_without_ticket(context):
    address = context.fleet.entries[0].caller_address
    context.mark = f"bare-{time.monotonic_ns()}"
    context.copies = [
        fleet_calls.send_copy(context, address, "", context.mark)
    ]


@then("it is refused as not run with a ticket that can be used")
def check_ticket_offer(context):
    refused = context.copies[0]
    assert refused.outcome == decision_models.Outcome.NOT_RUN, refused
    assert refused.status == 428
    assert fleet_calls.count_runs(context)[context.mark] == 0
    address = context.fleet.entries[0].caller_address
    ticket = refused.document["ticket"]
    answered = fleet_calls.send_copy(context, address, ticket, context.mark)
    assert answered.outcome == decision_models.Outcome.ANSWERED
    assert fleet_calls.count_runs(context)[context.mark] == 1


@when("a second booking is sent with the ticket of the first")
def reuse_ticket(context):
    fleet_calls.take_ticket(context)
    address = context.owner.caller_address
    first = fleet_calls.send_copy(
        context, address, context.ticket, context.mark
    )
    assert first.outcome == decision_models.Outcome.ANSWERED
    context.other_mark = context.mark + "-other"
    context.copies = [
        fleet_calls.send_copy(
            context,
            context.other.caller_address,
            context.ticket,
            context.other_mark,
        )
    ]


@then("the second one is refused as not run and did not run")
def check_reused(context):
    copy = context.copies[0]
    assert copy.outcome == decision_models.Outcome.NOT_RUN, copy
    assert copy.document["reason"] == decision_models.Reason.TICKET_REUSED
    assert fleet_calls.count_runs(context)[context.other_mark] == 0


@given("targets that work for {service_ms:d} ms")
def slow_targets(context, service_ms):
    for target in context.fleet.targets("bookings"):
        fleet_calls.target_control(target).change_behaviour(
            service_ms=service_ms, spread=0.0
        )


def _strike_owner(context, number):
    """Send a booking to its owner and signal the owner meanwhile."""
    fleet_calls.take_ticket(context)
    context.copies = []

    def send():
        context.copies.append(
            fleet_calls.send_copy(
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
    context.owner.send_signal(number)


@when("the owner is told to stop and a booking reaches it by another host")
def forward_to_leaving(context):
    fleet_calls.take_ticket(context)
    context.owner.send_signal(signal.SIGTERM)
    # The work lasts past the end of the time for which it still serves.
    time.sleep(context.fleet.plan.answer_lifetime_s - 0.4)
    context.copies = []
    send_again(context)


@then("the booking is answered whole")
def check_forwarded(context):
    copy = context.copies[0]
    assert copy.outcome == decision_models.Outcome.ANSWERED, copy
    assert copy.document["mark"] == context.mark
    assert context.owner.process.wait(30.0) == 0


@when("the owner is frozen while it runs a booking")
def freeze_owner(context):
    _strike_owner(context, signal.SIGSTOP)


@when("the owner is killed while it runs a booking")
def kill_owner(context):
    _strike_owner(context, signal.SIGKILL)


@when("the booking is sent again to another host")
def send_again(context):
    context.copies.append(
        fleet_calls.send_copy(
            context,
            context.other.caller_address,
            context.ticket,
            context.mark,
        )
    )


@when("the owner wakes up")
def wake_owner(context):
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
    context.copies.append(
        fleet_calls.send_copy(
            context,
            context.owner.caller_address,
            context.ticket,
            context.mark,
        )
    )
    send_again(context)


@then("the booking ran at most once")
def check_once(context):
    time.sleep(1.0)
    assert fleet_calls.count_runs(context)[context.mark] == 1, (
        fleet_calls.count_runs(context)[context.mark]
    )


@then("nobody was told that it did not run")
def check_not_denied(context):
    outcomes = [copy.outcome for copy in context.copies]
    assert decision_models.Outcome.NOT_RUN not in outcomes, context.copies
    assert len(outcomes) >= 3, outcomes
