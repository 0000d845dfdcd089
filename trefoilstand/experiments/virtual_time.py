"""Event loop that advances a simulated clock instead of sleeping.

The clock moves only when no task is ready to run.
"""

import asyncio
import selectors
import typing

from trefoilstand import exceptions
from trefoilstand.util import clock as clocks


class NothingScheduledError(exceptions.TrefoilstandError):
    """Represent a run in which every task waits and no timer is set."""


class _VirtualSelector(selectors.SelectSelector):
    """Advance the clock of a loop to its next timer without sleeping."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout and report no input.

        :param timeout: seconds until the next timer of the loop.
        :returns: always an empty list.
        :raises NothingScheduledError: no timer is set, so that the loop
            would wait forever.
        """
        if timeout is None:
            raise NothingScheduledError("every task waits and no timer is set")
        self.now_s += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time is simulated."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._virtual_selector.now_s


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
    create_coroutine: typing.Callable[
        [VirtualLoop], typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ],
) -> typing.Any:
    """Run a coroutine to completion on a new loop with simulated time.

    :param create_coroutine: called with the loop, returns the coroutine.
    :returns: result of the coroutine.
    :raises NothingScheduledError: the coroutine waits for something that
        no timer will bring about.
    """
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(create_coroutine(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
