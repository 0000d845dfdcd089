"""Convert the results of calls into HTTP responses."""

import dataclasses
import http
import json
import wsgiref.types

import werkzeug

from trefoilstand import const as project_const
from trefoilstand.callers import const
from trefoilstand.callers import models
from trefoilstand.decision import models as decision_models


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlainResponse:
    """Hold a WSGI response.

    It costs less per call than a response object of Werkzeug.

    :param status: HTTP status.
    :param headers: header fields.
    :param body: complete body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def send(self, start_response: wsgiref.types.StartResponse) -> list[bytes]:
        """Start the WSGI response and return its body."""
        start_response(_status_line(self.status), self.headers)
        return [self.body]


def build_response(
    result: models.CallResult, request_id: str, version: int
) -> PlainResponse:
    """Return the response that reports the result of a call.

    :param result: result of the call.
    :param request_id: request ID to echo.
    :param version: active configuration version.
    """
    status, body = result.status, result.body
    headers = list(result.headers)
    if not result.is_answered:
        status, headers, body = _build_refusal(result, request_id)
    headers += [
        ("Content-Length", str(len(body))),
        (project_const.HEADER_OUTCOME, result.classified_outcome.outcome),
        (project_const.HEADER_REQUEST_ID, request_id),
        (project_const.HEADER_CONFIGURATION_VERSION, str(version)),
    ]
    return PlainResponse(status=status, headers=headers, body=body)


def build_json_response(
    content: object, status: int = http.HTTPStatus.OK
) -> werkzeug.Response:
    """Return a response with a JSON document."""
    return werkzeug.Response(
        json.dumps(content), status=status, mimetype="application/json"
    )


def _status_line(status: int) -> str:
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def _build_refusal(
    result: models.CallResult, request_id: str
) -> tuple[int, list[tuple[str, str]], bytes]:
    outcome, reason = (
        result.classified_outcome.outcome,
        result.classified_outcome.reason,
    )
    default_status = http.HTTPStatus.BAD_GATEWAY
    if outcome is decision_models.Outcome.NOT_RUN:
        default_status = http.HTTPStatus.SERVICE_UNAVAILABLE
    content = {
        "outcome": outcome,
        "reason": reason,
        "request_id": request_id,
        "retry_after_ms": result.retry_after_ms,
    }
    if result.next_ticket:
        content["ticket"] = result.next_ticket
    headers = [("Content-Type", "application/json")]
    if result.retry_after_ms:
        retry_after_s = -(-result.retry_after_ms // 1000)
        headers.append(("Retry-After", str(retry_after_s)))
    status = const.REFUSAL_STATUSES.get(reason, default_status)
    return status, headers, json.dumps(content).encode()
