"""Defaults and limits of process settings."""

import typing

DEFAULT_ANSWER_LIFETIME_S: typing.Final = 10.0
DEFAULT_CALLER_THREADS: typing.Final = 32
DEFAULT_HEARTBEAT_INTERVAL_S: typing.Final = 0.5
DEFAULT_READ_TIMEOUT_S: typing.Final = 5
DEFAULT_TICK_INTERVAL_S: typing.Final = 0.1
DEFAULT_TICKET_LIFETIME_S: typing.Final = 60.0
DEFAULT_WATCH_WAIT_S: typing.Final = 20.0
MAX_CALLER_THREADS: typing.Final = 256
MIN_TICKET_SECRET_CHARACTERS: typing.Final = 32
