"""Build the components of one daemon and connect them."""

import hashlib
import random
import secrets
import time

from trefoilstand import core
from trefoilstand.callers import addresses
from trefoilstand.callers import application as caller_application
from trefoilstand.callers import dispatch
from trefoilstand.callers import operations
from trefoilstand.callers import server
from trefoilstand.callers import ticketed_calls
from trefoilstand.callers import tickets as signed_tickets
from trefoilstand.configuration import coordinator
from trefoilstand.configuration import models as configuration_models
from trefoilstand.decision import engine
from trefoilstand.decision import selection
from trefoilstand.decision import tickets
from trefoilstand.helpers import worker
from trefoilstand.measuring import budget
from trefoilstand.measuring import prober
from trefoilstand.peers import const as peers_const
from trefoilstand.peers import gossip
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models
from trefoilstand.peers import reports
from trefoilstand.peers import runtime
from trefoilstand.publishing import client as platform_client
from trefoilstand.publishing import models as platform_models
from trefoilstand.publishing import watcher
from trefoilstand.settings import models as settings_models
from trefoilstand.targets import exchange
from trefoilstand.telemetry import burn
from trefoilstand.telemetry import metrics
from trefoilstand.util import clock as clocks


class WorkerComponent(core.Component):
    """Start and stop a background worker as a component.

    :param background: the worker.
    """

    def __init__(self, *, background: worker.Worker) -> None:
        self._background = background

    def start(self) -> None:
        """Start the worker."""
        self._background.start()

    def stop(self) -> None:
        """Request the worker to stop, without waiting for it."""
        self._background.stop()


class Daemon:
    """Build and hold the components of one entry host.

    :param settings: checked settings of the process.
    """

    def __init__(self, *, settings: settings_models.Settings) -> None:
        self._settings = settings
        self.clock = clocks.MonotonicClock()
        self.random_source = random.Random(secrets.randbits(64))
        self.metrics = metrics.Metrics()
        self.application = core.TrefoilStand(
            clock=self.clock,
            random_source=self.random_source,
            process_metrics=self.metrics,
            tick_interval_s=settings.tick_interval_s,
            leave_duration_s=settings.answer_lifetime_s,
        )
        self.configurations = coordinator.ConfigurationCoordinator()
        self.decisions = engine.DecisionEngine(
            policy=selection.LeastExpectedWaitPolicy(
                random_source=self.random_source
            ),
            random_source=self.random_source,
        )
        self.members = membership.MemberTable(
            own=_build_own_member(settings),
            random_source=self.random_source,
            clock=self.clock,
        )
        self.probe_limiter = budget.ProbeRateLimiter()
        self.own_reports = reports.ReportBuffer()
        self.ticket_table = tickets.TicketTable(
            lifetime_s=settings.ticket_lifetime_s
        )
        self._build_peers()
        self._build_callers()
        self._build_workers()
        self._register_components()

    def _build_peers(self) -> None:
        self.peers = runtime.PeerRuntime(
            application=self.application,
            members=self.members,
            exchange=gossip.GossipExchange(
                members=self.members,
                configurations=self.configurations,
                decisions=self.decisions,
                own_reports=self.own_reports,
                clock=self.clock,
                random_source=self.random_source,
            ),
            configurations=self.configurations,
            on_call=lambda call: self.callers.run_forwarded(call),
            heartbeat_interval_s=self._settings.heartbeat_interval_s,
        )

    def _build_callers(self) -> None:
        dispatcher = dispatch.CallDispatcher(
            decisions=self.decisions,
            configurations=self.configurations,
            client=exchange.TargetClient(clock=self.clock),
            clock=self.clock,
            process_metrics=self.metrics,
        )
        ticketed = ticketed_calls.TicketedCalls(
            own_process_id=self.members.own.process_id,
            own_peer_address=self.members.own.peer_address,
            table=self.ticket_table,
            signer=signed_tickets.TicketSigner(
                secrets=self._settings.ticket_secrets
            ),
            dispatcher=dispatcher,
            forwarder=self.peers,
            clock=self.clock,
        )
        burn_counter = burn.BurnCounter()
        self.callers = caller_application.CallerApplication(
            application=self.application,
            dispatcher=dispatcher,
            ticketed=ticketed,
            pages=operations.OperationPages(
                application=self.application,
                entry_host_selector=addresses.EntryHostSelector(
                    members=self.members, random_source=self.random_source
                ),
                ticketed=ticketed,
                configurations=self.configurations,
                decisions=self.decisions,
                members=self.members,
                burn_counter=burn_counter,
                answer_lifetime_s=self._settings.answer_lifetime_s,
                ticket_lifetime_s=self._settings.ticket_lifetime_s,
            ),
            burn_counter=burn_counter,
            random_source=self.random_source,
        )

    def _build_workers(self) -> None:
        self._workers: list[worker.Worker] = [
            watcher.HostsWatcher(
                platform=self._make_platform_client(),
                random_source=self.random_source,
                listener=self._apply_host_list,
                count_hosts=lambda: len(self.members.live_members()) + 1,
            ),
            watcher.ConfigurationWatcher(
                platform=self._make_platform_client(),
                configuration_coordinator=self.configurations,
                random_source=self.random_source,
                should_read=self._should_read,
                watch_wait_s=self._settings.watch_wait_s,
            ),
            prober.Prober(
                decisions=self.decisions,
                probe_limiter=self.probe_limiter,
                clock=self.clock,
                process_metrics=self.metrics,
                listener=self.own_reports.add,
                is_serving=self.application.is_serving,
            ),
        ]

    def _register_components(self) -> None:
        self.configurations.add_listener(self._apply_configuration)
        for listener in (
            self.decisions.tick,
            self.ticket_table.tick,
            self.members.tick,
            self._tick_metrics,
        ):
            self.application.add_tick_listener(listener)
        for background in self._workers:
            self.application.add_component(
                WorkerComponent(background=background)
            )
        self.application.add_component(self.peers)
        self.application.add_component(
            server.CallerServer(
                address=self._settings.caller_address,
                wsgi_application=self.callers,
                threads=self._settings.caller_threads,
                read_timeout_s=self._settings.read_timeout_s,
            )
        )

    def _make_platform_client(self) -> platform_client.PlatformClient:
        return platform_client.PlatformClient(
            address=self._settings.platform_address,
            process_metrics=self.metrics,
        )

    def _apply_configuration(
        self, loaded: configuration_models.VersionedConfiguration
    ) -> None:
        self.decisions.apply_configuration(loaded.content)
        self.probe_limiter.set_share(
            budget.compute_share(
                loaded.content.measuring, len(self.members.live_members()) + 1
            )
        )
        self.peers.announce()

    def _apply_host_list(self, listed: platform_models.HostList) -> None:
        self.members.set_seeds(
            frozenset(
                host.address
                for host in listed.hosts
                if host.role is platform_models.HostRole.ENTRY
            )
        )
        self.decisions.record_listed_leaving(
            frozenset(
                host.address
                for host in listed.hosts
                if host.role is platform_models.HostRole.TARGET
                and host.state is platform_models.HostState.LEAVING
            ),
            self.clock.now_s(),
        )

    def _should_read(self) -> bool:
        """Return whether this host reads the configuration service.

        A few hosts of each failure domain do; the others receive changes
        from these, and read for themselves while no peer responds.
        """
        if not self.configurations.version:
            return True
        if (
            self.members.time_since_contact_s()
            > peers_const.CONFIGURATION_FALLBACK_S
        ):
            return True
        own = self.members.own
        domain_addresses = [own.peer_address] + [
            member.peer_address
            for member in self.members.live_members()
            if member.failure_domain == own.failure_domain
            and member.state is peers_models.MemberState.ALIVE
        ]
        ranked = sorted(domain_addresses, key=_hash_address)
        readers = ranked[: peers_const.READERS_PER_FAILURE_DOMAIN]
        return own.peer_address in readers

    def _tick_metrics(self, _now_s: float) -> None:
        self.metrics.set_gauge(
            "trefoilstand_configuration_version",
            "Version of the configuration in force.",
            self.configurations.version,
        )
        self.metrics.set_gauge(
            "trefoilstand_live_members",
            "Entry hosts believed to be live, this one included.",
            len(self.members.live_members()) + 1,
        )
        self.metrics.set_gauge(
            "trefoilstand_outstanding_tickets",
            "Tickets that this process remembers.",
            len(self.ticket_table),
        )


def _build_own_member(
    settings: settings_models.Settings,
) -> peers_models.Member:
    return peers_models.Member(
        peer_address=settings.peer_address,
        caller_address=settings.caller_address,
        failure_domain=settings.failure_domain,
        process_id=secrets.token_hex(8),
        incarnation=time.time_ns() // 1_000_000,
    )


def _hash_address(address: str) -> bytes:
    return hashlib.sha256(address.encode()).digest()
