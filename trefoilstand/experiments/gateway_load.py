"""Play load patterns on the gateway's decisions in simulated time."""

import asyncio
import collections
import dataclasses
import random
import typing

import cappa

from trefoilstand.cli import output
from trefoilstand.experiments import gateway_model
from trefoilstand.experiments import virtual_time
from trefoilstand.gateway import assembly
from trefoilstand.gateway import models
from trefoilstand.gateway import prediction
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import routing
from trefoilstand.gateway import state
from trefoilstand.gateway import targets
from trefoilstand.http import models as http_models
from trefoilstand.http import server
from trefoilstand.platform import decoder
from trefoilstand.telemetry import metric_store
from trefoilstand.util import token_bucket

_SERVICE: typing.Final = "service"
_MS_PER_S: typing.Final = 1000
_MAX_RETURN_SHARE: typing.Final = 1 / 3

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
    gateway_model.Scenario(name="quiet", rate_per_s=20.0),
)


class _FillingPredictor(prediction.Predictor):
    """Fill targets to their last slot and beyond, as a baseline."""

    def has_capacity(self, target: targets.Target, now_s: float) -> bool:
        """Return that there is always room."""
        return True


class _CountingPredictor(prediction.Predictor):
    """Know own requests only, as least-in-flight does; a baseline."""

    def has_capacity(self, target: targets.Target, now_s: float) -> bool:
        """Return that there is always room."""
        return True

    def predict_s(
        self, target: targets.Target, route: models.Route, now_s: float
    ) -> float:
        """Return a time that grows with the own requests at a target."""
        own = len(target.in_flight) / max(target.record.slots, 1)
        return self.processing_time_s(route) * (1 + own)


POLICIES: typing.Final[dict[str, type[prediction.Predictor]]] = {
    "room and prediction": prediction.Predictor,
    "prediction, no room limit": _FillingPredictor,
    "least in flight": _CountingPredictor,
}


class _Host:
    """Wire the real decisions of one entry host to the model."""

    def __init__(
        self,
        *,
        number: int,
        scenario: gateway_model.Scenario,
        simulated: dict[str, gateway_model.SimulatedTarget],
        predictor: prediction.Predictor,
        clock: virtual_time.LoopClock,
    ) -> None:
        domain = f"d{number % scenario.domains}"
        source = random.Random(number)
        connections = gateway_model.SimulatedPool(
            simulated=simulated,
            scenario=scenario,
            own_domain=domain,
            draw=source,
        )
        self.prober = gateway_model.SimulatedProber(
            simulated=simulated, connections=connections
        )
        self.state = state.GatewayState(
            decoder=decoder.StoreDecoder(),
            connections=None,
            retry_limits=retry_budget.RetryBudgetLimits(
                ratio=0.2, allowance=56.0, window_s=10.0
            ),
            random_source=source,
        )
        self.state.host_count = scenario.hosts
        route = _make_route(scenario)
        self.state.routes = routing.RouteTable(routes={route.name: route})
        self.state.targets.replace(
            {
                target_id: _make_record(target_id, scenario)
                for target_id in simulated
            },
            0.0,
        )
        self.forwarder = assembly.build_forwarder(
            gateway_state=self.state,
            connections=connections,
            prober=self.prober,
            probe_budget=token_bucket.TokenBucket(
                rate_per_s=200.0, burst=1000.0
            ),
            predictor=predictor,
            protocol=gateway_model.ModelDialect(),
            counts=metric_store.MetricStore(),
            clock=clock,
            random_source=source,
            own_domain=domain,
        )


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
    """Send requests at random times and count what came of them."""

    def __init__(
        self,
        *,
        scenario: gateway_model.Scenario,
        hosts: list[_Host],
        seed: int,
    ) -> None:
        self._scenario = scenario
        self._hosts = hosts
        self._draw = random.Random(seed)
        self.ends: collections.Counter[str] = collections.Counter()

    async def send_all(self) -> None:
        """Send the requests of a run and wait for their ends."""
        loop = asyncio.get_running_loop()
        scenario = self._scenario
        tasks = []
        while loop.time() < scenario.length_s:
            rate = scenario.rate_per_s
            third = scenario.length_s / 3
            if third <= loop.time() < 2 * third:
                rate *= scenario.burst_factor
            await asyncio.sleep(self._draw.expovariate(rate))
            tasks.append(loop.create_task(self._send_one()))
        await asyncio.gather(*tasks)

    async def _send_one(self) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        until_s = began_s + self._scenario.deadline_s
        answer = await self._ask(until_s)
        if answer is not None and answer.status == 503:
            value = dict(answer.fields).get(b"retry-after", b"0")
            left_s = until_s - loop.time()
            await asyncio.sleep(min(float(value), left_s * _MAX_RETURN_SHARE))
            answer = await self._ask(until_s)
        self.ends[self._judge(answer, loop.time() - began_s)] += 1

    async def _ask(self, until_s: float) -> server.CallerResponse | None:
        loop = asyncio.get_running_loop()
        left_ms = int((until_s - loop.time()) * _MS_PER_S)
        request = http_models.Request(
            method=b"GET",
            target=b"/x",
            fields=[(b"host", b"model"), (b"deadline", b"%d" % left_ms)],
            body=b"",
            arrived_s=loop.time(),
        )
        host = self._draw.choice(self._hosts)
        try:
            async with asyncio.timeout_at(until_s):
                return await host.forwarder.handle(request)
        except TimeoutError:
            return None

    def _judge(
        self, answer: server.CallerResponse | None, took_s: float
    ) -> str:
        if answer is None or answer.status >= 504:
            return "lost"
        if answer.status != 200:
            return "refused"
        is_in_time = took_s <= self._scenario.objective_s
        return "in_time" if is_in_time else "late"


def play(
    scenario: gateway_model.Scenario, policy: str, seed: int
) -> gateway_model.Result:
    """Play one run and return what callers saw."""

    async def run(loop: virtual_time.VirtualLoop) -> gateway_model.Result:
        simulated = {
            str(number): gateway_model.SimulatedTarget(
                scenario=scenario, seed=seed * 1000 + number
            )
            for number in range(scenario.targets)
        }
        hosts = [
            _Host(
                number=number,
                scenario=scenario,
                simulated=simulated,
                predictor=POLICIES[policy](),
                clock=virtual_time.LoopClock(loop=loop),
            )
            for number in range(scenario.hosts)
        ]
        callers = _Callers(scenario=scenario, hosts=hosts, seed=seed)
        await callers.send_all()
        return gateway_model.Result(
            asked=sum(callers.ends.values()),
            in_time=callers.ends["in_time"],
            late=callers.ends["late"],
            refused=callers.ends["refused"],
            lost=callers.ends["lost"],
            probes=sum(host.prober.sent for host in hosts),
        )

    result: gateway_model.Result = virtual_time.run(run)
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
                found = play(scenario, policy, self.seed)
                rows.append(
                    (
                        scenario.name,
                        policy,
                        f"{found.in_time_share:.3f}",
                        str(found.late),
                        str(found.refused),
                        str(found.lost),
                        f"{found.probes / max(found.asked, 1):.1f}",
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
