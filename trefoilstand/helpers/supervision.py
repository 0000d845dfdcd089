"""Keep a background task running when one of its steps fails."""

import asyncio
import collections.abc
import typing

from trefoilstand.telemetry import events

#: Pause after a failed step, so that a permanent failure does not use up the
#: processor and the log.
_FAILURE_PAUSE_S: typing.Final = 0.5


def log_failure(component: str, error: Exception) -> None:
    """Log an unexpected exception in a component that goes on running.

    :param component: name of the component.
    :param error: exception that it raised.
    """
    events.error(
        events.ComponentFailed(
            component=component,
            error_type=type(error).__name__,
            detail=str(error)[:500],
        )
    )


async def repeat(
    component: str,
    step: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> typing.NoReturn:
    """Repeat a step until cancelled, also after it has raised.

    :param component: name of the component for the log.
    :param step: one iteration, including its pauses.
    """
    while True:
        try:
            await step()
        except Exception as error:
            log_failure(component, error)
            await asyncio.sleep(_FAILURE_PAUSE_S)
