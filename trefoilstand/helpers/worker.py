"""Background work that goes on until its owner stops it."""

import abc
import concurrent.futures
import threading

from trefoilstand import exceptions
from trefoilstand.telemetry import events


class Worker(abc.ABC):
    """Repeat one step in a thread of an executor.

    A step that fails with an error of this project is logged and tried
    again after a pause, so that no outage ends the work.

    :param name: name shown in logs.
    """

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._stopping = threading.Event()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix=name
        )
        self._future: concurrent.futures.Future[None] | None = None

    @property
    def is_stopping(self) -> bool:
        """Return whether the work is to end."""
        return self._stopping.is_set()

    def start(self) -> None:
        """Begin the work."""
        self._future = self._executor.submit(self._run)

    def stop(self) -> None:
        """Ask the work to end, without waiting for it."""
        self._stopping.set()
        self._executor.shutdown(wait=False)

    def pause(self, seconds: float) -> None:
        """Sleep, but wake at once when the work is to end."""
        self._stopping.wait(seconds)

    @abc.abstractmethod
    def step(self) -> None:
        """Do one piece of work, pauses included."""

    @abc.abstractmethod
    def failure_pause_s(self) -> float:
        """Return how long to wait after a step that failed."""

    def _run(self) -> None:
        while not self.is_stopping:
            try:
                self.step()
            except exceptions.TrefoilstandError as error:
                self._report(error)
                self.pause(self.failure_pause_s())
            except Exception as error:
                # A defect in one component must not end the process, but
                # it must be seen.
                self._report(error)
                self.pause(1.0)

    def _report(self, error: Exception) -> None:
        if self.is_stopping:
            return
        events.warning(
            events.ComponentFailed(
                component=self._name,
                error_type=type(error).__name__,
                detail=str(error)[:500],
            )
        )
