"""Receive the requests of one connection, in turn, within the memory bound."""

import asyncio
import collections.abc
import socket
import time
import typing

from trefoilstand.http import body_storage
from trefoilstand.http import buffer_budget
from trefoilstand.http import input_admission
from trefoilstand.telemetry import events

#: Receive buffer of an accepted socket; the system adds as much again.  All
#: connections of a host may fill theirs at once.
SOCKET_BUFFER_BYTES: typing.Final = 16 * 1024
#: Receive buffer while a larger body is received, which allows 8 MB/s at a
#: round trip of 16 ms.  Without it the system would receive up to 32 MiB for
#: a connection that is not read.
_LARGE_SOCKET_BUFFER_BYTES: typing.Final = 128 * 1024
#: Memory of one header field besides its name and value, as it is parsed.
FIELD_OVERHEAD_BYTES: typing.Final = 160
#: Once a body seems to have stalled, time to read what arrived while the
#: process did not run.
_STALL_RECHECK_S: typing.Final = 0.25


class RequestReception:
    """Hold the body and the memory of the request that is being received.

    :param admission: grants the memory, None for no limit.
    :param on_refused: called with the status of a refusal.
    :param on_granted: called when reading may go on after a wait.
    """

    def __init__(
        self,
        *,
        admission: input_admission.InputAdmission | None,
        on_refused: collections.abc.Callable[[int], None],
        on_granted: collections.abc.Callable[[], None],
    ) -> None:
        self._admission = admission
        self._on_refused = on_refused
        self._on_granted = on_granted
        self._lease: input_admission.InputLease | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._deadline_s: float | None = None
        self._stall_timeout_s = 0.0
        self._checked_bytes = -1
        self._is_rechecking = False
        self._has_large_socket_buffer = False
        self.body = body_storage.BodyStorage()

    @property
    def is_waiting(self) -> bool:
        """Return whether the request waits for memory."""
        return self._lease is not None and self._lease.is_waiting

    @property
    def received_bytes(self) -> int:
        """Return how much of the body was received."""
        return self.body.size_bytes

    def announce(self, total_bytes: int, transport: asyncio.Transport) -> None:
        """Ask for the memory of a body whose length was announced.

        :param total_bytes: size of the request with its body.
        :param transport: connection that it is received on.
        """
        if self._admission is None:
            return
        if total_bytes > buffer_budget.MAX_SMALL_BYTES:
            lease = self._lease or self._open_lease(self._admission)
            if not lease.reserve(total_bytes):
                return
        self._enlarge_socket_buffer(transport)

    def count(
        self,
        header_bytes: int,
        transport: asyncio.Transport,
        *,
        is_fragmented: bool,
    ) -> None:
        """Count what was received of an incomplete request.

        :param header_bytes: memory of its header section.
        :param transport: connection that it is received on.
        :param is_fragmented: whether the input is expensive to parse, so that
            much of it waits in the socket buffer.
        """
        if self._admission is None:
            return
        total_bytes = header_bytes + self.body.size_bytes
        if is_fragmented:
            total_bytes += _LARGE_SOCKET_BUFFER_BYTES
        lease = self._lease or self._open_lease(self._admission)
        if (
            lease.receive(total_bytes)
            and self.body.size_bytes > SOCKET_BUFFER_BYTES
        ):
            self._enlarge_socket_buffer(transport)

    def _enlarge_socket_buffer(self, transport: asyncio.Transport) -> None:
        if self._has_large_socket_buffer:
            return
        self._has_large_socket_buffer = True
        raw_socket = transport.get_extra_info("socket")
        if raw_socket is not None:
            raw_socket.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                _LARGE_SOCKET_BUFFER_BYTES,
            )

    def complete(
        self,
    ) -> input_admission.InputLease | input_admission.HeldMemory | None:
        """End the reception of a request that is complete.

        :returns: memory of the request, to be released with its response;
            None if it takes none.
        :raises MemoryError: there is no memory for the request.
        """
        self._stop_timer()
        body_bytes = self.body.size_bytes
        lease, self._lease = self._lease, None
        if lease is None:
            if self._admission is None or not body_bytes:
                return None
            return self._admission.hold_complete(body_bytes)
        if not lease.complete(body_bytes):
            lease.release()
            raise MemoryError
        return lease

    def abandon(self) -> None:
        """Release what was received of a request that is given up."""
        self._stop_timer()
        self.body.clear()
        if self._lease is not None:
            lease, self._lease = self._lease, None
            lease.release()

    def log_refusal(self, status: int, transport: asyncio.Transport) -> None:
        """Log that the request is refused.

        :param status: status of the response.
        :param transport: connection that it is received on.
        """
        peer = transport.get_extra_info("peername")
        events.info(
            events.InputRefused(
                peer=f"{peer[0]}:{peer[1]}" if peer else "",
                status=status,
                received_bytes=self.body.size_bytes,
            )
        )

    def close(self) -> None:
        """Release what was received on a connection that was lost."""
        self.abandon()
        # They refer to the connection; without the cycle both are freed now
        # and not by the next garbage collection.
        self._on_refused = _ignore_refusal
        self._on_granted = _ignore_grant

    def watch(
        self, *, deadline_s: float | None, stall_timeout_s: float
    ) -> None:
        """Refuse the request if its body stalls or misses its deadline.

        :param deadline_s: monotonic time by which the caller gives up, None
            if that is not known.
        :param stall_timeout_s: longest time without a byte of the body.
        """
        self._deadline_s = deadline_s
        self._stall_timeout_s = stall_timeout_s
        self._checked_bytes = self.body.size_bytes
        self._is_rechecking = False
        self._start_timer(stall_timeout_s)

    @property
    def is_watched(self) -> bool:
        """Return whether the body is being watched."""
        return self._timer is not None

    def _start_timer(self, delay_s: float) -> None:
        if self._deadline_s is not None:
            delay_s = min(
                delay_s, max(self._deadline_s - time.monotonic(), 0.0)
            )
        self._timer = asyncio.get_running_loop().call_later(
            delay_s, self._check
        )

    def _check(self) -> None:
        self._timer = None
        if self._deadline_s is not None and (
            time.monotonic() >= self._deadline_s
        ):
            self._on_refused(input_admission.STATUS_NO_PROGRESS)
            return
        has_progressed = self.body.size_bytes != self._checked_bytes
        self._checked_bytes = self.body.size_bytes
        if has_progressed or self.is_waiting:
            self._is_rechecking = False
            self._start_timer(self._stall_timeout_s)
        elif not self._is_rechecking:
            self._is_rechecking = True
            self._start_timer(_STALL_RECHECK_S)
        else:
            self._on_refused(input_admission.STATUS_NO_PROGRESS)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _open_lease(
        self, admission: input_admission.InputAdmission
    ) -> input_admission.InputLease:
        self._lease = admission.open_lease(
            on_granted=self._on_granted, on_refused=self._on_refused
        )
        return self._lease


def _ignore_refusal(_status: int) -> None:
    return


def _ignore_grant() -> None:
    return
