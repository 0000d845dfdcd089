"""Measure the figures behind docs/CAPACITY.md and print them."""

import collections.abc
import dataclasses
import random
import sys
import time
import tracemalloc
import typing
import zlib

import cappa

from trefoilstand.cli import output
from trefoilstand.configuration import coordinator
from trefoilstand.configuration import loader
from trefoilstand.decision import engine
from trefoilstand.decision import models as decision_models
from trefoilstand.decision import selection
from trefoilstand.decision import tickets
from trefoilstand.peers import const as peers_const
from trefoilstand.peers import gossip
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models
from trefoilstand.peers import reports
from trefoilstand.util import clock as clocks

_HEAD_TEXT: typing.Final = """format_version = 1
[measuring]
fleet_probes_per_second = 100000.0
fleet_bytes_per_second = 100000000.0
target_probes_per_second = 1000.0
"""
_SERVICE_TEXT: typing.Final = """
[services.s{number}]
unstarted_replies = [{{ status = 503, header = "Target-Shed" }}]
[services.s{number}.objective]
answered_ratio = 0.999
latency_ms = 100
latency_ratio = 0.99
"""
_TARGET_TEXT: typing.Final = """
[[services.s{number}.targets]]
address = "10.{high}.{middle}.{low}:9000"
failure_domain = "domain-{domain}"
slots = 6
"""
_FAILURE_DOMAIN_COUNT: typing.Final = 7


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Measurement:
    """Hold one measured figure and the size it was measured at.

    :param name: what was measured.
    :param size: size at which it was measured.
    :param value: measured figure.
    :param unit: unit of the figure.
    """

    name: str
    size: str
    value: float
    unit: str


def make_configuration_text(services: int, targets: int) -> str:
    """Return a configuration text with targets spread evenly over services.

    :param services: number of services.
    :param targets: number of targets of all services together.
    """
    parts = [_HEAD_TEXT]
    target_number = 0
    for number in range(services):
        parts.append(_SERVICE_TEXT.format(number=number))
        end_number = (number + 1) * targets // services
        while target_number < end_number:
            target_number += 1
            parts.append(
                _TARGET_TEXT.format(
                    number=number,
                    high=target_number >> 16,
                    middle=target_number >> 8 & 255,
                    low=target_number & 255,
                    domain=target_number % _FAILURE_DOMAIN_COUNT,
                )
            )
    return "".join(parts)


def measure_configuration(services: int, targets: int) -> list[Measurement]:
    """Measure size, parsing time and memory of a configuration text.

    :param services: number of services.
    :param targets: number of targets of all services together.
    """
    text = make_configuration_text(services, targets)
    size = f"{services} services, {targets} targets"
    compressed_text = zlib.compress(text.encode())
    tracemalloc.start()
    content = loader.parse_configuration(source_name="x", text=text)
    decision_engine = _make_engine(1)
    decision_engine.apply_configuration(content)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    parse_s = _measure_cpu_s(
        lambda: loader.parse_configuration(source_name="x", text=text), 1
    )
    return [
        Measurement(name="text", size=size, value=len(text), unit="B"),
        Measurement(
            name="text, packed",
            size=size,
            value=len(compressed_text),
            unit="B",
        ),
        Measurement(name="read", size=size, value=parse_s * 1000, unit="ms"),
        Measurement(
            name="held content", size=size, value=held_bytes / 1e6, unit="MB"
        ),
    ]


def measure_decision(targets: int) -> Measurement:
    """Measure the CPU time to begin and finish one attempt.

    :param targets: number of targets in the service.
    """
    decision_engine = _make_engine(1)
    decision_engine.apply_configuration(
        loader.parse_configuration(
            source_name="x", text=make_configuration_text(1, targets)
        )
    )
    result = decision_models.AttemptResult(
        classified_outcome=decision_models.ClassifiedOutcome(
            outcome=decision_models.Outcome.ANSWERED,
            reason=decision_models.Reason.WHOLE_ANSWER,
        ),
        latency_ms=10.0,
    )

    def begin_and_finish() -> None:
        attempt = decision_engine.begin_attempt("s0", 1000.0)
        if isinstance(attempt, decision_models.Attempt):
            decision_engine.finish_attempt(attempt, result, 1000.01)

    seconds = _measure_cpu_s(begin_and_finish, max(20000 // targets, 3))
    return Measurement(
        name="choice and end",
        size=f"{targets} targets in a service",
        value=seconds * 1e6,
        unit="us",
    )


def measure_tickets(count: int) -> list[Measurement]:
    """Measure memory and CPU time of one ticket.

    :param count: number of tickets to issue.
    """
    ticket_table = tickets.TicketTable(lifetime_s=60.0, max_records=count)
    tracemalloc.start()
    issued = [ticket_table.issue(0.0) for _ in range(count)]
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    unclaimed = iter(issued)
    response = tickets.StoredResponse(
        classified_outcome=decision_models.ClassifiedOutcome(
            outcome=decision_models.Outcome.ANSWERED,
            reason=decision_models.Reason.WHOLE_ANSWER,
        ),
        status=200,
        headers=(),
        body=b"",
    )

    def claim_and_finish() -> None:
        ticket_id = next(unclaimed)
        ticket_table.claim(ticket_id, "digest", 1.0)
        ticket_table.finish(ticket_id, response, 1.0)

    seconds = _measure_cpu_s(claim_and_finish, count // 2)
    size = f"{count} tickets"
    return [
        Measurement(
            name="ticket", size=size, value=held_bytes / count, unit="B"
        ),
        Measurement(
            name="claim and end", size=size, value=seconds * 1e6, unit="us"
        ),
    ]


def measure_gossip(hosts: int) -> list[Measurement]:
    """Measure a ping and its acknowledgement when all fields are full.

    :param hosts: number of entry hosts in the member table.
    """
    clock = clocks.ManualClock()
    member_table = membership.MemberTable(
        own=_make_member(0), random_source=random.Random(1), clock=clock
    )
    decisions = _make_engine(1)
    for number in range(peers_const.MAX_GOSSIP_MARKS):
        decisions.mark_leaving(f"10.0.0.{number}:9000", "0123abcd", 0.0)
    exchange = gossip.GossipExchange(
        members=member_table,
        configurations=_TextlessCoordinator(),
        decisions=decisions,
        own_reports=reports.ReportBuffer(),
        clock=clock,
        random_source=random.Random(1),
    )
    tracemalloc.start()
    for number in range(1, hosts):
        member_table.apply(_make_member(number), 0.0)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    message = exchange.build_message()
    seconds = _measure_cpu_s(
        lambda: exchange.process_message(
            type(message).FromString(
                exchange.build_message().SerializeToString()
            ),
            0.0,
        ),
        200,
    )
    tick_s = _measure_cpu_s(lambda: member_table.tick(0.0), 20)
    size = f"{hosts} entry hosts"
    return [
        Measurement(
            name="full gossip message",
            size=size,
            value=message.ByteSize(),
            unit="B",
        ),
        Measurement(
            name="make, pack, unpack and take in",
            size=size,
            value=seconds * 1e6,
            unit="us",
        ),
        Measurement(
            name="member", size=size, value=held_bytes / hosts, unit="B"
        ),
        Measurement(
            name="tick of members", size=size, value=tick_s * 1e6, unit="us"
        ),
    ]


class _TextlessCoordinator(coordinator.ConfigurationCoordinator):
    """Report a configuration version without holding a text."""

    @property
    def order_key(self) -> tuple[int, str]:
        """Return an order key of full size."""
        return (1_000_000, "f" * 64)


def _make_member(number: int) -> peers_models.Member:
    address = f"10.{number >> 8}.{number & 255}.1"
    return peers_models.Member(
        peer_address=f"{address}:8200",
        caller_address=f"{address}:8100",
        failure_domain=f"domain-{number % _FAILURE_DOMAIN_COUNT}",
        process_id=f"{number:016x}",
        incarnation=1_700_000_000_000 + number,
    )


def _make_engine(seed: int) -> engine.DecisionEngine:
    source = random.Random(seed)
    return engine.DecisionEngine(
        policy=selection.LeastExpectedWaitPolicy(random_source=source),
        random_source=source,
    )


def _measure_cpu_s(
    function: collections.abc.Callable[[], object], count: int
) -> float:
    """Return the CPU seconds of one call, the best of three rounds."""
    best_call_s = float("inf")
    for _ in range(1 if count == 1 else 3):
        started_s = time.process_time()
        for _ in range(max(count // 3, 1)):
            function()
        elapsed_s = time.process_time() - started_s
        best_call_s = min(best_call_s, elapsed_s / max(count // 3, 1))
    return best_call_s


def measure_all() -> list[Measurement]:
    """Run all measurements and return their figures."""
    return [
        *measure_configuration(4, 30),
        *measure_configuration(87, 2500),
        *measure_configuration(290, 8333),
        *(measure_decision(count) for count in (12, 300, 8333)),
        *measure_tickets(30000),
        *(
            measurement
            for count in (16, 256, 8000)
            for measurement in measure_gossip(count)
        ),
    ]


@cappa.command(name="capacity")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CapacityCommand:
    """Measure the figures behind docs/CAPACITY.md."""

    json: typing.Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> int:
        """Run all measurements and return the exit code."""
        measurements = measure_all()
        if self.json:
            output.print_json(
                [
                    dataclasses.asdict(measurement)
                    for measurement in measurements
                ]
            )
            return 0
        output.print_table(
            ("what", "size", "value", "unit"),
            (
                (
                    measurement.name,
                    measurement.size,
                    f"{measurement.value:.1f}",
                    measurement.unit,
                )
                for measurement in measurements
            ),
        )
        return 0


def main() -> None:
    """Run the command."""
    sys.exit(cappa.parse(CapacityCommand)())


if __name__ == "__main__":
    main()
