"""Limits and intervals of probing."""

import typing

PROBE_PERMIT_LIFETIME_S: typing.Final = 0.2
PROBE_INTERVAL_S: typing.Final = 0.05
BUDGET_WINDOW_S: typing.Final = 10.0
