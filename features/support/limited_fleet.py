"""A fleet of real forwarders before targets that state request limits.

Hosts exchange real heartbeats over a simulated network in simulated time.
"""

import asyncio
import dataclasses
import random

from features.support import heartbeat_fleet
from trefoilstand.experiments import gateway_model
from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import topology
from trefoilstand.gateway import assembly
from trefoilstand.gateway import models
from trefoilstand.gateway import prediction
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import routing
from trefoilstand.gateway import state
from trefoilstand.gateway import target_quota
from trefoilstand.http import models as http_models
from trefoilstand.platform import decoder
from trefoilstand.telemetry import metric_store
from trefoilstand.util import token_bucket

_SERVICE = "service"
_SCENARIO = gateway_model.Scenario(
    name="limited targets",
    domains=3,
    targets=12,
    slots=6,
    knee_slowdown=1.0,
    noise_share=0.0,
    work_s=0.05,
)
#: The rule counts a host from this time after it was told of the limit.
TOLD_DELAY_S = 0.5
#: The rule counts from this time after the first statement of a limit.
STABILITY_S = 3.0
WINDOW_S = 4.0
DEADLINE_S = _SCENARIO.deadline_s
OBJECTIVE_S = _SCENARIO.objective_s
#: Fleets of up to 311 hosts know all their members by then.
LIMIT_START_S = 16.0
LIMIT_END_S = 36.0
RUN_S = 44.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request or probe that reached a target."""

    time_s: float
    process: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestEnd:
    """The response to a caller."""

    time_s: float
    status: int
    waited_s: float


class LimitedTarget(gateway_model.SimulatedTarget):
    """Target that states a limit in its responses to requests."""

    def __init__(self, *, scenario, seed):
        super().__init__(scenario=scenario, seed=seed)
        self.limit_per_s = None
        self.arrivals = []
        self.told_s = {}

    def receive(self, process):
        now_s = asyncio.get_running_loop().time()
        self.arrivals.append(Arrival(time_s=now_s, process=process))

    def limit_fields(self, process):
        if self.limit_per_s is None:
            return []
        now_s = asyncio.get_running_loop().time()
        self.told_s.setdefault(process, now_s)
        return [(b"limit", b"%.1f" % self.limit_per_s)]

    def told_arrivals_s(self, start_s, end_s):
        """Return the times of messages from processes that were told."""
        return [
            arrival.time_s
            for arrival in self.arrivals
            if start_s <= arrival.time_s < end_s
            and self.told_s.get(arrival.process, float("inf")) + TOLD_DELAY_S
            <= arrival.time_s
        ]

    def largest_told_count(self):
        """Return the most messages from told processes in a window."""
        return max_count_in_window(
            self.told_arrivals_s(LIMIT_START_S + STABILITY_S, LIMIT_END_S),
            WINDOW_S,
        )

    def count_arrivals(self, start_s, end_s):
        return sum(
            start_s <= arrival.time_s < end_s for arrival in self.arrivals
        )


class _Connection(gateway_model.SimulatedConnection):
    def __init__(self, *, process, **arguments):
        super().__init__(**arguments)
        self._process = process

    async def _run(self):
        self._target.receive(self._process)
        response = await super()._run()
        return dataclasses.replace(
            response,
            fields=[
                *response.fields,
                *self._target.limit_fields(self._process),
            ],
        )


class _Pool(gateway_model.SimulatedConnectionPool):
    def __init__(self, *, process, **arguments):
        super().__init__(**arguments)
        self.process = process

    async def acquire(self, target):
        return _Connection(
            process=self.process,
            target=self._simulated_targets[target.target_id],
            one_way_s=self.one_way_s(target),
            mean_work_s=self._scenario.work_s,
            random_source=self._random_source,
        )


class _Prober(gateway_model.SimulatedProber):
    async def probe(self, target):
        self._simulated_targets[target.target_id].receive(
            self._connections.process
        )
        return await super().probe(target)


class EntryHost:
    """Forwarder of one process, with the members and limits of a peer."""

    def __init__(self, *, fleet, peer, number):
        self.peer = peer
        random_source = random.Random(
            f"{fleet.seed}-{number}-{peer.incarnation}"
        )
        simulated_targets = fleet.targets
        connections = _Pool(
            process=peer.members.own.process_id,
            simulated_targets=simulated_targets,
            scenario=_SCENARIO,
            own_domain=peer.domain,
            random_source=random_source,
        )
        self.state = state.GatewayState(
            decoder=decoder.StoreDecoder(),
            connections=None,
            target_registry=gateway_model.make_registry(),
            retry_limits=retry_budget.RetryBudgetLimits(
                ratio=0.2, allowance=56.0, window_s=10.0
            ),
            random_source=random_source,
            clock=fleet.net.clock,
        )
        self.state.hosts = retry_budget.HostCountTracker(
            now_s=fleet.loop.time()
        )
        route = _make_route()
        self.state.routes = routing.RouteTable(routes={route.name: route})
        self.state.targets.replace(
            {
                target_id: _make_record(target_id)
                for target_id in fleet.targets
            },
            0.0,
        )
        self._ranking = target_quota.MemberRanking(
            members=peer.members, now_s=fleet.loop.time()
        )
        counts = metric_store.MetricStore()
        protocol = gateway_model.SimulatedTargetProtocol()
        limits = assembly.build_limit_handling(
            table=peer.limits,
            ranking=self._ranking,
            protocol=protocol,
            counts=counts,
            on_new_limit=lambda: peer.peers.announce_target_news(
                topology.Origin.STORE
            ),
        )
        self._quota = limits.quota
        self.cool_down(fleet)
        self.forwarder = assembly.build_forwarder(
            gateway_state=self.state,
            connections=connections,
            prober=_Prober(
                simulated_targets=simulated_targets, connections=connections
            ),
            probe_budget=token_bucket.TokenBucket(
                rate_per_s=200.0, burst=1000.0
            ),
            predictor=prediction.Predictor(),
            protocol=protocol,
            limits=limits,
            counts=counts,
            clock=fleet.net.clock,
            random_source=random_source,
            own_domain=peer.domain,
        )

    def cool_down(self, fleet):
        """Treat the cold targets of the fleet as its entries say."""
        self._quota.set_warmup_rates({_SERVICE: fleet.warmup_rate_per_s})
        for target_id in fleet.cold_ids:
            self.state.targets.get(target_id).warming_until_s = LIMIT_END_S

    def tick(self, now_s):
        self.state.hosts.update(self.peer.members.live_count, now_s)
        self._ranking.update(now_s)


class LimitedFleet:
    """Send requests through a fleet while targets state limits.

    :param loop: loop with simulated time.
    :param hosts: number of entry hosts.
    :param rate_per_s: requests of all callers a second.
    :param loss: share of the heartbeats that are lost.
    """

    def __init__(self, *, loop, hosts, rate_per_s, seed=1, loss=0.0):
        self.loop = loop
        self.seed = seed
        self.cold_ids = ()
        self.warmup_rate_per_s = 0.0
        self._rate_per_s = rate_per_s
        self._random_source = random.Random(seed)
        self.net = heartbeat_fleet.FleetNetwork(
            loop=loop,
            hosts=hosts,
            domains=_SCENARIO.domains,
            seed=seed,
            loss=loss,
        )
        self.targets = {
            str(number): LimitedTarget(scenario=_SCENARIO, seed=number)
            for number in range(_SCENARIO.targets)
        }
        self.entry_hosts = [
            EntryHost(fleet=self, peer=peer, number=number)
            for number, peer in enumerate(self.net.hosts.values())
        ]
        self.ends = []

    async def run(self, *, limits_per_s, events=()):
        """Run the fleet; targets state limits for a part of the time.

        :param limits_per_s: limits by the id of the target.
        :param events: pairs of a time and a coroutine function that is
            called with this fleet then.
        """
        tasks = [
            self.loop.create_task(self._call_at(time_s, event))
            for time_s, event in events
        ]
        tasks.append(self.loop.create_task(self._send_requests()))
        tasks.append(self.loop.create_task(self._tick_hosts()))
        tasks.append(self.loop.create_task(self.net.run(RUN_S)))
        await self.net.start()
        await asyncio.sleep(LIMIT_START_S - self.loop.time())
        for target_id, limit_per_s in limits_per_s.items():
            self.targets[target_id].limit_per_s = limit_per_s
        await asyncio.sleep(LIMIT_END_S - self.loop.time())
        for target_id in limits_per_s:
            self.targets[target_id].limit_per_s = None
        await asyncio.gather(*tasks)

    async def _call_at(self, time_s, event):
        await asyncio.sleep(time_s - self.loop.time())
        await event(self)

    async def _tick_hosts(self):
        while self.loop.time() < RUN_S:
            for host in self.entry_hosts:
                host.tick(self.loop.time())
            await asyncio.sleep(0.25)

    async def _send_requests(self):
        tasks = []
        while self.loop.time() < RUN_S:
            await asyncio.sleep(
                self._random_source.expovariate(self._rate_per_s)
            )
            tasks.append(self.loop.create_task(self._send_request()))
        await asyncio.gather(*tasks)

    async def _send_request(self):
        running = [item for item in self.entry_hosts if not item.peer.is_down]
        if not running:
            return
        host = self._random_source.choice(running)
        arrived_s = self.loop.time()
        response = await host.forwarder.handle(
            http_models.Request(
                method=b"GET",
                target=b"/x",
                fields=[(b"host", b"model"), (b"deadline", b"1200")],
                body=b"",
                arrived_s=arrived_s,
            )
        )
        now_s = self.loop.time()
        self.ends.append(
            RequestEnd(
                time_s=now_s,
                status=response.status,
                waited_s=now_s - arrived_s,
            )
        )

    async def cool_down(self, target_ids, rate_per_s):
        """Make targets cold until the end of the limits."""
        self.cold_ids = target_ids
        self.warmup_rate_per_s = rate_per_s
        for host in self.entry_hosts:
            host.cool_down(self)

    async def restart(self, number, down_s=0.3):
        """End the process of a host and start it again.

        It serves requests from the moment at which it has sent its first
        heartbeats, as the real one does.
        """
        old = self.entry_hosts[number].peer
        await old.stop()
        await asyncio.sleep(down_s)
        peer = self.net.add(number, old.domain, old.incarnation + 1)
        self.entry_hosts[number] = EntryHost(
            fleet=self, peer=peer, number=number
        )
        peer.start()


def _make_route():
    return models.Route(
        name="route",
        host="model",
        prefix="/",
        is_idempotent=True,
        timeout_s=_SCENARIO.deadline_s,
        objective_s=_SCENARIO.objective_s,
        max_attempts=2,
        priority=1,
        weighted_services=(
            models.WeightedService(service=_SERVICE, weight=1.0),
        ),
    )


def _make_record(target_id):
    return models.TargetRecord(
        target_id=target_id,
        incarnation=1,
        service=_SERVICE,
        ip="127.0.0.1",
        port=1,
        failure_domain=f"d{int(target_id) % _SCENARIO.domains}",
        slots=_SCENARIO.slots,
        state=models.TargetState.READY,
        warmup_left_s=0.0,
    )


def allowed_count(limit_per_s):
    """Return how many messages the rule allows in a window."""
    return 1.5 * WINDOW_S * limit_per_s + 5


def max_count_in_window(times_s, length_s):
    """Return the largest number of times in any window of a length."""
    times_s = sorted(times_s)
    largest = first = 0
    for last, time_s in enumerate(times_s):
        while time_s - times_s[first] > length_s:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


def simulate(*, hosts, rate_per_s, limits_per_s, events=(), loss=0.0, seed=1):
    """Run a fleet and return it."""

    async def run(loop):
        fleet = LimitedFleet(
            loop=loop, hosts=hosts, rate_per_s=rate_per_s, seed=seed, loss=loss
        )
        await fleet.run(limits_per_s=limits_per_s, events=events)
        return fleet

    return virtual_time.run(run)
