"""Run each ticketed request at most once and remember its outcome."""

import collections
import dataclasses
import enum
import secrets
import threading

from trefoilstand import exceptions
from trefoilstand.decision import const
from trefoilstand.decision import models


class TicketCapacityError(exceptions.TrefoilstandError):
    """Represent a refusal to issue a ticket because the table is full."""


class DoubleClaimError(exceptions.InvariantError):
    """Represent a ticket that was finished without being claimed."""


class TicketPhase(enum.StrEnum):
    """Position of a ticket in its life."""

    FINISHED = "finished"
    ISSUED = "issued"
    RUNNING = "running"


class Claim(enum.StrEnum):
    """Answer to a request that shows a ticket."""

    EXPIRED = "expired"
    FINISHED = "finished"
    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    REUSED = "reused"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredAnswer:
    """Hold the end of a ticketed request for its repeats.

    :param judgement: outcome and the observation behind it.
    :param status: HTTP status of the answer, 0 without an answer.
    :param headers: header fields of the answer.
    :param body: whole body of the answer.
    """

    judgement: models.Judgement
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TicketRecord:
    """Hold the state of one ticket.

    :param expires_s: monotonic time until which it is remembered.
    :param phase: position in its life.
    :param request_digest: digest of the request that claimed it.
    :param answer: its end, None where it is not finished or not kept.
    """

    expires_s: float
    phase: TicketPhase
    request_digest: str = ""
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimResult:
    """Pair the answer to a claim with the stored end of the first run."""

    claim: Claim
    answer: StoredAnswer | None = None


class TicketTable:
    """Hold the tickets that this process issued and owns.

    A place is taken when a ticket is issued, so that a request that
    shows a known ticket can always be recorded.  A ticket that is not in
    the table is never run: it has expired, or another process owned it.
    Every end is final, "not run" included, so that a delayed copy of the
    request cannot run after its caller was told that it did not.

    :param lifetime_s: how long a ticket is remembered.
    :param max_records: tickets that are remembered at the same time.
    :param max_answer_bytes: bytes of all stored bodies together.
    """

    def __init__(
        self,
        *,
        lifetime_s: float,
        max_records: int = const.MAX_TICKET_RECORDS,
        max_answer_bytes: int = const.MAX_STORED_ANSWER_BYTES,
    ) -> None:
        self._lifetime_s = lifetime_s
        self._max_records = max_records
        self._max_answer_bytes = max_answer_bytes
        self._answer_bytes = 0
        self._records: dict[str, TicketRecord] = {}
        self._answers: collections.deque[str] = collections.deque()
        self._changed = threading.Condition()

    def __len__(self) -> int:
        return len(self._records)

    def issue(self, now_s: float) -> str:
        """Reserve a place and return the identity of a new ticket.

        :raises TicketCapacityError: the table is full.
        """
        with self._changed:
            self._expire(now_s)
            if len(self._records) >= self._max_records:
                raise TicketCapacityError(
                    f"{self._max_records} tickets are outstanding"
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
        """Decide whether a request that shows a ticket may run now."""
        with self._changed:
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
            return ClaimResult(claim=Claim.FINISHED, answer=record.answer)

    def wait(self, ticket_id: str, timeout_s: float) -> StoredAnswer | None:
        """Wait for the end of a running ticket.

        :returns: its end, None where it is not known in time.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: not self._is_running(ticket_id), timeout_s
            )
            record = self._records.get(ticket_id)
            return record.answer if record else None

    def finish(
        self, ticket_id: str, answer: StoredAnswer, now_s: float
    ) -> None:
        """Store the end of a running ticket.

        :raises DoubleClaimError: the ticket is not running.
        """
        with self._changed:
            record = self._records.get(ticket_id)
            if record is None or record.phase is not TicketPhase.RUNNING:
                raise DoubleClaimError(f"ticket {ticket_id} is not running")
            # The record is put last so that the table stays ordered by
            # expiry.
            del self._records[ticket_id]
            self._records[ticket_id] = dataclasses.replace(
                record,
                phase=TicketPhase.FINISHED,
                answer=answer,
                expires_s=now_s + self._lifetime_s,
            )
            self._answers.append(ticket_id)
            self._answer_bytes += len(answer.body)
            self._drop_excess_answers()
            self._changed.notify_all()

    def tick(self, now_s: float) -> None:
        """Forget tickets that have expired."""
        with self._changed:
            self._expire(now_s)

    def _is_running(self, ticket_id: str) -> bool:
        record = self._records.get(ticket_id)
        return record is not None and record.phase is TicketPhase.RUNNING

    def _drop_excess_answers(self) -> None:
        """Drop the oldest stored bodies, but keep that they have ended."""
        while self._answer_bytes > self._max_answer_bytes:
            ticket_id = self._answers.popleft()
            record = self._records.get(ticket_id)
            if record is not None and record.answer is not None:
                self._answer_bytes -= len(record.answer.body)
                self._records[ticket_id] = dataclasses.replace(
                    record, answer=None
                )

    def _expire(self, now_s: float) -> None:
        running = []
        while self._records:
            ticket_id = next(iter(self._records))
            record = self._records[ticket_id]
            if record.expires_s > now_s:
                break
            del self._records[ticket_id]
            if record.phase is TicketPhase.RUNNING:
                running.append((ticket_id, record))
                continue
            if record.answer is not None:
                self._answer_bytes -= len(record.answer.body)
            if self._answers and self._answers[0] == ticket_id:
                self._answers.popleft()
        for ticket_id, record in running:
            # A running ticket outlives its expiry until it has ended.
            self._records[ticket_id] = dataclasses.replace(
                record, expires_s=now_s + self._lifetime_s
            )
