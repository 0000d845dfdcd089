"""Paths, time limits and rates for calls of the platform's services."""

import typing

CONFIGURATION_PATH: typing.Final = "/v1/values/trefoilstand"
DOCUMENT_CONFIGURATION: typing.Final = "configuration"
DOCUMENT_HOSTS: typing.Final = "hosts"
HEADER_VERSION: typing.Final = "Value-Version"
MAX_FLEET_HOSTS_READS_PER_SECOND: typing.Final = 200
MIN_HOSTS_READ_INTERVAL_S: typing.Final = 1.0
HOSTS_PATH: typing.Final = "/v1/hosts"
MAX_RETRY_PAUSE_S: typing.Final = 5.0
MAX_VALUE_BYTES: typing.Final = 1_000_000
MIN_RETRY_PAUSE_S: typing.Final = 0.2
READ_TIMEOUT_S: typing.Final = 3.0
STATUS_NOT_MODIFIED: typing.Final = 304
STATUS_OK: typing.Final = 200
WATCH_TIMEOUT_MARGIN_S: typing.Final = 3.0
