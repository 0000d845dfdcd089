"""Schema of process settings."""

import dataclasses
import typing

import pydantic

from trefoilstand.settings import const
from trefoilstand.util import address

_FORBID_UNKNOWN_KEYS: typing.Final = pydantic.ConfigDict(extra="forbid")


def _check_address(text: str) -> str:
    """Validate a numeric address and return its normal form."""
    return str(address.parse_address(text))


AddressText = typing.Annotated[str, pydantic.AfterValidator(_check_address)]
PositiveSeconds = typing.Annotated[float, pydantic.Field(gt=0, le=3600)]


TicketSecret = typing.Annotated[
    str, pydantic.Field(min_length=const.MIN_TICKET_SECRET_CHARACTERS)
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Hold the validated settings of one daemon process.

    :param caller_address: address on which callers are served.
    :param peer_address: address on which other entry hosts are served.
    :param failure_domain: failure domain of this host.
    :param platform_address: address of the platform's services.
    :param ticket_secrets: keys of tickets, the same on all entry hosts;
        the first one signs, all verify.
    :param answer_lifetime_s: how long callers may cache addresses of
        entry hosts, in seconds.
    :param caller_threads: number of calls served concurrently.
    :param heartbeat_interval_s: interval between heartbeat rounds, in
        seconds.
    :param read_timeout_s: timeout for the next bytes of a caller, in
        seconds.
    :param tick_interval_s: interval between two ticks, in seconds.
    :param ticket_lifetime_s: lifetime of a ticket in seconds.
    :param watch_wait_s: maximum duration of one platform watch, in
        seconds.
    """

    __pydantic_config__ = _FORBID_UNKNOWN_KEYS

    caller_address: AddressText
    peer_address: AddressText
    failure_domain: typing.Annotated[str, pydantic.Field(min_length=1)]
    platform_address: AddressText
    ticket_secrets: typing.Annotated[
        tuple[TicketSecret, ...], pydantic.Field(min_length=1)
    ]
    answer_lifetime_s: PositiveSeconds = const.DEFAULT_ANSWER_LIFETIME_S
    caller_threads: typing.Annotated[
        int, pydantic.Field(ge=1, le=const.MAX_CALLER_THREADS)
    ] = const.DEFAULT_CALLER_THREADS
    heartbeat_interval_s: PositiveSeconds = const.DEFAULT_HEARTBEAT_INTERVAL_S
    read_timeout_s: typing.Annotated[int, pydantic.Field(ge=1, le=600)] = (
        const.DEFAULT_READ_TIMEOUT_S
    )
    tick_interval_s: PositiveSeconds = const.DEFAULT_TICK_INTERVAL_S
    ticket_lifetime_s: PositiveSeconds = const.DEFAULT_TICKET_LIFETIME_S
    watch_wait_s: PositiveSeconds = const.DEFAULT_WATCH_WAIT_S
