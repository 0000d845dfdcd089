"""Forward each request to a target and return its response."""

import asyncio
import math
import random

from trefoilstand.gateway import caller_retries
from trefoilstand.gateway import calls
from trefoilstand.gateway import const
from trefoilstand.gateway import hedger
from trefoilstand.gateway import hedging
from trefoilstand.gateway import metrics_page
from trefoilstand.gateway import models
from trefoilstand.gateway import options
from trefoilstand.gateway import prediction
from trefoilstand.gateway import repeats
from trefoilstand.gateway import responses
from trefoilstand.gateway import scheduling
from trefoilstand.gateway import sending
from trefoilstand.gateway import state
from trefoilstand.gateway import target_protocol
from trefoilstand.http import handling
from trefoilstand.http import models as http_models
from trefoilstand.telemetry import events
from trefoilstand.telemetry import metric_store
from trefoilstand.util import clock as clocks

_MS_PER_S = 1000
#: Most digits of a caller's timeout in milliseconds; longer values are
#: ignored, as no caller waits that long.
_MAX_TIMEOUT_DIGITS = 12


class Forwarder(handling.RequestHandler):
    """Forward callers' requests, with retries and hedges.

    :param gateway_state: configuration and targets in force.
    :param scheduler: chooses a target for each attempt, or queues it.
    :param sender: sends the attempt to the chosen target.
    :param hedges: starts hedges of slow requests.
    :param repeat_limiter: limits retries and hedges.
    :param protocol: header fields shared with callers and targets.
    :param predictor: predicts how long requests take.
    :param counts: metrics of requests, retries and latencies.
    :param clock: monotonic clock.
    :param random_source: jitters the ``Retry-After`` of rejections.
    """

    def __init__(
        self,
        *,
        gateway_state: state.GatewayState,
        scheduler: scheduling.RequestScheduler,
        sender: sending.Sender,
        hedges: hedger.Hedger,
        repeat_limiter: repeats.RepeatLimiter,
        protocol: target_protocol.TargetProtocol,
        predictor: prediction.Predictor,
        counts: metric_store.MetricStore,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        self._state = gateway_state
        self._scheduler = scheduler
        self._sender = sender
        self.hedger = hedges
        self.repeats = repeat_limiter
        self._protocol = protocol
        self._predictor = predictor
        self._counts = counts
        self._clock = clock
        self._random = random_source
        self._caller_retries = caller_retries.CallerRetryDetector()
        self._deadline_timers: set[asyncio.Timeout] = set()
        #: Monotonic time by which a stopping host ends all requests.
        self._latest_end_s = math.inf
        self.in_progress = 0

    def apply_options(self, applied: options.Options) -> None:
        """Put the operators' options in force for new requests.

        :param applied: options of a valid file.
        """
        self.hedger.set_limits(applied.hedging)

    def end_by(self, latest_end_s: float) -> None:
        """End all requests before the process stops.

        Requests that may take longer are refused from now on, since another
        host can answer them in full.

        :param latest_end_s: monotonic time by which requests must end.
        """
        self._latest_end_s = latest_end_s
        latest_loop_s = self._to_loop_time(latest_end_s)
        for timer in self._deadline_timers:
            due_s = timer.when()
            if due_s is not None and due_s > latest_loop_s:
                timer.reschedule(latest_loop_s)

    async def handle(
        self, request: http_models.Request
    ) -> handling.CallerResponse:
        """Forward a request and return the response for the caller.

        :param request: request of a caller.
        :returns: response of a target, or an error response of this host.
        """
        self.in_progress += 1
        try:
            return await self._route_request(request)
        finally:
            self.in_progress -= 1

    async def _route_request(
        self, request: http_models.Request
    ) -> handling.CallerResponse:
        if self._state.routes is None:
            await self._wait_for_state()
        if self._state.routes is None:
            return self._reject(request, models.Refusal.NO_CONFIGURATION)
        host = (request.find_field(b"host") or b"").decode("latin-1")
        host = host.partition(":")[0].lower()
        path = request.path.decode("latin-1")
        route = self._state.routes.find(host, path)
        if route is None:
            return self._reject(request, models.Refusal.NO_ROUTE)
        timeout_s = route.timeout_s
        waited_s = 0.0
        caller_timeout_s = self.caller_timeout_s(request.fields)
        if caller_timeout_s is not None:
            timeout_s = min(caller_timeout_s, timeout_s)
            waited_s = self._caller_retries.previous_wait_s(
                route.name, caller_timeout_s
            )
        call = calls.Call(
            request=request,
            route=route,
            service=self._state.splits.choose(route),
            deadline_s=request.arrived_s + timeout_s,
            waited_s=waited_s,
        )
        if call.deadline_s > self._latest_end_s:
            return self._reject(request, models.Refusal.NOT_SERVING)
        response = await self._run_until_deadline(call)
        self._record_request(call, response)
        return response

    async def _wait_for_state(self) -> None:
        """Wait briefly for the first configuration after the start."""
        try:
            async with asyncio.timeout(const.STARTUP_STATE_WAIT_S):
                await self._state.is_loaded.wait()
        except TimeoutError:
            return

    def caller_timeout_s(
        self, fields: http_models.HeaderFields
    ) -> float | None:
        """Return the caller's timeout in seconds, None without a valid one."""
        timeout_field = http_models.find_field(
            fields, self._protocol.names.deadline_ms
        )
        if (
            timeout_field is None
            or not timeout_field.isdigit()
            or len(timeout_field) > _MAX_TIMEOUT_DIGITS
        ):
            return None
        return int(timeout_field) / _MS_PER_S

    async def _run_until_deadline(
        self, call: calls.Call
    ) -> handling.CallerResponse:
        """Attempt a request until it succeeds or its deadline passes."""
        policy = self.hedger.policy
        self.repeats.record_request(call.service)
        policy.record_request(call.service)
        attempt_tasks: list[asyncio.Task[calls.AttemptResult]] = []
        timer = asyncio.timeout_at(self._to_loop_time(call.deadline_s))
        self._deadline_timers.add(timer)
        try:
            async with timer:
                return await self._run_attempts(call, attempt_tasks, policy)
        except TimeoutError:
            if not call.last_outcome:
                policy.record_duration(call, is_answered=False)
            call.last_outcome = models.Outcome.TIMED_OUT
            call.final_reason = models.FinalReason.TIME_SPENT
            return self._failure_response(call)
        finally:
            self._deadline_timers.discard(timer)
            for task in attempt_tasks:
                task.cancel()

    async def _run_attempts(
        self,
        call: calls.Call,
        attempt_tasks: list[asyncio.Task[calls.AttemptResult]],
        policy: hedging.HedgePolicy,
    ) -> handling.CallerResponse:
        attempt_tasks.append(self._start_attempt(call))
        may_hedge = call.route.is_idempotent
        last_result: calls.AttemptResult | None = None
        while attempt_tasks:
            # Recomputed after each wait, since the first attempt may have
            # waited in the queue and been sent only now.
            timeout_s = policy.delay_s(call) if may_hedge else None
            done, _ = await asyncio.wait(
                attempt_tasks,
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done and not policy.is_due(call):
                continue
            if not done:
                may_hedge = False
                hedge = self.hedger.start(call, policy, self._start_attempt)
                if hedge is not None:
                    attempt_tasks.append(hedge)
                continue
            for task in [item for item in attempt_tasks if item in done]:
                attempt_tasks.remove(task)
                result = task.result()
                if result.is_success and result.response is not None:
                    self._record_success(call, result, policy)
                    return responses.forward_response(result.response)
                if not result.is_abandoned:
                    call.record_unsuccessful(result)
                    last_result = result
            if (
                not attempt_tasks
                and last_result is not None
                and self._should_retry(call, last_result)
            ):
                attempt_tasks.append(self._start_attempt(call))
        return self._failure_response(call)

    def _record_success(
        self,
        call: calls.Call,
        result: calls.AttemptResult,
        policy: hedging.HedgePolicy,
    ) -> None:
        if not call.last_outcome:
            policy.record_duration(call, is_answered=True)
        call.last_outcome = result.outcome
        call.final_reason = ""
        if result.is_hedge:
            self._counts.increment(
                metrics_page.HEDGES_WON, service=call.service
            )

    def _should_retry(
        self, call: calls.Call, result: calls.AttemptResult
    ) -> bool:
        if result.refusal is not None:
            return False
        if not (result.is_known_not_executed or call.route.is_idempotent):
            call.final_reason = models.FinalReason.NOT_IDEMPOTENT
            return False
        return self.repeats.try_spend(call, share=1.0)

    def _start_attempt(
        self, call: calls.Call
    ) -> asyncio.Task[calls.AttemptResult]:
        if call.attempts:
            self._counts.increment(
                metrics_page.REPEATED_SENDS, service=call.service
            )
        call.attempts += 1
        return asyncio.get_running_loop().create_task(self._run_attempt(call))

    async def _run_attempt(self, call: calls.Call) -> calls.AttemptResult:
        """Choose a target and send the request to it once.

        If the target is unregistered before the request is sent, another
        one is chosen; nothing was sent, so this does not count as a retry.
        """
        result: calls.AttemptResult | None = None
        while result is None:
            placement = await self._scheduler.place(call)
            if isinstance(placement, models.Refusal):
                return calls.AttemptResult(
                    outcome=models.Outcome.NOT_EXECUTED, refusal=placement
                )
            if call.predicted_s == 0.0:
                call.predicted_s = placement.predicted_s
                call.sent_s = self._clock.now_s()
                call.report = placement.report
                call.report_age_s = placement.report_age_s
            result = await self._sender.send(call, placement)
        return result

    def _failure_response(self, call: calls.Call) -> handling.CallerResponse:
        queue = self._scheduler.queue_for(call.service)
        return responses.failure_response(
            call,
            wait_s=queue.expected_wait_s(call.route, self._clock.now_s()),
            random_source=self._random,
        )

    def _reject(
        self, request: http_models.Request, refusal: models.Refusal
    ) -> handling.CallerResponse:
        response = (
            handling.CallerResponse(status=404)
            if refusal is models.Refusal.NO_ROUTE
            else responses.rejection_response(
                refusal, wait_s=0.0, random_source=self._random
            )
        )
        self._counts.increment(
            metrics_page.REQUESTS,
            service="",
            status=str(response.status),
            outcome=refusal,
        )
        events.info(
            events.RequestRejected(
                request_id=self._request_id(request),
                reason=refusal,
                status=response.status,
                configuration_version=self._state.version,
            )
        )
        return response

    def _request_id(self, request: http_models.Request) -> str:
        request_id = request.find_field(self._protocol.names.request_id) or b""
        return request_id.decode("latin-1")

    def _to_loop_time(self, monotonic_s: float) -> float:
        loop = asyncio.get_running_loop()
        return loop.time() + (monotonic_s - self._clock.now_s())

    def _record_request(
        self, call: calls.Call, response: handling.CallerResponse
    ) -> None:
        now_s = self._clock.now_s()
        latency_ms = (now_s - call.request.arrived_s) * _MS_PER_S
        self._counts.increment(
            metrics_page.REQUESTS,
            service=call.service,
            status=str(response.status),
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
                targets=",".join(call.tried_targets),
                failure_domains=",".join(call.tried_targets.values()),
                attempts=call.attempts,
                outcome=call.last_outcome,
                reason=call.final_reason,
                status=response.status,
                predicted_ms=round(call.predicted_s * _MS_PER_S, 1),
                load=_format_load(call.report),
                report_age_ms=None
                if call.report_age_s is None
                else round(call.report_age_s * _MS_PER_S, 1),
                latency_ms=round(latency_ms, 1),
            )
        )


def _format_load(report: models.LoadReport | None) -> str:
    """Return "running,waiting,slots,slowdown" for the log."""
    if report is None:
        return ""
    return (
        f"{report.running},{report.waiting},{report.slots},{report.slowdown:g}"
    )
