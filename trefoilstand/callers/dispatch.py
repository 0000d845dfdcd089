"""Send a call to targets, with retries, until it has a result."""

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
    """Send calls to targets, classify the outcomes and retry.

    :param decisions: engine that chooses targets.
    :param configurations: source of the active configuration.
    :param client: HTTP client for targets.
    :param clock: monotonic clock.
    :param process_metrics: metrics that count attempts.
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
        """Return a service of the active configuration, None if unknown."""
        current = self._configurations.current
        return current.content.services.get(name) if current else None

    def deadline_s(self, call: models.Call) -> float:
        """Return the deadline of a call as monotonic time in seconds."""
        service = self.find_service(call.service)
        deadline_ms: float = configuration_const.DEFAULT_DEADLINE_MS
        if service is not None:
            deadline_ms = service.deadline_ms
        if call.deadline_ms is not None:
            deadline_ms = min(deadline_ms, call.deadline_ms)
        return call.arrived_s + deadline_ms / 1000

    def run(self, call: models.Call, is_repeatable: bool) -> models.CallResult:
        """Run a call, with retries as far as they are safe.

        :param call: the call.
        :param is_repeatable: True if the call is idempotent; otherwise it
            runs at most once.
        :returns: the result of the call.
        """
        service = self.find_service(call.service)
        if service is None:
            return models.not_run_result(
                decision_models.Reason.UNKNOWN_SERVICE
            )
        if call.depth > project_const.MAX_CALL_DEPTH:
            return models.not_run_result(decision_models.Reason.CALL_TOO_DEEP)
        if call.minimum_version > self._configurations.version:
            return models.not_run_result(
                decision_models.Reason.CONFIGURATION_BEHIND,
                retry_after_ms=1000,
            )
        return _CallExecution(
            dispatcher=self,
            call=call,
            service=service,
            is_repeatable=is_repeatable,
        ).run()

    def begin_attempt(
        self, call: models.Call, tried_addresses: frozenset[str]
    ) -> decision_models.Attempt | decision_models.Refusal:
        """Choose a target for the next attempt.

        :param call: the call.
        :param tried_addresses: target addresses of earlier attempts.
        :returns: the attempt, or why there is none.
        """
        return self._decisions.begin_attempt(
            call.service, self._clock.now_s(), tried_addresses
        )

    def spend_retry(self, service_name: str) -> bool:
        """Spend one retry of a service's retry budget.

        :returns: True if the budget allowed a retry.
        """
        return self._decisions.try_spend_retry(service_name)

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.now_s()

    def exchange(
        self,
        attempt: decision_models.Attempt,
        request: targets_models.TargetRequest,
        service: configuration_models.Service,
    ) -> tuple[
        targets_models.TargetResponse, decision_models.ClassifiedOutcome
    ]:
        """Send a request to the chosen target and record the outcome."""
        response = self._client.exchange(request)
        classified = outcomes.classify(
            outcomes.ExchangeObservations(
                send_permitted=response.send_permitted,
                fault=response.fault,
                is_framed=response.is_framed,
                is_unstarted_reply=_is_unstarted(response, service),
            )
        )
        now_s = self._clock.now_s()
        statement = target_status.parse_response(response, now_s)
        is_newly_leaving = self._decisions.finish_attempt(
            attempt,
            decision_models.AttemptResult(
                classified_outcome=classified,
                latency_ms=response.latency_ms,
                report=statement.report,
                incarnation=statement.incarnation,
                is_leaving=statement.is_leaving,
                is_server_error=response.status >= 500,
            ),
            now_s,
        )
        if is_newly_leaving:
            events.info(
                events.TargetLeaving(
                    address=request.address,
                    incarnation=statement.incarnation,
                    source="answer",
                )
            )
        self._metrics.record_attempt(
            attempt.target.service_name, classified.reason
        )
        return response, classified


class _CallExecution:
    """Run one call in one thread and hold its state."""

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
        self._tried_addresses: frozenset[str] = frozenset()
        self._target = ""

    def run(self) -> models.CallResult:
        """Attempt the call until there is a response or no retry is left."""
        while True:
            selection = self._dispatcher.begin_attempt(
                self._call, self._tried_addresses
            )
            if isinstance(selection, decision_models.Refusal):
                return self._refuse(selection)
            response, classified = self._run_attempt(selection)
            if classified.outcome is decision_models.Outcome.ANSWERED:
                return self._build_result(
                    classified,
                    response.status,
                    _strip_reserved_fields(response.headers),
                    response.body,
                )
            if not self._may_retry():
                return self._build_result(self._attempts.classify_call())
            self._tried_addresses |= {selection.target.address}

    def _run_attempt(
        self, attempt: decision_models.Attempt
    ) -> tuple[
        targets_models.TargetResponse, decision_models.ClassifiedOutcome
    ]:
        self._attempts.start()
        self._target = attempt.target.address
        response, classified = self._dispatcher.exchange(
            attempt, self._build_request(attempt), self._service
        )
        self._attempts.finish(classified)
        return response, classified

    def _may_retry(self) -> bool:
        if not self._attempts.may_attempt() or self._retries_left <= 0:
            return False
        if self._dispatcher.now_s() >= self._deadline_s:
            return False
        if not self._dispatcher.spend_retry(self._call.service):
            return False
        self._retries_left -= 1
        return True

    def _refuse(self, refusal: decision_models.Refusal) -> models.CallResult:
        if self._attempts.count:
            return self._build_result(self._attempts.classify_call())
        return models.not_run_result(
            refusal.reason, retry_after_ms=refusal.retry_after_ms
        )

    def _build_result(
        self,
        classified: decision_models.ClassifiedOutcome,
        status: int = 0,
        headers: models.HeaderFields = (),
        body: bytes = b"",
    ) -> models.CallResult:
        return models.CallResult(
            classified_outcome=classified,
            status=status,
            headers=headers,
            body=body,
            attempts=self._attempts.count,
            target=self._target,
            is_repeatable=self._is_repeatable,
        )

    def _build_request(
        self, attempt: decision_models.Attempt
    ) -> targets_models.TargetRequest:
        call = self._call
        remaining_ms = (self._deadline_s - attempt.started_s) * 1000
        entry_host_fields = (
            (project_const.HEADER_REQUEST_ID, call.request_id),
            (project_const.HEADER_DEADLINE_MS, str(max(int(remaining_ms), 0))),
            (project_const.HEADER_CALL_DEPTH, str(call.depth + 1)),
            (project_const.HEADER_RETRIES_LEFT, str(self._retries_left)),
        )
        return targets_models.TargetRequest(
            address=attempt.target.address,
            method=call.method,
            path=call.path,
            headers=_strip_reserved_fields(call.headers) + entry_host_fields,
            body=call.body,
            deadline_s=self._deadline_s,
            is_repeatable=self._is_repeatable,
            max_response_bytes=project_const.MAX_RESPONSE_BODY_BYTES,
        )


def _strip_reserved_fields(fields: models.HeaderFields) -> models.HeaderFields:
    """Return the header fields without those that only entry hosts set."""
    return tuple(
        item
        for item in fields
        if not item[0].lower().startswith(project_const.OWN_HEADER_PREFIX)
    )


def _is_unstarted(
    response: targets_models.TargetResponse,
    service: configuration_models.Service,
) -> bool:
    return any(
        unstarted_reply.status == response.status
        and response.header(unstarted_reply.header) != ""
        for unstarted_reply in service.unstarted_replies
    )
