"""Call services through entry hosts, with failover.

Non-idempotent work is sent with a ticket.  After a failure that leaves it open
whether the work has run, the retry carries the same ticket, which returns the
first outcome and never runs the work a second time.  A new ticket is used
only after "not run".
"""

import collections
import random
import secrets
import threading
import typing

import pydantic

from trefoilstand import const as project_const
from trefoilstand import exceptions
from trefoilstand.callers import const as callers_const
from trefoilstand.client import models
from trefoilstand.decision import models as decision_models
from trefoilstand.targets import exchange
from trefoilstand.targets import models as targets_models
from trefoilstand.util import clock as clocks

_ADDRESS_RESPONSE: typing.Final = pydantic.TypeAdapter(models.AddressAnswer)
_REFUSAL: typing.Final = pydantic.TypeAdapter(models.Refusal)
_MAX_BACKOFF_S: typing.Final = 0.2
_MAX_SENDS: typing.Final = 5
_RESOLVE_TIMEOUT_S: typing.Final = 1.0
_TICKET_BATCH_SIZE: typing.Final = 4


class NoEntryHostError(exceptions.TrefoilstandError):
    """Represent that no entry host provided addresses or tickets."""


class EntryClient:
    """Cache the addresses of entry hosts and send calls to them.

    It is thread-safe.

    :param seeds: addresses of some entry hosts.
    :param failure_domain: failure domain of this caller, empty if unknown.
    :param clock: monotonic clock, None for the system's.
    :param random_source: source of jitter, None for a new one.
    """

    def __init__(
        self,
        *,
        seeds: tuple[str, ...],
        failure_domain: str = "",
        clock: clocks.Clock | None = None,
        random_source: random.Random | None = None,
    ) -> None:
        self._seeds = seeds
        self._failure_domain = failure_domain
        self._clock = clock or clocks.MonotonicClock()
        self._random = random_source or random.Random()
        self._client = exchange.TargetClient(clock=self._clock)
        self._lock = threading.Lock()
        self._addresses: tuple[str, ...] = ()
        self._tickets: collections.deque[models.HeldTicket] = (
            collections.deque()
        )
        self._expires_s = 0.0

    def resolve(self, tickets: int = 0) -> models.AddressAnswer:
        """Request addresses from the known entry hosts, one after another.

        :param tickets: number of tickets to request along with them.
        :returns: the first valid response.
        :raises NoEntryHostError: none of them gave a valid response.
        """
        with self._lock:
            known_addresses = list(
                dict.fromkeys((*self._addresses, *self._seeds))
            )
        for address in known_addresses:
            resolved = self._request_addresses(address, tickets)
            if resolved is not None:
                self._store(address, resolved)
                return resolved
        raise NoEntryHostError(
            f"none of {len(known_addresses)} entry host addresses "
            "gave a valid response"
        )

    def _store(self, address: str, resolved: models.AddressAnswer) -> None:
        now_s = self._clock.now_s()
        # Half of the lifetime leaves time for the work and its retries.
        expires_s = now_s + resolved.ticket_lifetime_ms / 2000
        with self._lock:
            self._addresses = tuple(
                entry_address.address for entry_address in resolved.addresses
            )
            self._expires_s = now_s + resolved.lifetime_ms / 1000
            self._tickets.extend(
                models.HeldTicket(
                    text=text, owner_address=address, expires_s=expires_s
                )
                for text in resolved.tickets
            )

    def call(self, request: models.ClientRequest) -> models.ClientEnd:
        """Send a request, with retries, and return its result.

        :param request: the request.
        :returns: the response, or whether the request may have run.
        :raises NoEntryHostError: no entry host can be found.
        """
        started_s = self._clock.now_s()
        result = _ClientCall(client=self, request=request).run(
            started_s + request.timeout_ms / 1000
        )
        latency_ms = (self._clock.now_s() - started_s) * 1000
        return models.ClientEnd(
            outcome=result.outcome,
            reason=result.reason,
            status=result.status,
            headers=result.headers,
            body=result.body,
            latency_ms=latency_ms,
        )

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses to use, refreshed once they have expired.

        :raises NoEntryHostError: no entry host can be found.
        """
        with self._lock:
            if self._addresses and self._clock.now_s() < self._expires_s:
                return self._addresses
        self.resolve()
        with self._lock:
            return self._addresses

    def take_ticket(self) -> models.HeldTicket:
        """Remove and return a ticket that no request was sent with.

        :raises NoEntryHostError: no entry host issued one.
        """
        for _ in range(_MAX_SENDS):
            with self._lock:
                while self._tickets:
                    ticket = self._tickets.popleft()
                    if ticket.expires_s > self._clock.now_s():
                        return ticket
            self.resolve(tickets=_TICKET_BATCH_SIZE)
        raise NoEntryHostError(
            f"no entry host issued a ticket in {_MAX_SENDS} requests"
        )

    def forget(self, addresses: tuple[str, ...]) -> None:
        """Drop addresses and their tickets until the next resolve.

        :param addresses: addresses of unreachable entry hosts.
        """
        with self._lock:
            remaining = tuple(
                entry_address
                for entry_address in self._addresses
                if entry_address not in addresses
            )
            self._addresses = remaining
            self._tickets = collections.deque(
                ticket
                for ticket in self._tickets
                if ticket.owner_address not in addresses
            )

    def exchange(
        self,
        address: str,
        request: models.ClientRequest,
        headers: tuple[tuple[str, str], ...],
        deadline_s: float,
    ) -> targets_models.TargetResponse:
        """Send a request once to one entry host.

        :param address: address of the entry host.
        :param request: the request.
        :param headers: header fields to add.
        :param deadline_s: monotonic time of the deadline, in seconds.
        """
        return self._client.exchange(
            targets_models.TargetRequest(
                address=address,
                method=request.method,
                path=(
                    f"{project_const.CALL_PATH_PREFIX}{request.service}"
                    f"{request.path}"
                ),
                headers=request.headers + headers,
                body=request.body,
                deadline_s=deadline_s,
                is_repeatable=request.is_repeatable,
                max_response_bytes=project_const.MAX_RESPONSE_BODY_BYTES,
            )
        )

    def pause(self, deadline_s: float) -> None:
        """Wait for a short random backoff before a retry.

        :param deadline_s: monotonic time of the deadline, in seconds.
        """
        remaining_s = max(deadline_s - self._clock.now_s(), 0.0)
        backoff_s = min(_MAX_BACKOFF_S * self._random.random(), remaining_s)
        threading.Event().wait(backoff_s)

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.now_s()

    def _request_addresses(
        self, address: str, tickets: int
    ) -> models.AddressAnswer | None:
        path = (
            f"{callers_const.PATH_ADDRESSES}?tickets={tickets}"
            f"&failure_domain={self._failure_domain}"
        )
        response = self._client.exchange(
            targets_models.TargetRequest(
                address=address,
                method="GET",
                path=path,
                headers=(),
                body=b"",
                deadline_s=self._clock.now_s() + _RESOLVE_TIMEOUT_S,
                is_repeatable=True,
                max_response_bytes=project_const.MAX_REQUEST_HEADER_BYTES,
            )
        )
        if response.fault is not None or response.status != 200:
            return None
        try:
            return _ADDRESS_RESPONSE.validate_json(response.body)
        except pydantic.ValidationError:
            return None


class _ClientCall:
    """Run one call with its retries and hold its state."""

    def __init__(
        self, *, client: EntryClient, request: models.ClientRequest
    ) -> None:
        self._client = client
        self._request = request
        self._ticket = ""
        self._owner_address = ""
        self._was_sent = False
        self._request_id = secrets.token_hex(8)

    def run(self, deadline_s: float) -> models.ClientEnd:
        result = _unreported_result(False)
        for attempt_index in range(_MAX_SENDS):
            if attempt_index:
                self._client.pause(deadline_s)
            if self._client.now_s() >= deadline_s:
                break
            result = self._send_once(deadline_s)
            if result.outcome is decision_models.Outcome.ANSWERED:
                return result
        return result

    def _send_once(self, deadline_s: float) -> models.ClientEnd:
        if not self._request.is_repeatable and not self._ticket:
            held = self._client.take_ticket()
            self._ticket = held.text
            self._owner_address = held.owner_address
            self._was_sent = False
        address = self._choose_address()
        remaining_ms = int((deadline_s - self._client.now_s()) * 1000)
        headers: tuple[tuple[str, str], ...] = (
            (project_const.HEADER_REQUEST_ID, self._request_id),
            (project_const.HEADER_DEADLINE_MS, str(max(remaining_ms, 0))),
        )
        if self._ticket:
            headers += ((project_const.HEADER_TICKET, self._ticket),)
        response = self._client.exchange(
            address, self._request, headers, deadline_s
        )
        self._was_sent = self._was_sent or response.send_permitted
        if response.fault is not None or not response.is_framed:
            return self._handle_failure(address)
        return self._parse_response(response)

    def _choose_address(self) -> str:
        if self._owner_address:
            return self._owner_address
        addresses = self._client.addresses()
        if not addresses:
            raise NoEntryHostError(
                "the address list of the entry hosts is empty"
            )
        return addresses[0]

    def _handle_failure(self, address: str) -> models.ClientEnd:
        self._client.forget((address,))
        self._owner_address = ""
        if not self._was_sent:
            # No request was sent with this ticket, so a new one is safe.
            self._ticket = ""
        return _unreported_result(self._was_sent)

    def _parse_response(
        self, response: targets_models.TargetResponse
    ) -> models.ClientEnd:
        outcome = response.header(project_const.HEADER_OUTCOME)
        if outcome == decision_models.Outcome.ANSWERED:
            return models.ClientEnd(
                outcome=decision_models.Outcome.ANSWERED,
                reason=decision_models.Reason.WHOLE_ANSWER,
                status=response.status,
                headers=response.headers,
                body=response.body,
            )
        try:
            refusal = _REFUSAL.validate_json(response.body)
        except pydantic.ValidationError:
            return _unreported_result(self._was_sent)
        if refusal.outcome is decision_models.Outcome.NOT_RUN:
            # The new ticket in a refusal comes from the owner of the last
            # ticket, which need not be the host that the request went to.
            self._ticket = refusal.ticket
            self._was_sent = False
        return models.ClientEnd(outcome=refusal.outcome, reason=refusal.reason)


def _unreported_result(was_sent: bool) -> models.ClientEnd:
    """Return the result of a call that no entry host reported on."""
    if was_sent:
        return models.ClientEnd(
            outcome=decision_models.Outcome.UNKNOWN,
            reason=decision_models.Reason.CONNECTION_RESET,
        )
    return models.ClientEnd(
        outcome=decision_models.Outcome.NOT_RUN,
        reason=decision_models.Reason.CONNECTION_REFUSED,
    )
