"""Constants of the decision engine."""

import typing

MAX_SAMPLED_TARGETS: typing.Final = 16
EJECTION_BASE_S: typing.Final = 1.0
EJECTION_FAILURES: typing.Final = 3
EJECTION_MAX_S: typing.Final = 30.0
LATENCY_SMOOTHING: typing.Final = 0.2
LEAVING_RECORD_LIFETIME_S: typing.Final = 3600.0
LISTED_LEAVING_LIFETIME_S: typing.Final = 10.0
MAX_ATTEMPTS: typing.Final = 3
MAX_EJECTED_RATIO: typing.Final = 0.5
MAX_LEAVING_RECORDS: typing.Final = 50_000
MAX_STORED_RESPONSE_BYTES: typing.Final = 32 * 1024 * 1024
MAX_TICKET_RECORDS: typing.Final = 100_000
MIN_LATENCY_MS: typing.Final = 0.1
OVERDUE_LATENCY_FACTOR: typing.Final = 3.0
REPORT_DECAY_S: typing.Final = 0.01
REPORT_WEIGHT: typing.Final = 0.5
RETRY_BUDGET_BURST: typing.Final = 10.0
SLOWNESS_WEIGHT: typing.Final = 0.2
SLOW_LATENCY_FACTOR: typing.Final = 1.5
TICKET_ID_BYTES: typing.Final = 16
DEFAULT_TYPICAL_LATENCY_MS: typing.Final = 10.0
