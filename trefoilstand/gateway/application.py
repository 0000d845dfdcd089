"""Gateway process: wiring, periodic work and life cycle."""

import asyncio
import collections.abc
import enum
import random
import socket
import time
import typing

from trefoilstand.fleet import models as fleet_models
from trefoilstand.fleet import store as stores
from trefoilstand.gateway import assembly
from trefoilstand.gateway import connection_quota
from trefoilstand.gateway import directory
from trefoilstand.gateway import gauges
from trefoilstand.gateway import leaving
from trefoilstand.gateway import leaving_reader
from trefoilstand.gateway import metrics_page
from trefoilstand.gateway import models
from trefoilstand.gateway import pause_detector
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import probe_budget
from trefoilstand.gateway import probing
from trefoilstand.gateway import registry
from trefoilstand.gateway import replication
from trefoilstand.gateway import resource_limits
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import settings as gateway_settings
from trefoilstand.gateway import state
from trefoilstand.gateway import target_protocol
from trefoilstand.helpers import lifecycle
from trefoilstand.helpers import supervision
from trefoilstand.http import handling
from trefoilstand.http import input_admission
from trefoilstand.http import input_scheduler
from trefoilstand.http import server
from trefoilstand.telemetry import events
from trefoilstand.telemetry import metric_store
from trefoilstand.util import clock as clocks

_TICK_INTERVAL_S: typing.Final = 0.25
#: Longest wait of a starting process for its first state before it joins the
#: other hosts, from which it gets the state if the store does not answer.
_FIRST_STATE_WAIT_S: typing.Final = 0.1
#: Listen backlog: connections that wait to be accepted.
_BACKLOG: typing.Final = 512


class Phase(enum.StrEnum):
    """Phase of a process's life cycle."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Gateway:
    """Build, run and stop the components of one entry host.

    :param settings: validated settings of the process.
    :param store: store of the configuration and the targets.
    :param decoder: decodes the store's items.
    :param protocol: header fields shared with callers and targets.
    :param random_source: source of random numbers.
    :param sockets: sockets that listen already, by `IP:port`.
    """

    def __init__(
        self,
        *,
        settings: gateway_settings.GatewaySettings,
        store: stores.Store,
        decoder: state.ItemDecoder,
        protocol: target_protocol.TargetProtocol,
        random_source: random.Random,
        sockets: collections.abc.Mapping[str, socket.socket] | None = None,
    ) -> None:
        self._settings = settings
        self._sockets = dict(sockets or {})
        self._random = random_source
        self._clock = clocks.MonotonicClock()
        self.phase = Phase.STARTING
        self.counts = metric_store.MetricStore()
        self.buffers = resource_limits.make_budget(settings.memory_limit_bytes)
        self.admission = input_admission.InputAdmission(budget=self.buffers)
        self._input_scheduler = input_scheduler.InputScheduler()
        self.fleet = replication.FleetReplication(
            settings=settings,
            store=store,
            random_source=random_source,
            clock=self._clock,
        )
        self.fleet.replica.add_listener(self._apply_items)
        self._connection_quota = connection_quota.ConnectionQuota(
            hosts=self.fleet.host_ranking.known_hosts
        )
        self.connections = pool.ConnectionPool(
            clock=self._clock,
            local_ip=settings.caller_endpoint.ip,
            buffers=self.buffers,
            scheduler=self._input_scheduler,
            quota=self._connection_quota,
        )
        self.state = state.GatewayState(
            decoder=decoder,
            connections=self.connections,
            target_registry=registry.TargetRegistry(
                leaving=self.fleet.leaving,
                staleness=self.fleet.staleness,
                drain_s=settings.drain_s,
            ),
            retry_limits=settings.retry_limits,
            random_source=random_source,
            clock=self._clock,
        )
        self.state.hosts = retry_budget.HostCountTracker(
            now_s=time.monotonic()
        )
        self._build_forwarding(protocol)
        self._pause_detector = pause_detector.PauseDetector()
        self._stop_requested = asyncio.Event()
        self._leaving_since_s: float | None = None

    def _build_forwarding(
        self, protocol: target_protocol.TargetProtocol
    ) -> None:
        self.directory = directory.Directory(
            members=self.fleet.members, random_source=self._random
        )
        limits = assembly.build_limit_handling(
            table=self.fleet.rate_limits,
            ranking=self.fleet.host_ranking,
            protocol=protocol,
            counts=self.counts,
            on_new_limit=self.fleet.announce_limit,
        )
        self._target_quota = limits.quota
        self.prober = probing.Prober(
            connections=self.connections,
            protocol=protocol,
            limits=limits.reader,
            leaving=leaving_reader.LeavingReader(
                protocol=protocol,
                marks=self.fleet.leaving,
                clock=self._clock,
            ),
            clock=self._clock,
        )
        self._probe_budget = probe_budget.ProbeBudget(
            hosts=self.state.hosts, now_s=self._clock.now_s()
        )
        self.forwarder = assembly.build_forwarder(
            gateway_state=self.state,
            connections=self.connections,
            prober=self.prober,
            probe_budget=self._probe_budget.bucket,
            predictor=prediction.Predictor(),
            protocol=protocol,
            limits=limits,
            counts=self.counts,
            clock=self._clock,
            random_source=self._random,
            own_domain=self._settings.failure_domain,
        )
        self.caller_server = server.Server(
            handler=self.forwarder,
            buffers=self.buffers,
            admission=self.admission,
            max_connections=resource_limits.max_caller_connections(
                self._settings.descriptor_limit
            ),
            scheduler=self._input_scheduler,
        )
        self.state.configuration_listeners.append(self._apply_configuration)
        self._page_servers: list[
            tuple[gateway_settings.Endpoint, server.Server]
        ] = []
        self.add_page(
            self._settings.metrics_endpoint,
            metrics_page.MetricsPage(
                counts=self.counts, gauges=lambda: gauges.read(self)
            ),
        )

    def add_page(
        self,
        endpoint: gateway_settings.Endpoint,
        handler: handling.RequestHandler,
    ) -> None:
        """Serve an adapter's page on a separate address.

        :param endpoint: address to listen on once the process runs.
        :param handler: handler of the page's requests.
        """
        page_server = server.Server(
            handler=handler,
            buffers=self.buffers,
            admission=self.admission,
            max_connections=resource_limits.max_page_connections(
                self._settings.descriptor_limit
            ),
            scheduler=self._input_scheduler,
        )
        page_server.limits = handling.Limits(
            body_bytes=resource_limits.PAGE_BODY_BYTES
        )
        self._page_servers.append((endpoint, page_server))

    @property
    def _components(self) -> list[lifecycle.Component]:
        return [self.fleet.peers, self.fleet.reader]

    async def run(self) -> None:
        """Start all components, run until stopped by a leave, and stop.

        :raises OSError: an address cannot be listened on.
        """
        events.info(
            events.ProcessStarted(
                host=self._settings.host_name,
                failure_domain=self._settings.failure_domain,
                process_id=self.fleet.members.own.process_id,
            )
        )
        servers = [
            (self._settings.caller_endpoint, self.caller_server),
            *self._page_servers,
        ]
        for endpoint, listener in servers:
            await listener.start(
                ip=endpoint.ip,
                port=endpoint.port,
                backlog=_BACKLOG,
                listening_socket=self._sockets.pop(str(endpoint), None),
            )
        await self.fleet.reader.start()
        joining = asyncio.get_running_loop().create_task(self._join_fleet())
        while not self._stop_requested.is_set():
            if joining.done():
                joining.result()
            try:
                self._tick()
            except Exception as error:
                supervision.log_failure("tick", error)
            await self._wait_for_tick()
        joining.cancel()
        await self._stop()

    async def _wait_for_tick(self) -> None:
        """Wait until the next tick is due or the process is to stop."""
        try:
            async with asyncio.timeout(_TICK_INTERVAL_S):
                await self._stop_requested.wait()
        except TimeoutError:
            return

    async def wait_until_loaded(self) -> None:
        """Wait briefly for the first state, which lets this host serve.

        What callers do not wait for is done after it, since imports take
        most of the time of a start.
        """
        try:
            async with asyncio.timeout(_FIRST_STATE_WAIT_S):
                await self.state.is_loaded.wait()
        except TimeoutError:
            return

    async def _join_fleet(self) -> None:
        """Start the exchange with other hosts.

        :raises OSError: the peer address cannot be bound.
        """
        await self.wait_until_loaded()
        await asyncio.to_thread(replication.import_heartbeats)
        await self.fleet.peers.start()

    def request_leave(self) -> None:
        """Start a graceful shutdown.

        The host is no longer listed for callers, keeps serving requests
        until callers have moved away or the grace period ends, and stops.
        """
        if self.phase is Phase.LEAVING:
            return
        self._set_phase(Phase.LEAVING, "requested")
        self._leaving_since_s = time.monotonic()
        self.forwarder.end_by(
            self._leaving_since_s + self._make_leave_plan().answer_s
        )
        self.directory.is_own_ready = False
        self.caller_server.is_draining = True
        for component in self._components:
            component.leave()

    def update_settings(
        self, settings: gateway_settings.GatewaySettings
    ) -> None:
        """Apply the settings that may change while the process runs.

        :param settings: validated settings.
        """
        self._settings = settings
        self.fleet.peers.set_seeds(settings.seeds)
        self.forwarder.repeats.set_limits(settings.retry_limits)

    def _apply_items(self, items: list[fleet_models.Item]) -> None:
        self.state.apply_items(items)
        # The first requests need probes before the next tick.
        self._update_probe_rate()
        if self.phase is Phase.STARTING and self.state.configuration:
            self._set_phase(Phase.READY, "state received")
            self.directory.is_own_ready = True

    def _apply_configuration(
        self, configuration: models.GatewayConfiguration
    ) -> None:
        self.caller_server.limits = configuration.limits
        self.prober.health_paths = {
            name: policy.health_path
            for name, policy in configuration.services.items()
        }
        self._target_quota.set_warmup_rates(
            {
                name: policy.warmup_requests_per_s
                for name, policy in configuration.services.items()
                if policy.warmup_requests_per_s is not None
            }
        )
        self._connection_quota.set_limits(
            {
                name: policy.max_connections
                for name, policy in configuration.services.items()
                if policy.max_connections is not None
            }
        )

    def _tick(self) -> None:
        now_s = time.monotonic()
        pause = self._pause_detector.check(now_s)
        if pause is not None:
            self.fleet.record_pause(now_s, pause)
        self.state.hosts.update(
            self.fleet.members.live_count,
            now_s,
            reported_count=self.fleet.members.reported_live_count,
        )
        self.fleet.tick(now_s)
        self.state.tick(now_s)
        self.admission.check(now_s)
        self.connections.close_expired()
        self._update_probe_rate()
        if self.phase is Phase.LEAVING:
            self._tick_leaving(now_s)
        events.flush()

    def _update_probe_rate(self) -> None:
        self._probe_budget.update(
            probes_per_target_s=self._settings.probes_per_target_s,
            target_count=len(self.state.targets),
            now_s=time.monotonic(),
        )

    def _tick_leaving(self, now_s: float) -> None:
        leaving_since_s = self._leaving_since_s or now_s
        leaving_for_s = now_s - leaving_since_s
        plan = self._make_leave_plan()
        may_stop = leaving_for_s >= plan.stop_s
        if leaving_for_s >= plan.accept_s:
            self.caller_server.stop_listening()
            self.caller_server.close_idle_connections()
            may_stop = may_stop or not self.caller_server.connections
        if may_stop:
            self._stop_requested.set()

    def _make_leave_plan(self) -> leaving.LeavePlan:
        routes: collections.abc.Iterable[models.Route] = ()
        if self.state.configuration is not None:
            routes = self.state.configuration.routes.values()
        return leaving.make_plan(
            self._settings.grace_s, (route.timeout_s for route in routes)
        )

    async def _stop(self) -> None:
        requests_cut = self.forwarder.in_progress
        for component in reversed(self._components):
            await component.stop()
        listeners = [
            self.caller_server,
            *(page_server for _, page_server in self._page_servers),
        ]
        await leaving.finish_delivery(
            listeners,
            until_s=(self._leaving_since_s or time.monotonic())
            + self._make_leave_plan().delivery_s,
        )
        self.connections.close()
        self._set_phase(Phase.STOPPED, "end of run")
        events.info(
            events.ProcessStopped(
                cause="leave",
                requests_cut=requests_cut,
                responses_cut=sum(item.busy_count for item in listeners),
            )
        )
        events.flush()

    def _set_phase(self, phase: Phase, cause: str) -> None:
        self.phase = phase
        events.info(events.PhaseChanged(phase=phase, cause=cause))
