"""Interface of the store that the operators and targets write to."""

import abc

from trefoilstand import exceptions
from trefoilstand.fleet import models


class StoreError(exceptions.TrefoilstandError):
    """Represent a read of the store that brought no usable answer."""


class HistoryLostError(StoreError):
    """Represent a watch from a revision that the store forgot."""


class Store(abc.ABC):
    """Read and watch the store."""

    @abc.abstractmethod
    async def read_all(self) -> models.Delta:
        """Return a snapshot.

        :raises StoreError: no whole answer came in time.
        """

    @abc.abstractmethod
    async def watch(self, after_revision: int, wait_s: float) -> models.Delta:
        """Wait for changes and return them, none if there were none.

        :param after_revision: revision of the own copy.
        :param wait_s: how long the store may hold the call.
        :raises HistoryLostError: a new snapshot is needed.
        :raises StoreError: no whole answer came in time.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections."""
