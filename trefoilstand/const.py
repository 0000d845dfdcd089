"""Header names and limits shared by several packages."""

import typing

CALL_PATH_PREFIX: typing.Final = "/services/"

HEADER_CALL_DEPTH: typing.Final = "Trefoilstand-Depth"
HEADER_CONFIGURATION_VERSION: typing.Final = "Trefoilstand-Config-Version"
HEADER_DEADLINE_MS: typing.Final = "Trefoilstand-Deadline-Ms"
HEADER_EXCHANGE_ID: typing.Final = "Trefoilstand-Exchange-Id"
HEADER_OUTCOME: typing.Final = "Trefoilstand-Outcome"
HEADER_REQUEST_ID: typing.Final = "Trefoilstand-Request-Id"
HEADER_RETRIES_LEFT: typing.Final = "Trefoilstand-Retries-Left"
HEADER_TICKET: typing.Final = "Trefoilstand-Ticket"

OWN_HEADER_PREFIX: typing.Final = "trefoilstand-"

HEADER_TARGET_INCARNATION: typing.Final = "Target-Incarnation"
HEADER_TARGET_LOAD: typing.Final = "Target-Load"
HEADER_TARGET_STATE: typing.Final = "Target-State"

MAX_CALL_DEPTH: typing.Final = 12
MAX_REQUEST_BODY_BYTES: typing.Final = 4 * 1024 * 1024
MAX_REQUEST_HEADER_BYTES: typing.Final = 32 * 1024
MAX_RESPONSE_BODY_BYTES: typing.Final = 8 * 1024 * 1024
