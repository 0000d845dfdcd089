"""Limit how much state a host promises to send over its link at a time.

A relay tells all hosts of its domain of a change at once.  If all of them
fetched a large one from it, each would wait for the others; those that are
turned away fetch it from a host that has got it meanwhile.
"""

import collections
import typing

#: Time that the link may take for transfers that are not finished.  With it,
#: the number of hosts that have a change grows several times a second.
_MAX_QUEUED_S: typing.Final = 0.25


class UploadSchedule:
    """Tell whether another transfer fits the link of this host.

    :param bytes_per_s: rate of the link.
    """

    _KEPT_RECEIVERS: typing.Final = 32

    def __init__(self, *, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        #: Monotonic time at which all transfers so far are sent.
        self._free_from_s = float("-inf")
        #: Peers that were sent state, the last ones at the end.
        self.recent_receivers: collections.deque[str] = collections.deque(
            maxlen=self._KEPT_RECEIVERS
        )

    def try_add(self, receiver: str, size_bytes: int, now_s: float) -> bool:
        """Count a transfer unless too many are being sent.

        The first one is always admitted, whatever its size.

        :param receiver: peer address, empty if unknown.
        :param size_bytes: number of bytes to send.
        :param now_s: monotonic time.
        :returns: whether it may be sent now.
        """
        start_s = max(self._free_from_s, now_s)
        end_s = start_s + size_bytes / self._bytes_per_s
        if start_s > now_s and end_s - now_s > _MAX_QUEUED_S:
            return False
        self._free_from_s = end_s
        if receiver and receiver not in self.recent_receivers:
            self.recent_receivers.append(receiver)
        return True
