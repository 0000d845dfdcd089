"""The WSGI application that callers and operators talk to."""

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
from trefoilstand.callers import once
from trefoilstand.callers import operations
from trefoilstand.callers import requests
from trefoilstand.callers import responses
from trefoilstand.decision import models as decision_models
from trefoilstand.telemetry import burn
from trefoilstand.telemetry import events

_CLOSE: typing.Final = ("Connection", "close")
_LAST_PHASES: typing.Final = (core.Phase.LEAVING, core.Phase.STOPPED)


class CallerApplication:
    """Serve calls, addresses, status and metrics.

    :param application: life cycle and clock.
    :param dispatcher: runs idempotent calls.
    :param ticketed: runs non-idempotent calls at most once.
    :param pages: answers operators and callers that ask for addresses.
    :param burn_counter: counts ends against objectives.
    :param random_source: samples the calls that are logged.
    """

    def __init__(
        self,
        *,
        application: core.TrefoilStand,
        dispatcher: dispatch.CallDispatcher,
        ticketed: once.TicketedCalls,
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
        """Answer one request in the way of WSGI."""
        extra = self._connection_fields(environ)
        path = environ.get("PATH_INFO", "")
        if path.startswith(project_const.CALL_PATH_PREFIX):
            plain = self._serve_call(environ)
            plain.headers.extend(extra)
            return plain.send(start_response)
        response = self._pages.serve(werkzeug.Request(environ))
        response.headers.extend(extra)
        return response(environ, start_response)

    def run_forwarded(self, call: models.Call) -> models.CallEnd:
        """Run a call that another entry host passed to us as the owner."""
        return self._run_logged(call)

    def _connection_fields(
        self, environ: requests.Environ
    ) -> list[tuple[str, str]]:
        fields = []
        exchange_id = requests.read_field(
            environ, project_const.HEADER_EXCHANGE_ID
        )
        if exchange_id:
            fields.append((project_const.HEADER_EXCHANGE_ID, exchange_id))
        if self._application.phase in _LAST_PHASES:
            fields.append(_CLOSE)
        return fields

    def _serve_call(
        self, environ: requests.Environ
    ) -> responses.PlainResponse:
        now_s = self._application.clock.now_s()
        try:
            call = requests.read_call(environ, now_s)
        except requests.MalformedRequestError as error:
            return self._refuse_malformed(environ, error)
        end = self._run_logged(call)
        return responses.respond(end, call.request_id, self._pages.version())

    def _refuse_malformed(
        self,
        environ: requests.Environ,
        error: requests.MalformedRequestError,
    ) -> responses.PlainResponse:
        end = models.not_run(error.reason)
        if requests.read_field(environ, project_const.HEADER_TICKET):
            # An earlier copy may have been whole, and may have run.
            end = models.unknown(error.reason)
        response = responses.respond(
            end, error.request_id, self._pages.version()
        )
        # What is left of the request cannot be told from the next one.
        response.headers.append(_CLOSE)
        return response

    def _run_logged(self, call: models.Call) -> models.CallEnd:
        try:
            end = self._run(call)
        except exceptions.InvariantError as error:
            events.error(
                events.InvariantBroken(
                    error_type=type(error).__name__, detail=str(error)
                )
            )
            self._application.metrics.record_broken_invariant(
                type(error).__name__
            )
            end = models.unknown(decision_models.Reason.REPEAT_BLOCKED)
        self._record(call, end)
        return end

    def _run(self, call: models.Call) -> models.CallEnd:
        is_serving = self._application.is_serving()
        if call.ticket:
            return self._ticketed.run(call, is_serving)
        if not is_serving:
            return models.not_run(
                decision_models.Reason.NOT_READY, retry_after_ms=1000
            )
        service = self._dispatcher.find_service(call.service)
        path = call.path.partition("?")[0]
        if service is None or service.is_repeatable(call.method, path):
            return self._dispatcher.run(call, is_repeatable=True)
        return self._demand_ticket()

    def _demand_ticket(self) -> models.CallEnd:
        """Refuse work that came without a ticket, and offer one."""
        ticket = self._ticketed.issue_or_empty()
        if not ticket:
            return models.not_run(
                decision_models.Reason.TICKETS_FULL, retry_after_ms=1000
            )
        return models.CallEnd(
            classified_outcome=decision_models.ClassifiedOutcome(
                outcome=decision_models.Outcome.NOT_RUN,
                reason=decision_models.Reason.TICKET_REQUIRED,
            ),
            is_repeatable=False,
            next_ticket=ticket,
        )

    def _record(self, call: models.Call, end: models.CallEnd) -> None:
        now_s = self._application.clock.now_s()
        latency_ms = (now_s - call.arrived_s) * 1000
        outcome, reason = (
            end.classified_outcome.outcome,
            end.classified_outcome.reason,
        )
        service = self._dispatcher.find_service(call.service)
        if service is not None:
            is_slow = latency_ms > service.objective.latency_ms
            self._burn.record(call.service, outcome, is_slow, now_s)
            self._application.metrics.record_call(
                call.service, outcome, latency_ms
            )
        is_plain = end.is_answered and end.is_repeatable and end.attempts <= 1
        if is_plain and self._random.random() > const.LOGGED_CALL_RATIO:
            return
        events.info(
            events.CallEnded(
                request_id=call.request_id,
                service=call.service,
                outcome=outcome,
                reason=reason,
                is_repeatable=end.is_repeatable,
                attempts=end.attempts,
                target=end.target,
                latency_ms=round(latency_ms, 3),
            )
        )
