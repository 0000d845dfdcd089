"""Addresses that callers keep and the ends of their calls."""

import dataclasses
import typing

import pydantic

from trefoilstand.decision import models as decision_models


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryAddress:
    """Name one entry host.

    :param address: numeric address with port for callers.
    :param failure_domain: failure domain of the host.
    """

    address: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class AddressAnswer:
    """Hold the answer to "which of your addresses shall I use?".

    :param addresses: entry hosts, the preferred one first.
    :param lifetime_ms: how long the answer may be kept.
    :param configuration_version: version that the answering host has.
    :param tickets: tickets owned by the answering host.
    :param ticket_lifetime_ms: how long the tickets may be used.
    """

    addresses: tuple[EntryAddress, ...]
    lifetime_ms: typing.Annotated[int, pydantic.Field(ge=0)]
    configuration_version: int
    tickets: tuple[str, ...]
    ticket_lifetime_ms: typing.Annotated[int, pydantic.Field(ge=0)]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeldTicket:
    """Hold a ticket with the entry host that owns it.

    :param text: ticket as text.
    :param owner_address: address of its owner for callers.
    :param expires_s: monotonic time after which it is not used.
    """

    text: str
    owner_address: str
    expires_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Hold the document of a call without an answer.

    :param outcome: "not run" or "unknown".
    :param reason: observation behind the outcome.
    :param request_id: identity of the request.
    :param retry_after_ms: when another try may help, 0 if unknown.
    :param ticket: fresh ticket for another try, empty without one.
    """

    outcome: decision_models.Outcome
    reason: decision_models.Reason
    request_id: str
    retry_after_ms: int = 0
    ticket: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClientRequest:
    """Hold one request of a caller.

    :param service: name of the service.
    :param method: HTTP method.
    :param path: path with query inside the service.
    :param headers: header fields.
    :param body: whole body.
    :param is_repeatable: True where the caller may send it twice.
    :param timeout_ms: longest time for the whole call.
    """

    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    is_repeatable: bool = True
    timeout_ms: int = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClientEnd:
    """Hold the end of one call as the caller sees it.

    :param outcome: what may be said of the call.
    :param reason: observation behind it.
    :param status: HTTP status of the target, 0 without an answer.
    :param headers: header fields of the answer.
    :param body: whole body of the answer.
    :param latency_ms: time of the whole call.
    """

    outcome: decision_models.Outcome
    reason: decision_models.Reason
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    latency_ms: float = 0.0
