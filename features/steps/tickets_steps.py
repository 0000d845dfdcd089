import threading

from behave import given
from behave import then
from behave import when
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from trefoilstand.decision import models
from trefoilstand.decision import tickets

_DIGESTS = ("a", "b")


def _answer(outcome=models.Outcome.ANSWERED, body=b"answer"):
    return tickets.StoredResponse(
        classified_outcome=models.ClassifiedOutcome(
            outcome=outcome, reason=models.Reason.WHOLE_ANSWER
        ),
        status=200,
        headers=(),
        body=body,
    )


class TicketMachine(stateful.RuleBasedStateMachine):
    """Counts runs per ticket and compares told ends with them."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.table = tickets.TicketTable(
            lifetime_s=10.0, max_records=4, max_response_bytes=20
        )
        self.issued = []
        self.running = set()
        self.runs = {}
        self.denied = set()

    @stateful.rule()
    def issue(self):
        try:
            self.issued.append(self.table.issue(self.now_s))
        except tickets.TicketCapacityError:
            assert len(self.table) == 4

    @stateful.precondition(lambda self: self.issued)
    @stateful.rule(
        data=strategies.data(), digest=strategies.sampled_from(_DIGESTS)
    )
    def claim(self, data, digest):
        ticket_id = data.draw(strategies.sampled_from(self.issued))
        found = self.table.claim(ticket_id, digest, self.now_s)
        if found.claim is tickets.Claim.GRANTED:
            self.running.add(ticket_id)
            self.runs[ticket_id] = self.runs.get(ticket_id, 0) + 1
        if found.claim is tickets.Claim.IN_PROGRESS:
            assert ticket_id in self.running
        if found.response is not None:
            outcome = found.response.classified_outcome.outcome
            is_denied = ticket_id in self.denied
            assert (outcome is models.Outcome.NOT_RUN) == is_denied

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(), is_denied=strategies.booleans())
    def finish(self, data, is_denied):
        order = sorted(self.running)
        ticket_id = data.draw(strategies.sampled_from(order))
        self.running.discard(ticket_id)
        outcome = models.Outcome.ANSWERED
        if is_denied:
            outcome = models.Outcome.NOT_RUN
            self.denied.add(ticket_id)
        body = b"x" * data.draw(strategies.integers(0, 15))
        self.table.finish(ticket_id, _answer(outcome, body), self.now_s)

    @stateful.rule(seconds=strategies.floats(0.0, 30.0))
    def advance(self, seconds):
        self.now_s += seconds
        self.table.tick(self.now_s)

    @stateful.invariant()
    def runs_at_most_once(self):
        assert all(count == 1 for count in self.runs.values())
        assert len(self.table) <= 4
        assert all(item in self.table._records for item in self.running)


@given("a ticket machine")
def ticket_machine(context):
    context.machine = TicketMachine


@when("it runs {histories:d} random histories of {steps:d} steps")
def run_machine(context, histories, steps):
    stateful.run_state_machine_as_test(
        context.machine,
        settings=settings(
            max_examples=histories,
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@then("no history broke a promise")
def no_broken_promise(context):
    """The machine itself raises where a promise is broken."""


@given("a ticket table for {count:d} tickets")
def small_table(context, count):
    context.tickets = tickets.TicketTable(lifetime_s=10.0, max_records=count)


@given("a ticket table that stores {count:d} bytes of answers")
def small_store(context, count):
    context.tickets = tickets.TicketTable(
        lifetime_s=10.0, max_response_bytes=count
    )


@when("{count:d} tickets are asked for")
def ask_tickets(context, count):
    context.ids = []
    context.error = None
    for _ in range(count):
        try:
            context.ids.append(context.tickets.issue(0.0))
        except tickets.TicketCapacityError as error:
            context.error = error


@then("the last one is refused with a typed error")
def check_refusal(context):
    assert context.error is not None
    assert len(context.ids) == 3


@then("the first ticket is still granted once")
def check_first(context):
    found = context.tickets.claim(context.ids[0], "a", 9.9)
    assert found.claim is tickets.Claim.GRANTED
    found = context.tickets.claim(context.ids[0], "a", 9.9)
    assert found.claim is tickets.Claim.IN_PROGRESS


@when('a claimed ticket ends with "not run"')
def end_not_run(context):
    context.ticket_id = context.tickets.issue(0.0)
    context.tickets.claim(context.ticket_id, "a", 1.0)
    context.tickets.finish(
        context.ticket_id, _answer(models.Outcome.NOT_RUN), 2.0
    )


@then('a delayed copy is told "not run" and does not run')
def check_copy(context):
    found = context.tickets.claim(context.ticket_id, "a", 3.0)
    assert found.claim is tickets.Claim.FINISHED
    assert found.response.classified_outcome.outcome is models.Outcome.NOT_RUN


@when("two tickets end with answers of 8 bytes")
def end_two(context):
    context.ids = [context.tickets.issue(0.0) for _ in range(2)]
    for ticket_id in context.ids:
        context.tickets.claim(ticket_id, "a", 1.0)
        context.tickets.finish(ticket_id, _answer(body=b"x" * 8), 1.0)


@then("the first repeat gets no answer but does not run")
def check_dropped(context):
    found = context.tickets.claim(context.ids[0], "a", 2.0)
    assert found == tickets.ClaimResult(claim=tickets.Claim.FINISHED)


@then("the second repeat gets its answer")
def check_kept(context):
    found = context.tickets.claim(context.ids[1], "a", 2.0)
    assert found.response.body == b"x" * 8


@when("a copy arrives while the first request runs")
def copy_arrives(context):
    context.ticket_id = context.tickets.issue(0.0)
    context.tickets.claim(context.ticket_id, "a", 1.0)
    found = context.tickets.claim(context.ticket_id, "a", 1.0)
    assert found.claim is tickets.Claim.IN_PROGRESS
    timer = threading.Timer(
        0.05,
        context.tickets.finish,
        (context.ticket_id, _answer(), 1.0),
    )
    timer.start()
    context.copy = context.tickets.wait(context.ticket_id, 5.0)


@then("the copy gets the outcome of the first one")
def check_waited(context):
    assert context.copy is not None
    assert context.copy.body == b"answer"
