"""Addresses, tickets, requests and results of callers."""

import dataclasses
import typing

import pydantic

from trefoilstand.decision import models as decision_models


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryAddress:
    """Identify one entry host.

    :param address: numeric address with port for callers.
    :param failure_domain: failure domain of the host.
    """

    address: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class AddressAnswer:
    """Hold an entry host's response to an address request.

    :param addresses: entry hosts, the preferred one first.
    :param lifetime_ms: how long the addresses may be cached, in
        milliseconds.
    :param configuration_version: active version on the responding host.
    :param tickets: signed tickets owned by the responding host.
    :param ticket_lifetime_ms: how long the tickets may be used, in
        milliseconds.
    """

    addresses: tuple[EntryAddress, ...]
    lifetime_ms: typing.Annotated[int, pydantic.Field(ge=0)]
    configuration_version: int
    tickets: tuple[str, ...]
    ticket_lifetime_ms: typing.Annotated[int, pydantic.Field(ge=0)]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeldTicket:
    """Hold a ticket and the entry host that owns it.

    :param text: signed text of the ticket.
    :param owner_address: address of its owner for callers.
    :param expires_s: monotonic time after which it is not used, in
        seconds.
    """

    text: str
    owner_address: str
    expires_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Hold the JSON document that reports a call without a response.

    :param outcome: "not run" or "unknown".
    :param reason: reason for the outcome.
    :param request_id: ID of the request.
    :param retry_after_ms: time after which a retry may succeed, in
        milliseconds, 0 if unknown.
    :param ticket: unused ticket for a retry, empty without one.
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
    :param path: path and query within the service.
    :param headers: header fields.
    :param body: complete body.
    :param is_repeatable: True if the request is idempotent and may run more
        than once.
    :param timeout_ms: timeout of the whole call, in milliseconds.
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
    """Hold the result of one call as the caller sees it.

    :param outcome: whether the call was answered, was not run, or may have
        run.
    :param reason: reason for the outcome.
    :param status: HTTP status of the target, 0 without a response.
    :param headers: header fields of the response.
    :param body: complete body of the response.
    :param latency_ms: duration of the whole call, in milliseconds.
    """

    outcome: decision_models.Outcome
    reason: decision_models.Reason
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    latency_ms: float = 0.0
