"""Carry each request to a target and answer for its outcome."""

import asyncio
import random

from trefoilstand.gateway import answers
from trefoilstand.gateway import caller_retries
from trefoilstand.gateway import calls
from trefoilstand.gateway import const
from trefoilstand.gateway import dialect as dialects
from trefoilstand.gateway import metrics_page
from trefoilstand.gateway import models
from trefoilstand.gateway import prediction
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import scheduling
from trefoilstand.gateway import sending
from trefoilstand.gateway import state
from trefoilstand.http import models as http_models
from trefoilstand.http import server
from trefoilstand.telemetry import events
from trefoilstand.telemetry import tally
from trefoilstand.util import clock as clocks

_MS_PER_S = 1000
#: Digits of a time in milliseconds; more than any caller waits.
_MAX_DIGITS = 12


class Forwarder(server.RequestHandler):
    """Answer the requests of callers.

    :param current: configuration and targets in force.
    :param scheduler: gives each attempt a target.
    :param sender: sends it there.
    :param dialect: names on the wire.
    :param predictor: expected working times.
    :param counts: counts requests and repeats.
    :param clock: source of the time.
    :param random_source: spreads the return of rejected callers.
    """

    def __init__(
        self,
        *,
        current: state.GatewayState,
        scheduler: scheduling.RequestScheduler,
        sender: sending.Sender,
        dialect: dialects.Dialect,
        predictor: prediction.Predictor,
        counts: tally.Tally,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        self._state = current
        self._scheduler = scheduler
        self._sender = sender
        self._dialect = dialect
        self._predictor = predictor
        self._counts = counts
        self._clock = clock
        self._random = random_source
        self._budgets: dict[str, retry_budget.FleetRetryBudget] = {}
        self._caller_retries = caller_retries.CallerRetryDetector()
        self.in_progress = 0

    def set_retry_limits(self, limits: retry_budget.RetryBudgetLimits) -> None:
        """Change the budget of repeats of all services."""
        self._state.retry_limits = limits
        for budget in self._budgets.values():
            budget.set_limits(limits)

    async def handle(self, request: http_models.Request) -> server.Answer:
        """Return the answer to one request."""
        self.in_progress += 1
        try:
            return await self._handle(request)
        finally:
            self.in_progress -= 1

    async def _handle(self, request: http_models.Request) -> server.Answer:
        if self._state.routes is None:
            await self._wait_for_state()
        if self._state.routes is None:
            return self._refuse(request, models.Refusal.NO_CONFIGURATION)
        host = (request.find(b"host") or b"").decode("latin-1")
        host = host.partition(":")[0].lower()
        path = request.path.decode("latin-1")
        route = self._state.routes.find(host, path)
        if route is None:
            return self._refuse(request, models.Refusal.NO_ROUTE)
        allowed_s = route.timeout_s
        waited_s = 0.0
        caller_s = self._caller_time_s(request)
        if caller_s is not None:
            allowed_s = min(caller_s, allowed_s)
            waited_s = self._caller_retries.previous_wait_s(
                route.name, caller_s
            )
        call = calls.Call(
            request=request,
            route=route,
            service=self._state.splits.choose(route),
            latest_s=request.arrived_s + allowed_s,
            waited_s=waited_s,
        )
        answer = await self._run(call)
        self._log(call, answer)
        return answer

    async def _wait_for_state(self) -> None:
        """Wait a little for the first state of a starting process."""
        try:
            async with asyncio.timeout(const.STARTUP_STATE_WAIT_S):
                await self._state.is_loaded.wait()
        except TimeoutError:
            return

    def _caller_time_s(self, request: http_models.Request) -> float | None:
        """Return how long the caller waits, None where it does not say."""
        value = request.find(self._dialect.names.deadline_ms)
        if value is None or not value.isdigit() or len(value) > _MAX_DIGITS:
            return None
        return int(value) / _MS_PER_S

    async def _run(self, call: calls.Call) -> server.Answer:
        """Send a request until it is answered or time is up."""
        self._budget(call.service).record_request(self._clock.now_s())
        running: list[asyncio.Task[calls.AttemptEnd]] = []
        try:
            async with asyncio.timeout_at(self._to_loop_time(call.latest_s)):
                return await self._attempt_all(call, running)
        except TimeoutError:
            call.last_outcome = models.Outcome.TIMED_OUT
            call.final_reason = models.FinalReason.TIME_SPENT
            return self._give_up(call)
        finally:
            for task in running:
                task.cancel()

    async def _attempt_all(
        self, call: calls.Call, running: list[asyncio.Task[calls.AttemptEnd]]
    ) -> server.Answer:
        running.append(self._start_attempt(call))
        may_hedge = call.route.is_idempotent
        while running:
            timeout_s = self._hedge_delay_s(call) if may_hedge else None
            done, _ = await asyncio.wait(
                running,
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                may_hedge = False
                if self._is_crowded(call):
                    continue
                if self._may_repeat(call, share=const.HEDGE_BUDGET_SHARE):
                    running.append(self._start_attempt(call))
                continue
            for task in [item for item in running if item in done]:
                running.remove(task)
                end = task.result()
                if end.is_good and end.response is not None:
                    call.last_outcome = end.outcome
                    call.final_reason = ""
                    return answers.pass_on(end.response)
                call.note(end)
            if not running and self._should_retry(call, end):
                running.append(self._start_attempt(call))
        return self._give_up(call)

    def _is_crowded(self, call: calls.Call) -> bool:
        """Return whether others wait, so that a second send harms them."""
        return len(self._scheduler.queue_for(call.service)) > 0

    def _should_retry(self, call: calls.Call, end: calls.AttemptEnd) -> bool:
        if end.refusal is not None:
            return False
        if not (end.is_proved or call.route.is_idempotent):
            call.final_reason = models.FinalReason.NOT_IDEMPOTENT
            return False
        return self._may_repeat(call, share=1.0)

    def _may_repeat(self, call: calls.Call, *, share: float) -> bool:
        """Spend one repeat, if the call and the budget allow it."""
        now_s = self._clock.now_s()
        if call.attempts >= call.route.max_attempts:
            call.final_reason = models.FinalReason.ATTEMPTS_SPENT
            return False
        if call.latest_s - now_s < const.MIN_ATTEMPT_S:
            call.final_reason = models.FinalReason.TIME_SPENT
            return False
        budget = self._budget(call.service)
        if not budget.try_spend(now_s, self._state.hosts, share=share):
            call.final_reason = models.FinalReason.RETRY_BUDGET_SPENT
            return False
        self._counts.count(metrics_page.REPEATS, service=call.service)
        return True

    def _hedge_delay_s(self, call: calls.Call) -> float:
        """Return when a second send is worth its cost."""
        now_s = self._clock.now_s()
        work_s = self._predictor.processing_time_s(call.route)
        delay_s = max(
            call.predicted_s * const.HEDGE_FACTOR,
            call.route.objective_s
            - call.waited_s
            - work_s * const.HEDGE_FACTOR,
        )
        since_s = call.sent_s or now_s
        return max(since_s + delay_s - now_s, 0.001)

    def _start_attempt(
        self, call: calls.Call
    ) -> asyncio.Task[calls.AttemptEnd]:
        call.attempts += 1
        return asyncio.get_running_loop().create_task(self._attempt(call))

    async def _attempt(self, call: calls.Call) -> calls.AttemptEnd:
        """Choose a target and send the request there once.

        A target that leaves while it is chosen is replaced; the request
        was not sent, so that this costs no repeat.
        """
        end: calls.AttemptEnd | None = None
        while end is None:
            placement = await self._scheduler.place(call)
            if isinstance(placement, models.Refusal):
                return calls.AttemptEnd(
                    outcome=models.Outcome.NOT_EXECUTED, refusal=placement
                )
            if call.predicted_s == 0.0:
                call.predicted_s = placement.predicted_s
                call.sent_s = self._clock.now_s()
                call.report = placement.report
                call.report_age_s = placement.report_age_s
            end = await self._sender.send(call, placement)
        return end

    def _give_up(self, call: calls.Call) -> server.Answer:
        queue = self._scheduler.queue_for(call.service)
        return answers.give_up(
            call,
            wait_s=queue.expected_wait_s(call.route),
            random_source=self._random,
        )

    def _refuse(
        self, request: http_models.Request, refusal: models.Refusal
    ) -> server.Answer:
        answer = (
            server.Answer(status=404)
            if refusal is models.Refusal.NO_ROUTE
            else answers.reject(
                refusal, wait_s=0.0, random_source=self._random
            )
        )
        self._counts.count(
            metrics_page.REQUESTS,
            service="",
            status=str(answer.status),
            outcome=refusal,
        )
        events.info(
            events.RequestRejected(
                request_id=self._request_id(request),
                reason=refusal,
                status=answer.status,
                configuration_version=self._state.version,
            )
        )
        return answer

    def _budget(self, service: str) -> retry_budget.FleetRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = retry_budget.FleetRetryBudget(
                limits=self._state.retry_limits,
                allowance_from_s=self._state.hosts_known_from_s,
            )
            self._budgets[service] = budget
        return budget

    def _request_id(self, request: http_models.Request) -> str:
        value = request.find(self._dialect.names.request_id) or b""
        return value.decode("latin-1")

    def _to_loop_time(self, monotonic_s: float) -> float:
        loop = asyncio.get_running_loop()
        return loop.time() + (monotonic_s - self._clock.now_s())

    def _log(self, call: calls.Call, answer: server.Answer) -> None:
        now_s = self._clock.now_s()
        latency_ms = (now_s - call.request.arrived_s) * _MS_PER_S
        self._counts.count(
            metrics_page.REQUESTS,
            service=call.service,
            status=str(answer.status),
            outcome=call.last_outcome,
        )
        self._counts.observe(
            metrics_page.REQUEST_LATENCY, latency_ms, service=call.service
        )
        events.info(
            events.RequestEnded(
                request_id=self._request_id(call.request),
                route=call.route.name,
                service=call.service,
                configuration_version=self._state.version,
                targets=",".join(call.tried),
                failure_domains=",".join(call.tried.values()),
                attempts=call.attempts,
                outcome=call.last_outcome,
                reason=call.final_reason,
                status=answer.status,
                predicted_ms=round(call.predicted_s * _MS_PER_S, 1),
                load=_describe_load(call.report),
                report_age_ms=None
                if call.report_age_s is None
                else round(call.report_age_s * _MS_PER_S, 1),
                latency_ms=round(latency_ms, 1),
            )
        )


def _describe_load(report: models.LoadReport | None) -> str:
    """Return running, waiting, slots and slowdown for the log."""
    if report is None:
        return ""
    return (
        f"{report.running},{report.waiting},{report.slots},{report.slowdown:g}"
    )
