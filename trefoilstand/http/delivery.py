"""Close connections of callers after their last response was delivered.

A socket that is closed with unread input, or that gets input after its close,
is reset, and the system drops what it has not delivered of the response (RFC
9112, section 9.6).  A connection therefore ends its output first, and reads
on until the caller has closed its side or has received everything.
"""

import array
import asyncio
import fcntl
import termios
import typing

from trefoilstand.telemetry import events

#: Time between two checks of what the caller has received.
CHECK_INTERVAL_S: typing.Final = 0.25
#: Time that a caller has to close its side after its system has received the
#: whole response.
_CLOSE_TIMEOUT_S: typing.Final = 2.0
#: A caller that receives nothing for this long is cut off.
_STALL_TIMEOUT_S: typing.Final = 5.0
#: Input that is discarded after the response was received; a caller that
#: sends more does not react to it.
_MAX_DISCARDED_BYTES: typing.Final = 1024 * 1024


def undelivered_bytes(transport: asyncio.WriteTransport) -> int:
    """Return how much the caller's system has not acknowledged yet.

    :param transport: connection of the caller.
    :returns: bytes in the write buffer and in the system's socket buffer.
    """
    unsent_bytes = transport.get_write_buffer_size()
    raw_socket = transport.get_extra_info("socket")
    if raw_socket is None or raw_socket.fileno() < 0:
        return unsent_bytes
    unacknowledged = array.array("i", [0])
    try:
        fcntl.ioctl(raw_socket.fileno(), termios.TIOCOUTQ, unacknowledged)
    except OSError:
        # The connection was reset, and the transport will notice it.
        return unsent_bytes
    return unsent_bytes + unacknowledged[0]


class DeliveryWatch:
    """Tell whether a caller still receives what was written.

    :param transport: connection of the caller.
    :param now_s: monotonic time.
    """

    def __init__(
        self, *, transport: asyncio.WriteTransport, now_s: float
    ) -> None:
        self._transport = transport
        #: Result of the last check, None before the first.
        self.undelivered_bytes: int | None = None
        self._progress_s = now_s

    def update(self, now_s: float) -> None:
        """Compare what is undelivered with the last check.

        :param now_s: monotonic time.
        """
        remaining_bytes = undelivered_bytes(self._transport)
        if remaining_bytes != self.undelivered_bytes:
            self._progress_s = now_s
        self.undelivered_bytes = remaining_bytes

    def unchanged_s(self, now_s: float) -> float:
        """Return for how many seconds the caller has received nothing."""
        return now_s - self._progress_s

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the caller does not receive what was written."""
        return bool(self.undelivered_bytes) and (
            self.unchanged_s(now_s) >= _STALL_TIMEOUT_S
        )


class OrderlyClose:
    """Close one connection after its last response was written.

    :param transport: connection of the caller, which reads on and discards
        its input.
    """

    def __init__(self, *, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._watch = DeliveryWatch(
            transport=transport, now_s=self._loop.time()
        )
        self._discarded_bytes = 0
        transport.write_eof()
        transport.resume_reading()
        self._timer = self._start_timer()

    @property
    def is_delivered(self) -> bool:
        """Return whether the caller's system has received everything."""
        return not undelivered_bytes(self._transport)

    def discard(self, size_bytes: int) -> None:
        """Count input that is not read any more.

        :param size_bytes: number of discarded bytes.
        """
        self._discarded_bytes += size_bytes
        if (
            self._discarded_bytes > _MAX_DISCARDED_BYTES
            and self.is_delivered
            and not self._transport.is_closing()
        ):
            self._transport.close()

    def cancel(self) -> None:
        """End the checks of a connection that was lost."""
        self._timer.cancel()

    def _start_timer(self) -> asyncio.TimerHandle:
        return self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        now_s = self._loop.time()
        watch = self._watch
        watch.update(now_s)
        if watch.is_stalled(now_s):
            events.info(
                events.CallerStalled(unsent_bytes=watch.undelivered_bytes or 0)
            )
            self._transport.abort()
        elif (
            not watch.undelivered_bytes
            and watch.unchanged_s(now_s) >= _CLOSE_TIMEOUT_S
        ):
            self._transport.close()
        else:
            self._timer = self._start_timer()
