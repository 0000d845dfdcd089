"""Entry host that reads a scripted store in simulated time."""

import asyncio
import dataclasses
import json
import random

from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import coordinator
from trefoilstand.fleet import leaving_targets
from trefoilstand.fleet import lost_items
from trefoilstand.fleet import models
from trefoilstand.fleet import readers
from trefoilstand.fleet import replica
from trefoilstand.fleet import staleness_tracker
from trefoilstand.fleet import store
from trefoilstand.fleet import topology
from trefoilstand.gateway import registry
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import state
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models
from trefoilstand.platform import decoder

_STEP_S = 0.005
_TICK_INTERVAL_S = 0.25
_CALL_S = 0.004


class ScriptedStore(store.Store):
    """Store whose outages and cut watches are scheduled.

    :param clock: simulated clock.
    :param cut_times_s: times at which all waiting watches are cut.
    :param outages_s: start and end of each outage.
    """

    def __init__(self, *, clock, cut_times_s=(), outages_s=()):
        self._clock = clock
        self._cut_times_s = cut_times_s
        self._outages_s = outages_s
        self.revision = 1
        self._items = {}
        self._changes = []
        self.era = 0

    def copy(self):
        return self.revision, dict(self._items), list(self._changes)

    def restore(self, copy):
        """Come back from an earlier copy, which starts a new era."""
        self.era += 1
        self.revision = copy[0]
        self._items, self._changes = dict(copy[1]), list(copy[2])

    def put(self, key, value):
        self.revision += 1
        item = models.Item(key=key, revision=self.revision, value=value)
        self._items[key] = item
        self._changes.append(item)

    def remove(self, key):
        self.revision += 1
        self._items.pop(key, None)
        self._changes.append(
            models.Item(key=key, revision=self.revision, value=None)
        )

    def is_down(self):
        now_s = self._clock.now_s()
        return any(start <= now_s < end for start, end in self._outages_s)

    async def _start_call(self):
        await asyncio.sleep(_CALL_S)
        if self.is_down():
            raise store.StoreError("status 503")

    async def read_all(self):
        await self._start_call()
        return self.snapshot()

    def snapshot(self):
        return models.Delta(
            after_revision=0,
            up_to_revision=self.revision,
            items=self._with_era(self._items.values()),
            is_snapshot=True,
            era=self.era,
        )

    def _with_era(self, items):
        return tuple(dataclasses.replace(item, era=self.era) for item in items)

    async def watch(self, after_revision, wait_s):
        await self._start_call()
        started_s = self._clock.now_s()
        if after_revision > self.revision:
            raise store.HistoryLostError("status 410")
        while self.revision <= after_revision:
            if self._clock.now_s() >= started_s + wait_s:
                break
            before_s = self._clock.now_s()
            await asyncio.sleep(_STEP_S)
            is_cut = any(
                before_s <= cut_s < self._clock.now_s()
                for cut_s in self._cut_times_s
            )
            if is_cut or self.is_down():
                raise store.StoreError("connection closed")
        return self.changes_since(after_revision)

    def changes_since(self, after_revision):
        latest = {
            item.key: item
            for item in self._changes
            if item.revision > after_revision
        }
        return models.Delta(
            after_revision=after_revision,
            up_to_revision=self.revision,
            items=self._with_era(latest.values()),
            era=self.era,
        )

    def close(self):
        return


class SilentPeers:
    """Peers that accept every message and never respond.

    :param members: known hosts.
    """

    def __init__(self, *, members):
        self._members = members
        self.requested_addresses = []
        self.has_peer_with_state = False

    @property
    def view(self):
        return topology.make_topology(
            self._members.own, self._members.live_members()
        )

    def announce(self, origin):
        return

    def announce_confirmation(self, origin):
        return

    def request_heartbeat(self, address):
        self.requested_addresses.append(address)


class ReadingHost:
    """Store reader and target table of one host.

    :param clock: simulated clock.
    :param scripted_store: store that the host reads.
    :param seed: seed of the host's random numbers.
    :param readers_lost_s: time until which two other hosts read the store for
        this one, None if it reads the store itself.
    """

    def __init__(self, *, clock, scripted_store, seed, readers_lost_s):
        random_source = random.Random(seed)
        self._clock = clock
        self._store = scripted_store
        self._readers_lost_s = readers_lost_s
        self._tasks = []
        *others, own = sorted(
            (make_member(number) for number in (1, 2, 3)), key=readers.rank
        )
        members = membership.MemberTable(
            own=own, random_source=random_source, clock=clock
        )
        if readers_lost_s is not None:
            for member in others:
                members.apply(member, clock.now_s())
        self.staleness = staleness_tracker.StalenessTracker(
            random_source=random_source
        )
        self.replica = replica.Replica()
        self._lost_items = lost_items.LostItemRetention(
            state=self.replica, staleness=self.staleness, clock=clock
        )
        self.state = state.GatewayState(
            decoder=decoder.StoreDecoder(),
            connections=None,
            target_registry=registry.TargetRegistry(
                leaving=leaving_targets.LeavingTargets(
                    random_source=random_source
                ),
                staleness=self.staleness,
                drain_s=2.0,
            ),
            retry_limits=retry_budget.RetryBudgetLimits(
                ratio=0.2, allowance=56.0, window_s=10.0
            ),
            random_source=random_source,
            clock=clock,
        )
        self.replica.add_listener(self.state.apply_items)
        self._reader = coordinator.StateCoordinator(
            store=scripted_store,
            state=self.replica,
            staleness=self.staleness,
            members=members,
            peers=SilentPeers(members=members),
            random_source=random_source,
            clock=clock,
            reads_immediately=True,
        )

    async def start(self):
        """Start the reader and the ticks."""
        await self._reader.start()
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._run_ticks())]
        if self._readers_lost_s is not None:
            self._tasks.append(loop.create_task(self._receive_state()))

    async def _receive_state(self):
        """Receive the changes and confirmations of the readers."""
        while self._clock.now_s() < self._readers_lost_s:
            await asyncio.sleep(_STEP_S)
            if self.replica.revision:
                delta = await self._store.watch(self.replica.revision, 0.0)
                self.replica.apply(delta)
                self.staleness.confirm(self._clock.now_s())

    async def _run_ticks(self):
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            self._lost_items.tick(self._clock.now_s())
            self.state.tick(self._clock.now_s())

    def uses(self, target_id):
        """Return whether a target may get new requests."""
        return self.state.targets.get(target_id) is not None


def make_member(number):
    return peers_models.Member(
        peer_address=f"10.0.0.{number}:1",
        caller_address=f"10.0.0.{number}:2",
        failure_domain="a",
        process_id=f"p{number}",
        incarnation=1,
    )


def make_entry(number, target_state="ready"):
    """Return the value of a target's entry."""
    return json.dumps(
        {
            "address": f"127.0.0.1:{9000 + number}",
            "born": 1,
            "info": {
                "service": "quotes",
                "version": "v1",
                "zone": "a",
                "slots": 6,
            },
            "status": {"state": target_state, "seq": 1, "warmup-left": "0ms"},
        }
    ).encode()


def run(
    scenario,
    *,
    cut_times_s=(),
    outages_s=(),
    target_count=5,
    seed=1,
    readers_lost_s=None,
):
    """Run a scenario with a host that has read the entries of targets.

    :param scenario: coroutine function, called with clock, store and host.
    :param cut_times_s: times at which watches are cut.
    :param outages_s: start and end of each outage.
    :param target_count: number of targets, ``t0`` and so on.
    :param seed: seed of the host's random numbers.
    :param readers_lost_s: time until which other hosts read the store for
        this one, None if it reads the store itself.
    """

    async def run_in_loop(loop):
        clock = virtual_time.LoopClock(loop=loop)
        scripted_store = ScriptedStore(
            clock=clock, cut_times_s=cut_times_s, outages_s=outages_s
        )
        for number in range(target_count):
            scripted_store.put(f"servers/t{number}", make_entry(number))
        host = ReadingHost(
            clock=clock,
            scripted_store=scripted_store,
            seed=seed,
            readers_lost_s=readers_lost_s,
        )
        await host.start()
        await scenario(clock, scripted_store, host)

    virtual_time.run(run_in_loop)
