"""Schema of process settings."""

import dataclasses
import typing

import pydantic

from trefoilstand.settings import const
from trefoilstand.util import address

_STRICT: typing.Final = pydantic.ConfigDict(extra="forbid")


def _check_address(text: str) -> str:
    """Refuse a text that is not a numeric address."""
    return str(address.parse_address(text))


AddressText = typing.Annotated[str, pydantic.AfterValidator(_check_address)]
PositiveSeconds = typing.Annotated[float, pydantic.Field(gt=0, le=3600)]


TicketSecret = typing.Annotated[
    str, pydantic.Field(min_length=const.MIN_TICKET_SECRET_CHARACTERS)
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Hold the checked settings of one daemon process.

    :param caller_address: address on which callers are served.
    :param peer_address: address on which other entry hosts are served.
    :param failure_domain: failure domain of this host.
    :param platform_address: address of the platform's services.
    :param ticket_secrets: keys of tickets, the same on all entry hosts;
        the first one signs, all verify.
    :param answer_lifetime_s: how long callers may keep our addresses.
    :param caller_threads: calls that are served at the same time.
    :param heartbeat_interval_s: pause between two rounds of heartbeats.
    :param read_timeout_s: longest wait for the next bytes of a caller.
    :param tick_interval_s: pause between two ticks.
    :param ticket_lifetime_s: how long a ticket may be used.
    :param watch_wait_s: how long one watch of the platform waits.
    """

    __pydantic_config__ = _STRICT

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
