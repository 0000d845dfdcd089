"""Encode HTTP messages."""

import http
import typing

from trefoilstand.http import models

#: Fields that concern one connection only (RFC 9110, section 7.6.1).
_CONNECTION_FIELDS: typing.Final = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_REASONS: typing.Final = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
_BODYLESS_METHODS: typing.Final = frozenset({b"GET", b"HEAD", b"OPTIONS"})


def forwardable_fields(
    fields: models.HeaderFields, replaced: frozenset[bytes] = frozenset()
) -> models.HeaderFields:
    """Return the fields that pass on to the next connection.

    :param fields: as received, names in lower case.
    :param replaced: names that the caller of this function sets itself.
    """
    dropped = _CONNECTION_FIELDS | replaced
    for name, value in fields:
        if name == b"connection":
            dropped = dropped | {
                part.strip().lower() for part in value.split(b",")
            }
    return [(name, value) for name, value in fields if name not in dropped]


def encode_request(
    *,
    method: bytes,
    target: bytes,
    fields: models.HeaderFields,
    body: bytes = b"",
) -> bytes:
    """Return the bytes of a request."""
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in fields:
        parts += (name, b": ", value, b"\r\n")
    if body or method not in _BODYLESS_METHODS:
        parts.append(b"content-length: %d\r\n" % len(body))
    parts += (b"\r\n", body)
    return b"".join(parts)


def encode_response(
    *,
    status: int,
    fields: models.HeaderFields,
    body: bytes,
    is_closing: bool,
    is_head: bool = False,
) -> bytes:
    """Return the bytes of an answer."""
    reason = _REASONS.get(status, b"Unknown")
    parts = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
    for name, value in fields:
        parts += (name, b": ", value, b"\r\n")
    if status not in (204, 304):
        parts.append(b"content-length: %d\r\n" % len(body))
    if is_closing:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    if not is_head:
        parts.append(body)
    return b"".join(parts)
