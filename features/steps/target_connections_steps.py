import asyncio

from behave import given
from behave import then
from behave import when

from features.support import scripted_http
from trefoilstand.experiments import virtual_time
from trefoilstand.gateway import connection_quota
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import target_quota
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models

_SERVICE = "quotes"
_RUN_S = 30.0
_STEP_S = 0.1


@given("{hosts:d} hosts before a target that accepts {limit:d} connections")
def describe_fleet(context, hosts, limit):
    context.hosts = hosts
    context.limit = limit


@when("one of them gets 30 requests at the same time")
def send_at_once(context):
    async def run():
        target = scripted_http.ScriptedTarget(
            target_id="i-first", behaviour="brief"
        )
        context.target = target
        harness = scripted_http.GatewayHarness(
            targets=[target],
            route=scripted_http.make_route(is_idempotent=False, timeout_s=8.0),
            connection_quota=_settled_quota(context.hosts, context.limit),
        )
        await harness.start()
        try:
            context.responses = await asyncio.gather(
                *(_send(harness.port, number) for number in range(30))
            )
            context.ejected_until_s = harness.state.targets.get(
                "i-first"
            ).ejected_until_s
        finally:
            harness.stop()

    asyncio.run(run())


def _settled_quota(hosts, limit):
    tracker = retry_budget.HostCountTracker(now_s=float("-inf"))
    tracker.update(hosts, float("-inf"))
    quota = connection_quota.ConnectionQuota(hosts=tracker)
    quota.set_limits({_SERVICE: limit})
    return quota


async def _send(port, number):
    data = scripted_http.request_bytes(
        request_id=b"n%d" % number,
        method=b"POST",
        deadline_ms=8000,
        extra_fields=b"Content-Length: 0\r\n",
    )
    status, _, _ = await scripted_http.send_request(port, data)
    return status


@then("it has at most {share:d} connections to the target at any time")
def check_open(context, share):
    assert context.target.most_connections <= share, (
        context.target.most_connections
    )


@then("all requests are answered and the target is not set aside")
def check_answers(context):
    assert context.responses == [200] * 30, context.responses
    assert context.ejected_until_s == 0.0, context.ejected_until_s


@when("all start together, knowing {known:d} to all within {period_s:g} s")
def start_together(context, known, period_s):
    """Let one host compute its share; all hosts behave alike."""
    tracker = retry_budget.HostCountTracker(now_s=0.0)
    quota = connection_quota.ConnectionQuota(hosts=tracker)
    quota.set_limits({_SERVICE: context.limit})
    context.shares = []
    for step in range(int(_RUN_S / _STEP_S)):
        now_s = step * _STEP_S
        learned_share = min(now_s / period_s, 1.0)
        count = known + int((context.hosts - known) * learned_share)
        tracker.update(count, now_s)
        context.shares.append([quota.share(_SERVICE, now_s)] * context.hosts)


@when("half of them seem dead to the others for 20 s")
def part_fleet(context):
    """Let one host of each half compute its share."""

    def run(loop):
        return _part(context, virtual_time.LoopClock(loop=loop))

    half = context.hosts // 2
    shares = virtual_time.run(run)
    context.shares = [
        [first] * half + [second] * (context.hosts - half)
        for first, second in zip(*shares, strict=True)
    ]


async def _part(context, clock):
    half = context.hosts // 2
    views = [
        _PartedView(context, clock, own=0, dead=range(half, context.hosts)),
        _PartedView(context, clock, own=half, dead=range(half)),
    ]
    shares = [[], []]
    while clock.now_s() < _RUN_S:
        is_parted = 5.0 <= clock.now_s() < 25.0
        for view, view_shares in zip(views, shares, strict=True):
            view_shares.append(view.share(is_parted))
        await asyncio.sleep(_STEP_S)
    return shares


class _PartedView:
    """The view of one host, to which some members die and come back."""

    def __init__(self, context, clock, own, dead):
        self._clock = clock
        self._members = membership.MemberTable(
            own=_member(own), random_source=None, clock=clock
        )
        self._others = [
            number for number in range(context.hosts) if number != own
        ]
        self._dead = dead
        for number in self._others:
            self._members.apply(_member(number), clock.now_s())
        self._ranking = target_quota.MemberRanking(
            members=self._members, now_s=float("-inf")
        )
        self._quota = connection_quota.ConnectionQuota(
            hosts=self._ranking.known_hosts
        )
        self._quota.set_limits({_SERVICE: context.limit})

    def share(self, is_parted):
        now_s = self._clock.now_s()
        state = peers_models.MemberState.DEAD
        if not is_parted:
            state = peers_models.MemberState.ALIVE
        for number in self._dead:
            self._members.apply(
                _member(number, state=state, refutation=int(now_s >= 25.0)),
                now_s,
            )
        self._members.tick(now_s)
        self._ranking.update(now_s)
        return self._quota.share(_SERVICE, now_s)


def _member(number, state=peers_models.MemberState.ALIVE, refutation=0):
    address = f"10.0.{number // 250}.{number % 250 + 1}"
    return peers_models.Member(
        peer_address=f"{address}:7000",
        caller_address=f"{address}:8000",
        failure_domain="d0",
        process_id=f"p{number}",
        incarnation=1,
        state=state,
        refutation=refutation,
    )


@then("their shares never exceed the limit together")
def check_sum(context):
    largest = max(sum(shares) for shares in context.shares)
    assert largest <= context.limit, (largest, context.limit)


@then("each host may open a connection at any time")
def check_smallest(context):
    assert min(min(shares) for shares in context.shares) >= 1
