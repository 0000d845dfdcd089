"""Limits of measuring."""

import typing

PERMIT_LIFETIME_S: typing.Final = 0.2
PROBER_PAUSE_S: typing.Final = 0.05
WINDOW_S: typing.Final = 10.0
