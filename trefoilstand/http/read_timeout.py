"""Limit how long a connection waits for its next request."""

import asyncio
import collections.abc

from trefoilstand.http import delivery


class ReadTimeout:
    """Report a connection that waits for a request for too long.

    The time does not end while the caller still receives its last response.

    :param on_expired: called when the connection is to be closed.
    """

    def __init__(
        self, *, on_expired: collections.abc.Callable[[], None]
    ) -> None:
        self._on_expired = on_expired
        self._timer: asyncio.TimerHandle | None = None
        self._watch: delivery.DeliveryWatch | None = None

    def start(
        self, transport: asyncio.WriteTransport, timeout_s: float
    ) -> None:
        """Start to wait, instead of a wait that was started before.

        :param transport: connection of the caller.
        :param timeout_s: longest wait in seconds.
        """
        self.cancel()
        self._schedule(transport, timeout_s)

    def cancel(self) -> None:
        """End the wait."""
        self._watch = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """End the wait for good, on a connection that was lost."""
        self.cancel()
        # It refers to the connection; without the cycle both are freed now
        # and not by the next garbage collection.
        self._on_expired = _ignore_expiry

    def _schedule(
        self, transport: asyncio.WriteTransport, delay_s: float
    ) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            delay_s, self._expire, transport
        )

    def _expire(self, transport: asyncio.WriteTransport) -> None:
        self._timer = None
        now_s = asyncio.get_running_loop().time()
        if self._watch is None:
            self._watch = delivery.DeliveryWatch(
                transport=transport, now_s=now_s
            )
        self._watch.update(now_s)
        if self._watch.undelivered_bytes and not self._watch.is_stalled(now_s):
            self._schedule(transport, delivery.CHECK_INTERVAL_S)
        else:
            self._on_expired()


def _ignore_expiry() -> None:
    return
