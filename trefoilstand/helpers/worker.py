"""Background thread that repeats a step until it is stopped."""

import abc
import concurrent.futures
import threading

from trefoilstand import exceptions
from trefoilstand.telemetry import events


class Worker(abc.ABC):
    """Repeat one step in a background thread.

    A failed step is logged and retried after a pause, so that an outage
    does not end the worker.

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
        """Return whether the worker was requested to stop."""
        return self._stopping.is_set()

    def start(self) -> None:
        """Start the thread."""
        self._future = self._executor.submit(self._run)

    def stop(self) -> None:
        """Request the worker to stop, without waiting for it."""
        self._stopping.set()
        self._executor.shutdown(wait=False)

    def pause(self, seconds: float) -> None:
        """Sleep, but return at once when stop is requested.

        :param seconds: duration of the pause.
        """
        self._stopping.wait(seconds)

    @abc.abstractmethod
    def step(self) -> None:
        """Run one iteration, including its pauses."""

    @abc.abstractmethod
    def failure_pause_s(self) -> float:
        """Return the pause after a failed step, in seconds."""

    def _run(self) -> None:
        while not self.is_stopping:
            try:
                self.step()
            except exceptions.TrefoilstandError as error:
                self._log_failure(error)
                self.pause(self.failure_pause_s())
            except Exception as error:
                # A defect in one component must not end the process, but
                # it must be logged.
                self._log_failure(error)
                self.pause(1.0)

    def _log_failure(self, error: Exception) -> None:
        if self.is_stopping:
            return
        events.warning(
            events.ComponentFailed(
                component=self._name,
                error_type=type(error).__name__,
                detail=str(error)[:500],
            )
        )
