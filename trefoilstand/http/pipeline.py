"""Order of the pipelined requests of one connection and their responses.

Requests with safe methods are handled concurrently (RFC 9112, section 9.3.2),
so that one slow response does not delay the processing of those behind it.
Responses are written in the order of their requests.
"""

import collections
import dataclasses
import typing

from trefoilstand.http import handling
from trefoilstand.http import input_admission
from trefoilstand.http import models

#: Requests of one connection that are handled at the same time.
MAX_CONCURRENT_REQUESTS: typing.Final = 8
_SAFE_METHODS: typing.Final = frozenset({b"GET", b"HEAD", b"OPTIONS"})


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Exchange:
    """Hold one request and its response until that is written.

    :param request: complete request, None if it was rejected while read.
    :param keeps_alive: whether the connection may stay open after it.
    :param is_started: whether the request is being handled.
    :param response: complete response, None before it is known.
    :param lease: memory of the request, None if it takes none.
    """

    request: models.Request | None
    keeps_alive: bool
    is_started: bool = False
    response: handling.CallerResponse | None = None
    lease: input_admission.InputLease | input_admission.HeldMemory | None = (
        None
    )

    def release_memory(self) -> None:
        """Return the memory of a request that is not needed any more."""
        if self.lease is not None:
            self.lease.release()
            self.lease = None

    @property
    def is_safe(self) -> bool:
        """Return whether it may be handled beside others."""
        return (
            self.request is not None and self.request.method in _SAFE_METHODS
        )


def make_refusal(status: int) -> Exchange:
    """Return the exchange of a request that was refused while it was read.

    :param status: status of its response, which ends the connection.
    """
    return Exchange(
        request=None,
        keeps_alive=False,
        is_started=True,
        response=handling.CallerResponse(status=status),
    )


class Pipeline:
    """Hold the exchanges of one connection in the order of their requests."""

    def __init__(self) -> None:
        self._exchanges: collections.deque[Exchange] = collections.deque()
        self._is_closed = False

    def __len__(self) -> int:
        return len(self._exchanges)

    @property
    def is_full(self) -> bool:
        """Return whether further requests should not be read for now."""
        return len(self._exchanges) >= MAX_CONCURRENT_REQUESTS

    @property
    def waiting_bytes(self) -> int:
        """Return the size of the complete responses that are not written."""
        return sum(
            len(exchange.response.body)
            for exchange in self._exchanges
            if exchange.response is not None
        )

    @property
    def is_closed(self) -> bool:
        """Return whether the last exchange ends the connection."""
        return self._is_closed

    def add(self, exchange: Exchange) -> None:
        """Add the exchange of a request that was read.

        A request behind one that ends the connection counts as not read.
        """
        if self._is_closed:
            exchange.release_memory()
            return
        self._exchanges.append(exchange)
        self._is_closed = not exchange.keeps_alive

    def close(self) -> None:
        """End the connection with the last request that was read."""
        if self._exchanges:
            self._exchanges[-1].keeps_alive = False
            self._is_closed = True

    def take_startable(self) -> list[Exchange]:
        """Return the exchanges to handle now, and mark them as started."""
        startable: list[Exchange] = []
        running_count = 0
        for exchange in self._exchanges:
            if exchange.response is not None:
                continue
            if exchange.is_started:
                running_count += 1
                if not exchange.is_safe:
                    break
                continue
            if running_count >= MAX_CONCURRENT_REQUESTS or (
                running_count and not exchange.is_safe
            ):
                break
            exchange.is_started = True
            running_count += 1
            startable.append(exchange)
            if not exchange.is_safe:
                break
        return startable

    def pop_complete(self) -> Exchange | None:
        """Remove and return the oldest exchange if its response is known."""
        if self._exchanges and self._exchanges[0].response is not None:
            return self._exchanges.popleft()
        return None

    def clear(self) -> None:
        """Forget all exchanges, as after the loss of the connection."""
        for exchange in self._exchanges:
            exchange.release_memory()
        self._exchanges.clear()
