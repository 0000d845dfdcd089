"""Write responses, and watch those that their caller reads slowly."""

import asyncio
import typing

from trefoilstand.http import buffer_budget
from trefoilstand.http import pipeline
from trefoilstand.http import wire
from trefoilstand.telemetry import events

#: A caller that reads nothing of its response for this long is cut off, as
#: the response takes memory.
_UNREAD_RESPONSE_TIMEOUT_S: typing.Final = 5.0


class UnsentResponse:
    """Hold the memory of what one caller has not read yet.

    :param buffers: memory for bodies, None for no limit.
    """

    def __init__(self, *, buffers: buffer_budget.BufferBudget | None) -> None:
        self._buffers = buffers
        self._lease: buffer_budget.BufferLease | None = None
        self._timer: asyncio.TimerHandle | None = None
        #: Whether further responses have to wait.
        self.is_paused = False

    def pause(self, transport: asyncio.WriteTransport) -> None:
        """Count what the transport holds, and cut off a caller that stalls.

        :param transport: transport whose buffer has filled up.
        """
        self.is_paused = True
        unsent_bytes = transport.get_write_buffer_size()
        if self._buffers is not None and self._lease is None:
            self._lease = self._buffers.open_lease(lambda: None)
            self._lease.hold(unsent_bytes)
        self._watch(transport, unsent_bytes)

    def resume(self) -> None:
        """Release the memory of a response that was sent."""
        self.is_paused = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._lease is not None:
            self._lease.release()
            self._lease = None

    def _watch(
        self, transport: asyncio.WriteTransport, unsent_bytes: int
    ) -> None:
        """Check later that the caller has read some of its response."""
        self._timer = asyncio.get_running_loop().call_later(
            _UNREAD_RESPONSE_TIMEOUT_S, self._check, transport, unsent_bytes
        )

    def _check(
        self, transport: asyncio.WriteTransport, previous_bytes: int
    ) -> None:
        self._timer = None
        unsent_bytes = transport.get_write_buffer_size()
        if unsent_bytes < previous_bytes:
            self._watch(transport, unsent_bytes)
            return
        events.info(events.CallerStalled(unsent_bytes=unsent_bytes))
        transport.abort()


class WaitingResponses:
    """Hold the memory of responses that wait for those of earlier requests.

    :param buffers: memory for bodies, None for no limit.
    """

    def __init__(self, *, buffers: buffer_budget.BufferBudget | None) -> None:
        self._buffers = buffers
        self._lease: buffer_budget.BufferLease | None = None

    def hold(self, size_bytes: int) -> None:
        """Count the responses that wait now, instead of earlier ones.

        :param size_bytes: size of their bodies.
        """
        self.release()
        if self._buffers is not None and size_bytes:
            self._lease = self._buffers.open_lease(lambda: None)
            self._lease.hold(size_bytes)

    def release(self) -> None:
        """Release the memory."""
        if self._lease is not None:
            self._lease.release()
            self._lease = None


def write(
    transport: asyncio.WriteTransport, exchange: pipeline.Exchange
) -> None:
    """Write the response of an exchange unless the connection is closing.

    :param transport: connection of the caller.
    :param exchange: exchange whose response is known.
    """
    response = exchange.response
    if response is None or transport.is_closing():
        return
    header = wire.encode_response_header(
        status=response.status,
        fields=response.fields,
        body_bytes=len(response.body),
        is_closing=not exchange.keeps_alive,
    )
    if exchange.request is not None and exchange.request.method == b"HEAD":
        transport.write(header)
    elif len(response.body) > wire.MAX_COPIED_BODY_BYTES:
        transport.write(header)
        transport.write(response.body)
    else:
        transport.write(header + response.body)
