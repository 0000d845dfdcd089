"""Pages for callers that ask for addresses and for operators."""

import collections.abc
import dataclasses
import http

import werkzeug

from trefoilstand import core
from trefoilstand.callers import addresses
from trefoilstand.callers import const
from trefoilstand.callers import once
from trefoilstand.callers import responses
from trefoilstand.configuration import coordinator
from trefoilstand.decision import engine
from trefoilstand.peers import membership
from trefoilstand.peers import models
from trefoilstand.telemetry import burn


class OperationPages:
    """Serve everything but calls.

    :param application: life cycle, clock and metrics.
    :param address_book: orders entry hosts for callers.
    :param ticketed: issues tickets.
    :param configurations: configuration in force.
    :param decisions: engine that explains itself.
    :param members: beliefs about the entry hosts.
    :param burn_counter: counts against objectives.
    :param answer_lifetime_s: how long callers may keep addresses.
    :param ticket_lifetime_s: how long callers may use tickets.
    """

    def __init__(
        self,
        *,
        application: core.TrefoilStand,
        address_book: addresses.AddressBook,
        ticketed: once.TicketedCalls,
        configurations: coordinator.ConfigurationCoordinator,
        decisions: engine.DecisionEngine,
        members: membership.MemberTable,
        burn_counter: burn.BurnCounter,
        answer_lifetime_s: float,
        ticket_lifetime_s: float,
    ) -> None:
        self._application = application
        self._address_book = address_book
        self._ticketed = ticketed
        self._configurations = configurations
        self._decisions = decisions
        self._members = members
        self._burn = burn_counter
        self._answer_lifetime_s = answer_lifetime_s
        self._ticket_lifetime_s = ticket_lifetime_s
        self._pages: dict[
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
        """Return the configuration version in force."""
        return self._configurations.version

    def serve(self, request: werkzeug.Request) -> werkzeug.Response:
        """Answer one request."""
        page = self._pages.get(request.path)
        if page is None:
            return responses.respond_json(
                {"error": "no such page"}, http.HTTPStatus.NOT_FOUND
            )
        if request.method != "GET":
            return responses.respond_json(
                {"error": "only GET is served here"},
                http.HTTPStatus.METHOD_NOT_ALLOWED,
            )
        return page(request)

    def _serve_addresses(self, request: werkzeug.Request) -> werkzeug.Response:
        if not self._application.is_serving():
            return responses.respond_json(
                {"error": "not ready"}, http.HTTPStatus.SERVICE_UNAVAILABLE
            )
        domain = request.args.get("failure_domain", "")
        wanted = request.args.get("tickets", 0, type=int)
        count = max(0, min(wanted, const.MAX_TICKETS_PER_ANSWER))
        if self._application.phase is core.Phase.LEAVING:
            # A ticket must not outlive the process that owns it.
            count = 0
        issued = [self._ticketed.issue_or_empty() for _ in range(count)]
        return responses.respond_json(
            {
                "addresses": [
                    {
                        "address": member.caller_address,
                        "failure_domain": member.failure_domain,
                    }
                    for member in self._address_book.choose(domain)
                ],
                "lifetime_ms": int(self._answer_lifetime_s * 1000),
                "configuration_version": self.version(),
                "tickets": [ticket for ticket in issued if ticket],
                "ticket_lifetime_ms": int(self._ticket_lifetime_s * 1000),
            }
        )

    def _serve_explanation(
        self, request: werkzeug.Request
    ) -> werkzeug.Response:
        service = request.args.get("service", "")
        rows = self._decisions.explain(
            service, self._application.clock.now_s()
        )
        return responses.respond_json(
            {
                "service": service,
                "now_s": self._application.clock.now_s(),
                "targets": [dataclasses.asdict(row) for row in rows],
            }
        )

    def _serve_health(self, _request: werkzeug.Request) -> werkzeug.Response:
        return responses.respond_json({"phase": self._application.phase})

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
        return responses.respond_json(
            {"is_ready": is_ready, "phase": self._application.phase}, status
        )

    def _serve_report(self, _request: werkzeug.Request) -> werkzeug.Response:
        totals = self._burn.totals(self._application.clock.now_s())
        current = self._configurations.current
        services = current.content.services if current else {}
        return responses.respond_json(
            {
                "services": {
                    name: {
                        "objective": dataclasses.asdict(service.objective),
                        "windows": [
                            {
                                "window_s": window_s,
                                **dataclasses.asdict(
                                    totals.get(name, {}).get(
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
        rejected = self._configurations.last_rejected
        marks = self._decisions.leaving_marks()
        return responses.respond_json(
            {
                "own": _describe(self._members.own),
                "phase": self._application.phase,
                "configuration_version": version,
                "configuration_digest": digest,
                "last_rejected": (
                    dataclasses.asdict(rejected) if rejected else None
                ),
                "leaving_targets": [mark._asdict() for mark in marks],
                "members": [
                    _describe(member) for member in self._members.members()
                ],
            }
        )


def _describe(member: models.Member) -> dict[str, object]:
    content = dataclasses.asdict(member)
    content["state"] = content["state"].name.lower()
    return content
