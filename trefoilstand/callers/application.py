"""WSGI application for callers and operators."""

import collections.abc
import random
import typing
import wsgiref.types

import werkzeug

from trefoilstand import const as project_const
from trefoilstand import core
from trefoilstand import exceptions
from trefoilstand.callers import const
from trefoilstand.callers import dispatch
from trefoilstand.callers import models
from trefoilstand.callers import operations
from trefoilstand.callers import requests
from trefoilstand.callers import responses
from trefoilstand.callers import ticketed_calls
from trefoilstand.decision import models as decision_models
from trefoilstand.telemetry import burn
from trefoilstand.telemetry import events

_CLOSE: typing.Final = ("Connection", "close")
_LAST_PHASES: typing.Final = (core.Phase.LEAVING, core.Phase.STOPPED)


class CallerApplication:
    """Serve calls, entry host addresses, status and metrics.

    :param application: life cycle, clock and metrics.
    :param dispatcher: runs idempotent calls.
    :param ticketed: runs non-idempotent calls at most once.
    :param pages: serves all paths that are not calls.
    :param burn_counter: counts call outcomes against service objectives.
    :param random_source: samples the routine calls that are logged.
    """

    def __init__(
        self,
        *,
        application: core.TrefoilStand,
        dispatcher: dispatch.CallDispatcher,
        ticketed: ticketed_calls.TicketedCalls,
        pages: operations.OperationPages,
        burn_counter: burn.BurnCounter,
        random_source: random.Random,
    ) -> None:
        self._application = application
        self._dispatcher = dispatcher
        self._ticketed = ticketed
        self._pages = pages
        self._burn = burn_counter
        self._random = random_source

    def __call__(
        self,
        environ: requests.Environ,
        start_response: wsgiref.types.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        """Handle one WSGI request."""
        extra_headers = self._extra_headers(environ)
        path = environ.get("PATH_INFO", "")
        if path.startswith(project_const.CALL_PATH_PREFIX):
            call_response = self._serve_call(environ)
            call_response.headers.extend(extra_headers)
            return call_response.send(start_response)
        response = self._pages.serve(werkzeug.Request(environ))
        response.headers.extend(extra_headers)
        return response(environ, start_response)

    def run_forwarded(self, call: models.Call) -> models.CallResult:
        """Run a call forwarded by another entry host to this ticket owner."""
        return self._run_and_record(call)

    def _extra_headers(
        self, environ: requests.Environ
    ) -> list[tuple[str, str]]:
        headers = []
        exchange_id = requests.read_field(
            environ, project_const.HEADER_EXCHANGE_ID
        )
        if exchange_id:
            headers.append((project_const.HEADER_EXCHANGE_ID, exchange_id))
        if self._application.phase in _LAST_PHASES:
            headers.append(_CLOSE)
        return headers

    def _serve_call(
        self, environ: requests.Environ
    ) -> responses.PlainResponse:
        now_s = self._application.clock.now_s()
        try:
            call = requests.read_call(environ, now_s)
        except requests.MalformedRequestError as error:
            return self._refuse_malformed(environ, error)
        result = self._run_and_record(call)
        return responses.build_response(
            result, call.request_id, self._pages.version()
        )

    def _refuse_malformed(
        self,
        environ: requests.Environ,
        error: requests.MalformedRequestError,
    ) -> responses.PlainResponse:
        result = models.not_run_result(error.reason)
        if requests.read_field(environ, project_const.HEADER_TICKET):
            # An earlier copy of the request may have been complete and may
            # have run.
            result = models.unknown_result(error.reason)
        response = responses.build_response(
            result, error.request_id, self._pages.version()
        )
        # The rest of this request cannot be told apart from the next one.
        response.headers.append(_CLOSE)
        return response

    def _run_and_record(self, call: models.Call) -> models.CallResult:
        try:
            result = self._run(call)
        except exceptions.InvariantError as error:
            events.error(
                events.InvariantBroken(
                    error_type=type(error).__name__, detail=str(error)
                )
            )
            self._application.metrics.record_broken_invariant(
                type(error).__name__
            )
            result = models.unknown_result(
                decision_models.Reason.REPEAT_BLOCKED
            )
        self._record_result(call, result)
        return result

    def _run(self, call: models.Call) -> models.CallResult:
        is_serving = self._application.is_serving()
        if call.ticket:
            return self._ticketed.run(call, is_serving)
        if not is_serving:
            return models.not_run_result(
                decision_models.Reason.NOT_READY, retry_after_ms=1000
            )
        service = self._dispatcher.find_service(call.service)
        path = call.path.partition("?")[0]
        if service is None or service.is_repeatable(call.method, path):
            return self._dispatcher.run(call, is_repeatable=True)
        return self._require_ticket()

    def _require_ticket(self) -> models.CallResult:
        """Refuse non-idempotent work without a ticket, and issue one."""
        ticket = self._ticketed.issue_or_empty()
        if not ticket:
            return models.not_run_result(
                decision_models.Reason.TICKETS_FULL, retry_after_ms=1000
            )
        return models.CallResult(
            classified_outcome=decision_models.ClassifiedOutcome(
                outcome=decision_models.Outcome.NOT_RUN,
                reason=decision_models.Reason.TICKET_REQUIRED,
            ),
            is_repeatable=False,
            next_ticket=ticket,
        )

    def _record_result(
        self, call: models.Call, result: models.CallResult
    ) -> None:
        now_s = self._application.clock.now_s()
        latency_ms = (now_s - call.arrived_s) * 1000
        outcome, reason = (
            result.classified_outcome.outcome,
            result.classified_outcome.reason,
        )
        service = self._dispatcher.find_service(call.service)
        if service is not None:
            is_slow = latency_ms > service.objective.latency_ms
            self._burn.record(call.service, outcome, is_slow, now_s)
            self._application.metrics.record_call(
                call.service, outcome, latency_ms
            )
        is_routine = (
            result.is_answered
            and result.is_repeatable
            and result.attempts <= 1
        )
        if is_routine and self._random.random() > const.LOGGED_CALL_RATIO:
            return
        events.info(
            events.CallEnded(
                request_id=call.request_id,
                service=call.service,
                outcome=outcome,
                reason=reason,
                is_repeatable=result.is_repeatable,
                attempts=result.attempts,
                target=result.target,
                latency_ms=round(latency_ms, 3),
            )
        )
