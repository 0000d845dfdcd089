"""Signed tickets that name the process that may run a request."""

import dataclasses
import typing

import itsdangerous

from trefoilstand import exceptions

_SALT: typing.Final = "trefoilstand.ticket"


class TicketInvalidError(exceptions.TrefoilstandError):
    """Represent a ticket that no entry host of ours has signed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """Name the owner of one non-idempotent request.

    :param ticket_id: identity of the request.
    :param process_id: process that issued it and alone may run it.
    :param peer_address: address of that process for other entry hosts.
    """

    ticket_id: str
    process_id: str
    peer_address: str


class TicketSigner:
    """Sign and verify tickets.

    :param secrets: shared secrets; the first one signs, all verify, so
        that keys can be rotated.
    """

    def __init__(self, *, secrets: tuple[str, ...]) -> None:
        # The library signs with the last key.
        self._serializer = itsdangerous.URLSafeSerializer(
            list(reversed(secrets)), salt=_SALT
        )

    def sign(self, ticket: Ticket) -> str:
        """Return the text that a caller keeps."""
        signed = self._serializer.dumps(
            [ticket.ticket_id, ticket.process_id, ticket.peer_address]
        )
        return signed if isinstance(signed, str) else signed.decode()

    def verify(self, text: str) -> Ticket:
        """Return the ticket of a text.

        :raises TicketInvalidError: the text is not signed by our keys.
        """
        try:
            ticket_id, process_id, address = self._serializer.loads(text)
        except (itsdangerous.BadData, ValueError, TypeError) as error:
            raise TicketInvalidError(str(error)) from error
        return Ticket(
            ticket_id=ticket_id, process_id=process_id, peer_address=address
        )
