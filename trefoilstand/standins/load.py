"""Send a mix of marked requests and check every answer."""

import collections
import concurrent.futures
import dataclasses
import json
import random
import time
import typing

from trefoilstand.client import entry_client
from trefoilstand.client import models as client_models
from trefoilstand.decision import models as decision_models
from trefoilstand.standins import control
from trefoilstand.targets import exchange
from trefoilstand.targets import models as targets_models
from trefoilstand.util import clock as clocks

MARK_HEADER: typing.Final = "Caller-Mark"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Operation:
    """Describe one kind of request of the mix.

    :param service: name of the service.
    :param method: HTTP method.
    :param path: path inside the service.
    :param is_repeatable: True where it may run more than once.
    """

    service: str
    method: str
    path: str
    is_repeatable: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadedCall:
    """Pair one sent request with its end.

    :param mark: mark that is unique to the request.
    :param operation: kind of the request.
    :param outcome: what its caller was told.
    :param reason: observation behind it.
    :param status: HTTP status of the answer, 0 without one.
    :param latency_ms: time of the whole call.
    :param is_own_answer: True where the answer carries the mark.
    """

    mark: str
    operation: Operation
    outcome: decision_models.Outcome
    reason: decision_models.Reason
    status: int
    latency_ms: float
    is_own_answer: bool


def run(
    client: entry_client.EntryClient,
    operations: typing.Sequence[Operation],
    *,
    calls: int,
    callers: int,
    seed: int,
    timeout_ms: int = 2000,
) -> list[LoadedCall]:
    """Send a seeded mix from several callers at once."""
    source = random.Random(seed)
    planned = [
        (f"{seed}-{position}", source.choice(operations))
        for position in range(calls)
    ]

    def send(item: tuple[str, Operation]) -> LoadedCall:
        return send_one(client, item[0], item[1], timeout_ms)

    with concurrent.futures.ThreadPoolExecutor(callers) as executor:
        return list(executor.map(send, planned))


def send_one(
    client: entry_client.EntryClient,
    mark: str,
    operation: Operation,
    timeout_ms: int,
) -> LoadedCall:
    """Send one marked request."""
    try:
        end = client.call(
            client_models.ClientRequest(
                service=operation.service,
                method=operation.method,
                path=operation.path,
                headers=((MARK_HEADER, mark),),
                body=b"" if operation.method == "GET" else mark.encode(),
                is_repeatable=operation.is_repeatable,
                timeout_ms=timeout_ms,
            )
        )
    except entry_client.NoEntryHostError:
        end = client_models.ClientEnd(
            outcome=decision_models.Outcome.NOT_RUN,
            reason=decision_models.Reason.CONNECTION_REFUSED,
        )
    return LoadedCall(
        mark=mark,
        operation=operation,
        outcome=end.outcome,
        reason=end.reason,
        status=end.status,
        latency_ms=end.latency_ms,
        is_own_answer=_carries(end.body, mark),
    )


def run_direct(
    addresses: typing.Sequence[str], *, calls: int, callers: int
) -> list[float]:
    """Send lookups directly to targets and return latencies in ms."""
    clock = clocks.MonotonicClock()
    client = exchange.TargetClient(clock=clock)

    def send(position: int) -> float:
        started_s = time.monotonic()
        client.exchange(
            targets_models.TargetRequest(
                address=addresses[position % len(addresses)],
                method="GET",
                path="/quotes/1",
                headers=(),
                body=b"",
                deadline_s=clock.now_s() + 5.0,
                is_repeatable=True,
                max_response_bytes=65536,
            )
        )
        return (time.monotonic() - started_s) * 1000

    with concurrent.futures.ThreadPoolExecutor(callers) as executor:
        return list(executor.map(send, range(calls)))


def count_runs(addresses: typing.Iterable[str]) -> collections.Counter[str]:
    """Return how often each marked request ran on all targets."""
    runs: collections.Counter[str] = collections.Counter()
    for address in addresses:
        runs.update(control.TargetControl(address=address).counts().runs)
    return runs


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Violations:
    """Count broken promises; all fields must be 0.

    :param doubled: non-idempotent requests that ran more than once.
    :param lost: requests told as successful that never ran.
    :param foreign: answers that do not carry the mark of their request.
    :param denied: requests told as "not run" that did run.
    """

    doubled: int
    lost: int
    foreign: int
    denied: int

    @property
    def total(self) -> int:
        """Return the sum of all."""
        return self.doubled + self.lost + self.foreign + self.denied


def check(
    calls: typing.Iterable[LoadedCall], runs: collections.Counter[str]
) -> Violations:
    """Compare what callers were told with what targets ran."""
    doubled = lost = foreign = denied = 0
    for call in calls:
        is_answered = call.outcome is decision_models.Outcome.ANSWERED
        is_denied = call.outcome is decision_models.Outcome.NOT_RUN
        ran = runs[call.mark]
        doubled += ran > 1 and not call.operation.is_repeatable
        # An answer that tells of a failure does not claim a run.
        lost += is_answered and call.status < 400 and ran == 0
        foreign += is_answered and not call.is_own_answer
        denied += is_denied and ran > 0
    return Violations(
        doubled=doubled, lost=lost, foreign=foreign, denied=denied
    )


def percentile(values: typing.Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def _carries(body: bytes, mark: str) -> bool:
    try:
        return bool(json.loads(body)["mark"] == mark)
    except (ValueError, KeyError, TypeError):
        return False
