"""Turn the ends of calls into HTTP responses."""

import http
import json

import werkzeug

from trefoilstand import const as project_const
from trefoilstand.callers import const
from trefoilstand.callers import models
from trefoilstand.decision import models as decision_models


def respond(
    end: models.CallEnd, request_id: str, version: int
) -> werkzeug.Response:
    """Return the response that tells a caller how its call ended.

    :param end: end of the call.
    :param request_id: identity to echo.
    :param version: configuration version in force.
    """
    if end.is_answered:
        response = werkzeug.Response(end.body, status=end.status)
        # The class adds a content type of its own.
        response.headers.clear()
        for name, value in end.headers:
            response.headers.add(name, value)
        response.headers["Content-Length"] = _content_length(end)
    else:
        response = _respond_refusal(end, request_id)
    response.headers[project_const.HEADER_OUTCOME] = end.judgement.outcome
    response.headers[project_const.HEADER_REQUEST_ID] = request_id
    response.headers[project_const.HEADER_CONFIGURATION_VERSION] = str(version)
    return response


def respond_json(
    content: object, status: int = http.HTTPStatus.OK
) -> werkzeug.Response:
    """Return a JSON document."""
    return werkzeug.Response(
        json.dumps(content), status=status, mimetype="application/json"
    )


def _content_length(end: models.CallEnd) -> str:
    return str(len(end.body))


def _respond_refusal(
    end: models.CallEnd, request_id: str
) -> werkzeug.Response:
    outcome, reason = end.judgement.outcome, end.judgement.reason
    default = http.HTTPStatus.BAD_GATEWAY
    if outcome is decision_models.Outcome.NOT_RUN:
        default = http.HTTPStatus.SERVICE_UNAVAILABLE
    status = const.REFUSAL_STATUSES.get(reason, default)
    content = {
        "outcome": outcome,
        "reason": reason,
        "request_id": request_id,
        "retry_after_ms": end.retry_after_ms,
    }
    if end.next_ticket:
        content["ticket"] = end.next_ticket
    response = respond_json(content, status)
    if end.retry_after_ms:
        seconds = -(-end.retry_after_ms // 1000)
        response.headers["Retry-After"] = str(seconds)
    return response
