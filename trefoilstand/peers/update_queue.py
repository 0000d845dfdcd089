"""Send each member update a bounded number of times."""

import heapq


class UpdateQueue:
    """Count how often the update of each member is still to be sent.

    :param sends: how often each update is sent.
    """

    def __init__(self, *, sends: int) -> None:
        self._sends_per_update = sends
        self._remaining_sends: dict[str, int] = {}

    def push(self, address: str) -> None:
        """Queue the newest update of a member for all its sends."""
        self._remaining_sends[address] = self._sends_per_update

    def discard(self, address: str) -> None:
        """Remove the update of a member."""
        self._remaining_sends.pop(address, None)

    def pop_next(self, limit: int) -> list[str]:
        """Count a send of the least sent updates and return their members.

        :param limit: most updates that fit the next message.
        :returns: peer addresses, the least sent updates first.
        """
        addresses = heapq.nlargest(
            limit, self._remaining_sends, key=self._remaining_sends.__getitem__
        )
        for address in addresses:
            self._remaining_sends[address] -= 1
            if not self._remaining_sends[address]:
                del self._remaining_sends[address]
        return addresses
