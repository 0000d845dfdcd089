"""Call services through entry hosts, with failover.

Work that may not be repeated is sent under a ticket.  After a doubtful end
the same ticket is shown again, which returns the first outcome and never
runs the work a second time.  A fresh ticket is used only after "not run".
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

_ADDRESSES: typing.Final = pydantic.TypeAdapter(models.AddressAnswer)
_REFUSAL: typing.Final = pydantic.TypeAdapter(models.Refusal)
_MAX_PAUSE_S: typing.Final = 0.2
_MAX_SENDS: typing.Final = 5
_RESOLVE_TIMEOUT_S: typing.Final = 1.0
_TICKET_BATCH: typing.Final = 4


class NoEntryHostError(exceptions.TrefoilstandError):
    """Represent that no entry host told which addresses to use."""


class EntryClient:
    """Keep the addresses of entry hosts and send calls to them.

    May be used from several threads.

    :param seeds: addresses of some entry hosts.
    :param failure_domain: where this caller is, empty if unknown.
    :param clock: source of the time.
    :param random_source: source of jitter.
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
        """Ask the known entry hosts which addresses to use.

        :param tickets: how many tickets the answer should bring.
        :raises NoEntryHostError: none of them answered.
        """
        with self._lock:
            known = list(dict.fromkeys((*self._addresses, *self._seeds)))
        for address in known:
            found = self._ask(address, tickets)
            if found is not None:
                self._keep(address, found)
                return found
        raise NoEntryHostError(f"none of {len(known)} addresses answered")

    def _keep(self, address: str, found: models.AddressAnswer) -> None:
        now_s = self._clock.now_s()
        # Half of the lifetime leaves time for the work and its repeats.
        expires_s = now_s + found.ticket_lifetime_ms / 2000
        with self._lock:
            self._addresses = tuple(item.address for item in found.addresses)
            self._expires_s = now_s + found.lifetime_ms / 1000
            self._tickets.extend(
                models.HeldTicket(
                    text=text, owner_address=address, expires_s=expires_s
                )
                for text in found.tickets
            )

    def call(self, request: models.ClientRequest) -> models.ClientEnd:
        """Send a request until there is an answer or an honest end.

        :raises NoEntryHostError: no entry host can be found.
        """
        started_s = self._clock.now_s()
        end = _ClientCall(owner=self, request=request).run(
            started_s + request.timeout_ms / 1000
        )
        latency_ms = (self._clock.now_s() - started_s) * 1000
        return models.ClientEnd(
            outcome=end.outcome,
            reason=end.reason,
            status=end.status,
            headers=end.headers,
            body=end.body,
            latency_ms=latency_ms,
        )

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses to use, asked anew when too old.

        :raises NoEntryHostError: no entry host can be found.
        """
        with self._lock:
            if self._addresses and self._clock.now_s() < self._expires_s:
                return self._addresses
        self.resolve()
        with self._lock:
            return self._addresses

    def take_ticket(self) -> models.HeldTicket:
        """Return a ticket that nothing was sent under.

        :raises NoEntryHostError: no entry host issues one.
        """
        for _ in range(_MAX_SENDS):
            with self._lock:
                while self._tickets:
                    ticket = self._tickets.popleft()
                    if ticket.expires_s > self._clock.now_s():
                        return ticket
            self.resolve(tickets=_TICKET_BATCH)
        raise NoEntryHostError("no entry host issues tickets")

    def forget(self, addresses: tuple[str, ...]) -> None:
        """Prefer other addresses until the answer is asked anew."""
        with self._lock:
            kept = tuple(
                item for item in self._addresses if item not in addresses
            )
            self._addresses = kept
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
        """Send a request once to one entry host."""
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
        """Wait a random short time before another try."""
        left_s = max(deadline_s - self._clock.now_s(), 0.0)
        pause_s = min(_MAX_PAUSE_S * self._random.random(), left_s)
        threading.Event().wait(pause_s)

    def now_s(self) -> float:
        """Return the monotonic time."""
        return self._clock.now_s()

    def _ask(self, address: str, tickets: int) -> models.AddressAnswer | None:
        path = (
            f"{callers_const.PATH_ADDRESSES}?tickets={tickets}"
            f"&failure_domain={self._failure_domain}"
        )
        answer = self._client.exchange(
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
        if answer.fault is not None or answer.status != 200:
            return None
        try:
            return _ADDRESSES.validate_json(answer.body)
        except pydantic.ValidationError:
            return None


class _ClientCall:
    """Hold the state of one call while it is sent and sent again."""

    def __init__(
        self, *, owner: EntryClient, request: models.ClientRequest
    ) -> None:
        self._owner = owner
        self._request = request
        self._ticket = ""
        self._owner_address = ""
        self._was_sent = False
        self._request_id = secrets.token_hex(8)

    def run(self, deadline_s: float) -> models.ClientEnd:
        end = _doubtful(False)
        for position in range(_MAX_SENDS):
            if position:
                self._owner.pause(deadline_s)
            if self._owner.now_s() >= deadline_s:
                break
            end = self._send_once(deadline_s)
            if end.outcome is decision_models.Outcome.ANSWERED:
                return end
        return end

    def _send_once(self, deadline_s: float) -> models.ClientEnd:
        if not self._request.is_repeatable and not self._ticket:
            held = self._owner.take_ticket()
            self._ticket = held.text
            self._owner_address = held.owner_address
            self._was_sent = False
        address = self._choose()
        left_ms = int((deadline_s - self._owner.now_s()) * 1000)
        headers: tuple[tuple[str, str], ...] = (
            (project_const.HEADER_REQUEST_ID, self._request_id),
            (project_const.HEADER_DEADLINE_MS, str(max(left_ms, 0))),
        )
        if self._ticket:
            headers += ((project_const.HEADER_TICKET, self._ticket),)
        answer = self._owner.exchange(
            address, self._request, headers, deadline_s
        )
        self._was_sent = self._was_sent or answer.send_permitted
        if answer.fault is not None or not answer.is_framed:
            return self._fail(address)
        return self._read(answer)

    def _choose(self) -> str:
        if self._owner_address:
            return self._owner_address
        addresses = self._owner.addresses()
        if not addresses:
            raise NoEntryHostError("no entry host is known")
        return addresses[0]

    def _fail(self, address: str) -> models.ClientEnd:
        self._owner.forget((address,))
        self._owner_address = ""
        if not self._was_sent:
            # Its owner never saw this ticket, and never will.
            self._ticket = ""
        return _doubtful(self._was_sent)

    def _read(self, answer: targets_models.TargetResponse) -> models.ClientEnd:
        outcome = answer.header(project_const.HEADER_OUTCOME)
        if outcome == decision_models.Outcome.ANSWERED:
            return models.ClientEnd(
                outcome=decision_models.Outcome.ANSWERED,
                reason=decision_models.Reason.WHOLE_ANSWER,
                status=answer.status,
                headers=answer.headers,
                body=answer.body,
            )
        try:
            refusal = _REFUSAL.validate_json(answer.body)
        except pydantic.ValidationError:
            return _doubtful(self._was_sent)
        if refusal.outcome is decision_models.Outcome.NOT_RUN:
            # A refusal may bring a ticket of the owner of the last one,
            # which need not be the host that was asked.
            self._ticket = refusal.ticket
            self._was_sent = False
        return models.ClientEnd(outcome=refusal.outcome, reason=refusal.reason)


def _doubtful(was_sent: bool) -> models.ClientEnd:
    """Return the end of a call without any statement of an entry host."""
    if was_sent:
        return models.ClientEnd(
            outcome=decision_models.Outcome.UNKNOWN,
            reason=decision_models.Reason.CONNECTION_RESET,
        )
    return models.ClientEnd(
        outcome=decision_models.Outcome.NOT_RUN,
        reason=decision_models.Reason.CONNECTION_REFUSED,
    )
