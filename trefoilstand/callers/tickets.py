"""Signed tickets that identify the process that may run a request."""

import dataclasses
import typing

import itsdangerous

from trefoilstand import exceptions

_SALT: typing.Final = "trefoilstand.ticket"


class TicketInvalidError(exceptions.TrefoilstandError):
    """Represent a ticket without a valid signature by a known secret."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """Identify one non-idempotent request and its owner.

    :param ticket_id: unique ID of the ticket.
    :param process_id: ID of the owner, the process that issued the ticket;
        only the owner may run the request.
    :param peer_address: address of the owner for other entry hosts.
    """

    ticket_id: str
    process_id: str
    peer_address: str


class TicketSigner:
    """Sign and verify tickets.

    :param secrets: shared secrets; the first one signs and all of them
        verify, so that secrets can be rotated.
    """

    def __init__(self, *, secrets: tuple[str, ...]) -> None:
        # itsdangerous signs with the last secret of the list.
        self._serializer = itsdangerous.URLSafeSerializer(
            list(reversed(secrets)), salt=_SALT
        )

    def sign(self, ticket: Ticket) -> str:
        """Return the signed text of a ticket."""
        signed = self._serializer.dumps(
            [ticket.ticket_id, ticket.process_id, ticket.peer_address]
        )
        return signed if isinstance(signed, str) else signed.decode()

    def verify(self, text: str) -> Ticket:
        """Return the ticket in a signed text.

        :raises TicketInvalidError: the text is malformed or is signed with
            none of the secrets.
        """
        try:
            ticket_id, process_id, address = self._serializer.loads(text)
        except (itsdangerous.BadData, ValueError, TypeError) as error:
            raise TicketInvalidError(str(error)) from error
        return Ticket(
            ticket_id=ticket_id, process_id=process_id, peer_address=address
        )
