"""Model of a fleet of gateways: real decisions, simulated targets and time.

Targets have slots, a queue, a knee and neighbours that slow them down in
spells of half a second.  Callers come at random, wait up to their deadline
and return once after a rejection.
"""

import asyncio
import dataclasses
import random
import typing

from trefoilstand.gateway import models
from trefoilstand.gateway import pool
from trefoilstand.gateway import probing
from trefoilstand.gateway import target_protocol
from trefoilstand.gateway import targets
from trefoilstand.http import models as http_models
from trefoilstand.http import outbound_connection

_SPELL_S: typing.Final = 0.5
#: Working times are lognormal with a mean of one.
_SPREAD: typing.Final = 0.3
_SPREAD_MU: typing.Final = -0.045
#: Time that a target takes for a health check.
_HEALTH_S: typing.Final = 0.001


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """Describe a load pattern.

    :param name: pattern in the terms of the field.
    :param hosts: entry hosts, spread over the failure domains.
    :param domains: failure domains.
    :param targets: targets, spread over the failure domains.
    :param slots: slots of each target.
    :param knee_slowdown: slowdown of targets whose slots are all taken.
    :param noise_share: share of spells in which a target is slow.
    :param noise_slowdown: slowdown in such a spell.
    :param work_s: mean working time.
    :param objective_s: latency that callers aim at.
    :param deadline_s: time that callers wait.
    :param rate_per_s: requests of all callers a second.
    :param burst_factor: factor on the rate in the middle third.
    :param length_s: length of the run.
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
    objective_s: float = 0.4
    deadline_s: float = 1.2
    rate_per_s: float = 60.0
    burst_factor: float = 1.0
    length_s: float = 12.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """Hold what callers saw.

    :param asked: callers.
    :param in_time: answered within the objective.
    :param late: answered later.
    :param refused: rejected for good.
    :param lost: not answered by the deadline.
    :param probes: health checks sent.
    """

    asked: int
    in_time: int
    late: int
    refused: int
    lost: int
    probes: int

    @property
    def in_time_share(self) -> float:
        """Return the share of callers served within the objective."""
        return self.in_time / max(self.asked, 1)


class SimulatedTarget:
    """Run requests in slots, in simulated time.

    :param scenario: load pattern.
    :param seed: draws its slow spells.
    """

    def __init__(self, *, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._seed = seed
        self._slots = asyncio.Semaphore(scenario.slots)
        self.running = 0
        self.waiting = 0

    def slowdown(self, now_s: float) -> float:
        """Return the factor by which neighbours slow work that starts."""
        spell = int(now_s / _SPELL_S)
        draw = random.Random(self._seed * 100_003 + spell).random()
        if draw < self._scenario.noise_share:
            return self._scenario.noise_slowdown
        return 1.0

    def report(self, now_s: float) -> models.LoadReport:
        """Return what the target says of its load."""
        return models.LoadReport(
            running=self.running,
            waiting=self.waiting,
            slots=self._scenario.slots,
            slowdown=self.slowdown(now_s),
            observed_s=now_s,
        )

    async def work(self, work_s: float) -> None:
        """Run one request."""
        loop = asyncio.get_running_loop()
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            factor = self.slowdown(loop.time())
            if self.running >= self._scenario.slots:
                factor *= self._scenario.knee_slowdown
            await asyncio.sleep(work_s * factor)
        finally:
            self.running -= 1
            self._slots.release()


class ModelDialect(target_protocol.TargetProtocol):
    """Speak plainly with simulated targets."""

    names = target_protocol.HeaderNames(
        request_id=b"id", deadline_ms=b"deadline", target_id=b"target"
    )

    def is_from_target(self, response: http_models.Response) -> bool:
        """Return whether an answer was made by a target's program."""
        return True

    def is_not_executed(self, response: http_models.Response) -> bool:
        """Return whether the target states that it did not run it."""
        return False

    def is_misdirected(self, response: http_models.Response) -> bool:
        """Return whether another target answers at the address."""
        return False

    def read_load(
        self, response: http_models.Response, now_s: float
    ) -> models.LoadReport | None:
        """Return the load that an answer carries, None without one."""
        numbers = (response.find_field(b"load") or b"").split(b",")
        return models.LoadReport(
            running=int(numbers[0]),
            waiting=int(numbers[1]),
            slots=int(numbers[2]),
            slowdown=float(numbers[3]),
            observed_s=now_s,
        )

    def read_target_id(self, response: http_models.Response) -> str | None:
        """Return the identity in the answer of a health check."""
        return None


class SimulatedLink:
    """Carry requests to a simulated target.

    :param target: where they go.
    :param trip_s: time of one way.
    :param mean_s: mean working time.
    :param draw: draws working times.
    """

    def __init__(
        self,
        *,
        target: SimulatedTarget,
        trip_s: float,
        mean_s: float,
        draw: random.Random,
    ) -> None:
        self._target = target
        self._trip_s = trip_s
        self._mean_s = mean_s
        self._draw = draw

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
    ) -> asyncio.Future[http_models.Response]:
        """Send a request; cancelling it stops the work."""
        return asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> http_models.Response:
        await asyncio.sleep(self._trip_s)
        spread = self._draw.lognormvariate(_SPREAD_MU, _SPREAD)
        await self._target.work(self._mean_s * spread)
        report = self._target.report(asyncio.get_running_loop().time())
        await asyncio.sleep(self._trip_s)
        load = (
            f"{report.running},{report.waiting},{report.slots},"
            f"{report.slowdown}"
        )
        return http_models.Response(
            status=200, fields=[(b"load", load.encode())], body=b""
        )


class SimulatedPool(pool.ConnectionSource):
    """Hand out links to simulated targets.

    :param simulated: targets by identity.
    :param scenario: load pattern.
    :param own_domain: failure domain of the host.
    :param draw: draws working times.
    """

    def __init__(
        self,
        *,
        simulated: dict[str, SimulatedTarget],
        scenario: Scenario,
        own_domain: str,
        draw: random.Random,
    ) -> None:
        self._simulated = simulated
        self._scenario = scenario
        self._own_domain = own_domain
        self._draw = draw

    def trip_s(self, target: targets.Target) -> float:
        """Return the time of one way to a target."""
        is_near = target.record.failure_domain == self._own_domain
        return 0.0002 if is_near else 0.0014

    async def acquire(self, target: targets.Target) -> pool.TargetConnection:
        """Return a link."""
        return SimulatedLink(
            target=self._simulated[target.target_id],
            trip_s=self.trip_s(target),
            mean_s=self._scenario.work_s,
            draw=self._draw,
        )

    def release(
        self, target: targets.Target, connection: pool.TargetConnection
    ) -> None:
        """Take a link back."""


class SimulatedProber(probing.TargetProber):
    """Ask simulated targets.

    :param simulated: targets by identity.
    :param connections: links to them.
    """

    def __init__(
        self,
        *,
        simulated: dict[str, SimulatedTarget],
        connections: SimulatedPool,
    ) -> None:
        self._simulated = simulated
        self._connections = connections
        self.sent = 0

    async def probe(
        self, target: targets.Target
    ) -> probing.ProbeResult | None:
        """Ask one target; None where it gave no usable answer."""
        self.sent += 1
        await asyncio.sleep(2 * self._connections.trip_s(target) + _HEALTH_S)
        now_s = asyncio.get_running_loop().time()
        target.reports_load = True
        target.report = self._simulated[target.target_id].report(now_s)
        return probing.ProbeResult(
            target=target,
            connection=await self._connections.acquire(target),
            is_healthy=True,
        )
