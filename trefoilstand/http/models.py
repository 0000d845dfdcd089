"""HTTP messages and faults of connections to servers."""

import dataclasses
import enum
import typing

HeaderFields = list[tuple[bytes, bytes]]
#: Complete body; a view of its memory if it is large.
Body = bytes | memoryview


def find_field(fields: HeaderFields, name: bytes) -> bytes | None:
    """Return the first value of a header field, None if absent.

    :param fields: header fields, names in lower case.
    :param name: field name in lower case.
    """
    for field_name, value in fields:
        if field_name == name:
            return value
    return None


class ConnectionFault(enum.StrEnum):
    """Reason why an exchange ended without a complete response."""

    CONNECT_FAILED = "connect_failed"
    QUOTA_SPENT = "quota_spent"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    CANCELLED = "cancelled"
    HEADER_TOO_LARGE = "header_too_large"
    BODY_TOO_LARGE = "body_too_large"
    TOO_MANY_INTERIM = "too_many_interim"
    TOO_MANY_FOREIGN = "too_many_foreign"


#: Faults of servers that send more than a response may hold.
LIMIT_FAULTS: typing.Final = frozenset(
    {
        ConnectionFault.HEADER_TOO_LARGE,
        ConnectionFault.BODY_TOO_LARGE,
        ConnectionFault.TOO_MANY_INTERIM,
        ConnectionFault.TOO_MANY_FOREIGN,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """Hold one complete response of a server.

    :param status: HTTP status code.
    :param fields: header fields, names in lower case.
    :param body: body after removal of the transfer coding.
    """

    status: int
    fields: HeaderFields
    body: Body

    def find_field(self, name: bytes) -> bytes | None:
        """Return the first value of a header field, None if absent.

        :param name: field name in lower case.
        """
        return find_field(self.fields, name)


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """Hold one complete request of a caller.

    :param method: request method as sent.
    :param target: request target as sent, path and query.
    :param fields: header fields, names in lower case.
    :param body: body after removal of the transfer coding.
    :param arrived_s: monotonic time at which its first byte arrived.
    """

    method: bytes
    target: bytes
    fields: HeaderFields
    body: Body
    arrived_s: float

    @property
    def path(self) -> bytes:
        """Return the path of the request target, without the query."""
        return self.target.partition(b"?")[0]

    @property
    def is_ambiguous(self) -> bool:
        """Return whether its framing or host could be read in two ways."""
        field_names = [name for name, _ in self.fields]
        if (
            field_names.count(b"host") > 1
            or field_names.count(b"content-length") > 1
        ):
            return True
        return (
            b"content-length" in field_names
            and b"transfer-encoding" in field_names
        )

    def find_field(self, name: bytes) -> bytes | None:
        """Return the first value of a header field, None if absent.

        :param name: field name in lower case.
        """
        return find_field(self.fields, name)
