"""Send a request to the chosen target and judge what comes back."""

import collections.abc

from trefoilstand.gateway import calls
from trefoilstand.gateway import dialect as dialects
from trefoilstand.gateway import metrics_page
from trefoilstand.gateway import models
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import scheduling
from trefoilstand.gateway import target_selection
from trefoilstand.gateway import targets
from trefoilstand.http import errors
from trefoilstand.http import models as http_models
from trefoilstand.http import wire
from trefoilstand.telemetry import tally
from trefoilstand.util import clock as clocks

_MS_PER_S = 1000


class Sender:
    """Carry requests over connections.

    :param table: registered targets.
    :param scheduler: takes targets back after use.
    :param connections: connections to targets.
    :param dialect: names on the wire.
    :param predictor: learns working times.
    :param counts: counts ends of attempts.
    :param clock: source of the time.
    """

    def __init__(
        self,
        *,
        table: targets.TargetTable,
        scheduler: scheduling.RequestScheduler,
        connections: pool.ConnectionSource,
        dialect: dialects.Dialect,
        predictor: prediction.Predictor,
        counts: tally.Tally,
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._scheduler = scheduler
        self._connections = connections
        self._dialect = dialect
        self._predictor = predictor
        self._counts = counts
        self._clock = clock

    async def send(
        self, call: calls.Call, placement: target_selection.Placement
    ) -> calls.AttemptEnd | None:
        """Send a request once; cancelling stops the target's work.

        Time and registration are checked again, since both may have
        changed while the target was chosen.

        :returns: None where the target left meanwhile and got nothing.
        """
        target = placement.target
        left_ms = int((call.latest_s - self._clock.now_s()) * _MS_PER_S)
        if left_ms <= 0:
            return self._refuse(placement, models.Refusal.DEADLINE_PASSED)
        if self._table.get(target.target_id) is not target:
            self._connections.release(target, placement.connection)
            return None
        end = await self._exchange(call, placement, left_ms)
        self._counts.count(
            metrics_page.ATTEMPTS, service=call.service, outcome=end.outcome
        )
        return end

    async def _exchange(
        self,
        call: calls.Call,
        placement: target_selection.Placement,
        left_ms: int,
    ) -> calls.AttemptEnd:
        target = placement.target
        sent_s = self._clock.now_s()
        call.tried[target.target_id] = target.record.failure_domain
        had_run = call.may_have_run
        call.may_have_run = True
        attempt_id = self._table.start_attempt(target, sent_s)
        future = placement.connection.send(
            self._encode(call.request, target.target_id, left_ms),
            matches=self._match(call.request),
            is_head=call.request.method == b"HEAD",
        )
        end: calls.AttemptEnd | None = None
        try:
            response = await future
            end = self._judge(response, target.target_id)
            self._learn(call, placement, end, sent_s)
        except errors.LinkError as error:
            target.record_failure(self._clock.now_s())
            outcome = models.Outcome.UNKNOWN
            if not error.is_sent:
                outcome = models.Outcome.NOT_EXECUTED
            end = calls.AttemptEnd(outcome=outcome, target_id=target.target_id)
        finally:
            target.in_flight.pop(attempt_id, None)
            if end is not None and end.is_proved:
                call.may_have_run = had_run
            self._scheduler.release(call.service, placement)
        return end

    def _refuse(
        self, placement: target_selection.Placement, refusal: models.Refusal
    ) -> calls.AttemptEnd:
        self._connections.release(placement.target, placement.connection)
        return calls.AttemptEnd(
            outcome=models.Outcome.NOT_EXECUTED, refusal=refusal
        )

    def _match(
        self, request: http_models.Request
    ) -> collections.abc.Callable[[http_models.Response], bool]:
        """Return what tells this request's answer from others."""
        name = self._dialect.names.request_id
        identity = request.find(name)
        return lambda response: response.find(name) == identity

    def _judge(
        self, response: http_models.Response, target_id: str
    ) -> calls.AttemptEnd:
        """Decide what an answer proves."""
        genuine: http_models.Response | None = None
        if self._dialect.is_misdirected(response):
            outcome = models.Outcome.MISDIRECTED
        elif self._dialect.is_not_executed(response):
            outcome = models.Outcome.NOT_EXECUTED
        elif self._dialect.is_genuine(response):
            outcome = models.Outcome.ANSWERED
            genuine = response
        else:
            outcome = models.Outcome.UNKNOWN
        return calls.AttemptEnd(
            outcome=outcome, target_id=target_id, response=genuine
        )

    def _learn(
        self,
        call: calls.Call,
        placement: target_selection.Placement,
        end: calls.AttemptEnd,
        sent_s: float,
    ) -> None:
        now_s = self._clock.now_s()
        target = placement.target
        if end.response is not None:
            report = self._dialect.read_load(end.response, now_s)
            if report is not None:
                target.report = report
        if not end.is_good:
            target.record_failure(now_s)
            return
        target.record_success(now_s)
        self._predictor.record_duration(
            call.route, call.service, now_s - sent_s, placement.report
        )

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
