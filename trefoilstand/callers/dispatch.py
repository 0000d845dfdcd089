"""Carry one call to targets until it has an honest end."""

from trefoilstand import const as project_const
from trefoilstand.callers import models
from trefoilstand.configuration import const as configuration_const
from trefoilstand.configuration import coordinator
from trefoilstand.configuration import models as configuration_models
from trefoilstand.decision import attempts
from trefoilstand.decision import const as decision_const
from trefoilstand.decision import engine
from trefoilstand.decision import models as decision_models
from trefoilstand.decision import outcomes
from trefoilstand.targets import exchange
from trefoilstand.targets import models as targets_models
from trefoilstand.targets import target_status
from trefoilstand.telemetry import events
from trefoilstand.telemetry import metrics
from trefoilstand.util import clock as clocks


class CallDispatcher:
    """Choose targets for calls, exchange, judge and retry.

    :param decisions: engine that chooses targets.
    :param configurations: configuration in force.
    :param client: exchanges with targets.
    :param clock: source of the time.
    :param process_metrics: where attempts are counted.
    """

    def __init__(
        self,
        *,
        decisions: engine.DecisionEngine,
        configurations: coordinator.ConfigurationCoordinator,
        client: exchange.TargetClient,
        clock: clocks.Clock,
        process_metrics: metrics.Metrics,
    ) -> None:
        self._decisions = decisions
        self._configurations = configurations
        self._client = client
        self._clock = clock
        self._metrics = process_metrics

    def find_service(self, name: str) -> configuration_models.Service | None:
        """Return a service of the configuration in force."""
        current = self._configurations.current
        return current.content.services.get(name) if current else None

    def deadline_s(self, call: models.Call) -> float:
        """Return the monotonic time by which a call must have ended."""
        service = self.find_service(call.service)
        deadline_ms: float = configuration_const.DEFAULT_DEADLINE_MS
        if service is not None:
            deadline_ms = service.deadline_ms
        if call.deadline_ms is not None:
            deadline_ms = min(deadline_ms, call.deadline_ms)
        return call.arrived_s + deadline_ms / 1000

    def run(self, call: models.Call, is_repeatable: bool) -> models.CallEnd:
        """Run a call at most once, or as often as it may be repeated.

        :param call: the call.
        :param is_repeatable: True where a second run does no harm.
        """
        service = self.find_service(call.service)
        if service is None:
            return models.not_run(decision_models.Reason.UNKNOWN_SERVICE)
        if call.depth > project_const.MAX_CALL_DEPTH:
            return models.not_run(decision_models.Reason.CALL_TOO_DEEP)
        if call.minimum_version > self._configurations.version:
            return models.not_run(
                decision_models.Reason.CONFIGURATION_BEHIND,
                retry_after_ms=1000,
            )
        return _CallRun(
            dispatcher=self,
            call=call,
            service=service,
            is_repeatable=is_repeatable,
        ).run()

    def begin(
        self, call: models.Call, tried: frozenset[str]
    ) -> decision_models.Attempt | decision_models.Refusal:
        """Choose a target for the next attempt."""
        return self._decisions.begin_attempt(
            call.service, self._clock.now_s(), tried
        )

    def try_spend_retry(self, service_name: str) -> bool:
        """Spend one retry of a service and return whether there was one."""
        return self._decisions.try_spend_retry(service_name)

    def now_s(self) -> float:
        """Return the monotonic time."""
        return self._clock.now_s()

    def exchange(
        self,
        attempt: decision_models.Attempt,
        request: targets_models.TargetRequest,
        service: configuration_models.Service,
    ) -> tuple[
        targets_models.TargetResponse, decision_models.ClassifiedOutcome
    ]:
        """Exchange with the chosen target and learn from it."""
        answer = self._client.exchange(request)
        classified_outcome = outcomes.classify(
            outcomes.ExchangeObservations(
                send_permitted=answer.send_permitted,
                fault=answer.fault,
                is_framed=answer.is_framed,
                is_unstarted_reply=_is_unstarted(answer, service),
            )
        )
        now_s = self._clock.now_s()
        statement = target_status.parse_response(answer, now_s)
        is_news = self._decisions.finish_attempt(
            attempt,
            decision_models.AttemptResult(
                classified_outcome=classified_outcome,
                latency_ms=answer.latency_ms,
                report=statement.report,
                incarnation=statement.incarnation,
                is_leaving=statement.is_leaving,
                is_server_error=answer.status >= 500,
            ),
            now_s,
        )
        if is_news:
            events.info(
                events.TargetLeaving(
                    address=request.address,
                    incarnation=statement.incarnation,
                    source="answer",
                )
            )
        self._metrics.record_attempt(
            attempt.target.service_name, classified_outcome.reason
        )
        return answer, classified_outcome


class _CallRun:
    """Hold the state of one call while it runs in one thread."""

    def __init__(
        self,
        *,
        dispatcher: CallDispatcher,
        call: models.Call,
        service: configuration_models.Service,
        is_repeatable: bool,
    ) -> None:
        self._dispatcher = dispatcher
        self._call = call
        self._service = service
        self._is_repeatable = is_repeatable
        self._deadline_s = dispatcher.deadline_s(call)
        self._attempts = attempts.CallAttempts(is_repeatable=is_repeatable)
        self._retries_left = decision_const.MAX_ATTEMPTS - 1
        if call.retries_left is not None:
            self._retries_left = min(self._retries_left, call.retries_left)
        self._tried: frozenset[str] = frozenset()
        self._target = ""

    def run(self) -> models.CallEnd:
        """Attempt until there is an answer or nothing more may be done."""
        while True:
            chosen = self._dispatcher.begin(self._call, self._tried)
            if isinstance(chosen, decision_models.Refusal):
                return self._refuse(chosen)
            answer, classified_outcome = self._attempt(chosen)
            if classified_outcome.outcome is decision_models.Outcome.ANSWERED:
                return self._end(
                    classified_outcome,
                    answer.status,
                    _strip_own_fields(answer.headers),
                    answer.body,
                )
            if not self._may_retry():
                return self._end(self._attempts.classify_call())
            self._tried |= {chosen.target.address}

    def _attempt(
        self, chosen: decision_models.Attempt
    ) -> tuple[
        targets_models.TargetResponse, decision_models.ClassifiedOutcome
    ]:
        self._attempts.start()
        self._target = chosen.target.address
        answer, classified_outcome = self._dispatcher.exchange(
            chosen, self._request(chosen), self._service
        )
        self._attempts.finish(classified_outcome)
        return answer, classified_outcome

    def _may_retry(self) -> bool:
        if not self._attempts.may_attempt() or self._retries_left <= 0:
            return False
        if self._dispatcher.now_s() >= self._deadline_s:
            return False
        if not self._dispatcher.try_spend_retry(self._call.service):
            return False
        self._retries_left -= 1
        return True

    def _refuse(self, refusal: decision_models.Refusal) -> models.CallEnd:
        if self._attempts.count:
            return self._end(self._attempts.classify_call())
        return models.not_run(
            refusal.reason, retry_after_ms=refusal.retry_after_ms
        )

    def _end(
        self,
        classified_outcome: decision_models.ClassifiedOutcome,
        status: int = 0,
        headers: models.HeaderFields = (),
        body: bytes = b"",
    ) -> models.CallEnd:
        return models.CallEnd(
            classified_outcome=classified_outcome,
            status=status,
            headers=headers,
            body=body,
            attempts=self._attempts.count,
            target=self._target,
            is_repeatable=self._is_repeatable,
        )

    def _request(
        self, chosen: decision_models.Attempt
    ) -> targets_models.TargetRequest:
        call = self._call
        left_ms = (self._deadline_s - chosen.started_s) * 1000
        own_fields = (
            (project_const.HEADER_REQUEST_ID, call.request_id),
            (project_const.HEADER_DEADLINE_MS, str(max(int(left_ms), 0))),
            (project_const.HEADER_CALL_DEPTH, str(call.depth + 1)),
            (project_const.HEADER_RETRIES_LEFT, str(self._retries_left)),
        )
        return targets_models.TargetRequest(
            address=chosen.target.address,
            method=call.method,
            path=call.path,
            headers=_strip_own_fields(call.headers) + own_fields,
            body=call.body,
            deadline_s=self._deadline_s,
            is_repeatable=self._is_repeatable,
            max_response_bytes=project_const.MAX_RESPONSE_BODY_BYTES,
        )


def _strip_own_fields(fields: models.HeaderFields) -> models.HeaderFields:
    """Leave out the fields that only entry hosts may set."""
    return tuple(
        item
        for item in fields
        if not item[0].lower().startswith(project_const.OWN_HEADER_PREFIX)
    )


def _is_unstarted(
    answer: targets_models.TargetResponse,
    service: configuration_models.Service,
) -> bool:
    return any(
        reply.status == answer.status and answer.header(reply.header) != ""
        for reply in service.unstarted_replies
    )
