"""Convert HTTP requests into calls.

For speed, header fields are read directly from the WSGI environment; only
bodies are read by Werkzeug.
"""

import functools
import secrets
import typing
import urllib.parse

import werkzeug
import werkzeug.exceptions

from trefoilstand import const as project_const
from trefoilstand import exceptions
from trefoilstand.callers import const
from trefoilstand.callers import models
from trefoilstand.decision import models as decision_models

Environ = dict[str, typing.Any]

_FIELD_PREFIX: typing.Final = "HTTP_"
_HOP_BY_HOP_PREFIX: typing.Final = "Proxy-"
_MAX_NUMBER_DIGITS: typing.Final = 18
_NAME_CACHE_SIZE: typing.Final = 1024


class MalformedRequestError(exceptions.TrefoilstandError):
    """Represent a request that cannot be converted into a call.

    :param reason: reason of the refusal.
    :param request_id: request ID to echo.
    """

    def __init__(
        self, *, reason: decision_models.Reason, request_id: str
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.request_id = request_id


def read_field(environ: Environ, name: str) -> str:
    """Return the value of a header field, empty if it is absent."""
    return str(environ.get(_environ_key(name), ""))


def read_call(environ: Environ, now_s: float) -> models.Call:
    """Return the call in a request whose path is below the call prefix.

    :param environ: WSGI environment.
    :param now_s: monotonic time of arrival, in seconds.
    :raises MalformedRequestError: the request is malformed, incomplete or
        too large.
    """
    request_id = _read_request_id(environ)
    try:
        service, path = _split_path(environ)
        return models.Call(
            request_id=request_id,
            service=service,
            method=environ["REQUEST_METHOD"],
            path=path,
            headers=_end_to_end_fields(environ),
            body=_read_body(environ),
            arrived_s=now_s,
            deadline_ms=_read_integer(
                environ, project_const.HEADER_DEADLINE_MS
            ),
            depth=_read_integer(environ, project_const.HEADER_CALL_DEPTH) or 0,
            ticket=read_field(environ, project_const.HEADER_TICKET),
            minimum_version=_read_integer(
                environ, project_const.HEADER_CONFIGURATION_VERSION
            )
            or 0,
            retries_left=_read_integer(
                environ, project_const.HEADER_RETRIES_LEFT
            ),
        )
    except werkzeug.exceptions.RequestEntityTooLarge as error:
        raise MalformedRequestError(
            reason=decision_models.Reason.BODY_TOO_LARGE,
            request_id=request_id,
        ) from error
    except (OSError, ValueError, werkzeug.exceptions.HTTPException) as error:
        raise MalformedRequestError(
            reason=decision_models.Reason.MALFORMED_REQUEST,
            request_id=request_id,
        ) from error


def _read_request_id(environ: Environ) -> str:
    requested_id = read_field(environ, project_const.HEADER_REQUEST_ID).strip()
    is_printable_ascii = requested_id.isascii() and requested_id.isprintable()
    if (
        requested_id
        and is_printable_ascii
        and len(requested_id) <= const.MAX_REQUEST_ID_CHARACTERS
    ):
        return requested_id
    return secrets.token_hex(8)


def _split_path(environ: Environ) -> tuple[str, str]:
    """Return the service and the path in the caller's own encoding.

    WSGI supplies the decoded path, and encoding that again may give a
    different path, so the raw request target is used.

    :raises ValueError: the request target is malformed.
    """
    raw_target = environ.get("REQUEST_URI", "")
    if not raw_target:
        raw_target = urllib.parse.quote(environ["PATH_INFO"].encode("latin-1"))
        if environ.get("QUERY_STRING"):
            raw_target += "?" + environ["QUERY_STRING"]
    if not raw_target.startswith("/"):
        raw_target = "/" + raw_target.partition("://")[2].partition("/")[2]
    service_and_path = raw_target.removeprefix(project_const.CALL_PATH_PREFIX)
    service, _, path = service_and_path.partition("/")
    has_valid_characters = (
        raw_target.isascii()
        and raw_target.isprintable()
        and " " not in raw_target
    )
    if (
        not service
        or "?" in service
        or "#" in raw_target
        or not has_valid_characters
    ):
        raise ValueError(f"malformed request target {raw_target!r}")
    return service, "/" + path


def _read_body(environ: Environ) -> bytes:
    """Return the complete body.

    :raises ValueError: the caller disconnected before it had sent all of it.
    """
    length = environ.get("CONTENT_LENGTH", "")
    if not length and not environ.get("wsgi.input_terminated"):
        return b""
    request = werkzeug.Request(environ)
    request.max_content_length = project_const.MAX_REQUEST_BODY_BYTES
    body = request.get_data(cache=False)
    if length.isdecimal() and len(body) != int(length):
        raise ValueError(f"incomplete body, expected {length} bytes")
    return body


def _read_integer(environ: Environ, name: str) -> int | None:
    """Return the number in a header field, None if it is absent.

    :raises ValueError: the value is not a decimal number or is too long.
    """
    text = read_field(environ, name)
    if not text:
        return None
    is_number = text.isascii() and text.isdecimal()
    if not is_number or len(text) > _MAX_NUMBER_DIGITS:
        raise ValueError(f"{name} is not a decimal number: {text!r}")
    return int(text)


def _end_to_end_fields(environ: Environ) -> models.HeaderFields:
    fields = [
        (_field_name(key), value)
        for key, value in environ.items()
        if key.startswith(_FIELD_PREFIX)
    ]
    if environ.get("CONTENT_TYPE"):
        fields.append(("Content-Type", environ["CONTENT_TYPE"]))
    connection = environ.get("HTTP_CONNECTION", "")
    hop_by_hop_names = {
        token.strip().title() for token in connection.split(",")
    }
    return tuple(
        field
        for field in fields
        if field[0] not in hop_by_hop_names
        and not field[0].startswith(_HOP_BY_HOP_PREFIX)
    )


@functools.lru_cache(_NAME_CACHE_SIZE)
def _field_name(key: str) -> str:
    return key.removeprefix(_FIELD_PREFIX).replace("_", "-").title()


@functools.lru_cache(_NAME_CACHE_SIZE)
def _environ_key(name: str) -> str:
    return _FIELD_PREFIX + name.upper().replace("-", "_")
