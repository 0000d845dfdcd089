"""Interface of the transfers of state between hosts."""

import abc

from trefoilstand.fleet import models


class PeerTransfer(abc.ABC):
    """Serve and fetch state that does not fit a datagram."""

    @abc.abstractmethod
    async def start(self, ip: str, port: int) -> None:
        """Start serving peers.

        :param ip: address to listen on.
        :param port: port to listen on.
        :raises OSError: the address cannot be bound.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Stop serving peers."""

    @abc.abstractmethod
    async def fetch(
        self, address: str, *, wants_members: bool
    ) -> models.Transfer | None:
        """Fetch the changes that the local replica lacks from a peer.

        :param address: peer address.
        :param wants_members: whether the peer includes the entry hosts
            that it knows.
        :returns: the changes, None if the transfer failed.
        """
