"""Messages of HTTP connections."""

import dataclasses
import enum

HeaderFields = list[tuple[bytes, bytes]]


class LinkFault(enum.StrEnum):
    """Why an exchange with a server ended without a whole answer."""

    CONNECT_FAILED = "connect_failed"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    CANCELLED = "cancelled"
    TOO_LARGE = "too_large"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """Hold one whole answer of a server.

    :param status: status code.
    :param fields: header fields, names in lower case.
    :param body: decoded from its transfer coding.
    """

    status: int
    fields: HeaderFields
    body: bytes

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a field, None without one."""
        for field_name, value in self.fields:
            if field_name == name:
                return value
        return None


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """Hold one whole request of a caller.

    :param method: as sent.
    :param target: path and query as sent.
    :param fields: header fields, names in lower case.
    :param body: decoded from its transfer coding.
    :param arrived_s: monotonic time of its first byte.
    """

    method: bytes
    target: bytes
    fields: HeaderFields
    body: bytes
    arrived_s: float

    @property
    def path(self) -> bytes:
        """Return the path without the query."""
        return self.target.partition(b"?")[0]

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a field, None without one."""
        for field_name, value in self.fields:
            if field_name == name:
                return value
        return None
