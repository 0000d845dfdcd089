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


def _make_response(outcome=models.Outcome.ANSWERED, body=b"answer"):
    return tickets.StoredResponse(
        classified_outcome=models.ClassifiedOutcome(
            outcome=outcome, reason=models.Reason.WHOLE_ANSWER
        ),
        status=200,
        headers=(),
        body=body,
    )


class TicketMachine(stateful.RuleBasedStateMachine):
    """Check that each ticket runs at most once, as its outcomes say."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.table = tickets.TicketTable(
            lifetime_s=10.0, max_records=4, max_response_bytes=20
        )
        self.issued_ids = []
        self.running_ids = set()
        self.run_counts = {}
        self.not_run_ids = set()

    @stateful.rule()
    def issue(self):
        try:
            self.issued_ids.append(self.table.issue(self.now_s))
        except tickets.TicketCapacityError:
            assert len(self.table) == 4

    @stateful.precondition(lambda self: self.issued_ids)
    @stateful.rule(
        data=strategies.data(), digest=strategies.sampled_from(_DIGESTS)
    )
    def claim(self, data, digest):
        ticket_id = data.draw(strategies.sampled_from(self.issued_ids))
        claim_result = self.table.claim(ticket_id, digest, self.now_s)
        if claim_result.claim is tickets.Claim.GRANTED:
            self.running_ids.add(ticket_id)
            self.run_counts[ticket_id] = self.run_counts.get(ticket_id, 0) + 1
        if claim_result.claim is tickets.Claim.IN_PROGRESS:
            assert ticket_id in self.running_ids
        if claim_result.response is not None:
            outcome = claim_result.response.classified_outcome.outcome
            is_not_run = ticket_id in self.not_run_ids
            assert (outcome is models.Outcome.NOT_RUN) == is_not_run

    @stateful.precondition(lambda self: self.running_ids)
    @stateful.rule(data=strategies.data(), is_not_run=strategies.booleans())
    def finish(self, data, is_not_run):
        candidate_ids = sorted(self.running_ids)
        ticket_id = data.draw(strategies.sampled_from(candidate_ids))
        self.running_ids.discard(ticket_id)
        outcome = models.Outcome.ANSWERED
        if is_not_run:
            outcome = models.Outcome.NOT_RUN
            self.not_run_ids.add(ticket_id)
        body = b"x" * data.draw(strategies.integers(0, 15))
        self.table.finish(ticket_id, _make_response(outcome, body), self.now_s)

    @stateful.rule(seconds=strategies.floats(0.0, 30.0))
    def advance(self, seconds):
        self.now_s += seconds
        self.table.tick(self.now_s)

    @stateful.invariant()
    def runs_at_most_once(self):
        assert all(count == 1 for count in self.run_counts.values())
        assert len(self.table) <= 4
        assert all(
            ticket_id in self.table._records for ticket_id in self.running_ids
        )


@given("a state machine of a ticket table")
def set_machine_class(context):
    context.machine_class = TicketMachine


@when("it runs {sequences:d} random sequences of {steps:d} steps")
def run_machine(context, sequences, steps):
    stateful.run_state_machine_as_test(
        context.machine_class,
        settings=settings(
            max_examples=sequences,
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@then("no sequence violated an invariant")
def check_invariants(context):
    """Check nothing: the machine raises when an invariant is violated."""


@given("a ticket table for {count:d} tickets")
def make_small_table(context, count):
    context.tickets = tickets.TicketTable(lifetime_s=10.0, max_records=count)


@given("a ticket table that stores {count:d} bytes of responses")
def make_small_response_store(context, count):
    context.tickets = tickets.TicketTable(
        lifetime_s=10.0, max_response_bytes=count
    )


@when("{count:d} tickets are requested")
def request_tickets(context, count):
    context.ticket_ids = []
    context.capacity_error = None
    for _ in range(count):
        try:
            context.ticket_ids.append(context.tickets.issue(0.0))
        except tickets.TicketCapacityError as error:
            context.capacity_error = error


@then("the last one is refused because the table is full")
def check_issue_refused(context):
    assert context.capacity_error is not None
    assert len(context.ticket_ids) == 3


@then("the first ticket can still be claimed exactly once")
def check_first_claimed_once(context):
    claim_result = context.tickets.claim(context.ticket_ids[0], "a", 9.9)
    assert claim_result.claim is tickets.Claim.GRANTED
    claim_result = context.tickets.claim(context.ticket_ids[0], "a", 9.9)
    assert claim_result.claim is tickets.Claim.IN_PROGRESS


@when('a claimed ticket finishes with "not run"')
def finish_as_not_run(context):
    context.ticket_id = context.tickets.issue(0.0)
    context.tickets.claim(context.ticket_id, "a", 1.0)
    context.tickets.finish(
        context.ticket_id, _make_response(models.Outcome.NOT_RUN), 2.0
    )


@then('a delayed duplicate gets "not run" and is not run')
def check_duplicate_not_run(context):
    claim_result = context.tickets.claim(context.ticket_id, "a", 3.0)
    assert claim_result.claim is tickets.Claim.FINISHED
    assert (
        claim_result.response.classified_outcome.outcome
        is models.Outcome.NOT_RUN
    )


@when("two tickets finish with responses of 8 bytes")
def finish_two_tickets(context):
    context.ticket_ids = [context.tickets.issue(0.0) for _ in range(2)]
    for ticket_id in context.ticket_ids:
        context.tickets.claim(ticket_id, "a", 1.0)
        context.tickets.finish(ticket_id, _make_response(body=b"x" * 8), 1.0)


@then("a duplicate of the first ticket gets no response and is not run")
def check_response_dropped(context):
    claim_result = context.tickets.claim(context.ticket_ids[0], "a", 2.0)
    assert claim_result == tickets.ClaimResult(claim=tickets.Claim.FINISHED)


@then("a duplicate of the second ticket gets its response")
def check_response_kept(context):
    claim_result = context.tickets.claim(context.ticket_ids[1], "a", 2.0)
    assert claim_result.response.body == b"x" * 8


@when("a duplicate arrives while the first request runs")
def send_duplicate(context):
    context.ticket_id = context.tickets.issue(0.0)
    context.tickets.claim(context.ticket_id, "a", 1.0)
    claim_result = context.tickets.claim(context.ticket_id, "a", 1.0)
    assert claim_result.claim is tickets.Claim.IN_PROGRESS
    timer = threading.Timer(
        0.05,
        context.tickets.finish,
        (context.ticket_id, _make_response(), 1.0),
    )
    timer.start()
    context.duplicate_response = context.tickets.wait(context.ticket_id, 5.0)


@then("the duplicate gets the outcome of the first request")
def check_duplicate_response(context):
    assert context.duplicate_response is not None
    assert context.duplicate_response.body == b"answer"
