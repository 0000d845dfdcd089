"""Failures of HTTP connections."""

from trefoilstand import exceptions
from trefoilstand.http import models


class LinkError(exceptions.TrefoilstandError):
    """Represent an exchange that ended without a whole answer.

    :param fault: what happened to the connection.
    :param is_sent: whether bytes of the request may have left.
    """

    def __init__(self, *, fault: models.LinkFault, is_sent: bool) -> None:
        super().__init__(f"{fault} (sent: {is_sent})")
        self.fault = fault
        self.is_sent = is_sent
