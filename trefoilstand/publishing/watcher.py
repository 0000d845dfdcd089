"""Follow the platform's documents in the background."""

import collections.abc
import random

from trefoilstand.configuration import coordinator
from trefoilstand.helpers import worker
from trefoilstand.publishing import client
from trefoilstand.publishing import const
from trefoilstand.publishing import models

HostListener = collections.abc.Callable[[models.HostList], None]


class _PlatformWorker(worker.Worker):
    """Back off with jitter while the platform does not answer."""

    def __init__(
        self,
        *,
        name: str,
        platform: client.PlatformClient,
        random_source: random.Random,
    ) -> None:
        super().__init__(name=name)
        self._platform = platform
        self._random = random_source
        self._failures = 0

    def failure_pause_s(self) -> float:
        """Return how long to wait after a step that failed."""
        self._failures += 1
        ceiling_s = min(
            const.MIN_RETRY_PAUSE_S * 2 ** min(self._failures, 10),
            const.MAX_RETRY_PAUSE_S,
        )
        return float(ceiling_s * (0.5 + 0.5 * self._random.random()))


class ConfigurationWatcher(_PlatformWorker):
    """Offer each published text to the coordinator.

    :param platform: client for this thread alone.
    :param target: coordinator that decides about the texts.
    :param random_source: source of jitter.
    :param should_read: tells whether this host is to read now.
    :param watch_wait_s: how long one watch waits.
    """

    def __init__(
        self,
        *,
        platform: client.PlatformClient,
        target: coordinator.ConfigurationCoordinator,
        random_source: random.Random,
        should_read: collections.abc.Callable[[], bool],
        watch_wait_s: float,
    ) -> None:
        super().__init__(
            name="configuration_watcher",
            platform=platform,
            random_source=random_source,
        )
        self._coordinator = target
        self._should_read = should_read
        self._watch_wait_s = watch_wait_s
        self._seen_version = -1

    def step(self) -> None:
        """Watch once and offer what was found."""
        if not self._should_read():
            self.pause(const.MIN_RETRY_PAUSE_S)
            return
        if self._seen_version < 0:
            published = self._platform.read_text()
        else:
            published = self._platform.watch_text(
                self._seen_version, self._watch_wait_s
            )
        self._failures = 0
        if published is None:
            # A service that answers a watch at once must not be asked
            # without pause.
            self.pause(const.MIN_RETRY_PAUSE_S)
            return
        is_same = published.version == self._seen_version
        self._seen_version = published.version
        self._coordinator.offer(
            version=published.version,
            text=published.text,
            source="platform",
        )
        if is_same:
            self.pause(const.MIN_RETRY_PAUSE_S)


class HostsWatcher(_PlatformWorker):
    """Read the list of hosts at a steady pace.

    :param platform: client for this thread alone.
    :param random_source: source of jitter.
    :param listener: called with each list.
    :param count_hosts: tells how many entry hosts read the list, which
        bounds the reads of all together.
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
        """Read the list once and pass it on."""
        self._listener(self._platform.read_hosts())
        self._failures = 0
        jitter = 0.75 + 0.5 * self._random.random()
        interval_s = max(
            const.HOSTS_INTERVAL_S,
            self._count_hosts() / const.FLEET_LIST_READS_PER_SECOND,
        )
        self.pause(interval_s * jitter)
