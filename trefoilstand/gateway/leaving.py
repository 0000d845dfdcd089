"""Plan the graceful shutdown of an entry host."""

import asyncio
import collections.abc
import dataclasses
import time
import typing

from trefoilstand.http import server

#: Time for which a leaving host accepts new connections, so that callers
#: that cached its address still reach it.
MAX_ACCEPT_S: typing.Final = 4.0
#: Shortest such time; a caller whose connection is refused later takes
#: another address, while a request that is cut may be lost.
MIN_ACCEPT_S: typing.Final = 2.0
#: Time before the end of the grace period at which the process stops even
#: if callers are still connected.
STOP_MARGIN_S: typing.Final = 0.6
#: Time before that stop by which the last responses are written; the process
#: checks every 0.25 s whether it may stop.
_ANSWER_MARGIN_S: typing.Final = 0.3
#: Time after that stop in which callers may receive the last responses, and
#: the longest such time after an earlier stop.
_DELIVERY_MARGIN_S: typing.Final = 0.1
_MAX_DELIVERY_S: typing.Final = 0.5
_DELIVERY_CHECK_INTERVAL_S: typing.Final = 0.01


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeavePlan:
    """Hold the times of a graceful shutdown, from its request on.

    :param accept_s: seconds for which new connections are accepted.
    :param answer_s: seconds after which no request may still be in progress.
    :param stop_s: seconds after which the process stops in any case.
    :param delivery_s: seconds after which it does not wait for callers that
        still receive their responses.
    """

    accept_s: float
    answer_s: float
    stop_s: float
    delivery_s: float


def make_plan(
    grace_s: float, timeouts_s: collections.abc.Iterable[float]
) -> LeavePlan:
    """Return a plan by which accepted requests can still be answered.

    :param grace_s: seconds from the request to leave to the forced end.
    :param timeouts_s: longest waits that the routes allow, in seconds.
    """
    stop_s = max(grace_s - STOP_MARGIN_S, 0.0)
    accept_s = min(stop_s - max(timeouts_s, default=0.0), MAX_ACCEPT_S)
    return LeavePlan(
        accept_s=min(max(accept_s, MIN_ACCEPT_S), stop_s),
        answer_s=max(stop_s - _ANSWER_MARGIN_S, 0.0),
        stop_s=stop_s,
        delivery_s=stop_s + _DELIVERY_MARGIN_S,
    )


async def finish_delivery(
    servers: collections.abc.Sequence[server.Server], *, until_s: float
) -> None:
    """Close the connections, and wait until the last responses are received.

    The end of the process would reset those with unread input.

    :param servers: servers that accept nothing more from now on.
    :param until_s: monotonic time of the end of the wait.
    """
    until_s = min(until_s, time.monotonic() + _MAX_DELIVERY_S)
    for listener in servers:
        listener.drain()
    while time.monotonic() < until_s and any(
        listener.connections for listener in servers
    ):
        await asyncio.sleep(_DELIVERY_CHECK_INTERVAL_S)
