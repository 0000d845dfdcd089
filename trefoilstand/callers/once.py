"""Run calls that show a ticket at most once across all entry hosts."""

import abc
import dataclasses
import hashlib

from trefoilstand.callers import dispatch
from trefoilstand.callers import models
from trefoilstand.callers import tickets as signed_tickets
from trefoilstand.decision import models as decision_models
from trefoilstand.decision import tickets
from trefoilstand.util import clock as clocks


class OwnerForwarder(abc.ABC):
    """Pass a call to the process that owns its ticket."""

    @abc.abstractmethod
    def forward(
        self,
        call: models.Call,
        ticket: signed_tickets.Ticket,
        timeout_s: float,
    ) -> models.CallEnd:
        """Return the end that the owner stated, or "unknown"."""


class TicketedCalls:
    """Own tickets, and forward calls whose tickets others own.

    Only the process that issued a ticket runs its request and says "not
    run" of it, since no other process can rule out that an earlier copy
    has run or that a later one will.

    :param own_process_id: random identity of this process.
    :param own_peer_address: where other entry hosts reach this process.
    :param table: tickets that this process owns.
    :param signer: signs and verifies tickets.
    :param dispatcher: runs calls.
    :param forwarder: reaches other owners.
    :param clock: source of the time.
    """

    def __init__(
        self,
        *,
        own_process_id: str,
        own_peer_address: str,
        table: tickets.TicketTable,
        signer: signed_tickets.TicketSigner,
        dispatcher: dispatch.CallDispatcher,
        forwarder: OwnerForwarder,
        clock: clocks.Clock,
    ) -> None:
        self._own_process_id = own_process_id
        self._own_peer_address = own_peer_address
        self._table = table
        self._signer = signer
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._clock = clock

    def issue(self) -> str:
        """Return a fresh signed ticket.

        :raises tickets.TicketCapacityError: too many are outstanding.
        """
        ticket_id = self._table.issue(self._clock.now_s())
        return self._signer.sign(
            signed_tickets.Ticket(
                ticket_id=ticket_id,
                process_id=self._own_process_id,
                peer_address=self._own_peer_address,
            )
        )

    def run(self, call: models.Call, is_serving: bool) -> models.CallEnd:
        """Run a call that shows a ticket, here or at its owner.

        :param call: the call, with its ticket.
        :param is_serving: False where this process may not start work.
        """
        try:
            ticket = self._signer.verify(call.ticket)
        except signed_tickets.TicketInvalidError:
            # Its keys may be newer than ours, so its owner may have run it.
            return models.unknown(decision_models.Reason.TICKET_INVALID)
        if ticket.process_id != self._own_process_id:
            timeout_s = self._wait_limit_s(call)
            return self._forwarder.forward(call, ticket, timeout_s)
        return self.run_owned(call, ticket.ticket_id, is_serving)

    def run_owned(
        self, call: models.Call, ticket_id: str, is_serving: bool
    ) -> models.CallEnd:
        """Run a call whose ticket this process issued."""
        claimed = self._table.claim(
            ticket_id, _digest(call), self._clock.now_s()
        )
        if claimed.claim is tickets.Claim.GRANTED:
            return self._run_first(call, ticket_id, is_serving)
        if claimed.claim is tickets.Claim.REUSED:
            return models.not_run(decision_models.Reason.TICKET_REUSED)
        if claimed.claim is tickets.Claim.EXPIRED:
            return models.unknown(decision_models.Reason.TICKET_EXPIRED)
        stored = claimed.response
        if claimed.claim is tickets.Claim.IN_PROGRESS:
            stored = self._table.wait(ticket_id, self._wait_limit_s(call))
        if stored is None:
            return models.unknown(decision_models.Reason.TICKET_IN_PROGRESS)
        return self._repeat_end(stored)

    def _run_first(
        self, call: models.Call, ticket_id: str, is_serving: bool
    ) -> models.CallEnd:
        # Until the run says otherwise the work may have been done.
        end = models.unknown(decision_models.Reason.OWNER_LOST)
        try:
            if is_serving:
                end = self._dispatcher.run(call, is_repeatable=False)
            else:
                end = models.not_run(decision_models.Reason.NOT_READY)
        finally:
            self._table.finish(
                ticket_id,
                tickets.StoredResponse(
                    classified_outcome=end.classified_outcome,
                    status=end.status,
                    headers=end.headers,
                    body=end.body,
                ),
                self._clock.now_s(),
            )
        return self._with_next_ticket(end)

    def _repeat_end(self, stored: tickets.StoredResponse) -> models.CallEnd:
        end = models.CallEnd(
            classified_outcome=stored.classified_outcome,
            status=stored.status,
            headers=stored.headers,
            body=stored.body,
            is_repeatable=False,
        )
        return self._with_next_ticket(end)

    def _with_next_ticket(self, end: models.CallEnd) -> models.CallEnd:
        """Add a ticket for another try after "not run"."""
        if (
            end.classified_outcome.outcome
            is not decision_models.Outcome.NOT_RUN
        ):
            return end
        return dataclasses.replace(end, next_ticket=self.issue_or_empty())

    def issue_or_empty(self) -> str:
        """Return a fresh ticket, empty where none can be issued now."""
        try:
            return self.issue()
        except tickets.TicketCapacityError:
            return ""

    def _wait_limit_s(self, call: models.Call) -> float:
        left_s = self._dispatcher.deadline_s(call) - self._clock.now_s()
        return max(left_s, 0.0)


def _digest(call: models.Call) -> str:
    digest = hashlib.sha256()
    for part in (call.service, call.method, call.path):
        digest.update(part.encode() + b"\0")
    digest.update(call.body)
    return digest.hexdigest()
