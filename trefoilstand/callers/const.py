"""Paths, statuses and limits of the HTTP interface for callers."""

import http
import typing

from trefoilstand.decision import models as decision_models

ADDRESS_SAMPLE_SIZE: typing.Final = 64
LOGGED_CALL_RATIO: typing.Final = 0.01
MAX_ADDRESSES: typing.Final = 4
MAX_KEEP_ALIVE_CONNECTIONS: typing.Final = 4096
MAX_REQUEST_ID_CHARACTERS: typing.Final = 128
MAX_TICKETS_PER_RESPONSE: typing.Final = 16
LISTEN_BACKLOG: typing.Final = 256
STOP_TIMEOUT_S: typing.Final = 30

PATH_ADDRESSES: typing.Final = "/v1/addresses"
PATH_EXPLAIN: typing.Final = "/v1/explain"
PATH_HEALTH: typing.Final = "/healthz"
PATH_METRICS: typing.Final = "/metrics"
PATH_READY: typing.Final = "/readyz"
PATH_REPORT: typing.Final = "/v1/report"
PATH_STATUS: typing.Final = "/v1/status"

REFUSAL_STATUSES: typing.Final = {
    decision_models.Reason.BODY_TOO_LARGE: (
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    ),
    decision_models.Reason.CALL_TOO_DEEP: http.HTTPStatus.LOOP_DETECTED,
    decision_models.Reason.DEADLINE_AFTER_SEND: (
        http.HTTPStatus.GATEWAY_TIMEOUT
    ),
    decision_models.Reason.DEADLINE_BEFORE_SEND: (
        http.HTTPStatus.GATEWAY_TIMEOUT
    ),
    decision_models.Reason.MALFORMED_REQUEST: http.HTTPStatus.BAD_REQUEST,
    decision_models.Reason.TICKET_INVALID: http.HTTPStatus.FORBIDDEN,
    decision_models.Reason.TICKET_REQUIRED: (
        http.HTTPStatus.PRECONDITION_REQUIRED
    ),
    decision_models.Reason.TICKET_REUSED: http.HTTPStatus.CONFLICT,
    decision_models.Reason.UNKNOWN_SERVICE: http.HTTPStatus.NOT_FOUND,
}
