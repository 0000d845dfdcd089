"""Event loop whose time passes only when nothing is left to do."""

import asyncio
import selectors
import typing

from trefoilstand import exceptions
from trefoilstand.util import clock as clocks


class NothingScheduledError(exceptions.TrefoilstandError):
    """Represent a run that waits for something that never happens."""


class _VirtualSelector(selectors.SelectSelector):
    """Advance the time of a loop instead of sleeping."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Let the time pass and report no input."""
        if timeout is None:
            raise NothingScheduledError("no timer is set")
        self.now_s += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run the real code with simulated time."""

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._virtual.now_s


class LoopClock(clocks.Clock):
    """Read the simulated time.

    :param loop: loop that runs the simulation.
    """

    def __init__(self, *, loop: VirtualLoop) -> None:
        self._loop = loop

    def now_s(self) -> float:
        """Return the simulated time in seconds."""
        return self._loop.time()


def run(
    make: typing.Callable[
        [VirtualLoop], typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ],
) -> typing.Any:
    """Run a coroutine to its end on a loop of its own."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(make(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
