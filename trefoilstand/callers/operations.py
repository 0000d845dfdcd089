"""HTTP endpoints for address discovery and operators."""

import collections.abc
import dataclasses
import http

import werkzeug

from trefoilstand import core
from trefoilstand.callers import addresses
from trefoilstand.callers import const
from trefoilstand.callers import responses
from trefoilstand.callers import ticketed_calls
from trefoilstand.configuration import coordinator
from trefoilstand.decision import engine
from trefoilstand.peers import membership
from trefoilstand.peers import models
from trefoilstand.telemetry import burn


class OperationPages:
    """Serve all paths that are not calls.

    :param application: life cycle, clock and metrics.
    :param entry_host_selector: selects entry hosts for callers.
    :param ticketed: issues tickets.
    :param configurations: source of the active configuration.
    :param decisions: engine that chooses targets and explains its state.
    :param members: this process's view of the entry hosts.
    :param burn_counter: counts call outcomes against service objectives.
    :param answer_lifetime_s: how long callers may cache addresses, in
        seconds.
    :param ticket_lifetime_s: how long callers may use tickets, in seconds.
    """

    def __init__(
        self,
        *,
        application: core.TrefoilStand,
        entry_host_selector: addresses.EntryHostSelector,
        ticketed: ticketed_calls.TicketedCalls,
        configurations: coordinator.ConfigurationCoordinator,
        decisions: engine.DecisionEngine,
        members: membership.MemberTable,
        burn_counter: burn.BurnCounter,
        answer_lifetime_s: float,
        ticket_lifetime_s: float,
    ) -> None:
        self._application = application
        self._entry_host_selector = entry_host_selector
        self._ticketed = ticketed
        self._configurations = configurations
        self._decisions = decisions
        self._members = members
        self._burn = burn_counter
        self._answer_lifetime_s = answer_lifetime_s
        self._ticket_lifetime_s = ticket_lifetime_s
        self._handlers: dict[
            str,
            collections.abc.Callable[[werkzeug.Request], werkzeug.Response],
        ] = {
            const.PATH_ADDRESSES: self._serve_addresses,
            const.PATH_EXPLAIN: self._serve_explanation,
            const.PATH_HEALTH: self._serve_health,
            const.PATH_METRICS: self._serve_metrics,
            const.PATH_READY: self._serve_readiness,
            const.PATH_REPORT: self._serve_report,
            const.PATH_STATUS: self._serve_status,
        }

    def version(self) -> int:
        """Return the active configuration version."""
        return self._configurations.version

    def serve(self, request: werkzeug.Request) -> werkzeug.Response:
        """Handle one request."""
        handler = self._handlers.get(request.path)
        if handler is None:
            return responses.build_json_response(
                {"error": "no such page"}, http.HTTPStatus.NOT_FOUND
            )
        if request.method != "GET":
            return responses.build_json_response(
                {"error": "only GET is served here"},
                http.HTTPStatus.METHOD_NOT_ALLOWED,
            )
        return handler(request)

    def _serve_addresses(self, request: werkzeug.Request) -> werkzeug.Response:
        if not self._application.is_serving():
            return responses.build_json_response(
                {"error": "not ready"}, http.HTTPStatus.SERVICE_UNAVAILABLE
            )
        failure_domain = request.args.get("failure_domain", "")
        requested_count = request.args.get("tickets", 0, type=int)
        ticket_count = max(
            0, min(requested_count, const.MAX_TICKETS_PER_RESPONSE)
        )
        if self._application.phase is core.Phase.LEAVING:
            # A ticket must not outlive the process that owns it.
            ticket_count = 0
        new_tickets = [
            self._ticketed.issue_or_empty() for _ in range(ticket_count)
        ]
        return responses.build_json_response(
            {
                "addresses": [
                    {
                        "address": member.caller_address,
                        "failure_domain": member.failure_domain,
                    }
                    for member in self._entry_host_selector.select(
                        failure_domain
                    )
                ],
                "lifetime_ms": int(self._answer_lifetime_s * 1000),
                "configuration_version": self.version(),
                "tickets": [ticket for ticket in new_tickets if ticket],
                "ticket_lifetime_ms": int(self._ticket_lifetime_s * 1000),
            }
        )

    def _serve_explanation(
        self, request: werkzeug.Request
    ) -> werkzeug.Response:
        service = request.args.get("service", "")
        explanations = self._decisions.explain(
            service, self._application.clock.now_s()
        )
        return responses.build_json_response(
            {
                "service": service,
                "now_s": self._application.clock.now_s(),
                "targets": [
                    dataclasses.asdict(explanation)
                    for explanation in explanations
                ],
            }
        )

    def _serve_health(self, _request: werkzeug.Request) -> werkzeug.Response:
        return responses.build_json_response(
            {"phase": self._application.phase}
        )

    def _serve_metrics(self, request: werkzeug.Request) -> werkzeug.Response:
        content, content_type = self._application.metrics.render(
            request.headers.get("Accept", "")
        )
        return werkzeug.Response(content, content_type=content_type)

    def _serve_readiness(
        self, _request: werkzeug.Request
    ) -> werkzeug.Response:
        is_ready = (
            self._application.phase is core.Phase.READY
            and self._application.is_serving()
        )
        status = http.HTTPStatus.OK
        if not is_ready:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
        return responses.build_json_response(
            {"is_ready": is_ready, "phase": self._application.phase}, status
        )

    def _serve_report(self, _request: werkzeug.Request) -> werkzeug.Response:
        counts = self._burn.totals(self._application.clock.now_s())
        active = self._configurations.current
        services = active.content.services if active else {}
        return responses.build_json_response(
            {
                "services": {
                    name: {
                        "objective": dataclasses.asdict(service.objective),
                        "windows": [
                            {
                                "window_s": window_s,
                                **dataclasses.asdict(
                                    counts.get(name, {}).get(
                                        window_s, burn.ServiceCounts()
                                    )
                                ),
                            }
                            for window_s in burn.WINDOWS_S
                        ],
                    }
                    for name, service in services.items()
                }
            }
        )

    def _serve_status(self, _request: werkzeug.Request) -> werkzeug.Response:
        version, digest = self._configurations.order_key
        last_rejected = self._configurations.last_rejected
        leaving_marks = self._decisions.leaving_marks()
        return responses.build_json_response(
            {
                "own": _describe(self._members.own),
                "phase": self._application.phase,
                "configuration_version": version,
                "configuration_digest": digest,
                "last_rejected": (
                    dataclasses.asdict(last_rejected)
                    if last_rejected
                    else None
                ),
                "leaving_targets": [mark._asdict() for mark in leaving_marks],
                "members": [
                    _describe(member) for member in self._members.members()
                ],
            }
        )


def _describe(member: models.Member) -> dict[str, object]:
    content = dataclasses.asdict(member)
    content["state"] = content["state"].name.lower()
    return content
