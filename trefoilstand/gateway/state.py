"""Configuration and targets that are in force on this host."""

import abc
import asyncio
import random
import time
import typing

from trefoilstand.fleet import coordinator
from trefoilstand.fleet import models as fleet_models
from trefoilstand.gateway import models
from trefoilstand.gateway import pool
from trefoilstand.gateway import registry
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import routing
from trefoilstand.gateway import targets
from trefoilstand.telemetry import events


class ItemDecoder(abc.ABC):
    """Turn items of the store into entities."""

    @abc.abstractmethod
    def is_configuration(self, key: str) -> bool:
        """Return whether a key holds the configuration."""

    @abc.abstractmethod
    def target_id(self, key: str) -> str | None:
        """Return the target that a key describes, None for other keys."""

    @abc.abstractmethod
    def decode_configuration(
        self, value: bytes
    ) -> models.GatewayConfiguration:
        """Return the configuration.

        :raises exceptions.TrefoilstandError: the content is malformed.
        """

    @abc.abstractmethod
    def decode_target(
        self, target_id: str, value: bytes
    ) -> models.TargetRecord | None:
        """Return the target of an entry, None where it is malformed."""


class GatewayState:
    """Keep what requests are routed by.

    :param decoder: reads items of the store.
    :param connections: connections, closed when their target is gone; None in
        models.
    :param retry_limits: budget of repeats for each service.
    :param random_source: spreads traffic splits.
    """

    def __init__(
        self,
        *,
        decoder: ItemDecoder,
        connections: pool.ConnectionPool | None,
        retry_limits: retry_budget.RetryBudgetLimits,
        random_source: random.Random,
    ) -> None:
        self._decoder = decoder
        self._connections = connections
        self.retry_limits = retry_limits
        self.targets = targets.TargetTable()
        self.registry = registry.TargetRegistry()
        self.configuration: models.GatewayConfiguration | None = None
        self.routes: routing.RouteTable | None = None
        self.splits = routing.SplitBalancer(random_source=random_source)
        self.hosts = 1
        #: Monotonic time from which on the number of hosts is known.
        self.hosts_known_from_s = float("-inf")
        self.is_loaded = asyncio.Event()
        self.on_configuration: list[
            typing.Callable[[models.GatewayConfiguration], None]
        ] = []

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def take_items(self, items: list[fleet_models.Item]) -> None:
        """Put changed items of the store in force."""
        has_targets = False
        removed: list[str] = []
        now_s = time.monotonic()
        for item in items:
            if self._decoder.is_configuration(item.key):
                self._take_configuration(item)
                continue
            target_id = self._decoder.target_id(item.key)
            if target_id is None:
                continue
            has_targets = True
            record = None
            if item.value is not None:
                record = self._decoder.decode_target(target_id, item.value)
            if record is None:
                removed.append(target_id)
            else:
                self.registry.set(record)
        if has_targets:
            self.registry.remove(removed, now_s)
            self._apply_targets(now_s)
        if self.configuration is not None:
            self.is_loaded.set()

    def tick(self, now_s: float, reader: coordinator.StateCoordinator) -> None:
        """Expire what is too old."""
        seen_s = reader.last_outage_s
        if seen_s is not None:
            self.registry.record_outage(seen_s)
        if self.registry.expire(now_s):
            self._apply_targets(now_s)

    def _apply_targets(self, now_s: float) -> None:
        gone = self.targets.replace(self.registry.eligible_targets(), now_s)
        for target in gone:
            if self._connections is not None:
                self._connections.close_idle(target)
            events.info(
                events.TargetRemoved(
                    target=target.target_id,
                    service=target.record.service,
                    is_draining=self.registry.is_leaving(target.target_id),
                    in_flight=len(target.in_flight),
                )
            )

    def _take_configuration(self, item: fleet_models.Item) -> None:
        if item.value is None:
            return
        try:
            found = self._decoder.decode_configuration(item.value)
        except ValueError as error:
            events.error(
                events.ConfigurationRejected(
                    version=0,
                    source=f"store revision {item.revision}",
                    faults=(str(error),),
                )
            )
            return
        if found.version <= self.version:
            return
        self.configuration = found
        self.routes = routing.RouteTable(routes=found.routes)
        self.splits.reset()
        events.info(
            events.ConfigurationAccepted(
                version=found.version,
                digest="",
                source=f"store revision {item.revision}",
            )
        )
        for listener in self.on_configuration:
            listener(found)
