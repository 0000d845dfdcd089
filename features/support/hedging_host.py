"""One forwarder before simulated targets, in simulated time."""

import asyncio
import random

from trefoilstand.experiments import gateway_model
from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import rate_limits
from trefoilstand.gateway import assembly
from trefoilstand.gateway import models
from trefoilstand.gateway import prediction
from trefoilstand.gateway import probing
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import routing
from trefoilstand.gateway import state
from trefoilstand.http import errors
from trefoilstand.http import models as http_models
from trefoilstand.platform import decoder
from trefoilstand.telemetry import metric_store
from trefoilstand.util import token_bucket

SERVICE = "service"
WORK_S = 0.1
OBJECTIVE_S = 0.4
_SCENARIO = gateway_model.Scenario(
    name="hedging",
    domains=1,
    targets=2,
    slots=4,
    knee_slowdown=1.0,
    noise_share=0.0,
    work_s=WORK_S,
)


class Target(gateway_model.SimulatedTarget):
    """Run requests for the usual time, or as long as the host says."""

    def __init__(self, *, host, number):
        super().__init__(scenario=_SCENARIO, seed=number)
        self._host = host
        self.arrivals_s = []
        self.cancelled = 0

    async def run_request(self, work_s):
        self.arrivals_s.append(self._host.loop.time())
        work_s, fails = WORK_S, False
        if self._host.next_works:
            work_s, fails = self._host.next_works.pop(0)
        self.running += 1
        try:
            await asyncio.sleep(work_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
        if fails:
            raise errors.LinkError(
                fault=http_models.ConnectionFault.CLOSED, is_sent=True
            )


class _Prober(gateway_model.SimulatedProber):
    def __init__(self, **arguments):
        super().__init__(**arguments)
        self.on_probe = lambda target_id: None
        self.silent_ids = set()
        self.unhealthy_ids = set()

    async def probe(self, target):
        result = await super().probe(target)
        self.on_probe(target.target_id)
        if target.target_id in self.silent_ids:
            target.report = None
            return None
        return probing.ProbeResult(
            target=target,
            connection=result.connection,
            is_healthy=target.target_id not in self.unhealthy_ids,
        )


class HedgingHost:
    """Send requests through a forwarder with two targets.

    :param loop: loop with simulated time.
    :param hedging: limit of the hedges, None without one.
    """

    def __init__(
        self, *, loop, hedging, is_idempotent=True, max_attempts=2, ratio=0.2
    ):
        self.loop = loop
        #: Duration of each of the next sends and whether it then fails.
        self.next_works = []
        self.targets = {
            str(number): Target(host=self, number=number)
            for number in range(_SCENARIO.targets)
        }
        random_source = random.Random(7)
        connections = gateway_model.SimulatedConnectionPool(
            simulated_targets=self.targets,
            scenario=_SCENARIO,
            own_domain="d0",
            random_source=random_source,
        )
        self.prober = _Prober(
            simulated_targets=self.targets, connections=connections
        )
        clock = virtual_time.LoopClock(loop=loop)
        self.state = state.GatewayState(
            decoder=decoder.StoreDecoder(),
            connections=None,
            target_registry=gateway_model.make_registry(),
            retry_limits=retry_budget.RetryBudgetLimits(
                ratio=ratio, allowance=0.0, window_s=10.0
            ),
            random_source=random_source,
            clock=clock,
        )
        self.route = models.Route(
            name="route",
            host="model",
            prefix="/",
            is_idempotent=is_idempotent,
            timeout_s=5.0,
            objective_s=OBJECTIVE_S,
            max_attempts=max_attempts,
            priority=1,
            weighted_services=(
                models.WeightedService(service=SERVICE, weight=1.0),
            ),
        )
        self.state.routes = routing.RouteTable(routes={"route": self.route})
        self._records = {
            target_id: _make_record(target_id) for target_id in self.targets
        }
        self.state.targets.replace(self._records, 0.0)
        self.counts = metric_store.MetricStore()
        protocol = gateway_model.SimulatedTargetProtocol()
        self.forwarder = assembly.build_forwarder(
            gateway_state=self.state,
            connections=connections,
            prober=self.prober,
            probe_budget=token_bucket.TokenBucket(
                rate_per_s=200.0, burst=1000.0
            ),
            predictor=prediction.Predictor(),
            protocol=protocol,
            limits=assembly.build_limit_handling(
                table=rate_limits.RateLimitTable(random_source=random_source),
                ranking=gateway_model.StandaloneRanking(),
                protocol=protocol,
                counts=self.counts,
                on_new_limit=lambda: None,
            ),
            counts=self.counts,
            clock=clock,
            random_source=random_source,
            own_domain="d0",
        )
        self.forwarder.hedger.set_limits(hedging)

    def count(self, name):
        return self.counts.counts[name, (("service", SERVICE),)]

    def sends(self):
        return sum(len(item.arrivals_s) for item in self.targets.values())

    def remove(self, target_id):
        """Unregister a target, as one that leaves or is evacuated."""
        records = dict(self._records)
        del records[target_id]
        self.state.targets.replace(records, self.loop.time())

    async def train(self, count, *, slow=0):
        """Send requests one at a time, so that durations are known.

        :param count: number of requests.
        :param slow: how many of them take 1.5 s, so that a slow attempt is
            expected to take long and only the state of the other target
            prevents a hedge.
        """
        for number in range(count):
            # Before these, the usual duration is known, but no quantile.
            if 10 <= number < 10 + slow:
                self.next_works = [(1.5, False)]
            await self.send()

    async def send(self):
        """Send a request; return the status and how long it took."""
        sent_s = self.loop.time()
        response = await self.forwarder.handle(
            http_models.Request(
                method=b"GET",
                target=b"/x",
                fields=[(b"host", b"model"), (b"deadline", b"5000")],
                body=b"",
                arrived_s=sent_s,
            )
        )
        return response.status, self.loop.time() - sent_s

    async def send_slow(self, works, when_running=lambda other: None):
        """Send a request with the given durations of its sends.

        :param works: duration of each send, and whether it fails then.
        :param when_running: called with the id of the target that the
            request was not sent to, while the first attempt runs.
        """
        self.next_works = list(works)
        task = self.loop.create_task(self.send())
        await asyncio.sleep(WORK_S / 2)
        other = next(
            target_id
            for target_id, target in self.targets.items()
            if not target.running
        )
        when_running(other)
        return await task


def _make_record(target_id):
    return models.TargetRecord(
        target_id=target_id,
        incarnation=1,
        service=SERVICE,
        ip="127.0.0.1",
        port=1,
        failure_domain="d0",
        slots=_SCENARIO.slots,
        state=models.TargetState.READY,
        warmup_left_s=0.0,
    )
