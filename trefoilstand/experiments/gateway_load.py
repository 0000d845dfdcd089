"""Run load patterns against the gateway's decisions in simulated time."""

import asyncio
import collections
import dataclasses
import random
import typing

import cappa

from trefoilstand.cli import output
from trefoilstand.experiments import gateway_model
from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import rate_limits
from trefoilstand.gateway import assembly
from trefoilstand.gateway import metrics_page
from trefoilstand.gateway import models
from trefoilstand.gateway import options
from trefoilstand.gateway import prediction
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import routing
from trefoilstand.gateway import state
from trefoilstand.gateway import targets
from trefoilstand.http import handling
from trefoilstand.http import models as http_models
from trefoilstand.platform import decoder
from trefoilstand.telemetry import metric_store
from trefoilstand.util import token_bucket

_SERVICE: typing.Final = "service"
_MS_PER_S: typing.Final = 1000
#: A rejected caller waits at most this share of its remaining time.
_MAX_RETRY_WAIT_SHARE: typing.Final = 1 / 3

PATTERNS: typing.Final = (
    gateway_model.Scenario(name="noisy neighbours", rate_per_s=60.0),
    gateway_model.Scenario(
        name="overload beyond the knee", rate_per_s=100.0, burst_factor=2.5
    ),
    gateway_model.Scenario(
        name="herding on idle targets",
        hosts=24,
        noise_share=0.0,
        rate_per_s=170.0,
    ),
    gateway_model.Scenario(
        name="burst with long deadlines",
        rate_per_s=80.0,
        burst_factor=2.5,
        deadline_s=3.0,
        duration_s=6.0,
    ),
    gateway_model.Scenario(name="quiet", rate_per_s=20.0),
)


class _UnlimitedPredictor(prediction.Predictor):
    """Ignore the capacity limit of targets; a baseline."""

    def has_capacity(self, target: targets.Target, now_s: float) -> bool:
        """Report capacity on every target."""
        return True


class _OwnInFlightPredictor(prediction.Predictor):
    """Count own requests only, as least-in-flight does; a baseline."""

    def has_capacity(self, target: targets.Target, now_s: float) -> bool:
        """Report capacity on every target."""
        return True

    def predict_s(
        self, target: targets.Target, route: models.Route, now_s: float
    ) -> float:
        """Return a time that grows with this host's requests at a target."""
        own = len(target.in_flight) / max(target.record.slots, 1)
        return self.processing_time_s(route) * (1 + own)


POLICIES: typing.Final[dict[str, type[prediction.Predictor]]] = {
    "room and prediction": prediction.Predictor,
    "prediction, no room limit": _UnlimitedPredictor,
    "least in flight": _OwnInFlightPredictor,
}


class _Host:
    """Connect the real decisions of one entry host to simulated targets."""

    def __init__(
        self,
        *,
        number: int,
        scenario: gateway_model.Scenario,
        simulated_targets: dict[str, gateway_model.SimulatedTarget],
        predictor: prediction.Predictor,
        clock: virtual_time.LoopClock,
        hedging: options.HedgingOptions | None,
    ) -> None:
        own_domain = f"d{number % scenario.domains}"
        random_source = random.Random(number)
        connections = gateway_model.SimulatedConnectionPool(
            simulated_targets=simulated_targets,
            scenario=scenario,
            own_domain=own_domain,
            random_source=random_source,
        )
        self.prober = gateway_model.SimulatedProber(
            simulated_targets=simulated_targets, connections=connections
        )
        self.state = state.GatewayState(
            decoder=decoder.StoreDecoder(),
            connections=None,
            target_registry=gateway_model.make_registry(),
            retry_limits=retry_budget.RetryBudgetLimits(
                ratio=0.2, allowance=56.0, window_s=10.0
            ),
            random_source=random_source,
            clock=clock,
        )
        self.state.hosts.update(scenario.hosts, float("-inf"))
        route = _make_route(scenario)
        self.state.routes = routing.RouteTable(routes={route.name: route})
        self.state.targets.replace(
            {
                target_id: _make_record(target_id, scenario)
                for target_id in simulated_targets
            },
            0.0,
        )
        protocol = gateway_model.SimulatedTargetProtocol()
        self.counts = counts = metric_store.MetricStore()
        self.forwarder = assembly.build_forwarder(
            gateway_state=self.state,
            connections=connections,
            prober=self.prober,
            probe_budget=token_bucket.TokenBucket(
                rate_per_s=200.0, burst=1000.0
            ),
            predictor=predictor,
            protocol=protocol,
            limits=assembly.build_limit_handling(
                table=rate_limits.RateLimitTable(random_source=random_source),
                ranking=gateway_model.StandaloneRanking(),
                protocol=protocol,
                counts=counts,
                on_new_limit=lambda: None,
            ),
            counts=counts,
            clock=clock,
            random_source=random_source,
            own_domain=own_domain,
        )
        self.forwarder.hedger.set_limits(hedging)


def _make_route(scenario: gateway_model.Scenario) -> models.Route:
    return models.Route(
        name="route",
        host="model",
        prefix="/",
        is_idempotent=True,
        timeout_s=scenario.deadline_s,
        objective_s=scenario.objective_s,
        max_attempts=2,
        priority=1,
        weighted_services=(
            models.WeightedService(service=_SERVICE, weight=1.0),
        ),
    )


def _make_record(
    target_id: str, scenario: gateway_model.Scenario
) -> models.TargetRecord:
    number = int(target_id)
    return models.TargetRecord(
        target_id=target_id,
        incarnation=1,
        service=_SERVICE,
        ip="127.0.0.1",
        port=1,
        failure_domain=f"d{number % scenario.domains}",
        slots=scenario.slots,
        state=models.TargetState.READY,
        warmup_left_s=0.0,
    )


class _Callers:
    """Send requests at random times and count their results."""

    def __init__(
        self,
        *,
        scenario: gateway_model.Scenario,
        hosts: list[_Host],
        seed: int,
    ) -> None:
        self._scenario = scenario
        self._hosts = hosts
        self._random_source = random.Random(seed)
        self.result_counts: collections.Counter[str] = collections.Counter()
        self.latencies_ms: list[float] = []

    async def send_all(self) -> None:
        """Send the requests of a run and wait for their results."""
        loop = asyncio.get_running_loop()
        scenario = self._scenario
        tasks = []
        while loop.time() < scenario.duration_s:
            rate = scenario.rate_per_s
            third = scenario.duration_s / 3
            if third <= loop.time() < 2 * third:
                rate *= scenario.burst_factor
            await asyncio.sleep(self._random_source.expovariate(rate))
            tasks.append(loop.create_task(self._send_one()))
        await asyncio.gather(*tasks)

    async def _send_one(self) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        caller_deadline_s = started_s + self._scenario.deadline_s
        response = await self._send_request(caller_deadline_s)
        if response is not None and response.status == 503:
            retry_after_s = dict(response.fields).get(b"retry-after", b"0")
            remaining_s = caller_deadline_s - loop.time()
            await asyncio.sleep(
                min(float(retry_after_s), remaining_s * _MAX_RETRY_WAIT_SHARE)
            )
            response = await self._send_request(caller_deadline_s)
        elapsed_s = loop.time() - started_s
        self.result_counts[self._classify_result(response, elapsed_s)] += 1
        if response is not None and response.status == 200:
            self.latencies_ms.append(elapsed_s * _MS_PER_S)

    async def _send_request(
        self, caller_deadline_s: float
    ) -> handling.CallerResponse | None:
        loop = asyncio.get_running_loop()
        remaining_ms = int((caller_deadline_s - loop.time()) * _MS_PER_S)
        request = http_models.Request(
            method=b"GET",
            target=b"/x",
            fields=[(b"host", b"model"), (b"deadline", b"%d" % remaining_ms)],
            body=b"",
            arrived_s=loop.time(),
        )
        host = self._random_source.choice(self._hosts)
        try:
            async with asyncio.timeout_at(caller_deadline_s):
                return await host.forwarder.handle(request)
        except TimeoutError:
            return None

    def _classify_result(
        self, response: handling.CallerResponse | None, elapsed_s: float
    ) -> str:
        if response is None or response.status >= 504:
            return "lost"
        if response.status != 200:
            return "refused"
        is_in_time = elapsed_s <= self._scenario.objective_s
        return "in_time" if is_in_time else "late"


def simulate(
    scenario: gateway_model.Scenario,
    policy: str,
    seed: int,
    hedging: options.HedgingOptions | None = None,
) -> gateway_model.LoadResult:
    """Simulate one run.

    :param scenario: load pattern.
    :param policy: key of `POLICIES`.
    :param seed: seed of callers and targets.
    :param hedging: limit of the hedges, None without one.
    :returns: results as callers saw them.
    """

    async def run(loop: virtual_time.VirtualLoop) -> gateway_model.LoadResult:
        simulated_targets = {
            str(number): gateway_model.SimulatedTarget(
                scenario=scenario, seed=seed * 1000 + number
            )
            for number in range(scenario.targets)
        }
        hosts = [
            _Host(
                number=number,
                scenario=scenario,
                simulated_targets=simulated_targets,
                predictor=POLICIES[policy](),
                clock=virtual_time.LoopClock(loop=loop),
                hedging=hedging,
            )
            for number in range(scenario.hosts)
        ]
        callers = _Callers(scenario=scenario, hosts=hosts, seed=seed)
        await callers.send_all()
        return gateway_model.LoadResult(
            requests=sum(callers.result_counts.values()),
            in_time=callers.result_counts["in_time"],
            late=callers.result_counts["late"],
            refused=callers.result_counts["refused"],
            lost=callers.result_counts["lost"],
            probes=sum(host.prober.sent for host in hosts),
            repeated_sends=sum(
                host.counts.counts[
                    metrics_page.REPEATED_SENDS, (("service", _SERVICE),)
                ]
                for host in hosts
            ),
            latencies_ms=tuple(callers.latencies_ms),
        )

    result: gateway_model.LoadResult = virtual_time.run(run)
    return result


@cappa.command(name="gateway-load")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadCommand:
    """Compare policies on the load patterns."""

    seed: typing.Annotated[int, cappa.Arg(long=True, help="Seed.")] = 1

    def __call__(self) -> None:
        """Print one row for each pattern and policy."""
        rows = []
        for scenario in PATTERNS:
            for policy in POLICIES:
                result = simulate(scenario, policy, self.seed)
                rows.append(
                    (
                        scenario.name,
                        policy,
                        f"{result.in_time_share:.3f}",
                        str(result.late),
                        str(result.refused),
                        str(result.lost),
                        f"{result.probes / max(result.requests, 1):.1f}",
                    )
                )
        output.print_table(
            (
                "pattern",
                "policy",
                "in time",
                "late",
                "refused",
                "lost",
                "probes a request",
            ),
            rows,
        )


if __name__ == "__main__":
    cappa.invoke(LoadCommand)
