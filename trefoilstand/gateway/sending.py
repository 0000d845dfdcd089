"""Send a request to the chosen target and classify its response."""

import collections.abc

from trefoilstand.gateway import calls
from trefoilstand.gateway import leaving_reader
from trefoilstand.gateway import limit_reader
from trefoilstand.gateway import metrics_page
from trefoilstand.gateway import models
from trefoilstand.gateway import placements
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import scheduling
from trefoilstand.gateway import target_protocol
from trefoilstand.gateway import target_quota
from trefoilstand.gateway import targets
from trefoilstand.http import errors
from trefoilstand.http import models as http_models
from trefoilstand.http import wire
from trefoilstand.telemetry import metric_store
from trefoilstand.util import clock as clocks

_MS_PER_S = 1000


class Sender:
    """Send requests to targets over pooled connections.

    :param table: registered targets.
    :param scheduler: gets the target and connection back after use.
    :param connections: connections to targets.
    :param protocol: header fields shared with callers and targets.
    :param predictor: updated with the durations of requests.
    :param limits: updated with the limits that responses state.
    :param leaving: reads from responses that their target leaves.
    :param quota: tells when targets with a limit may be sent to.
    :param counts: metrics of attempts by outcome.
    :param clock: monotonic clock.
    """

    def __init__(
        self,
        *,
        table: targets.TargetTable,
        scheduler: scheduling.RequestScheduler,
        connections: pool.ConnectionSource,
        protocol: target_protocol.TargetProtocol,
        predictor: prediction.Predictor,
        limits: limit_reader.LimitReader,
        leaving: leaving_reader.LeavingReader,
        quota: target_quota.TargetQuota,
        counts: metric_store.MetricStore,
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._scheduler = scheduler
        self._connections = connections
        self._protocol = protocol
        self._predictor = predictor
        self._limits = limits
        self._leaving = leaving
        self._quota = quota
        self._counts = counts
        self._clock = clock

    async def send(
        self, call: calls.Call, placement: placements.Placement
    ) -> calls.AttemptResult | None:
        """Send a request once; cancelling stops the target's work.

        The deadline, the target's registration and its limit are checked
        again, since the deadline may have passed, the target may have been
        unregistered, or its share spent, while the target was chosen.

        :param call: request to send.
        :param placement: target and connection to send it over.
        :returns: result of the attempt, None if the target may no longer be
            sent to and nothing was sent.
        """
        target = placement.target
        remaining_ms = int((call.deadline_s - self._clock.now_s()) * _MS_PER_S)
        if remaining_ms <= 0:
            return self._refuse_unsent(
                placement, models.Refusal.DEADLINE_PASSED
            )
        if self._table.get(
            target.target_id
        ) is not target or not self._quota.may_send(
            target, self._clock.now_s()
        ):
            self._connections.release(target, placement.connection)
            return None
        result = await self._exchange(call, placement, remaining_ms)
        self._counts.increment(
            metrics_page.ATTEMPTS, service=call.service, outcome=result.outcome
        )
        return result

    async def _exchange(
        self,
        call: calls.Call,
        placement: placements.Placement,
        remaining_ms: int,
    ) -> calls.AttemptResult:
        target = placement.target
        sent_s = self._clock.now_s()
        call.tried_targets[target.target_id] = target.record.failure_domain
        may_have_run_before = call.may_have_run
        call.may_have_run = True
        attempt_id = self._table.start_attempt(target, sent_s)
        self._limits.record_message(target, "request", sent_s)
        result: calls.AttemptResult | None = None
        try:
            # Without a variable for the future: a failed one refers to this
            # frame through its traceback, and that cycle would keep the
            # connection until the next garbage collection.
            response = await placement.connection.send(
                self._encode_request(
                    call.request, target.target_id, remaining_ms
                ),
                matches=self._leaving.watch(
                    target,
                    self._make_matcher(call.request),
                    is_health_check=False,
                ),
                is_head=call.request.method == b"HEAD",
                body=wire.uncopied_body(call.request.body),
            )
            result = self._classify(response, target.target_id)
            if result.outcome is not models.Outcome.MISDIRECTED:
                self._limits.read_response(
                    target,
                    response,
                    self._clock.now_s(),
                    is_request=result.response is not None,
                )
            self._record_result(call, placement, result, sent_s)
        except errors.LinkError as error:
            target.record_failure(self._clock.now_s())
            outcome = models.Outcome.UNKNOWN
            if not error.is_sent:
                outcome = models.Outcome.NOT_EXECUTED
            result = calls.AttemptResult(
                outcome=outcome, target_id=target.target_id
            )
        finally:
            target.in_flight.pop(attempt_id, None)
            if result is not None and result.is_known_not_executed:
                call.may_have_run = may_have_run_before
            self._scheduler.release(call.service, placement)
        return result

    def _refuse_unsent(
        self, placement: placements.Placement, refusal: models.Refusal
    ) -> calls.AttemptResult:
        self._connections.release(placement.target, placement.connection)
        return calls.AttemptResult(
            outcome=models.Outcome.NOT_EXECUTED, refusal=refusal
        )

    def _make_matcher(
        self, request: http_models.Request
    ) -> collections.abc.Callable[[http_models.Response], bool]:
        """Return a predicate for responses that echo the request's id."""
        field_name = self._protocol.names.request_id
        request_id = request.find_field(field_name)
        return lambda response: response.find_field(field_name) == request_id

    def _classify(
        self, response: http_models.Response, target_id: str
    ) -> calls.AttemptResult:
        """Return what a response proves about the request's execution."""
        target_response: http_models.Response | None = None
        if self._protocol.is_misdirected(response):
            outcome = models.Outcome.MISDIRECTED
        elif self._protocol.is_not_executed(response):
            outcome = models.Outcome.NOT_EXECUTED
        elif self._protocol.is_from_target(response):
            outcome = models.Outcome.ANSWERED
            target_response = response
        else:
            outcome = models.Outcome.UNKNOWN
        return calls.AttemptResult(
            outcome=outcome, target_id=target_id, response=target_response
        )

    def _record_result(
        self,
        call: calls.Call,
        placement: placements.Placement,
        result: calls.AttemptResult,
        sent_s: float,
    ) -> None:
        now_s = self._clock.now_s()
        target = placement.target
        if result.response is not None:
            report = self._protocol.read_load(result.response, now_s)
            if report is not None:
                target.report = report
        if not result.is_success:
            target.record_failure(now_s)
            return
        target.record_success(now_s)
        self._predictor.record_duration(
            call.route, call.service, now_s - sent_s, placement.report
        )

    def _encode_request(
        self, request: http_models.Request, target_id: str, remaining_ms: int
    ) -> bytes:
        names = self._protocol.names
        fields = wire.forwardable_fields(
            request.fields,
            replaced_names=frozenset({names.deadline_ms, names.target_id}),
        )
        fields.append((names.deadline_ms, b"%d" % remaining_ms))
        fields.append((names.target_id, target_id.encode()))
        return wire.encode_request(
            method=request.method,
            target=request.target,
            fields=fields,
            body=request.body,
        )
