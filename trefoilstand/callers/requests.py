"""Turn HTTP requests into calls."""

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

_HOP_BY_HOP_PREFIXES: typing.Final = ("proxy-",)
_MAX_NUMBER_DIGITS: typing.Final = 18


class MalformedRequestError(exceptions.TrefoilstandError):
    """Represent a request that cannot be carried.

    :param reason: observation behind the refusal.
    :param request_id: identity to echo, empty without one.
    """

    def __init__(
        self, *, reason: decision_models.Reason, request_id: str
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.request_id = request_id


def read_call(request: werkzeug.Request, now_s: float) -> models.Call:
    """Return the call of a request below the path of services.

    :raises MalformedRequestError: the request cannot be carried.
    """
    request_id = _read_request_id(request)
    service, path = _split_path(request, request_id)
    headers = request.headers
    return models.Call(
        request_id=request_id,
        service=service,
        method=request.method,
        path=path,
        headers=_end_to_end_fields(request),
        body=_read_body(request, request_id),
        arrived_s=now_s,
        deadline_ms=_read_number(
            headers, project_const.HEADER_DEADLINE_MS, request_id
        ),
        depth=_read_number(
            headers, project_const.HEADER_CALL_DEPTH, request_id
        )
        or 0,
        ticket=headers.get(project_const.HEADER_TICKET, ""),
        minimum_version=_read_number(
            headers, project_const.HEADER_CONFIGURATION_VERSION, request_id
        )
        or 0,
        retries_left=_read_number(
            headers, project_const.HEADER_RETRIES_LEFT, request_id
        ),
    )


def _read_request_id(request: werkzeug.Request) -> str:
    given = request.headers.get(project_const.HEADER_REQUEST_ID, "")
    is_usable = given.isascii() and given.isprintable() and given.strip()
    if is_usable and len(given) <= const.MAX_REQUEST_ID_CHARACTERS:
        return given.strip()
    return secrets.token_hex(8)


def _split_path(request: werkzeug.Request, request_id: str) -> tuple[str, str]:
    """Return the service and the path as the caller encoded it.

    The path that WSGI hands over is decoded, and encoding it again may
    give another one, so the raw target of the request is used.
    """
    raw = request.environ.get("REQUEST_URI") or request.environ.get("RAW_URI")
    if not raw:
        raw = urllib.parse.quote(
            request.environ["PATH_INFO"].encode("latin-1")
        )
        if request.environ.get("QUERY_STRING"):
            raw += "?" + request.environ["QUERY_STRING"]
    if "://" in raw.split("?", 1)[0]:
        raw = "/" + raw.split("://", 1)[1].partition("/")[2]
    rest = raw.removeprefix(project_const.CALL_PATH_PREFIX)
    service, _, path = rest.partition("/")
    is_clean = raw.isascii() and raw.isprintable() and " " not in raw
    if not service or "?" in service or "#" in raw or not is_clean:
        raise MalformedRequestError(
            reason=decision_models.Reason.MALFORMED_REQUEST,
            request_id=request_id,
        )
    return service, "/" + path


def _read_body(request: werkzeug.Request, request_id: str) -> bytes:
    request.max_content_length = project_const.MAX_REQUEST_BODY_BYTES
    length = request.environ.get("CONTENT_LENGTH", "")
    if not length and not request.environ.get("wsgi.input_terminated"):
        return b""
    try:
        body = request.get_data(cache=False)
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
    if length.isdecimal() and len(body) != int(length):
        # The caller left before it had sent the whole body.
        raise MalformedRequestError(
            reason=decision_models.Reason.MALFORMED_REQUEST,
            request_id=request_id,
        )
    return body


def _read_number(
    headers: typing.Any, name: str, request_id: str
) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    if text.isascii() and text.isdecimal() and len(text) <= _MAX_NUMBER_DIGITS:
        return int(text)
    raise MalformedRequestError(
        reason=decision_models.Reason.MALFORMED_REQUEST,
        request_id=request_id,
    )


def _end_to_end_fields(request: werkzeug.Request) -> models.HeaderFields:
    connection = request.headers.get("Connection", "")
    dropped = {token.strip().lower() for token in connection.split(",")}
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in dropped
        and not name.lower().startswith(_HOP_BY_HOP_PREFIXES)
    )
