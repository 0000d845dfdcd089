"""Limits of HTTP exchanges with targets."""

import typing

CONNECT_TIMEOUT_MS: typing.Final = 1000
HOP_BY_HOP_HEADERS: typing.Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
IDLE_CONNECTIONS_PER_THREAD: typing.Final = 16
LOAD_PATH: typing.Final = "/load"
MAX_RESPONSE_HEADER_BYTES: typing.Final = 64 * 1024
MAX_REPORT_BYTES: typing.Final = 256
MIN_TIMEOUT_MS: typing.Final = 1
PROBE_TIMEOUT_MS: typing.Final = 500
