"""Check the promises by what callers and targets of a soak have seen."""

import dataclasses
import time

#: A host counts as undisturbed after this long (stability window).
STABLE_S = 3.0
#: Bounds of the platform: leaving targets, configurations, probes.
_DRAIN_S = 2.0
_CONFIG_S = 2.0
_PROBES_PER_S = 60
#: Statuses that promise that a request has not run.
_NOT_RUN = (408, 421, 429, 503)
#: A kill counts as the cause of a cut this long around it.
_KILL_MARGIN_S = 0.05
#: Share of the requests of the last second that must be served.
_SERVED_SHARE = 0.25


@dataclasses.dataclass(kw_only=True)
class Disturbed:
    """Remember until when something was disturbed, and its kills."""

    until_s: float = 0.0
    killed_s: list[float] = dataclasses.field(default_factory=list)

    def note(self, seconds=0.0):
        self.until_s = max(self.until_s, time.monotonic() + seconds)


@dataclasses.dataclass(kw_only=True)
class Seen:
    """Hold what targets saw of one request."""

    runs: int = 0
    arrived_s: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True)
class Told:
    """Hold what a caller was told of one request.

    Status 0 stands for a connection that ended without an answer, -1 for a
    caller that left.
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
    """Collect what was seen.

    :param disturbed: disturbances of each entry host.
    :param store: disturbances of the store as a whole.
    :param seen: what targets saw, by request.
    :param told: what callers were told.
    :param gone: targets that left.
    :param remaining: targets that stayed.
    :param published: when each version with a route of its own came.
    :param ended_s: end of the run.
    """

    disturbed: list[Disturbed]
    store: Disturbed = dataclasses.field(default_factory=Disturbed)
    seen: dict[bytes, Seen] = dataclasses.field(default_factory=dict)
    told: list[Told] = dataclasses.field(default_factory=list)
    gone: list = dataclasses.field(default_factory=list)
    remaining: list = dataclasses.field(default_factory=list)
    published: list[float] = dataclasses.field(default_factory=list)
    ended_s: float = 0.0

    def stable_from_s(self, host):
        """Return from when on bounds hold for a host."""
        return STABLE_S + max(self.disturbed[host].until_s, self.store.until_s)


def check(evidence):
    """Return a line for each broken promise."""
    return [
        *(line for told in evidence.told for line in _answer(evidence, told)),
        *_leaving(evidence),
        *_configuration(evidence),
        *_probes(evidence),
        *_recovery(evidence),
    ]


def _answer(evidence, told):
    seen = evidence.seen.get(told.request_id, Seen())
    name = f"{told.request_id.decode()} at host {told.host}"
    expected = b"done " + told.request_id
    if told.status == 200 and told.body != expected:
        yield f"wrong answer to {name}: {told.body!r}"
    if not told.is_idempotent and seen.runs > 1:
        yield f"{name} ran {seen.runs} times"
    if told.status in _NOT_RUN and seen.runs and not told.is_idempotent:
        yield f"{name} was told {told.status} but ran"
    was_killed = any(
        told.sent_s - _KILL_MARGIN_S
        <= killed_s
        <= told.ended_s + _KILL_MARGIN_S
        for killed_s in evidence.disturbed[told.host].killed_s
    )
    if told.status == 0 and seen.arrived_s and not was_killed:
        yield f"{name} was sent on and then cut off"


def _leaving(evidence):
    for target in evidence.gone:
        for arrived_s, host in target.arrivals:
            # Hosts are excused up to their last disturbance of the run.
            bound_s = max(target.left_s, evidence.stable_from_s(host))
            if arrived_s > bound_s + _DRAIN_S:
                late_s = arrived_s - target.left_s
                yield (
                    f"{target.target_id} got work from host {host} "
                    f"{late_s:.2f} s after it left"
                )


def _configuration(evidence):
    newest = [0] * len(evidence.disturbed)
    for told in sorted(evidence.told, key=lambda told: told.sent_s):
        if not told.path.startswith("/v") or told.status <= 0:
            continue
        version = int(told.path[2:-1])
        host = evidence.disturbed[told.host]
        has_route = told.status not in (404, 503)
        if has_route and version < newest[told.host]:
            yield f"host {told.host} went back to version {version}"
        if has_route and not host.killed_s:
            newest[told.host] = max(newest[told.host], version)
        published_s = evidence.published[version - 1]
        bound_s = max(published_s, evidence.stable_from_s(told.host))
        is_newest = version == len(evidence.published)
        is_late = told.sent_s > bound_s + _CONFIG_S
        if is_newest and told.status == 404 and is_late:
            late_s = told.sent_s - published_s
            yield (
                f"host {told.host} lacks version {version} {late_s:.2f} s "
                "after it came"
            )


def _probes(evidence):
    for target in (*evidence.remaining, *evidence.gone):
        elapsed_s = evidence.ended_s - target.started_s
        if target.probes > _PROBES_PER_S * elapsed_s:
            yield f"{target.target_id} was probed {target.probes} times"


def _recovery(evidence):
    last = [
        told for told in evidence.told if told.sent_s > evidence.ended_s - 1
    ]
    served = sum(told.status == 200 for told in last)
    if not last or served < _SERVED_SHARE * len(last):
        yield f"{served} of {len(last)} requests served at the end"
