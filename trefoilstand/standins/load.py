"""Send a mix of marked requests and check every response."""

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
    """Describe one kind of request in the mix.

    :param service: name of the service.
    :param method: HTTP method.
    :param path: path inside the service.
    :param is_repeatable: True if the request is idempotent.
    """

    service: str
    method: str
    path: str
    is_repeatable: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallRecord:
    """Hold one sent request and its result.

    :param mark: value of the mark header, unique to the request.
    :param operation: kind of the request.
    :param outcome: outcome that was reported to the caller.
    :param reason: reason for the outcome.
    :param status: HTTP status of the response, 0 without one.
    :param latency_ms: duration of the whole call in ms.
    :param is_own_response: True if the response has the mark of the request.
    """

    mark: str
    operation: Operation
    outcome: decision_models.Outcome
    reason: decision_models.Reason
    status: int
    latency_ms: float
    is_own_response: bool


def run(
    client: entry_client.EntryClient,
    operations: typing.Sequence[Operation],
    *,
    calls: int,
    callers: int,
    seed: int,
    timeout_ms: int = 2000,
) -> list[CallRecord]:
    """Send a random mix of requests from several concurrent callers.

    :param client: client that sends the requests.
    :param operations: kinds of request to choose from.
    :param calls: number of requests.
    :param callers: number of concurrent callers.
    :param seed: seed of the choice, also part of each mark.
    :param timeout_ms: timeout of each call in ms.
    :returns: records of the calls, in the order of their marks.
    """
    generator = random.Random(seed)
    marked_operations = [
        (f"{seed}-{position}", generator.choice(operations))
        for position in range(calls)
    ]

    def send(item: tuple[str, Operation]) -> CallRecord:
        return send_call(client, item[0], item[1], timeout_ms)

    with concurrent.futures.ThreadPoolExecutor(callers) as executor:
        return list(executor.map(send, marked_operations))


def send_call(
    client: entry_client.EntryClient,
    mark: str,
    operation: Operation,
    timeout_ms: int,
) -> CallRecord:
    """Send one marked request.

    :param client: client that sends the request.
    :param mark: value of the mark header.
    :param operation: kind of the request.
    :param timeout_ms: timeout of the call in ms.
    :returns: record of the call; "not run" if no entry host answered.
    """
    try:
        result = client.call(
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
        result = client_models.ClientEnd(
            outcome=decision_models.Outcome.NOT_RUN,
            reason=decision_models.Reason.CONNECTION_REFUSED,
        )
    return CallRecord(
        mark=mark,
        operation=operation,
        outcome=result.outcome,
        reason=result.reason,
        status=result.status,
        latency_ms=result.latency_ms,
        is_own_response=_has_mark(result.body, mark),
    )


def run_direct(
    addresses: typing.Sequence[str], *, calls: int, callers: int
) -> list[float]:
    """Send lookups directly to targets, without an entry host.

    :param addresses: addresses of the targets, used in turn.
    :param calls: number of requests.
    :param callers: number of concurrent callers.
    :returns: latency of each request in ms.
    """
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
    """Return the number of runs of each marked request on all targets.

    :param addresses: addresses of the target stand-ins.
    """
    runs: collections.Counter[str] = collections.Counter()
    for address in addresses:
        runs.update(control.TargetControl(address=address).read_counts().runs)
    return runs


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Violations:
    """Count violations of the delivery guarantees; all must be 0.

    :param doubled: non-idempotent requests that ran more than once.
    :param lost: requests reported as successful that never ran.
    :param foreign: responses without the mark of their request.
    :param denied: requests reported as "not run" that did run.
    """

    doubled: int
    lost: int
    foreign: int
    denied: int

    @property
    def total(self) -> int:
        """Return the sum of all violations."""
        return self.doubled + self.lost + self.foreign + self.denied


def count_violations(
    calls: typing.Iterable[CallRecord], runs: collections.Counter[str]
) -> Violations:
    """Compare the reported outcomes with the runs on the targets.

    :param calls: records of all calls.
    :param runs: number of runs of each request, by its mark.
    """
    doubled = lost = foreign = denied = 0
    for call in calls:
        is_answered = call.outcome is decision_models.Outcome.ANSWERED
        is_not_run = call.outcome is decision_models.Outcome.NOT_RUN
        run_count = runs[call.mark]
        doubled += run_count > 1 and not call.operation.is_repeatable
        # A response with an error status does not claim that the request ran.
        lost += is_answered and call.status < 400 and run_count == 0
        foreign += is_answered and not call.is_own_response
        denied += is_not_run and run_count > 0
    return Violations(
        doubled=doubled, lost=lost, foreign=foreign, denied=denied
    )


def percentile(values: typing.Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies.

    :param values: values in any order, at least one.
    :param share: share from 0 to 1.
    """
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def _has_mark(body: bytes, mark: str) -> bool:
    try:
        return bool(json.loads(body)["mark"] == mark)
    except (ValueError, KeyError, TypeError):
        return False
