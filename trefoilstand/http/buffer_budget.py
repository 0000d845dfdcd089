"""Bound the memory that message bodies take in one process.

The budget never refuses a body.  While it is used up, connections that
receive further bodies stop reading, so that their servers wait.  Requests of
callers take part through :mod:`trefoilstand.http.input_admission`.
"""

import collections
import collections.abc
import typing

#: Bodies up to this size are granted ahead of larger ones.
MAX_SMALL_BYTES: typing.Final = 64 * 1024


class BufferLease:
    """Hold a part of the budget for one body.

    :param budget: budget that the part belongs to.
    :param on_granted: called when a reservation that had to wait is granted.
    """

    __slots__ = ("_budget", "held_bytes", "on_granted", "wanted_bytes")

    def __init__(
        self,
        *,
        budget: "BufferBudget",
        on_granted: collections.abc.Callable[[], None],
    ) -> None:
        self._budget = budget
        self.on_granted = on_granted
        self.held_bytes = 0
        #: Bytes of the reservation that waits, 0 without one.
        self.wanted_bytes = 0

    @property
    def is_waiting(self) -> bool:
        """Return whether a reservation of this lease waits."""
        return self.wanted_bytes > 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserve further bytes.

        :param size_bytes: number of bytes that are about to be received.
        :returns: whether they are granted now; otherwise the lease waits and
            its callback is called later.
        """
        return self._budget.reserve(self, size_bytes)

    def hold(self, size_bytes: int) -> None:
        """Count bytes that are in memory already.

        :param size_bytes: number of bytes.
        """
        self._budget.hold(self, size_bytes)

    def release(self) -> None:
        """Return all bytes to the budget and give up waiting."""
        self._budget.release(self)


class BufferBudget:
    """Grant memory for bodies in the order in which it is requested.

    If every lease that holds memory also waits for more, none of them could
    ever finish.  The oldest one is then exempt from the limit until it is
    released, so at most one body exceeds the limit.

    :param limit_bytes: memory for all bodies together.
    :param small_reserve_bytes: part of it for small bodies only; without one
        they wait in line with the others.
    """

    def __init__(
        self, *, limit_bytes: int, small_reserve_bytes: int = 0
    ) -> None:
        self.limit_bytes = limit_bytes
        self._small_reserve_bytes = small_reserve_bytes
        self._waiting: collections.deque[BufferLease] = collections.deque()
        self._waiting_small: collections.deque[BufferLease] = (
            collections.deque()
        )
        #: Called when memory is free that no body of this budget waits for.
        self.on_memory_freed: collections.abc.Callable[[], None] = lambda: None
        #: Leases that hold memory and do not wait for more.
        self._progressing_count = 0
        self._exempt_lease: BufferLease | None = None
        self.used_bytes = 0

    @property
    def waiting_count(self) -> int:
        """Return how many bodies wait for memory."""
        return len(self._waiting) + len(self._waiting_small)

    def has_room(self, size_bytes: int, *, is_small: bool) -> bool:
        """Return whether further bytes fit.

        :param size_bytes: number of bytes.
        :param is_small: whether they are of a small body.
        """
        limit_bytes = self.limit_bytes
        if not is_small:
            limit_bytes -= self._small_reserve_bytes
        return self.used_bytes + size_bytes <= limit_bytes

    def take(self, size_bytes: int) -> None:
        """Count bytes that belong to no lease, such as those of requests.

        :param size_bytes: number of bytes, negative to return them.
        """
        self.used_bytes += size_bytes

    def open_lease(
        self, on_granted: collections.abc.Callable[[], None]
    ) -> BufferLease:
        """Return a lease that holds nothing yet.

        :param on_granted: called when a reservation that had to wait is
            granted.
        """
        return BufferLease(budget=self, on_granted=on_granted)

    def reserve(self, lease: BufferLease, size_bytes: int) -> bool:
        """Reserve bytes for a lease; see :meth:`BufferLease.reserve`."""
        if lease.is_waiting:
            lease.wanted_bytes += size_bytes
            return False
        if not size_bytes:
            return True
        is_small = self._is_small(lease, size_bytes)
        if lease is self._exempt_lease or (
            (is_small or not self._waiting)
            and not self._waiting_small
            and self.has_room(size_bytes, is_small=is_small)
        ):
            self.hold(lease, size_bytes)
            return True
        if lease.held_bytes:
            self._progressing_count -= 1
        lease.wanted_bytes = size_bytes
        (self._waiting_small if is_small else self._waiting).append(lease)
        self.grant_waiting(requester=lease)
        return not lease.is_waiting

    def hold(self, lease: BufferLease, size_bytes: int) -> None:
        """Count bytes for a lease; see :meth:`BufferLease.hold`."""
        if size_bytes and not lease.held_bytes:
            self._progressing_count += 1
        lease.held_bytes += size_bytes
        self.used_bytes += size_bytes

    def release(self, lease: BufferLease) -> None:
        """Return the bytes of a lease; see :meth:`BufferLease.release`."""
        if lease.is_waiting:
            for waiting in (self._waiting, self._waiting_small):
                if lease in waiting:
                    waiting.remove(lease)
        elif lease.held_bytes:
            self._progressing_count -= 1
        if lease is self._exempt_lease:
            self._exempt_lease = None
        self.used_bytes -= lease.held_bytes
        lease.held_bytes = 0
        lease.wanted_bytes = 0
        self.grant_waiting()

    def grant_waiting(self, requester: BufferLease | None = None) -> None:
        """Grant waiting reservations, oldest first, while they fit.

        :param requester: lease whose reservation is being made; its callback
            is not called.
        """
        while self._waiting or self._waiting_small:
            lease = self._pop_grantable()
            if lease is None:
                return
            size_bytes, lease.wanted_bytes = lease.wanted_bytes, 0
            lease.held_bytes += size_bytes
            self.used_bytes += size_bytes
            self._progressing_count += 1
            if lease is not requester:
                lease.on_granted()
        self.on_memory_freed()

    def _pop_grantable(self) -> BufferLease | None:
        """Remove and return the next lease to grant, None if all wait."""
        queues = [
            queue for queue in (self._waiting_small, self._waiting) if queue
        ]
        for queue in queues:
            if self.has_room(
                queue[0].wanted_bytes, is_small=queue is self._waiting_small
            ):
                return queue.popleft()
        if not queues or self._progressing_count:
            return None
        self._exempt_lease = queues[0].popleft()
        return self._exempt_lease

    def _is_small(self, lease: BufferLease, size_bytes: int) -> bool:
        return (
            self._small_reserve_bytes > 0
            and lease.held_bytes + size_bytes <= MAX_SMALL_BYTES
        )
