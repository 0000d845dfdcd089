"""Choose which connection to close when there are too many."""

import collections.abc
import typing


class LimitedConnection(typing.Protocol):
    """Interface of a connection that may be closed for another one."""

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or handled."""

    @property
    def receiving_since_s(self) -> float | None:
        """Return since when its only request is received.

        None if no request is being received, or if an earlier one is being
        handled, which a closed connection would cut off.
        """


ConnectionT = typing.TypeVar("ConnectionT", bound=LimitedConnection)


def choose_excess(
    connections: collections.abc.Iterable[ConnectionT],
) -> ConnectionT | None:
    """Return the connection to close, None if all handle requests.

    An idle connection is closed first, then the one whose request has been
    incomplete for the longest time.

    :param connections: open connections, in the order of their acceptance.
    """
    slowest: ConnectionT | None = None
    earliest_s = float("inf")
    for connection in connections:
        if connection.is_idle:
            return connection
        since_s = connection.receiving_since_s
        if since_s is not None and since_s < earliest_s:
            slowest, earliest_s = connection, since_s
    return slowest
