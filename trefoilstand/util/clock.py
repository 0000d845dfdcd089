"""Clocks, injected so that tests can control the time."""

import abc
import time


class Clock(abc.ABC):
    """Provide monotonic time."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Return seconds since an arbitrary starting point."""


class MonotonicClock(Clock):
    """Read the monotonic clock of the operating system."""

    def now_s(self) -> float:
        """Return seconds since an arbitrary starting point."""
        return time.monotonic()


class ManualClock(Clock):
    """Clock that tests and replays advance explicitly."""

    def __init__(self, *, start_s: float = 1000.0) -> None:
        self._now_s = start_s

    def now_s(self) -> float:
        """Return the current manual time in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move the time forward by a number of seconds."""
        self._now_s += seconds
