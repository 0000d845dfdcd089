"""Defaults and limits of the operators' configuration."""

import typing

BUDGET_WINDOW_S: typing.Final = 10
DEFAULT_DEADLINE_MS: typing.Final = 1000
DEFAULT_MAX_ENTRY_PROCESSES: typing.Final = 24
DEFAULT_RETRY_RATIO: typing.Final = 0.1
FORMAT_VERSION: typing.Final = 1
MAX_CONFIGURATION_BYTES: typing.Final = 1_000_000
PROBE_BYTES: typing.Final = 512
REPEATABLE_METHODS: typing.Final = frozenset({"GET", "HEAD"})
