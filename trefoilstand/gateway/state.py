"""Configuration and targets that this host currently routes by."""

import abc
import asyncio
import random
import typing

from trefoilstand.fleet import leaving_targets
from trefoilstand.fleet import models as fleet_models
from trefoilstand.gateway import evacuations
from trefoilstand.gateway import models
from trefoilstand.gateway import pool
from trefoilstand.gateway import registry
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import routing
from trefoilstand.gateway import targets
from trefoilstand.telemetry import events
from trefoilstand.util import clock as clocks


class ItemDecoder(abc.ABC):
    """Decode items of the store."""

    @abc.abstractmethod
    def is_configuration(self, key: str) -> bool:
        """Return whether a key holds the configuration.

        :param key: key of an item.
        """

    @abc.abstractmethod
    def evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain that a key evacuates, None for others.

        :param key: key of an item.
        """

    @abc.abstractmethod
    def target_id(self, key: str) -> str | None:
        """Return the id of the target at a key, None for other keys.

        :param key: key of an item.
        """

    @abc.abstractmethod
    def decode_configuration(
        self, value: bytes
    ) -> models.GatewayConfiguration:
        """Return the configuration in an item.

        :param value: value of the item.
        :raises exceptions.TrefoilstandError: the content is malformed.
        """

    @abc.abstractmethod
    def decode_target(
        self, target_id: str, value: bytes
    ) -> models.TargetRecord | None:
        """Return the target in an item, None if it is malformed.

        :param target_id: id of the target, from the key.
        :param value: value of the item.
        """


class GatewayState:
    """Hold the configuration, routes and targets of a gateway.

    :param decoder: decodes items of the store.
    :param connections: connections to targets, closed when their target is
        removed; None in simulations.
    :param target_registry: registered targets.
    :param retry_limits: retry budget of each service.
    :param random_source: randomizes the start of traffic splits.
    :param clock: monotonic clock.
    """

    def __init__(
        self,
        *,
        decoder: ItemDecoder,
        connections: pool.ConnectionPool | None,
        target_registry: registry.TargetRegistry,
        retry_limits: retry_budget.RetryBudgetLimits,
        random_source: random.Random,
        clock: clocks.Clock,
    ) -> None:
        self._decoder = decoder
        self._connections = connections
        self._clock = clock
        self.retry_limits = retry_limits
        self.targets = targets.TargetTable()
        self.registry = target_registry
        self.evacuated_domains = evacuations.EvacuatedDomains()
        self.configuration: models.GatewayConfiguration | None = None
        self.routes: routing.RouteTable | None = None
        self.splits = routing.SplitBalancer(random_source=random_source)
        self.hosts = retry_budget.HostCountTracker(now_s=float("-inf"))
        self.is_loaded = asyncio.Event()
        self.configuration_listeners: list[
            typing.Callable[[models.GatewayConfiguration], None]
        ] = []
        #: Called with each service that has lost its last target.
        self.absence_listeners: list[typing.Callable[[str], None]] = []
        self.registry.leaving.add_listener(self._remove_leaving)

    @property
    def version(self) -> int:
        """Return the version of the configuration, 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def apply_items(self, items: list[fleet_models.Item]) -> None:
        """Apply changed items of the store.

        :param items: changed items; those without a value were deleted.
        """
        has_targets = False
        restored_domains: set[str] = set()
        removed_ids: list[str] = []
        gone_ids: list[str] = []
        now_s = self._clock.now_s()
        for item in items:
            if self._decoder.is_configuration(item.key):
                self._apply_configuration(item)
                continue
            domain = self._decoder.evacuated_domain(item.key)
            if domain is not None:
                has_targets = True
                if item.value is not None:
                    self.evacuated_domains.evacuate(domain)
                elif self.evacuated_domains.restore(domain):
                    restored_domains.add(domain)
                continue
            target_id = self._decoder.target_id(item.key)
            if target_id is None:
                continue
            has_targets = True
            record = None
            if item.value is not None:
                record = self._decoder.decode_target(target_id, item.value)
            if item.is_certainly_gone:
                gone_ids.append(target_id)
            elif record is None:
                removed_ids.append(target_id)
            else:
                self.registry.set(record, now_s)
        if has_targets:
            self.registry.remove(removed_ids, now_s)
            self.registry.discard(gone_ids, now_s)
            self._apply_targets(now_s)
        if restored_domains:
            self._assume_cold(restored_domains, now_s)
        if self.configuration is not None:
            self.is_loaded.set()

    def tick(self, now_s: float) -> None:
        """Drop expired targets.

        :param now_s: monotonic time.
        """
        if self.registry.expire(now_s):
            self._apply_targets(now_s)

    def _assume_cold(self, domains: set[str], now_s: float) -> None:
        """Treat the targets of restored domains as cold.

        They may have become cold shortly before, and their entries may not
        say so yet.
        """
        if self.configuration is None:
            return
        for target in self.targets.all():
            policy = self.configuration.services.get(target.record.service)
            if policy is not None and target.record.failure_domain in domains:
                target.warming_until_s = max(
                    target.warming_until_s, now_s + policy.warmup_s
                )

    def _apply_targets(self, now_s: float) -> None:
        records = {
            target_id: record
            for target_id, record in self.registry.eligible_targets().items()
            if record.failure_domain not in self.evacuated_domains
        }
        removed_targets = self.targets.replace(records, now_s)
        for target in removed_targets:
            self._handle_removal(target)
        for service in {item.record.service for item in removed_targets}:
            self._check_absence(service)

    def _remove_leaving(self, mark: leaving_targets.LeavingMark) -> None:
        """Stop using a target that other sources than the store name.

        Changes of the store are applied to all targets at once.
        """
        if mark.is_from_store:
            return
        target = self.targets.get(mark.target_id)
        if target is None or target.record.incarnation != mark.incarnation:
            return
        self.targets.remove(target)
        self._handle_removal(target)
        self._check_absence(target.record.service)

    def _handle_removal(self, target: targets.Target) -> None:
        if self._connections is not None:
            self._connections.close_idle_connections(target)
        events.info(
            events.TargetRemoved(
                target=target.target_id,
                service=target.record.service,
                is_draining=self.registry.is_draining(target.record),
                in_flight=len(target.in_flight),
            )
        )

    def _check_absence(self, service: str) -> None:
        """Tell that a service has no target left."""
        if not self.targets.of_service(service):
            for listener in self.absence_listeners:
                listener(service)

    def _apply_configuration(self, item: fleet_models.Item) -> None:
        if item.value is None:
            return
        try:
            configuration = self._decoder.decode_configuration(item.value)
        except ValueError as error:
            events.error(
                events.ConfigurationRejected(
                    version=0,
                    source=f"store revision {item.revision}",
                    faults=(str(error),),
                )
            )
            return
        if configuration.version <= self.version:
            return
        self.configuration = configuration
        self.routes = routing.RouteTable(routes=configuration.routes)
        self.splits.reset()
        events.info(
            events.ConfigurationAccepted(
                version=configuration.version,
                digest="",
                source=f"store revision {item.revision}",
            )
        )
        for listener in self.configuration_listeners:
            listener(configuration)
