"""Check the guarantees against what callers and targets observed."""

import dataclasses
import time

#: Stability window: a host is undisturbed this long after a fault.
STABLE_S = 3.0
#: Bounds of the platform: withdrawal of targets, configurations, probes.
_DRAIN_S = 2.0
_CONFIG_S = 2.0
_PROBES_PER_S = 60
#: Statuses that state that a request has not run.
_NOT_RUN = (408, 421, 429, 503)
#: Tolerance before and after a call in which a kill explains its cut.
_KILL_MARGIN_S = 0.05
#: Minimum share of served requests in the last second.
_SERVED_SHARE = 0.25


@dataclasses.dataclass(kw_only=True)
class Disturbance:
    """Record until when a component is disturbed, and when it was killed."""

    until_s: float = 0.0
    killed_s: list[float] = dataclasses.field(default_factory=list)

    def extend(self, duration_s=0.0):
        self.until_s = max(self.until_s, time.monotonic() + duration_s)


@dataclasses.dataclass(kw_only=True)
class TargetRecord:
    """Hold what all targets observed of one request."""

    runs: int = 0
    arrived_s: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True)
class CallerResult:
    """Hold the result of one request as its caller observed it.

    Status 0 means that the connection ended without a response, -1 that the
    caller closed the connection before the response.
    """

    request_id: bytes
    host: int
    is_idempotent: bool
    path: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""


@dataclasses.dataclass(kw_only=True)
class Evidence:
    """Collect the observations of one run; times are monotonic seconds.

    :param host_disturbances: disturbances of each entry host.
    :param store_disturbance: disturbances of the store as a whole.
    :param target_records: observations of targets, by request identity.
    :param caller_results: results that callers observed.
    :param withdrawn_targets: targets that were withdrawn.
    :param remaining_targets: targets registered at the end of the run.
    :param published_s: when each version with a route of its own was
        published.
    :param ended_s: end of the run.
    """

    host_disturbances: list[Disturbance]
    store_disturbance: Disturbance = dataclasses.field(
        default_factory=Disturbance
    )
    target_records: dict[bytes, TargetRecord] = dataclasses.field(
        default_factory=dict
    )
    caller_results: list[CallerResult] = dataclasses.field(
        default_factory=list
    )
    withdrawn_targets: list = dataclasses.field(default_factory=list)
    remaining_targets: list = dataclasses.field(default_factory=list)
    published_s: list[float] = dataclasses.field(default_factory=list)
    ended_s: float = 0.0

    def stable_from_s(self, host):
        """Return the time from which bounds apply to a host, in seconds."""
        return STABLE_S + max(
            self.host_disturbances[host].until_s,
            self.store_disturbance.until_s,
        )


def check(evidence):
    """Return one line for each violation of a guarantee."""
    return [
        *(
            line
            for result in evidence.caller_results
            for line in _check_result(evidence, result)
        ),
        *_check_withdrawals(evidence),
        *_check_configuration(evidence),
        *_check_probes(evidence),
        *_check_recovery(evidence),
    ]


def _check_result(evidence, result):
    record = evidence.target_records.get(result.request_id, TargetRecord())
    name = f"{result.request_id.decode()} at host {result.host}"
    expected = b"done " + result.request_id
    if result.status == 200 and result.body != expected:
        yield (
            f"wrong response to {name}: {result.body!r}, expected {expected!r}"
        )
    if not result.is_idempotent and record.runs > 1:
        yield f"{name} ran {record.runs} times"
    if result.status in _NOT_RUN and record.runs and not result.is_idempotent:
        yield f"{name} got status {result.status} but ran"
    was_killed = any(
        result.sent_s - _KILL_MARGIN_S
        <= killed_s
        <= result.ended_s + _KILL_MARGIN_S
        for killed_s in evidence.host_disturbances[result.host].killed_s
    )
    if result.status == 0 and record.arrived_s and not was_killed:
        yield f"{name} was forwarded and then cut off"


def _check_withdrawals(evidence):
    for target in evidence.withdrawn_targets:
        for arrived_s, host in target.arrivals:
            # Bounds apply to a host only after its last disturbance.
            bound_s = max(target.withdrawn_s, evidence.stable_from_s(host))
            if arrived_s > bound_s + _DRAIN_S:
                late_s = arrived_s - target.withdrawn_s
                yield (
                    f"{target.target_id} got a request from host {host} "
                    f"{late_s:.2f} s after it was withdrawn"
                )


def _check_configuration(evidence):
    newest_served_versions = [0] * len(evidence.host_disturbances)
    for result in sorted(
        evidence.caller_results, key=lambda result: result.sent_s
    ):
        if not result.path.startswith("/v") or result.status <= 0:
            continue
        version = int(result.path[2:-1])
        host = evidence.host_disturbances[result.host]
        has_route = result.status not in (404, 503)
        if has_route and version < newest_served_versions[result.host]:
            yield f"host {result.host} reverted to version {version}"
        if has_route and not host.killed_s:
            newest_served_versions[result.host] = max(
                newest_served_versions[result.host], version
            )
        published_s = evidence.published_s[version - 1]
        bound_s = max(published_s, evidence.stable_from_s(result.host))
        is_newest = version == len(evidence.published_s)
        is_overdue = result.sent_s > bound_s + _CONFIG_S
        if is_newest and result.status == 404 and is_overdue:
            late_s = result.sent_s - published_s
            yield (
                f"host {result.host} does not serve version {version} "
                f"{late_s:.2f} s after it was published"
            )


def _check_probes(evidence):
    for target in (*evidence.remaining_targets, *evidence.withdrawn_targets):
        elapsed_s = evidence.ended_s - target.started_s
        if target.probes > _PROBES_PER_S * elapsed_s:
            yield f"{target.target_id} was probed {target.probes} times"


def _check_recovery(evidence):
    last_results = [
        result
        for result in evidence.caller_results
        if result.sent_s > evidence.ended_s - 1
    ]
    served = sum(result.status == 200 for result in last_results)
    if not last_results or served < _SERVED_SHARE * len(last_results):
        yield (
            f"only {served} of {len(last_results)} requests served at the end"
        )
