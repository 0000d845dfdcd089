"""Measure the slopes behind docs/CAPACITY.md and print them."""

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

_HEAD: typing.Final = """format_version = 1
[measuring]
fleet_probes_per_second = 100000.0
fleet_bytes_per_second = 100000000.0
target_probes_per_second = 1000.0
"""
_SERVICE: typing.Final = """
[services.s{number}]
unstarted_replies = [{{ status = 503, header = "Target-Shed" }}]
[services.s{number}.objective]
answered_ratio = 0.999
latency_ms = 100
latency_ratio = 0.99
"""
_TARGET: typing.Final = """
[[services.s{number}.targets]]
address = "10.{high}.{middle}.{low}:9000"
failure_domain = "domain-{domain}"
slots = 6
"""
_FAILURE_DOMAINS: typing.Final = 7


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """Hold one measured figure.

    :param name: what was measured.
    :param size: size at which it was measured.
    :param value: figure.
    :param unit: unit of the figure.
    """

    name: str
    size: str
    value: float
    unit: str


def make_text(services: int, targets: int) -> str:
    """Return a text with targets spread evenly over services."""
    parts = [_HEAD]
    position = 0
    for number in range(services):
        parts.append(_SERVICE.format(number=number))
        share = (number + 1) * targets // services
        while position < share:
            position += 1
            parts.append(
                _TARGET.format(
                    number=number,
                    high=position >> 16,
                    middle=position >> 8 & 255,
                    low=position & 255,
                    domain=position % _FAILURE_DOMAINS,
                )
            )
    return "".join(parts)


def measure_text(services: int, targets: int) -> list[Slope]:
    """Measure size, reading time and memory of a text."""
    text = make_text(services, targets)
    size = f"{services} services, {targets} targets"
    packed = zlib.compress(text.encode())
    tracemalloc.start()
    content = loader.parse_configuration(source_name="x", text=text)
    made = _make_engine(1)
    made.apply_configuration(content)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    read_s = _time(
        lambda: loader.parse_configuration(source_name="x", text=text), 1
    )
    return [
        Slope(name="text", size=size, value=len(text), unit="B"),
        Slope(name="text, packed", size=size, value=len(packed), unit="B"),
        Slope(name="read", size=size, value=read_s * 1000, unit="ms"),
        Slope(
            name="held content", size=size, value=held_bytes / 1e6, unit="MB"
        ),
    ]


def measure_decision(targets: int) -> Slope:
    """Measure one choice and its end among targets of one service."""
    made = _make_engine(1)
    made.apply_configuration(
        loader.parse_configuration(source_name="x", text=make_text(1, targets))
    )
    result = decision_models.AttemptResult(
        classified_outcome=decision_models.ClassifiedOutcome(
            outcome=decision_models.Outcome.ANSWERED,
            reason=decision_models.Reason.WHOLE_ANSWER,
        ),
        latency_ms=10.0,
    )

    def decide() -> None:
        chosen = made.begin_attempt("s0", 1000.0)
        if isinstance(chosen, decision_models.Attempt):
            made.finish_attempt(chosen, result, 1000.01)

    seconds = _time(decide, max(20000 // targets, 3))
    return Slope(
        name="choice and end",
        size=f"{targets} targets in a service",
        value=seconds * 1e6,
        unit="us",
    )


def measure_tickets(count: int) -> list[Slope]:
    """Measure the memory and time of tickets."""
    table = tickets.TicketTable(lifetime_s=60.0, max_records=count)
    tracemalloc.start()
    issued = [table.issue(0.0) for _ in range(count)]
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    remaining = iter(issued)
    answer = tickets.StoredResponse(
        classified_outcome=decision_models.ClassifiedOutcome(
            outcome=decision_models.Outcome.ANSWERED,
            reason=decision_models.Reason.WHOLE_ANSWER,
        ),
        status=200,
        headers=(),
        body=b"",
    )

    def run_one() -> None:
        ticket_id = next(remaining)
        table.claim(ticket_id, "digest", 1.0)
        table.finish(ticket_id, answer, 1.0)

    seconds = _time(run_one, count // 2)
    size = f"{count} tickets"
    return [
        Slope(name="ticket", size=size, value=held_bytes / count, unit="B"),
        Slope(name="claim and end", size=size, value=seconds * 1e6, unit="us"),
    ]


def measure_gossip(hosts: int) -> list[Slope]:
    """Measure a ping and its acknowledgement when all fields are full."""
    clock = clocks.ManualClock()
    table = membership.MemberTable(
        own=_make_member(0), random_source=random.Random(1), clock=clock
    )
    decisions = _make_engine(1)
    for number in range(peers_const.MAX_GOSSIP_MARKS):
        decisions.mark_leaving(f"10.0.0.{number}:9000", "0123abcd", 0.0)
    exchange = gossip.GossipExchange(
        members=table,
        configurations=_Coordinator(),
        decisions=decisions,
        own_reports=reports.ReportBuffer(),
        clock=clock,
        random_source=random.Random(1),
    )
    tracemalloc.start()
    for number in range(1, hosts):
        table.apply(_make_member(number), 0.0)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    message = exchange.build_message()
    seconds = _time(
        lambda: exchange.process_message(
            type(message).FromString(
                exchange.build_message().SerializeToString()
            ),
            0.0,
        ),
        200,
    )
    tick_s = _time(lambda: table.tick(0.0), 20)
    size = f"{hosts} entry hosts"
    return [
        Slope(
            name="full gossip message",
            size=size,
            value=message.ByteSize(),
            unit="B",
        ),
        Slope(
            name="make, pack, unpack and take in",
            size=size,
            value=seconds * 1e6,
            unit="us",
        ),
        Slope(name="member", size=size, value=held_bytes / hosts, unit="B"),
        Slope(
            name="tick of members", size=size, value=tick_s * 1e6, unit="us"
        ),
    ]


class _Coordinator(coordinator.ConfigurationCoordinator):
    """Name a version without holding a text."""

    @property
    def order_key(self) -> tuple[int, str]:
        """Return a full-sized key."""
        return (1_000_000, "f" * 64)


def _make_member(number: int) -> peers_models.Member:
    address = f"10.{number >> 8}.{number & 255}.1"
    return peers_models.Member(
        peer_address=f"{address}:8200",
        caller_address=f"{address}:8100",
        failure_domain=f"domain-{number % _FAILURE_DOMAINS}",
        process_id=f"{number:016x}",
        incarnation=1_700_000_000_000 + number,
    )


def _make_engine(seed: int) -> engine.DecisionEngine:
    source = random.Random(seed)
    return engine.DecisionEngine(
        policy=selection.LeastExpectedWaitPolicy(random_source=source),
        random_source=source,
    )


def _time(work: collections.abc.Callable[[], object], count: int) -> float:
    """Return the processor seconds of one run, the best of three."""
    best_s = float("inf")
    for _ in range(1 if count == 1 else 3):
        started_s = time.process_time()
        for _ in range(max(count // 3, 1)):
            work()
        elapsed_s = time.process_time() - started_s
        best_s = min(best_s, elapsed_s / max(count // 3, 1))
    return best_s


def measure_all() -> list[Slope]:
    """Return all slopes."""
    return [
        *measure_text(4, 30),
        *measure_text(87, 2500),
        *measure_text(290, 8333),
        *(measure_decision(count) for count in (12, 300, 8333)),
        *measure_tickets(30000),
        *(item for count in (16, 256, 8000) for item in measure_gossip(count)),
    ]


@cappa.command(name="capacity")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CapacityCommand:
    """Measure the slopes behind docs/CAPACITY.md."""

    json: typing.Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> int:
        """Run the measurement and return the exit code."""
        slopes = measure_all()
        if self.json:
            output.print_json([dataclasses.asdict(item) for item in slopes])
            return 0
        output.print_table(
            ("what", "size", "value", "unit"),
            (
                (item.name, item.size, f"{item.value:.1f}", item.unit)
                for item in slopes
            ),
        )
        return 0


def main() -> None:
    """Run the measurement."""
    sys.exit(cappa.parse(CapacityCommand)())


if __name__ == "__main__":
    main()
