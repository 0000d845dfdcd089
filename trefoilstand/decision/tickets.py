"""Run each request with a ticket at most once and store its outcome."""

import collections
import dataclasses
import enum
import secrets
import threading

from trefoilstand import exceptions
from trefoilstand.decision import const
from trefoilstand.decision import models


class TicketCapacityError(exceptions.TrefoilstandError):
    """Represent a ticket that was not issued because the table is full."""


class DoubleClaimError(exceptions.InvariantError):
    """Represent a request that finished while its ticket was not running."""


class TicketPhase(enum.StrEnum):
    """Phase in the lifecycle of a ticket."""

    FINISHED = "finished"
    ISSUED = "issued"
    RUNNING = "running"


class Claim(enum.StrEnum):
    """Result of claiming a ticket for a request.

    `REUSED` stands for a ticket that another request claimed before.
    """

    EXPIRED = "expired"
    FINISHED = "finished"
    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    REUSED = "reused"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredResponse:
    """Hold the outcome of a request with a ticket for its retries.

    :param classified_outcome: outcome and the observation that proves it.
    :param status: HTTP status of the response, 0 without a response.
    :param headers: header fields of the response.
    :param body: whole body of the response.
    """

    classified_outcome: models.ClassifiedOutcome
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TicketRecord:
    """Hold the state of one ticket.

    :param expires_s: monotonic time when the record expires, in seconds.
    :param phase: phase in the lifecycle of the ticket.
    :param request_digest: digest of the request that claimed the ticket.
    :param response: stored response, None where the request is not
        finished or its response was dropped.
    """

    expires_s: float
    phase: TicketPhase
    request_digest: str = ""
    response: StoredResponse | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimResult:
    """Pair the result of a claim with the stored response.

    :param claim: whether the request may run.
    :param response: stored response, None where the request is not
        finished or its response was dropped.
    """

    claim: Claim
    response: StoredResponse | None = None


class TicketTable:
    """Hold the tickets that this process issued and owns.

    A record is reserved when a ticket is issued, so that a request with
    a known ticket can always be recorded.  A request whose ticket is not
    in the table never runs: the ticket has expired, or another process
    owned it.  Every outcome is final, "not run" included, so that a
    delayed copy of the request cannot run after its caller was told that
    it did not run.

    :param lifetime_s: how long a ticket is kept, in seconds.
    :param max_records: limit of the tickets kept at the same time.
    :param max_response_bytes: limit of the bytes of all stored bodies
        together.
    """

    def __init__(
        self,
        *,
        lifetime_s: float,
        max_records: int = const.MAX_TICKET_RECORDS,
        max_response_bytes: int = const.MAX_STORED_RESPONSE_BYTES,
    ) -> None:
        self._lifetime_s = lifetime_s
        self._max_records = max_records
        self._max_response_bytes = max_response_bytes
        self._stored_response_bytes = 0
        self._records: dict[str, TicketRecord] = {}
        self._finished_ticket_ids: collections.deque[str] = collections.deque()
        self._condition = threading.Condition()

    def __len__(self) -> int:
        return len(self._records)

    def issue(self, now_s: float) -> str:
        """Reserve a record and return the id of a new ticket.

        :param now_s: monotonic time in seconds.
        :raises TicketCapacityError: the table is full.
        """
        with self._condition:
            self._expire(now_s)
            if len(self._records) >= self._max_records:
                raise TicketCapacityError(
                    f"cannot issue a ticket: the limit of {self._max_records} "
                    "outstanding tickets is reached"
                )
            ticket_id = secrets.token_hex(const.TICKET_ID_BYTES)
            self._records[ticket_id] = TicketRecord(
                expires_s=now_s + self._lifetime_s,
                phase=TicketPhase.ISSUED,
            )
            return ticket_id

    def claim(
        self, ticket_id: str, request_digest: str, now_s: float
    ) -> ClaimResult:
        """Decide whether a request with a ticket may run now.

        :param ticket_id: id of the ticket.
        :param request_digest: digest of the request.
        :param now_s: monotonic time in seconds.
        """
        with self._condition:
            self._expire(now_s)
            record = self._records.get(ticket_id)
            if record is None:
                return ClaimResult(claim=Claim.EXPIRED)
            if record.phase is TicketPhase.ISSUED:
                self._records[ticket_id] = dataclasses.replace(
                    record,
                    phase=TicketPhase.RUNNING,
                    request_digest=request_digest,
                )
                return ClaimResult(claim=Claim.GRANTED)
            if record.request_digest != request_digest:
                return ClaimResult(claim=Claim.REUSED)
            if record.phase is TicketPhase.RUNNING:
                return ClaimResult(claim=Claim.IN_PROGRESS)
            return ClaimResult(claim=Claim.FINISHED, response=record.response)

    def wait(self, ticket_id: str, timeout_s: float) -> StoredResponse | None:
        """Wait until a running request has finished.

        :param ticket_id: id of its ticket.
        :param timeout_s: longest wait in seconds.
        :returns: the stored response, None where there is none in time.
        """
        with self._condition:
            self._condition.wait_for(
                lambda: not self._is_running(ticket_id), timeout_s
            )
            record = self._records.get(ticket_id)
            return record.response if record else None

    def finish(
        self, ticket_id: str, response: StoredResponse, now_s: float
    ) -> None:
        """Store the outcome of a running request.

        :param ticket_id: id of its ticket.
        :param response: the outcome, with the response where there is one.
        :param now_s: monotonic time in seconds.
        :raises DoubleClaimError: the ticket is not running.
        """
        with self._condition:
            record = self._records.get(ticket_id)
            if record is None or record.phase is not TicketPhase.RUNNING:
                raise DoubleClaimError(
                    f"cannot finish ticket {ticket_id}: it is not running"
                )
            # Moving the record to the end keeps the table ordered by
            # expiry.
            del self._records[ticket_id]
            self._records[ticket_id] = dataclasses.replace(
                record,
                phase=TicketPhase.FINISHED,
                response=response,
                expires_s=now_s + self._lifetime_s,
            )
            self._finished_ticket_ids.append(ticket_id)
            self._stored_response_bytes += len(response.body)
            self._drop_excess_responses()
            self._condition.notify_all()

    def tick(self, now_s: float) -> None:
        """Remove expired tickets.

        :param now_s: monotonic time in seconds.
        """
        with self._condition:
            self._expire(now_s)

    def _is_running(self, ticket_id: str) -> bool:
        record = self._records.get(ticket_id)
        return record is not None and record.phase is TicketPhase.RUNNING

    def _drop_excess_responses(self) -> None:
        """Drop the oldest stored responses, but keep their records."""
        while self._stored_response_bytes > self._max_response_bytes:
            ticket_id = self._finished_ticket_ids.popleft()
            record = self._records.get(ticket_id)
            if record is not None and record.response is not None:
                self._stored_response_bytes -= len(record.response.body)
                self._records[ticket_id] = dataclasses.replace(
                    record, response=None
                )

    def _expire(self, now_s: float) -> None:
        running_tickets = []
        while self._records:
            ticket_id = next(iter(self._records))
            record = self._records[ticket_id]
            if record.expires_s > now_s:
                break
            del self._records[ticket_id]
            if record.phase is TicketPhase.RUNNING:
                running_tickets.append((ticket_id, record))
                continue
            if record.response is not None:
                self._stored_response_bytes -= len(record.response.body)
            if (
                self._finished_ticket_ids
                and self._finished_ticket_ids[0] == ticket_id
            ):
                self._finished_ticket_ids.popleft()
        for ticket_id, record in running_tickets:
            # A running ticket is kept past its expiry until it has finished.
            self._records[ticket_id] = dataclasses.replace(
                record, expires_s=now_s + self._lifetime_s
            )
