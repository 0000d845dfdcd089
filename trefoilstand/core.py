"""Application object: life cycle, clock and periodic ticks."""

import abc
import collections.abc
import enum
import random
import threading
import typing

from trefoilstand import exceptions
from trefoilstand.telemetry import events
from trefoilstand.telemetry import metrics
from trefoilstand.util import clock as clocks

MAX_TICK_GAP_S: typing.Final = 2.0

TickListener = collections.abc.Callable[[float], None]


class Phase(enum.StrEnum):
    """Phase of the life cycle of a process."""

    STARTING = "starting"
    CATCHING_UP = "catching up"
    READY = "ready"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Component(abc.ABC):
    """Take part in the life cycle of the application."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start the component."""

    def leave(self) -> None:  # noqa: B027
        """Start draining; calls are still served until `stop`."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop work in progress and release all resources."""


class TrefoilStand:
    """Run the components of one daemon and call its tick listeners.

    :param clock: monotonic clock.
    :param random_source: source of random numbers.
    :param process_metrics: metrics of the process.
    :param tick_interval_s: interval between two ticks.
    :param leave_s: time for which a leaving process serves.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        random_source: random.Random,
        process_metrics: metrics.Metrics,
        tick_interval_s: float,
        leave_duration_s: float,
    ) -> None:
        self.clock = clock
        self.random_source = random_source
        self.metrics = process_metrics
        self._tick_interval_s = tick_interval_s
        self._leave_duration_s = leave_duration_s
        self._components: list[Component] = []
        self._tick_listeners: list[TickListener] = []
        self._lock = threading.Lock()
        self._phase = Phase.STARTING
        self._last_tick_s = clock.now_s()
        self._epoch = 0
        self._leave_until_s: float | None = None
        self._stop_requested = threading.Event()

    @property
    def phase(self) -> Phase:
        """Return the current phase of the life cycle."""
        return self._phase

    @property
    def epoch(self) -> int:
        """Return a counter incremented whenever state became stale."""
        return self._epoch

    def add_component(self, component: Component) -> None:
        """Add a component; components stop in reverse order."""
        self._components.append(component)

    def add_tick_listener(self, listener: TickListener) -> None:
        """Register a function that is called at each tick."""
        self._tick_listeners.append(listener)

    def is_serving(self) -> bool:
        """Return whether new work may be started.

        The age of the last tick is checked too: a process that was frozen
        may receive a call before its next tick detects the gap.
        """
        if self._phase not in (Phase.READY, Phase.LEAVING):
            return False
        return self.clock.now_s() - self._last_tick_s <= MAX_TICK_GAP_S

    def mark_caught_up(self, epoch: int) -> None:
        """Record that state has been synchronized within an epoch.

        :param epoch: epoch when synchronization began; an outdated
            value is ignored.
        """
        with self._lock:
            if epoch != self._epoch:
                return
            if self._phase in (Phase.STARTING, Phase.CATCHING_UP):
                self._set_phase(Phase.READY, "caught up with peers")

    def run(self) -> None:
        """Start all components, tick until stop is requested, and stop."""
        started: list[Component] = []
        try:
            for component in self._components:
                component.start()
                started.append(component)
            self._last_tick_s = self.clock.now_s()
            while not self._stop_requested.wait(self._tick_interval_s):
                self.tick()
        finally:
            self._set_phase(Phase.STOPPED, "end of run")
            _stop_all(started)

    def tick(self) -> None:
        """Call all tick listeners once."""
        now_s = self.clock.now_s()
        with self._lock:
            self._detect_tick_gap(now_s)
            self._last_tick_s = now_s
        for listener in self._tick_listeners:
            listener(now_s)
        if self._leave_until_s is not None and now_s >= self._leave_until_s:
            self._stop_requested.set()

    def request_leave(self) -> None:
        """Drain on the first request, stop at once on a second one."""
        with self._lock:
            if self._phase is Phase.LEAVING:
                self._stop_requested.set()
                return
            if self._phase is not Phase.READY:
                self._stop_requested.set()
            self._leave_until_s = self.clock.now_s() + self._leave_duration_s
            self._set_phase(Phase.LEAVING, "requested")
        for component in self._components:
            component.leave()

    def _detect_tick_gap(self, now_s: float) -> None:
        gap_s = now_s - self._last_tick_s
        if gap_s <= MAX_TICK_GAP_S:
            return
        self._epoch += 1
        if self._phase is Phase.READY:
            self._set_phase(Phase.CATCHING_UP, f"no tick for {gap_s:.1f} s")

    def _set_phase(self, phase: Phase, cause: str) -> None:
        if phase is self._phase:
            return
        self._phase = phase
        events.info(events.PhaseChanged(phase=phase, cause=cause))


def _stop_all(components: list[Component]) -> None:
    errors: list[Exception] = []
    for component in reversed(components):
        try:
            component.stop()
        except Exception as error:
            errors.append(error)
    if errors:
        raise StopFailedError("some components failed to stop", errors)


class StopFailedError(ExceptionGroup[Exception], exceptions.TrefoilstandError):
    """Group the errors of components that failed to stop."""
