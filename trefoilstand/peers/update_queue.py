"""Pass each update on a bounded number of times."""

import heapq


class UpdateQueue:
    """Count how often the update of each member is still to be sent.

    :param sends: how often each update is sent.
    """

    def __init__(self, *, sends: int) -> None:
        self._sends = sends
        self._left: dict[str, int] = {}

    def push(self, address: str) -> None:
        """Send the newest update of a member again."""
        self._left[address] = self._sends

    def discard(self, address: str) -> None:
        """Send nothing more of a member."""
        self._left.pop(address, None)

    def take(self, limit: int) -> list[str]:
        """Return members for the next message, the least sent ones first."""
        order = heapq.nlargest(limit, self._left, key=self._left.__getitem__)
        for address in order:
            self._left[address] -= 1
            if not self._left[address]:
                del self._left[address]
        return order
