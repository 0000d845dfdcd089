"""What the exchange needs of the transfers of state between hosts."""

import abc

from trefoilstand.fleet import models


class PeerTransfer(abc.ABC):
    """Serve and fetch what does not fit a datagram."""

    @abc.abstractmethod
    async def start(self, ip: str, port: int) -> None:
        """Begin to serve peers.

        :raises OSError: the address cannot be served.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Stop to serve peers."""

    @abc.abstractmethod
    async def fetch(
        self, address: str, *, wants_members: bool
    ) -> models.Transfer | None:
        """Return what a peer has beyond the own state, None on failure.

        :param address: peer address.
        :param wants_members: whether the peer is to name the entry hosts
            that it knows.
        """
