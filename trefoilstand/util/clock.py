"""Clocks that are handed to the parts that need the time."""

import abc
import time


class Clock(abc.ABC):
    """Provide a time that never runs backwards."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Return seconds since an arbitrary start."""


class MonotonicClock(Clock):
    """Read the monotonic clock of the operating system."""

    def now_s(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()


class ManualClock(Clock):
    """Return a time that tests and replays set by hand."""

    def __init__(self, *, start_s: float = 1000.0) -> None:
        self._now_s = start_s

    def now_s(self) -> float:
        """Return the time set last."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move the time forward by a number of seconds."""
        self._now_s += seconds
