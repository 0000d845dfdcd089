"""Detect that the process stood still."""

import dataclasses
import time
import typing

#: A longer gap between two checks means that the process was paused.
_MAX_GAP_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pause:
    """Describe a time in which the process did not run.

    :param gap_s: time since the check before.
    :param suspension_s: part of it that the monotonic clock did not count,
        as the machine was suspended.
    """

    gap_s: float
    suspension_s: float


class PauseDetector:
    """Compare the clocks at regular checks."""

    def __init__(self) -> None:
        self._checked_s = time.monotonic()
        self._suspended_s = _read_suspended_s()

    def check(self, now_s: float) -> Pause | None:
        """Return the pause since the last check, None if there was none.

        :param now_s: monotonic time.
        """
        suspended_s = _read_suspended_s()
        suspension_s = suspended_s - self._suspended_s
        gap_s = now_s - self._checked_s + suspension_s
        self._checked_s = now_s
        self._suspended_s = suspended_s
        if gap_s <= _MAX_GAP_S:
            return None
        return Pause(gap_s=gap_s, suspension_s=suspension_s)


def _read_suspended_s() -> float:
    """Return the total time the machine was suspended, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
