"""Interface of the store that operators and targets write to."""

import abc

from trefoilstand import exceptions
from trefoilstand.fleet import models


class StoreError(exceptions.TrefoilstandError):
    """Represent a read of the store without a usable response."""


class HistoryLostError(StoreError):
    """Represent a watch from a revision that the store has compacted."""


class Store(abc.ABC):
    """Read and watch the store."""

    @abc.abstractmethod
    async def read_all(self) -> models.Delta:
        """Read a snapshot of all keys.

        :returns: a delta that is a snapshot.
        :raises StoreError: no complete response came in time.
        """

    @abc.abstractmethod
    async def watch(self, after_revision: int, wait_s: float) -> models.Delta:
        """Wait for changes after a revision.

        :param after_revision: revision of the local replica.
        :param wait_s: how long the store may hold the call without
            changes.
        :returns: the changes, a delta without items if there were none.
            They may be of a later era than the revision, and are then no
            use without a snapshot.
        :raises HistoryLostError: a new snapshot is needed.
        :raises StoreError: no complete response came in time.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections."""
