"""Failures of HTTP connections."""

from trefoilstand import exceptions
from trefoilstand.http import models


class LinkError(exceptions.TrefoilstandError):
    """Represent an exchange that ended without a complete response.

    :param fault: why the exchange failed.
    :param is_sent: whether bytes of the request may have been sent.
    """

    def __init__(
        self, *, fault: models.ConnectionFault, is_sent: bool
    ) -> None:
        super().__init__(
            f"no complete response from the server: {fault}"
            f" (request bytes may have been sent: {is_sent})"
        )
        self.fault = fault
        self.is_sent = is_sent


class ConnectionQuotaError(LinkError):
    """Represent a connection that was not opened because of a quota."""

    def __init__(self) -> None:
        super().__init__(
            fault=models.ConnectionFault.QUOTA_SPENT, is_sent=False
        )
