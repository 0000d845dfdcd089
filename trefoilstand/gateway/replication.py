"""Wire what an entry host shares with the other hosts of the fleet."""

import importlib
import random
import secrets
import time

from trefoilstand.fleet import const as fleet_const
from trefoilstand.fleet import coordinator
from trefoilstand.fleet import exchange
from trefoilstand.fleet import leaving_targets
from trefoilstand.fleet import lost_items
from trefoilstand.fleet import messages
from trefoilstand.fleet import rate_limits
from trefoilstand.fleet import replica
from trefoilstand.fleet import staleness_tracker
from trefoilstand.fleet import state_fetcher
from trefoilstand.fleet import store as stores
from trefoilstand.fleet import topology
from trefoilstand.fleet import transfer
from trefoilstand.fleet import uploads
from trefoilstand.gateway import pause_detector
from trefoilstand.gateway import settings as gateway_settings
from trefoilstand.gateway import target_quota
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models
from trefoilstand.telemetry import events
from trefoilstand.util import clock as clocks


class FleetReplication:
    """Hold the members, the replica of the store and the target limits.

    :param settings: validated settings of the process.
    :param store: store of the configuration and the targets.
    :param random_source: source of random numbers.
    :param clock: monotonic clock.
    """

    def __init__(
        self,
        *,
        settings: gateway_settings.GatewaySettings,
        store: stores.Store,
        random_source: random.Random,
        clock: clocks.Clock,
    ) -> None:
        self._random = random_source
        self._clock = clock
        self._link_bytes_per_s = settings.link_bytes_per_s
        self.members = membership.MemberTable(
            own=peers_models.Member(
                peer_address=str(settings.peer_endpoint),
                caller_address=str(settings.caller_endpoint),
                failure_domain=settings.failure_domain,
                process_id=secrets.token_hex(8),
                incarnation=time.time_ns() // 1_000_000,
            ),
            random_source=random_source,
            clock=clock,
            update_sends=fleet_const.MEMBER_UPDATE_SENDS,
        )
        self.members.add_listener(_log_member_change)
        self.host_ranking = target_quota.MemberRanking(
            members=self.members, now_s=clock.now_s()
        )
        self.replica = replica.Replica()
        self.rate_limits = rate_limits.RateLimitTable(
            random_source=random_source
        )
        self.leaving = leaving_targets.LeavingTargets(
            random_source=random_source
        )
        self.leaving.add_listener(self._announce_leaving)
        self.staleness = staleness_tracker.StalenessTracker(
            random_source=random_source,
            entry_heartbeat_s=settings.entry_heartbeat_s,
        )
        self._lost_items = lost_items.LostItemRetention(
            state=self.replica, staleness=self.staleness, clock=clock
        )
        self.transfers = state_fetcher.StateFetcher(
            state=self.replica,
            members=self.members,
            make_transfer=self._make_transfer,
            clock=clock,
            random_source=random_source,
            prepare_transfer=_import_transfers,
        )
        self.peers = exchange.PeerExchange(
            members=self.members,
            make_handler=self._make_message_handler,
            transfers=self.transfers,
            random_source=random_source,
            clock=clock,
        )
        self.peers.set_seeds(settings.seeds)
        self.reader = coordinator.StateCoordinator(
            store=store,
            state=self.replica,
            staleness=self.staleness,
            members=self.members,
            peers=self.peers,
            random_source=random_source,
            clock=clock,
            reads_immediately=not settings.is_first_start
            or str(settings.peer_endpoint) in settings.seeds,
        )

    def tick(self, now_s: float) -> None:
        """Update the ranking of hosts and drop what has expired.

        :param now_s: monotonic time.
        """
        self.host_ranking.update(now_s)
        self._lost_items.tick(now_s)

    def announce_limit(self) -> None:
        """Tell other hosts soon that a target states a limit."""
        self.peers.announce_target_news(topology.Origin.STORE)

    def _announce_leaving(self, mark: leaving_targets.LeavingMark) -> None:
        """Tell other hosts soon what a target said to this one.

        They read the store as well, and reports of peers are passed on
        where they are received.
        """
        if not (
            mark.is_from_store or mark.source is leaving_targets.Source.PEER
        ):
            self.peers.announce_target_news(topology.Origin.STORE)

    def record_pause(self, now_s: float, pause: pause_detector.Pause) -> None:
        """Distrust what was known before the process was paused.

        :param now_s: monotonic time.
        :param pause: pause that has just ended.
        """
        self.rate_limits.add_suspension(pause.suspension_s)
        self.leaving.add_suspension(pause.suspension_s)
        self.staleness.invalidate()
        self.members.restart_ages(now_s)
        events.warning(events.ProcessPaused(gap_s=round(pause.gap_s, 3)))

    def _make_message_handler(self) -> messages.MessageHandler:
        from trefoilstand.fleet import heartbeat

        return heartbeat.HeartbeatHandler(
            members=self.members,
            state=self.replica,
            staleness=self.staleness,
            limits=self.rate_limits,
            leaving=self.leaving,
            random_source=self._random,
        )

    def _make_transfer(self) -> transfer.PeerTransfer:
        from trefoilstand.fleet import sync

        return sync.StateTransfer(
            state=self.replica,
            members=self.members,
            schedule=uploads.UploadSchedule(
                bytes_per_s=self._link_bytes_per_s
            ),
            clock=self._clock,
        )


# The libraries of the peers' protocol take half of the time of all imports.
# They are imported once callers are served, and in threads, so that requests
# go on meanwhile.


def import_heartbeats() -> object:
    """Import the module of the heartbeats."""
    return importlib.import_module("trefoilstand.fleet.heartbeat")


def _import_transfers() -> object:
    return importlib.import_module("trefoilstand.fleet.sync")


def _log_member_change(member: peers_models.Member) -> None:
    """Log a state change of another host, unless it is alive."""
    if member.state is peers_models.MemberState.ALIVE:
        return
    events.info(
        events.MemberChanged(
            address=member.peer_address,
            incarnation=member.incarnation,
            state=member.state.name.lower(),
        )
    )
