"""Simulated targets for tests of the real gateway code in simulated time.

A target has slots, a queue, a knee (it slows down when all slots are taken)
and noisy neighbours that slow it down for periods of half a second.  Callers
arrive at random, wait up to their deadline and retry once after a rejection.
"""

import asyncio
import dataclasses
import random
import typing

from trefoilstand.fleet import leaving_targets
from trefoilstand.fleet import staleness_tracker
from trefoilstand.gateway import models
from trefoilstand.gateway import pool
from trefoilstand.gateway import probing
from trefoilstand.gateway import registry
from trefoilstand.gateway import target_protocol
from trefoilstand.gateway import target_quota
from trefoilstand.gateway import targets
from trefoilstand.http import models as http_models
from trefoilstand.http import outbound_connection

_NOISE_PERIOD_S: typing.Final = 0.5
#: Work times are multiplied by a lognormal factor with a mean of one.
_WORK_SIGMA: typing.Final = 0.3
_WORK_MU: typing.Final = -0.045
#: Factor on the work time of a straggler.
_STRAGGLER_FACTOR: typing.Final = 7.0
#: Time that a target takes to answer a health check.
_HEALTH_CHECK_S: typing.Final = 0.001
#: Time from the removal of a target's entry to its last new request.
_DRAIN_S: typing.Final = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """Describe a load pattern.

    :param name: name of the load pattern.
    :param hosts: number of entry hosts, spread over the failure domains.
    :param domains: number of failure domains.
    :param targets: number of targets, spread over the failure domains.
    :param slots: slots of each target.
    :param knee_slowdown: factor on the work time while all slots are taken.
    :param noise_share: share of noise periods in which a target is slow.
    :param noise_slowdown: factor on the work time in such a period.
    :param work_s: mean work time without slowdowns.
    :param straggler_share: share of requests with much more work, which no
        load report announces.
    :param objective_s: latency that callers aim at.
    :param deadline_s: time that callers wait for a response.
    :param rate_per_s: requests of all callers a second.
    :param burst_factor: factor on the rate in the middle third of the run.
    :param duration_s: time during which callers arrive.
    """

    name: str
    hosts: int = 8
    domains: int = 2
    targets: int = 12
    slots: int = 4
    knee_slowdown: float = 1.7
    noise_share: float = 0.35
    noise_slowdown: float = 7.0
    work_s: float = 0.16
    straggler_share: float = 0.0
    objective_s: float = 0.4
    deadline_s: float = 1.2
    rate_per_s: float = 60.0
    burst_factor: float = 1.0
    duration_s: float = 12.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadResult:
    """Count the results of one run as callers saw them.

    :param requests: requests of callers; a retry counts with its first.
    :param in_time: answered within the objective.
    :param late: answered after the objective.
    :param refused: rejected, also after the retry.
    :param lost: not answered by the deadline, or with a status of 504 or more.
    :param probes: health checks sent.
    :param repeated_sends: sends beyond the first of a request, hedges
        included.
    :param latencies_ms: time until each response below status 500, from the
        first send of its caller.
    """

    requests: int
    in_time: int
    late: int
    refused: int
    lost: int
    probes: int
    repeated_sends: int = 0
    latencies_ms: tuple[float, ...] = ()

    @property
    def in_time_share(self) -> float:
        """Return the share of requests served within the objective."""
        return self.in_time / max(self.requests, 1)

    @property
    def served_share(self) -> float:
        """Return the share of requests served, late ones included."""
        return (self.in_time + self.late) / max(self.requests, 1)


class StandaloneRanking(target_quota.HostRanking):
    """Rank a host that is alone in its fleet."""

    @property
    def host_count(self) -> int:
        """Return the number of ranked hosts."""
        return 1

    def own_position(self, target_id: str) -> int:
        """Return the position of this host for a target."""
        return 0

    def is_reliable(self, now_s: float) -> bool:
        """Return whether this host knows the fleet well enough."""
        return True


class SimulatedTarget:
    """Run requests in slots, in simulated time.

    :param scenario: load pattern.
    :param seed: seed of its noise periods.
    """

    def __init__(self, *, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._seed = seed
        self._slots = asyncio.Semaphore(scenario.slots)
        self.running = 0
        self.waiting = 0

    def slowdown(self, now_s: float) -> float:
        """Return the factor by which neighbours slow work that starts now."""
        period = int(now_s / _NOISE_PERIOD_S)
        draw = random.Random(self._seed * 100_003 + period).random()
        if draw < self._scenario.noise_share:
            return self._scenario.noise_slowdown
        return 1.0

    def report(self, now_s: float) -> models.LoadReport:
        """Return the load report of the target."""
        return models.LoadReport(
            running=self.running,
            waiting=self.waiting,
            slots=self._scenario.slots,
            slowdown=self.slowdown(now_s),
            observed_s=now_s,
        )

    async def run_request(self, work_s: float) -> None:
        """Run one request, after waiting for a slot.

        :param work_s: work time without slowdowns.
        """
        loop = asyncio.get_running_loop()
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            slowdown_factor = self.slowdown(loop.time())
            if self.running >= self._scenario.slots:
                slowdown_factor *= self._scenario.knee_slowdown
            await asyncio.sleep(work_s * slowdown_factor)
        finally:
            self.running -= 1
            self._slots.release()


class SimulatedTargetProtocol(target_protocol.TargetProtocol):
    """Encode loads and headers for simulated targets."""

    names = target_protocol.HeaderNames(
        request_id=b"id", deadline_ms=b"deadline", target_id=b"target"
    )

    def is_from_target(self, response: http_models.Response) -> bool:
        """Return whether a response came from a target's program."""
        return True

    def is_not_executed(self, response: http_models.Response) -> bool:
        """Return whether the target states that it did not execute."""
        return False

    def is_misdirected(self, response: http_models.Response) -> bool:
        """Return whether another target responded at the address."""
        return False

    def is_leaving(self, response: http_models.Response) -> bool:
        """Return whether a response says that its target leaves."""
        return response.find_field(b"leaving") is not None

    def read_load(
        self, response: http_models.Response, now_s: float
    ) -> models.LoadReport | None:
        """Return the load that a response carries, None without one."""
        values = (response.find_field(b"load") or b"").split(b",")
        return models.LoadReport(
            running=int(values[0]),
            waiting=int(values[1]),
            slots=int(values[2]),
            slowdown=float(values[3]),
            observed_s=now_s,
        )

    def read_limit_per_s(self, response: http_models.Response) -> float | None:
        """Return the request limit of a target, None if it states none."""
        value = response.find_field(b"limit")
        return None if value is None else float(value)

    def read_warmup_s(self, response: http_models.Response) -> float | None:
        """Return how long a target stays cold, None if it does not say."""
        return None

    def read_target_id(self, response: http_models.Response) -> str | None:
        """Return the target ID in the response to a health check."""
        return None


class SimulatedConnection:
    """Carry requests to a simulated target.

    :param target: target that runs the requests.
    :param one_way_s: network latency in one direction.
    :param mean_work_s: mean work time without slowdowns.
    :param random_source: source of the work times.
    :param straggler_share: share of requests with much more work.
    """

    def __init__(
        self,
        *,
        target: SimulatedTarget,
        one_way_s: float,
        mean_work_s: float,
        random_source: random.Random,
        straggler_share: float = 0.0,
    ) -> None:
        self._target = target
        self._one_way_s = one_way_s
        self._mean_work_s = mean_work_s
        self._random_source = random_source
        self._straggler_share = straggler_share

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        return True

    def send(
        self,
        data: bytes,
        *,
        matches: outbound_connection.Matcher,
        is_head: bool = False,
        body: http_models.Body = b"",
    ) -> asyncio.Future[http_models.Response]:
        """Send a request; cancelling the future stops the work."""
        return asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> http_models.Response:
        await asyncio.sleep(self._one_way_s)
        work_factor = self._random_source.lognormvariate(_WORK_MU, _WORK_SIGMA)
        # Other load patterns draw the same random numbers as without it.
        if (
            self._straggler_share
            and self._random_source.random() < self._straggler_share
        ):
            work_factor *= _STRAGGLER_FACTOR
        await self._target.run_request(self._mean_work_s * work_factor)
        report = self._target.report(asyncio.get_running_loop().time())
        await asyncio.sleep(self._one_way_s)
        load = (
            f"{report.running},{report.waiting},{report.slots},"
            f"{report.slowdown}"
        )
        return http_models.Response(
            status=200, fields=[(b"load", load.encode())], body=b""
        )


class SimulatedConnectionPool(pool.ConnectionSource):
    """Hand out connections to simulated targets.

    :param simulated_targets: targets by ID.
    :param scenario: load pattern.
    :param own_domain: failure domain of the entry host.
    :param random_source: source of the work times.
    """

    def __init__(
        self,
        *,
        simulated_targets: dict[str, SimulatedTarget],
        scenario: Scenario,
        own_domain: str,
        random_source: random.Random,
    ) -> None:
        self._simulated_targets = simulated_targets
        self._scenario = scenario
        self._own_domain = own_domain
        self._random_source = random_source

    def one_way_s(self, target: targets.Target) -> float:
        """Return the network latency to a target in one direction."""
        is_near = target.record.failure_domain == self._own_domain
        return 0.0002 if is_near else 0.0014

    async def acquire(self, target: targets.Target) -> pool.TargetConnection:
        """Return a new connection."""
        return SimulatedConnection(
            target=self._simulated_targets[target.target_id],
            one_way_s=self.one_way_s(target),
            mean_work_s=self._scenario.work_s,
            random_source=self._random_source,
            straggler_share=self._scenario.straggler_share,
        )

    def release(
        self, target: targets.Target, connection: pool.TargetConnection
    ) -> None:
        """Release a connection; simulated ones need no cleanup."""


class SimulatedProber(probing.TargetProber):
    """Probe simulated targets.

    :param simulated_targets: targets by ID.
    :param connections: connections to them.
    """

    def __init__(
        self,
        *,
        simulated_targets: dict[str, SimulatedTarget],
        connections: SimulatedConnectionPool,
    ) -> None:
        self._simulated_targets = simulated_targets
        self._connections = connections
        self.sent = 0

    async def probe(
        self, target: targets.Target
    ) -> probing.ProbeResult | None:
        """Probe one target and return the result."""
        self.sent += 1
        await asyncio.sleep(
            2 * self._connections.one_way_s(target) + _HEALTH_CHECK_S
        )
        now_s = asyncio.get_running_loop().time()
        target.reports_load = True
        target.report = self._simulated_targets[target.target_id].report(now_s)
        return probing.ProbeResult(
            target=target,
            connection=await self._connections.acquire(target),
            is_healthy=True,
        )


def make_registry() -> registry.TargetRegistry:
    """Return an empty registry of targets without a store."""
    return registry.TargetRegistry(
        leaving=leaving_targets.LeavingTargets(random_source=random.Random(0)),
        staleness=staleness_tracker.StalenessTracker(
            random_source=random.Random(0)
        ),
        drain_s=_DRAIN_S,
    )
