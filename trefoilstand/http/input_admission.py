"""Decide which requests may be received while memory is short.

A request takes memory from its first bytes on until its response is written.
While it is incomplete it has not run, so it may be refused.  This module
needs no network: connections report what they receive, and are told when to
read on and when to refuse.
"""

import collections.abc
import typing

from trefoilstand.http import buffer_budget

#: Memory that a request of unknown length is granted at a time.
_GRANT_STEP_BYTES: typing.Final = 1024 * 1024
#: A request that receives less than this in the time below makes way for
#: others that wait for memory.
_MIN_PROGRESS_BYTES: typing.Final = 16 * 1024
_MIN_PROGRESS_INTERVAL_S: typing.Final = 0.5
#: After a longer time between two checks, the process has been suspended.
_MAX_CHECK_INTERVAL_S: typing.Final = 1.0
#: Received bytes that a connection which waits may hold in the system's
#: socket buffer, besides its memory in this process.
_WAITING_BYTES: typing.Final = 128 * 1024
#: Share of the memory limit for connections that wait.
_WAITING_SHARE: typing.Final = 0.25
_MIN_WAITING: typing.Final = 8

#: Statuses of refused requests; both state that the request has not run.
STATUS_NO_PROGRESS: typing.Final = 408
STATUS_NO_MEMORY: typing.Final = 503


class HeldMemory:
    """Memory of a request that was complete with its first bytes.

    :param budget: budget that the memory belongs to.
    :param size_bytes: size of the request.
    """

    __slots__ = ("_budget", "_size_bytes")

    def __init__(
        self, *, budget: buffer_budget.BufferBudget, size_bytes: int
    ) -> None:
        self._budget = budget
        self._size_bytes = size_bytes

    def release(self) -> None:
        """Return the memory."""
        self._budget.take(-self._size_bytes)
        self._size_bytes = 0
        self._budget.grant_waiting()


class InputLease:
    """Memory of one request.

    :param admission: admission that the lease belongs to.
    :param number: lower for requests that began earlier.
    :param on_granted: called when reading may go on after a wait.
    :param on_refused: called with a status when the request is to be refused.
    """

    __slots__ = (
        "_admission",
        "held_bytes",
        "marked_bytes",
        "marked_s",
        "number",
        "on_granted",
        "on_refused",
        "received_bytes",
        "wanted_bytes",
    )

    def __init__(
        self,
        *,
        admission: "InputAdmission",
        number: int,
        on_granted: collections.abc.Callable[[], None],
        on_refused: collections.abc.Callable[[int], None],
    ) -> None:
        self._admission = admission
        self.number = number
        self.on_granted = on_granted
        self.on_refused = on_refused
        self.held_bytes = 0
        self.received_bytes = 0
        #: Size up to which memory is asked for, 0 unless the lease waits.
        self.wanted_bytes = 0
        #: Received bytes at the time of the last sufficient progress.
        self.marked_bytes = 0
        self.marked_s: float | None = None

    @property
    def is_waiting(self) -> bool:
        """Return whether the connection has to stop reading."""
        return self.wanted_bytes > 0

    @property
    def is_large(self) -> bool:
        """Return whether the reserve for small requests is closed to it."""
        return (
            max(self.held_bytes, self.wanted_bytes)
            > buffer_budget.MAX_SMALL_BYTES
        )

    def reserve(self, total_bytes: int) -> bool:
        """Ask for the memory of a request of known size.

        :param total_bytes: size of the whole request.
        :returns: whether reading may go on; if not, the lease waits.
        """
        return self._admission.reserve(self, total_bytes)

    def receive(self, total_bytes: int) -> bool:
        """Count bytes that were received, and ask for more if necessary.

        :param total_bytes: received size of the request so far.
        :returns: whether reading may go on.
        """
        return self._admission.receive(self, total_bytes)

    def complete(self, total_bytes: int) -> bool:
        """Count a request that is complete and about to run.

        :param total_bytes: size of the whole request.
        :returns: whether there is memory for it; if not, it is refused.
        """
        return self._admission.complete(self, total_bytes)

    def release(self) -> None:
        """Return the memory, and give up waiting."""
        self._admission.release(self)


class InputAdmission:
    """Grant memory to requests, the smallest first.

    :param budget: memory of all bodies of the process.
    """

    def __init__(self, *, budget: buffer_budget.BufferBudget) -> None:
        self._budget = budget
        budget.on_memory_freed = self._grant_waiting
        self._max_waiting = max(
            int(budget.limit_bytes * _WAITING_SHARE / _WAITING_BYTES),
            _MIN_WAITING,
        )
        self._next_number = 0
        self._checked_s = 0.0
        #: Requests that are not complete, and those of them that wait.
        self._incomplete: dict[InputLease, None] = {}
        self._waiting: dict[InputLease, None] = {}
        self.refused_count = 0

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait for memory."""
        return len(self._waiting)

    def open_lease(
        self,
        *,
        on_granted: collections.abc.Callable[[], None],
        on_refused: collections.abc.Callable[[int], None],
    ) -> InputLease:
        """Return the lease of a request that holds nothing yet.

        :param on_granted: called when reading may go on after a wait.
        :param on_refused: called with a status when the request is refused;
            it must release the lease.
        """
        self._next_number += 1
        lease = InputLease(
            admission=self,
            number=self._next_number,
            on_granted=on_granted,
            on_refused=on_refused,
        )
        self._incomplete[lease] = None
        return lease

    def hold_complete(self, size_bytes: int) -> HeldMemory:
        """Count a request without a lease that is about to run.

        :param size_bytes: size of the whole request.
        :raises MemoryError: there is no memory for it.
        """
        if not self._budget.has_room(
            size_bytes, is_small=size_bytes <= buffer_budget.MAX_SMALL_BYTES
        ):
            raise MemoryError
        self._budget.take(size_bytes)
        return HeldMemory(budget=self._budget, size_bytes=size_bytes)

    def reserve(self, lease: InputLease, total_bytes: int) -> bool:
        """Ask for memory; see :meth:`InputLease.reserve`."""
        if lease.is_waiting or total_bytes <= lease.held_bytes:
            return not lease.is_waiting
        if self._fits(lease, total_bytes):
            self._hold(lease, total_bytes)
            return True
        lease.wanted_bytes = total_bytes
        self._waiting[lease] = None
        if len(self._waiting) > self._max_waiting:
            self._refuse(
                max(self._waiting, key=_grant_order), STATUS_NO_MEMORY
            )
        return not lease.is_waiting

    def receive(self, lease: InputLease, total_bytes: int) -> bool:
        """Count received bytes; see :meth:`InputLease.receive`."""
        lease.received_bytes = total_bytes
        if total_bytes <= lease.held_bytes:
            return not lease.is_waiting
        granted_bytes = total_bytes
        if total_bytes > buffer_budget.MAX_SMALL_BYTES:
            granted_bytes += _GRANT_STEP_BYTES
        if not lease.is_waiting and self._fits(lease, granted_bytes):
            self._hold(lease, granted_bytes)
            return True
        # They are in memory, whether or not that was granted.
        self._hold(lease, total_bytes)
        if lease.is_waiting:
            lease.wanted_bytes = max(lease.wanted_bytes, granted_bytes)
            return False
        # Any further byte has to wait, also of a small request.
        return self.reserve(lease, max(granted_bytes, total_bytes + 1))

    def complete(self, lease: InputLease, total_bytes: int) -> bool:
        """Count a complete request; see :meth:`InputLease.complete`."""
        if total_bytes > lease.held_bytes and not self._fits(
            lease, total_bytes
        ):
            return False
        self._incomplete.pop(lease, None)
        self._waiting.pop(lease, None)
        lease.wanted_bytes = 0
        freed_bytes = lease.held_bytes - total_bytes
        lease.held_bytes = total_bytes
        self._budget.take(-freed_bytes)
        if freed_bytes > 0:
            self._budget.grant_waiting()
        return True

    def release(self, lease: InputLease) -> None:
        """Return the memory of a lease; see :meth:`InputLease.release`."""
        self._incomplete.pop(lease, None)
        self._waiting.pop(lease, None)
        lease.wanted_bytes = 0
        held_bytes, lease.held_bytes = lease.held_bytes, 0
        if held_bytes:
            self._budget.take(-held_bytes)
            self._budget.grant_waiting()

    def check(self, now_s: float) -> None:
        """Refuse requests that keep memory from others without progress.

        To be called several times per second.

        :param now_s: monotonic time.
        """
        if now_s - self._checked_s > _MAX_CHECK_INTERVAL_S:
            # The process did not run, so it read nothing meanwhile.
            for lease in self._incomplete:
                lease.marked_s = None
        self._checked_s = now_s
        stalled = [
            lease
            for lease in self._incomplete
            if not lease.is_waiting and _is_stalled(lease, now_s)
        ]
        stalled.sort(
            key=lambda lease: (
                lease.received_bytes - lease.marked_bytes,
                -lease.held_bytes,
            )
        )
        for lease in stalled:
            if not self._waiting:
                return
            if lease.is_large or not self._first_waiting().is_large:
                self._refuse(lease, STATUS_NO_PROGRESS)
        self._resolve_deadlock()

    def _resolve_deadlock(self) -> None:
        """Refuse a request if all large ones wait for each other's memory."""
        if not self._waiting or any(
            lease.is_large and not lease.is_waiting
            for lease in self._incomplete
        ):
            return
        first = self._first_waiting()
        holders = [lease for lease in self._waiting if lease.held_bytes]
        others_bytes = sum(
            lease.held_bytes for lease in holders if lease is not first
        )
        # Otherwise requests that run hold the memory, and return it later.
        if others_bytes and self._fits(
            first, first.wanted_bytes - others_bytes
        ):
            least = min(
                holders,
                key=lambda lease: (lease.received_bytes, -lease.number),
            )
            self._refuse(least, STATUS_NO_PROGRESS)

    def _first_waiting(self) -> InputLease:
        return min(self._waiting, key=_grant_order)

    def _grant_waiting(self) -> None:
        """Grant the memory that became free."""
        while self._waiting:
            lease = self._first_waiting()
            if not self._fits(lease, lease.wanted_bytes):
                return
            del self._waiting[lease]
            self._hold(lease, lease.wanted_bytes)
            lease.wanted_bytes = 0
            lease.marked_s = None
            lease.on_granted()

    def _refuse(self, lease: InputLease, status: int) -> None:
        self.refused_count += 1
        lease.on_refused(status)
        self.release(lease)

    def _fits(self, lease: InputLease, total_bytes: int) -> bool:
        # One request that exceeds the limit by itself is received alone.
        return self._budget.has_room(
            total_bytes - lease.held_bytes,
            is_small=total_bytes <= buffer_budget.MAX_SMALL_BYTES,
        ) or (self._budget.used_bytes == lease.held_bytes)

    def _hold(self, lease: InputLease, total_bytes: int) -> None:
        self._budget.take(total_bytes - lease.held_bytes)
        lease.held_bytes = total_bytes


def _grant_order(lease: InputLease) -> tuple[int, int]:
    """Order waiting requests: those that need least memory come first."""
    return lease.wanted_bytes - lease.held_bytes, lease.number


def _is_stalled(lease: InputLease, now_s: float) -> bool:
    """Return whether a request has made too little progress for a while."""
    if (
        lease.marked_s is None
        or lease.received_bytes - lease.marked_bytes >= _MIN_PROGRESS_BYTES
    ):
        lease.marked_bytes = lease.received_bytes
        lease.marked_s = now_s
    return now_s - lease.marked_s >= _MIN_PROGRESS_INTERVAL_S
