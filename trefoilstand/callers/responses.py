"""Turn the ends of calls into HTTP responses."""

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
    """Hold a response that costs little to send.

    :param status: HTTP status.
    :param headers: header fields.
    :param body: whole body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def send(self, start_response: wsgiref.types.StartResponse) -> list[bytes]:
        """Answer in the way of WSGI."""
        start_response(_status_line(self.status), self.headers)
        return [self.body]


def respond(
    end: models.CallEnd, request_id: str, version: int
) -> PlainResponse:
    """Return the response that tells a caller how its call ended.

    :param end: end of the call.
    :param request_id: identity to echo.
    :param version: configuration version in force.
    """
    status, body = end.status, end.body
    headers = list(end.headers)
    if not end.is_answered:
        status, headers, body = _make_refusal(end, request_id)
    headers += [
        ("Content-Length", str(len(body))),
        (project_const.HEADER_OUTCOME, end.classified_outcome.outcome),
        (project_const.HEADER_REQUEST_ID, request_id),
        (project_const.HEADER_CONFIGURATION_VERSION, str(version)),
    ]
    return PlainResponse(status=status, headers=headers, body=body)


def respond_json(
    content: object, status: int = http.HTTPStatus.OK
) -> werkzeug.Response:
    """Return a JSON document."""
    return werkzeug.Response(
        json.dumps(content), status=status, mimetype="application/json"
    )


def _status_line(status: int) -> str:
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def _make_refusal(
    end: models.CallEnd, request_id: str
) -> tuple[int, list[tuple[str, str]], bytes]:
    outcome, reason = (
        end.classified_outcome.outcome,
        end.classified_outcome.reason,
    )
    default = http.HTTPStatus.BAD_GATEWAY
    if outcome is decision_models.Outcome.NOT_RUN:
        default = http.HTTPStatus.SERVICE_UNAVAILABLE
    content = {
        "outcome": outcome,
        "reason": reason,
        "request_id": request_id,
        "retry_after_ms": end.retry_after_ms,
    }
    if end.next_ticket:
        content["ticket"] = end.next_ticket
    headers = [("Content-Type", "application/json")]
    if end.retry_after_ms:
        seconds = -(-end.retry_after_ms // 1000)
        headers.append(("Retry-After", str(seconds)))
    status = const.REFUSAL_STATUSES.get(reason, default)
    return status, headers, json.dumps(content).encode()
