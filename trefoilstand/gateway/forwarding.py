"""Carry one request to a target and answer for its outcome."""

import asyncio
import dataclasses
import random
import time
import typing

from trefoilstand.gateway import const
from trefoilstand.gateway import dialect as dialects
from trefoilstand.gateway import metrics_page
from trefoilstand.gateway import models
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import scout
from trefoilstand.gateway import state
from trefoilstand.gateway import waiting
from trefoilstand.http import errors
from trefoilstand.http import models as http_models
from trefoilstand.http import server
from trefoilstand.http import wire
from trefoilstand.telemetry import events
from trefoilstand.telemetry import tally

_FIRST_SERVER_ERROR: typing.Final = 500
_MS_PER_S: typing.Final = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnd:
    """Hold the end of one attempt.

    :param outcome: what is known of it.
    :param target_id: target, empty where none was found.
    :param response: genuine answer of the target, if any.
    :param refusal: why nothing was sent, if nothing was.
    """

    outcome: models.Outcome
    target_id: str = ""
    response: http_models.Response | None = None
    refusal: models.Refusal | None = None

    @property
    def is_proved(self) -> bool:
        """Return whether the request certainly did not run."""
        return self.outcome in (
            models.Outcome.NOT_EXECUTED,
            models.Outcome.MISDIRECTED,
        )

    @property
    def is_good(self) -> bool:
        """Return whether a caller is best served with this answer."""
        return (
            self.response is not None
            and self.response.status < _FIRST_SERVER_ERROR
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class _Call:
    """Collect what happens to one request."""

    request: http_models.Request
    route: models.Route
    service: str
    latest_s: float
    waited_s: float
    tried: dict[str, str] = dataclasses.field(default_factory=dict)
    attempts: int = 0
    may_have_run: bool = False
    predicted_s: float = 0.0
    sent_s: float = 0.0
    report: models.LoadReport | None = None
    report_age_s: float | None = None
    fallback: http_models.Response | None = None
    last_refusal: models.Refusal = models.Refusal.NO_TARGET
    last_outcome: str = ""


class Forwarder(server.RequestHandler):
    """Answer the requests of callers.

    :param current: configuration and targets in force.
    :param finder: chooses targets.
    :param links: connections to targets.
    :param dialect: names on the wire.
    :param predictor: learns working times.
    :param counts: counts requests and attempts.
    :param random_source: spreads the return of rejected callers.
    """

    def __init__(
        self,
        *,
        current: state.GatewayState,
        finder: scout.Scout,
        links: pool.LinkPool,
        dialect: dialects.Dialect,
        predictor: prediction.Predictor,
        counts: tally.Tally,
        random_source: random.Random,
    ) -> None:
        self._state = current
        self._scout = finder
        self._links = links
        self._dialect = dialect
        self._predictor = predictor
        self._counts = counts
        self._random = random_source
        self._budgets: dict[str, retry_budget.FleetRetryBudget] = {}
        self._rooms: dict[str, waiting.WaitingRoom] = {}
        self._longest_ms: dict[str, int] = {}
        self.in_progress = 0

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
        call = _Call(
            request=request,
            route=route,
            service=self._state.splits.choose(route),
            latest_s=request.arrived_s + self._time_allowed_s(request, route),
            waited_s=self._waited_before_s(request, route),
        )
        answer = await self._run(call)
        self._log(call, answer)
        return answer

    async def _wait_for_state(self) -> None:
        """Wait a little for the first state of a starting process."""
        try:
            async with asyncio.timeout(const.START_HOLD_S):
                await self._state.is_loaded.wait()
        except TimeoutError:
            return

    def _time_allowed_s(
        self, request: http_models.Request, route: models.Route
    ) -> float:
        """Return how long the caller and the route allow."""
        value = request.find(self._dialect.names.deadline_ms)
        if value is None or not value.isdigit():
            return route.timeout_s
        return min(int(value) / _MS_PER_S, route.timeout_s)

    def _waited_before_s(
        self, request: http_models.Request, route: models.Route
    ) -> float:
        """Return how long the caller has waited in earlier sends.

        A caller that was rejected returns with what is left of its time,
        so less than the longest time seen on the route tells.
        """
        value = request.find(self._dialect.names.deadline_ms)
        if value is None or not value.isdigit():
            return 0.0
        left_ms = int(value)
        longest_ms = max(self._longest_ms.get(route.name, 0), left_ms)
        self._longest_ms[route.name] = longest_ms
        if left_ms >= longest_ms * const.RETURNING_SHARE:
            return 0.0
        return (longest_ms - left_ms) / _MS_PER_S

    async def _run(self, call: _Call) -> server.Answer:
        """Send a request until it is answered or time is up."""
        self._budget(call.service).record_request(time.monotonic())
        running: set[asyncio.Task[AttemptEnd]] = set()
        try:
            async with asyncio.timeout_at(self._to_loop_time(call.latest_s)):
                return await self._attempt_all(call, running)
        except TimeoutError:
            call.last_outcome = models.Outcome.TIMED_OUT
            return self._give_up(call)
        finally:
            for task in running:
                task.cancel()

    async def _attempt_all(
        self, call: _Call, running: set[asyncio.Task[AttemptEnd]]
    ) -> server.Answer:
        running.add(self._start_attempt(call))
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
                if self._may_repeat(call):
                    running.add(self._start_attempt(call))
                continue
            for task in done:
                running.discard(task)
                end = task.result()
                if end.is_good and end.response is not None:
                    call.last_outcome = end.outcome
                    return self._pass_on(end.response)
                self._note(call, end)
            if not running and self._should_retry(call, end):
                running.add(self._start_attempt(call))
        return self._give_up(call)

    def _note(self, call: _Call, end: AttemptEnd) -> None:
        """Remember why an attempt did not serve the caller."""
        call.last_outcome = end.outcome
        if end.refusal is not None:
            call.last_refusal = end.refusal
        elif end.is_proved:
            call.last_refusal = models.Refusal.SHED
        if end.response is not None:
            call.fallback = end.response

    def _should_retry(self, call: _Call, end: AttemptEnd) -> bool:
        if end.refusal is not None:
            return False
        if not (end.is_proved or call.route.is_idempotent):
            return False
        return self._may_repeat(call)

    def _may_repeat(self, call: _Call) -> bool:
        """Spend one repeat, if the call and the budget allow it."""
        now_s = time.monotonic()
        if call.attempts >= call.route.max_attempts:
            return False
        if call.latest_s - now_s < const.MIN_ATTEMPT_S:
            return False
        if not self._budget(call.service).take(now_s, self._state.hosts):
            return False
        self._counts.count(metrics_page.REPEATS, service=call.service)
        return True

    def _hedge_delay_s(self, call: _Call) -> float:
        """Return when a second send is worth its cost."""
        now_s = time.monotonic()
        work_s = self._predictor.work_s(call.route)
        delay_s = max(
            call.predicted_s * const.HEDGE_FACTOR,
            call.route.objective_s
            - call.waited_s
            - work_s * const.HEDGE_FACTOR,
        )
        since_s = call.sent_s or now_s
        return max(since_s + delay_s - now_s, 0.001)

    def _start_attempt(self, call: _Call) -> asyncio.Task[AttemptEnd]:
        call.attempts += 1
        return asyncio.get_running_loop().create_task(self._attempt(call))

    async def _attempt(self, call: _Call) -> AttemptEnd:
        """Choose a target and send the request there once."""
        placement = await self._place(call)
        if isinstance(placement, models.Refusal):
            return AttemptEnd(
                outcome=models.Outcome.NOT_EXECUTED, refusal=placement
            )
        if call.predicted_s == 0.0:
            call.predicted_s = placement.predicted_s
            call.sent_s = time.monotonic()
            call.report = placement.report
            call.report_age_s = placement.report_age_s
        return await self._send(call, placement)

    async def _place(self, call: _Call) -> scout.Placement | models.Refusal:
        """Find a target with room, or wait for one."""
        query = scout.Query(
            service=call.service,
            route=call.route,
            excluded=call.tried.keys(),
            due_s=call.request.arrived_s
            + call.route.objective_s
            - call.waited_s,
            latest_s=call.latest_s,
        )
        room = self._room(call.service)
        if not room.is_behind(call.route):
            found = await self._scout.find(query)
            if isinstance(found, scout.Placement):
                return found
            if found is models.Refusal.NO_TARGET:
                return found
        return await self._wait_for_room(call, query, room)

    async def _wait_for_room(
        self, call: _Call, query: scout.Query, room: waiting.WaitingRoom
    ) -> scout.Placement | models.Refusal:
        """Wait as long as the request can still be answered in time."""
        now_s = time.monotonic()
        needed_s = self._predictor.work_s(call.route) * const.START_MARGIN
        if now_s + room.expected_wait_s(call.route) > (
            call.latest_s - needed_s
        ):
            return models.Refusal.OVERLOADED
        waiter = room.join(query, now_s)
        placement: scout.Placement | None = None
        try:
            placement = await self._seek(call, waiter, room, needed_s)
        finally:
            room.leave(
                waiter, time.monotonic(), is_served=placement is not None
            )
            if (
                waiter.future.done()
                and waiter.future.result() is not placement
            ):
                unused = waiter.future.result()
                self._give_back(query.service, unused)
        return placement or models.Refusal.OVERLOADED

    async def _seek(
        self,
        call: _Call,
        waiter: waiting.Waiter,
        room: waiting.WaitingRoom,
        needed_s: float,
    ) -> scout.Placement | None:
        """Wait for an offer and look for room from time to time."""
        query = dataclasses.replace(waiter.query, is_repeated=True)
        while not query.is_late(self._predictor, time.monotonic()):
            pause_s = const.RESCOUT_S * (0.75 + 0.5 * self._random.random())
            done, _ = await asyncio.wait({waiter.future}, timeout=pause_s)
            if done:
                return waiter.future.result()
            found = await self._scout.find(query)
            if waiter.future.done():
                if isinstance(found, scout.Placement):
                    self._links.release(found.target, found.link)
                return waiter.future.result()
            if isinstance(found, scout.Placement):
                return found
            if found is models.Refusal.NO_TARGET:
                return None
        return None

    def _give_back(self, service: str, unused: scout.Placement) -> None:
        """Offer a target to a waiting request or keep its connection."""
        target = unused.target
        now_s = time.monotonic()
        room = self._rooms.get(service)
        if (
            room
            and unused.link.is_reusable
            and self._state.is_eligible(target)
            and target.ejected_until_s <= now_s
            and room.offer(target, unused.link, now_s)
        ):
            return
        self._links.release(target, unused.link)

    def _room(self, service: str) -> waiting.WaitingRoom:
        room = self._rooms.get(service)
        if room is None:
            room = waiting.WaitingRoom(predictor=self._predictor)
            self._rooms[service] = room
        return room

    async def _send(
        self, call: _Call, placement: scout.Placement
    ) -> AttemptEnd:
        target = placement.target
        now_s = time.monotonic()
        left_ms = int((call.latest_s - now_s) * _MS_PER_S)
        if left_ms <= 0 or not self._state.is_eligible(target):
            self._links.release(target, placement.link)
            return AttemptEnd(
                outcome=models.Outcome.NOT_EXECUTED,
                refusal=models.Refusal.DEADLINE_PASSED
                if left_ms <= 0
                else models.Refusal.NO_TARGET,
            )
        call.tried[target.target_id] = target.record.failure_domain
        had_run = call.may_have_run
        call.may_have_run = True
        attempt_id = self._state.targets.begin(target, now_s)
        identity = call.request.find(self._dialect.names.request_id)
        future = placement.link.send(
            self._encode(call.request, target.target_id, left_ms),
            matches=lambda answer: (
                answer.find(self._dialect.names.request_id) == identity
            ),
            is_head=call.request.method == b"HEAD",
        )
        end: AttemptEnd | None = None
        try:
            response = await future
            end = self._judge(response, target.target_id)
            self._learn(call, placement, end, time.monotonic() - now_s)
        except errors.LinkError as error:
            target.record_failure(time.monotonic())
            outcome = models.Outcome.UNKNOWN
            if not error.is_sent:
                outcome = models.Outcome.NOT_EXECUTED
            end = AttemptEnd(outcome=outcome, target_id=target.target_id)
        finally:
            target.in_flight.pop(attempt_id, None)
            if end is not None and end.is_proved:
                call.may_have_run = had_run
            self._give_back(call.service, placement)
        self._counts.count(
            metrics_page.ATTEMPTS, service=call.service, outcome=end.outcome
        )
        return end

    def _judge(
        self, response: http_models.Response, target_id: str
    ) -> AttemptEnd:
        """Decide what an answer proves."""
        if self._dialect.is_misdirected(response):
            return AttemptEnd(
                outcome=models.Outcome.MISDIRECTED, target_id=target_id
            )
        if self._dialect.is_not_executed(response):
            return AttemptEnd(
                outcome=models.Outcome.NOT_EXECUTED, target_id=target_id
            )
        if not self._dialect.is_genuine(response):
            return AttemptEnd(
                outcome=models.Outcome.UNKNOWN, target_id=target_id
            )
        return AttemptEnd(
            outcome=models.Outcome.ANSWERED,
            target_id=target_id,
            response=response,
        )

    def _learn(
        self,
        call: _Call,
        placement: scout.Placement,
        end: AttemptEnd,
        elapsed_s: float,
    ) -> None:
        now_s = time.monotonic()
        target = placement.target
        if end.response is not None:
            report = self._dialect.read_load(end.response, now_s)
            if report is not None:
                target.report = report
        if end.is_good:
            target.record_success(now_s)
            self._predictor.learn(
                call.route, call.service, elapsed_s, placement.report
            )
            return
        target.record_failure(now_s)

    def _encode(
        self, request: http_models.Request, target_id: str, left_ms: int
    ) -> bytes:
        names = self._dialect.names
        fields = wire.forwardable_fields(
            request.fields,
            replaced=frozenset({names.deadline_ms, names.target_id}),
        )
        fields.append((names.deadline_ms, b"%d" % left_ms))
        fields.append((names.target_id, target_id.encode()))
        return wire.encode_request(
            method=request.method,
            target=request.target,
            fields=fields,
            body=request.body,
        )

    def _pass_on(self, response: http_models.Response) -> server.Answer:
        return server.Answer(
            status=response.status,
            fields=wire.forwardable_fields(
                response.fields, replaced=dialects.HIDDEN_FIELDS
            ),
            body=response.body,
        )

    def _give_up(self, call: _Call) -> server.Answer:
        """Return the truthful answer to a request that was not served."""
        if call.fallback is not None:
            return self._pass_on(call.fallback)
        if call.may_have_run:
            is_late = time.monotonic() >= call.latest_s
            return server.Answer(status=504 if is_late else 502)
        room = self._room(call.service)
        return self._rejection(
            call.last_refusal, room.expected_wait_s(call.route)
        )

    def _refuse(
        self, request: http_models.Request, refusal: models.Refusal
    ) -> server.Answer:
        answer = (
            server.Answer(status=404)
            if refusal is models.Refusal.NO_ROUTE
            else self._rejection(refusal)
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

    def _rejection(
        self, refusal: models.Refusal, wait_s: float = 0.0
    ) -> server.Answer:
        """Return an answer that promises that nothing ran.

        :param refusal: why.
        :param wait_s: time until there is room, as far as is known.
        """
        if refusal is models.Refusal.OVERLOADED:
            pause_s = min(
                max(wait_s, const.MIN_RETRY_AFTER_S),
                const.MAX_RETRY_AFTER_S,
            )
        elif refusal is models.Refusal.SHED:
            pause_s = const.RETRY_AFTER_SHED_S
        else:
            pause_s = const.RETRY_AFTER_NO_TARGET_S
        pause_s *= 0.75 + 0.5 * self._random.random()
        return server.Answer(
            status=503, fields=[(b"retry-after", b"%.3f" % pause_s)]
        )

    def _budget(self, service: str) -> retry_budget.FleetRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = retry_budget.FleetRetryBudget(
                terms=self._state.retry_terms
            )
            self._budgets[service] = budget
        return budget

    def _request_id(self, request: http_models.Request) -> str:
        value = request.find(self._dialect.names.request_id) or b""
        return value.decode("latin-1")

    def _to_loop_time(self, monotonic_s: float) -> float:
        loop = asyncio.get_running_loop()
        return loop.time() + (monotonic_s - time.monotonic())

    def _log(self, call: _Call, answer: server.Answer) -> None:
        now_s = time.monotonic()
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
