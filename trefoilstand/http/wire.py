"""Encode HTTP/1.1 messages and select the fields to forward."""

import http
import typing

from trefoilstand.http import models

#: Larger bodies are written apart from their header, without a copy.
MAX_COPIED_BODY_BYTES: typing.Final = 16 * 1024
#: Digits of a body's length that matter; more exceed any limit.
_MAX_LENGTH_DIGITS: typing.Final = 18
#: Hop-by-hop fields, which are not forwarded (RFC 9110, section 7.6.1).
_HOP_BY_HOP_FIELDS: typing.Final = frozenset(
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
_REASON_PHRASES: typing.Final = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
_METHODS_WITHOUT_BODY: typing.Final = frozenset({b"GET", b"HEAD", b"OPTIONS"})


def forwardable_fields(
    fields: models.HeaderFields, replaced_names: frozenset[bytes] = frozenset()
) -> models.HeaderFields:
    """Return the fields to forward on the next connection.

    :param fields: header fields as received, names in lower case.
    :param replaced_names: further names to omit, because the caller of this
        function sets them itself.
    """
    omitted_names = _HOP_BY_HOP_FIELDS | replaced_names
    for name, value in fields:
        if name == b"connection":
            omitted_names = omitted_names | {
                part.strip().lower() for part in value.split(b",")
            }
    return [
        (name, value) for name, value in fields if name not in omitted_names
    ]


def encode_request(
    *,
    method: bytes,
    target: bytes,
    fields: models.HeaderFields,
    body: models.Body = b"",
) -> bytes:
    """Return the bytes of a request, without a body that is too large to copy.

    Bodies over :data:`MAX_COPIED_BODY_BYTES` are to be written after it.

    The content length is added where the request has a body or its method
    expects one.

    :param method: request method.
    :param target: request target, path and query.
    :param fields: header fields without the content length.
    :param body: body without a transfer coding.
    """
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in fields:
        parts += (name, b": ", value, b"\r\n")
    if body or method not in _METHODS_WITHOUT_BODY:
        parts.append(b"content-length: %d\r\n" % len(body))
    parts.append(b"\r\n")
    if len(body) <= MAX_COPIED_BODY_BYTES:
        parts.append(bytes(body))
    return b"".join(parts)


def read_expectations(fields: models.HeaderFields) -> tuple[int, bool]:
    """Return the announced size of a body, and whether status 100 is due.

    :param fields: header fields of a request, names in lower case.
    :returns: size in bytes, 0 if none is announced, and whether the caller
        expects status 100 before it sends the body.
    """
    size_bytes = 0
    expects_continue = False
    for name, value in fields:
        if name == b"content-length" and value.isdigit():
            size_bytes = int(value[:_MAX_LENGTH_DIGITS])
        elif name == b"expect" and value.lower() == b"100-continue":
            expects_continue = True
    return size_bytes, expects_continue


def uncopied_body(body: models.Body) -> models.Body:
    """Return the body if :func:`encode_request` leaves it out.

    :param body: body of the request.
    """
    return body if len(body) > MAX_COPIED_BODY_BYTES else b""


def encode_response_header(
    *,
    status: int,
    fields: models.HeaderFields,
    body_bytes: int,
    is_closing: bool,
) -> bytes:
    """Return the bytes of a response up to its body.

    The content length is added except for status 204 and 304.

    :param status: HTTP status code.
    :param fields: header fields without those that this function adds.
    :param body_bytes: length of the body without a transfer coding.
    :param is_closing: whether the connection closes after the response.
    """
    reason_phrase = _REASON_PHRASES.get(status, b"Unknown")
    parts = [b"HTTP/1.1 %d %b\r\n" % (status, reason_phrase)]
    for name, value in fields:
        parts += (name, b": ", value, b"\r\n")
    if status not in (204, 304):
        parts.append(b"content-length: %d\r\n" % body_bytes)
    if is_closing:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)
