"""Run calls with a ticket at most once across all entry hosts."""

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
    """Forward a call to the process that owns its ticket."""

    @abc.abstractmethod
    def forward(
        self,
        call: models.Call,
        ticket: signed_tickets.Ticket,
        timeout_s: float,
    ) -> models.CallResult:
        """Return the result reported by the owner.

        :param call: the call.
        :param ticket: ticket of the call.
        :param timeout_s: longest wait for the owner, in seconds.
        :returns: the owner's result, or one with the outcome "unknown"
            where the owner reported none.
        """


class TicketedCalls:
    """Run calls with own tickets and forward those with other owners.

    Only the process that issued a ticket runs its request and reports it
    as "not run", since no other process can rule out that an earlier copy
    has run or that a later one will.

    :param own_process_id: random ID of this process.
    :param own_peer_address: address of this process for other entry hosts.
    :param table: tickets that this process owns.
    :param signer: signs and verifies tickets.
    :param dispatcher: runs calls.
    :param forwarder: forwards calls to other owners.
    :param clock: monotonic clock.
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
        """Return a new signed ticket.

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

    def run(self, call: models.Call, is_serving: bool) -> models.CallResult:
        """Run a call with a ticket, here or at the ticket's owner.

        :param call: the call, with its ticket.
        :param is_serving: False if this process may not start work.
        :returns: the result of the call.
        """
        try:
            ticket = self._signer.verify(call.ticket)
        except signed_tickets.TicketInvalidError:
            # The ticket may be signed with a secret that this process does
            # not have yet, so its owner may have run the call.
            return models.unknown_result(decision_models.Reason.TICKET_INVALID)
        if ticket.process_id != self._own_process_id:
            timeout_s = self._remaining_s(call)
            return self._forwarder.forward(call, ticket, timeout_s)
        return self.run_owned(call, ticket.ticket_id, is_serving)

    def run_owned(
        self, call: models.Call, ticket_id: str, is_serving: bool
    ) -> models.CallResult:
        """Run a call whose ticket this process issued.

        A repeated call gets the stored result of the first run.

        :param call: the call.
        :param ticket_id: ID of its ticket.
        :param is_serving: False if this process may not start work.
        :returns: the result of the call.
        """
        claim_result = self._table.claim(
            ticket_id, _request_digest(call), self._clock.now_s()
        )
        if claim_result.claim is tickets.Claim.GRANTED:
            return self._run_claimed(call, ticket_id, is_serving)
        if claim_result.claim is tickets.Claim.REUSED:
            return models.not_run_result(decision_models.Reason.TICKET_REUSED)
        if claim_result.claim is tickets.Claim.EXPIRED:
            return models.unknown_result(decision_models.Reason.TICKET_EXPIRED)
        stored = claim_result.response
        if claim_result.claim is tickets.Claim.IN_PROGRESS:
            stored = self._table.wait(ticket_id, self._remaining_s(call))
        if stored is None:
            return models.unknown_result(
                decision_models.Reason.TICKET_IN_PROGRESS
            )
        return self._result_from_stored(stored)

    def _run_claimed(
        self, call: models.Call, ticket_id: str, is_serving: bool
    ) -> models.CallResult:
        # An exception in the run leaves it open whether the work was done.
        result = models.unknown_result(decision_models.Reason.OWNER_LOST)
        try:
            if is_serving:
                result = self._dispatcher.run(call, is_repeatable=False)
            else:
                result = models.not_run_result(
                    decision_models.Reason.NOT_READY
                )
        finally:
            self._table.finish(
                ticket_id,
                tickets.StoredResponse(
                    classified_outcome=result.classified_outcome,
                    status=result.status,
                    headers=result.headers,
                    body=result.body,
                ),
                self._clock.now_s(),
            )
        return self._with_next_ticket(result)

    def _result_from_stored(
        self, stored: tickets.StoredResponse
    ) -> models.CallResult:
        result = models.CallResult(
            classified_outcome=stored.classified_outcome,
            status=stored.status,
            headers=stored.headers,
            body=stored.body,
            is_repeatable=False,
        )
        return self._with_next_ticket(result)

    def _with_next_ticket(
        self, result: models.CallResult
    ) -> models.CallResult:
        """Add a ticket for a retry to a result with the outcome "not run"."""
        if (
            result.classified_outcome.outcome
            is not decision_models.Outcome.NOT_RUN
        ):
            return result
        return dataclasses.replace(result, next_ticket=self.issue_or_empty())

    def issue_or_empty(self) -> str:
        """Return a new signed ticket, empty if none can be issued now."""
        try:
            return self.issue()
        except tickets.TicketCapacityError:
            return ""

    def _remaining_s(self, call: models.Call) -> float:
        remaining_s = self._dispatcher.deadline_s(call) - self._clock.now_s()
        return max(remaining_s, 0.0)


def _request_digest(call: models.Call) -> str:
    digest = hashlib.sha256()
    for part in (call.service, call.method, call.path):
        digest.update(part.encode() + b"\0")
    digest.update(call.body)
    return digest.hexdigest()
