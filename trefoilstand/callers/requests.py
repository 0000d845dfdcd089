"""Turn HTTP requests into calls.

Every call passes here, so its fields are read straight from the WSGI
environment; only a body is left to the library.
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
    """Represent a request that cannot be carried.

    :param reason: observation behind the refusal.
    :param request_id: identity to echo.
    """

    def __init__(
        self, *, reason: decision_models.Reason, request_id: str
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.request_id = request_id


def read_field(environ: Environ, name: str) -> str:
    """Return a field of the header, empty where there is none."""
    return str(environ.get(_environ_key(name), ""))


def read_call(environ: Environ, now_s: float) -> models.Call:
    """Return the call of a request below the path of services.

    :param environ: WSGI environment.
    :param now_s: monotonic time.
    :raises MalformedRequestError: the request cannot be carried.
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
            deadline_ms=_read_number(
                environ, project_const.HEADER_DEADLINE_MS
            ),
            depth=_read_number(environ, project_const.HEADER_CALL_DEPTH) or 0,
            ticket=read_field(environ, project_const.HEADER_TICKET),
            minimum_version=_read_number(
                environ, project_const.HEADER_CONFIGURATION_VERSION
            )
            or 0,
            retries_left=_read_number(
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
    given = read_field(environ, project_const.HEADER_REQUEST_ID).strip()
    is_usable = given.isascii() and given.isprintable()
    if given and is_usable and len(given) <= const.MAX_REQUEST_ID_CHARACTERS:
        return given
    return secrets.token_hex(8)


def _split_path(environ: Environ) -> tuple[str, str]:
    """Return the service and the path as the caller encoded it.

    The path that WSGI hands over is decoded, and encoding it again may
    give another one, so the raw target of the request is used.

    :raises ValueError: the target of the request is malformed.
    """
    raw = environ.get("REQUEST_URI", "")
    if not raw:
        raw = urllib.parse.quote(environ["PATH_INFO"].encode("latin-1"))
        if environ.get("QUERY_STRING"):
            raw += "?" + environ["QUERY_STRING"]
    if not raw.startswith("/"):
        raw = "/" + raw.partition("://")[2].partition("/")[2]
    rest = raw.removeprefix(project_const.CALL_PATH_PREFIX)
    service, _, path = rest.partition("/")
    is_clean = raw.isascii() and raw.isprintable() and " " not in raw
    if not service or "?" in service or "#" in raw or not is_clean:
        raise ValueError("malformed target of the request")
    return service, "/" + path


def _read_body(environ: Environ) -> bytes:
    """Return the whole body.

    :raises ValueError: the caller left before it had sent all of it.
    """
    length = environ.get("CONTENT_LENGTH", "")
    if not length and not environ.get("wsgi.input_terminated"):
        return b""
    request = werkzeug.Request(environ)
    request.max_content_length = project_const.MAX_REQUEST_BODY_BYTES
    body = request.get_data(cache=False)
    if length.isdecimal() and len(body) != int(length):
        raise ValueError("the body is cut")
    return body


def _read_number(environ: Environ, name: str) -> int | None:
    """Return the number of a field.

    :raises ValueError: the field holds something else.
    """
    text = read_field(environ, name)
    if not text:
        return None
    is_number = text.isascii() and text.isdecimal()
    if not is_number or len(text) > _MAX_NUMBER_DIGITS:
        raise ValueError(f"{name} is no number")
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
    dropped = {token.strip().title() for token in connection.split(",")}
    return tuple(
        item
        for item in fields
        if item[0] not in dropped
        and not item[0].startswith(_HOP_BY_HOP_PREFIX)
    )


@functools.lru_cache(_NAME_CACHE_SIZE)
def _field_name(key: str) -> str:
    return key.removeprefix(_FIELD_PREFIX).replace("_", "-").title()


@functools.lru_cache(_NAME_CACHE_SIZE)
def _environ_key(name: str) -> str:
    return _FIELD_PREFIX + name.upper().replace("-", "_")
