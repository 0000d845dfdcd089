"""Background workers that follow the platform's documents."""

import collections.abc
import random

from trefoilstand.configuration import coordinator
from trefoilstand.helpers import worker
from trefoilstand.publishing import client
from trefoilstand.publishing import const
from trefoilstand.publishing import models

HostListener = collections.abc.Callable[[models.HostList], None]


class _PlatformWorker(worker.Worker):
    """Back off exponentially with jitter while the platform fails.

    :param name: name of the worker in logs.
    :param platform: client for this thread alone.
    :param random_source: source of jitter.
    """

    def __init__(
        self,
        *,
        name: str,
        platform: client.PlatformClient,
        random_source: random.Random,
    ) -> None:
        super().__init__(name=name)
        self._platform = platform
        self._random_source = random_source
        self._consecutive_failures = 0

    def failure_pause_s(self) -> float:
        """Return the backoff in seconds after a failed step."""
        self._consecutive_failures += 1
        max_pause_s = min(
            const.MIN_RETRY_PAUSE_S * 2 ** min(self._consecutive_failures, 10),
            const.MAX_RETRY_PAUSE_S,
        )
        return float(max_pause_s * (0.5 + 0.5 * self._random_source.random()))


class ConfigurationWatcher(_PlatformWorker):
    """Pass each published text to the configuration coordinator.

    :param platform: client for this thread alone.
    :param configuration_coordinator: decides whether a text takes effect.
    :param random_source: source of jitter.
    :param should_read: returns whether this host reads the text now.
    :param watch_wait_s: how long in seconds one watch waits for a change.
    """

    def __init__(
        self,
        *,
        platform: client.PlatformClient,
        configuration_coordinator: coordinator.ConfigurationCoordinator,
        random_source: random.Random,
        should_read: collections.abc.Callable[[], bool],
        watch_wait_s: float,
    ) -> None:
        super().__init__(
            name="configuration_watcher",
            platform=platform,
            random_source=random_source,
        )
        self._configuration_coordinator = configuration_coordinator
        self._should_read = should_read
        self._watch_wait_s = watch_wait_s
        self._last_version = -1

    def step(self) -> None:
        """Read or watch the text once and pass on what it returned."""
        if not self._should_read():
            self.pause(const.MIN_RETRY_PAUSE_S)
            return
        if self._last_version < 0:
            published = self._platform.read_text()
        else:
            published = self._platform.watch_text(
                self._last_version, self._watch_wait_s
            )
        self._consecutive_failures = 0
        if published is None:
            # A service that responds to a watch at once must not be called
            # without a pause.
            self.pause(const.MIN_RETRY_PAUSE_S)
            return
        is_same_version = published.version == self._last_version
        self._last_version = published.version
        self._configuration_coordinator.offer(
            version=published.version,
            text=published.text,
            source="platform",
        )
        if is_same_version:
            self.pause(const.MIN_RETRY_PAUSE_S)


class HostsWatcher(_PlatformWorker):
    """Read the list of hosts at regular intervals.

    :param platform: client for this thread alone.
    :param random_source: source of jitter.
    :param listener: called with each list.
    :param count_hosts: returns how many entry hosts read the list. The
        interval grows with it to bound the read rate of the whole fleet.
    """

    def __init__(
        self,
        *,
        platform: client.PlatformClient,
        random_source: random.Random,
        listener: HostListener,
        count_hosts: collections.abc.Callable[[], int],
    ) -> None:
        super().__init__(
            name="hosts_watcher",
            platform=platform,
            random_source=random_source,
        )
        self._listener = listener
        self._count_hosts = count_hosts

    def step(self) -> None:
        """Read the list once and pass it to the listener."""
        self._listener(self._platform.read_hosts())
        self._consecutive_failures = 0
        jitter = 0.75 + 0.5 * self._random_source.random()
        interval_s = max(
            const.MIN_HOSTS_READ_INTERVAL_S,
            self._count_hosts() / const.MAX_FLEET_HOSTS_READS_PER_SECOND,
        )
        self.pause(interval_s * jitter)
