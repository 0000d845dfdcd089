"""Replica and target table of a host, without I/O, and a store that it reads.

Changes of the store are texts such as ``t1``, ``t1 draining``, ``t1 as 2``
(another incarnation), ``no t1``, ``off a`` (the domain is evacuated), ``on a``
(it is not any more), ``v6`` (version of the configuration) and ``other`` (a
key that the host does not use).
"""

import json
import random

from features.support import reading_host
from trefoilstand.fleet import codec
from trefoilstand.fleet import leaving_targets
from trefoilstand.fleet import lost_items
from trefoilstand.fleet import models
from trefoilstand.fleet import replica
from trefoilstand.fleet import staleness_tracker
from trefoilstand.gateway import registry
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import state
from trefoilstand.platform import decoder
from trefoilstand.util import clock as clocks

_STEP_S = 0.25


class ManualClock(clocks.Clock):
    """Clock that a test advances."""

    def __init__(self):
        self.time_s = 100.0

    def now_s(self):
        return self.time_s


class Store(reading_host.ScriptedStore):
    """Store whose changes are texts."""

    def change(self, text):
        """Apply one change, or several with commas between."""
        for part in filter(None, text.strip("-").split(", ")):
            key, value = _decode_change(part)
            if value is None:
                self.remove(key)
            else:
                self.put(key, value)


def change_randomly(store, random_source):
    """Set or remove one of eight keys."""
    key = random_source.choice("abcdefgh")
    if random_source.random() < 0.7:
        store.put(key, b"%d" % random_source.randrange(10**9))
    else:
        store.remove(key)


def change_all(store, random_source):
    """Set all eight keys and remove some of them again."""
    for key in "abcdefgh":
        store.put(key, b"%d" % random_source.randrange(10**9))
        if random_source.random() < 0.3:
            store.remove(key)


def choose_delta(reader, store, peers, random_source):
    """Return what the store or a peer sends to a replica."""
    kind = random_source.random()
    if kind < 0.4:
        return store.snapshot()
    if kind < 0.6 and reader.era == store.era and reader.revision:
        return store.changes_since(reader.revision)
    peer = random_source.choice(peers)
    return codec.decode_delta(
        codec.encode_delta(peer.changes_since(reader.position))
    )


def make_snapshot(era, revision, *keys, value=b"x" * 250):
    """Return a snapshot that sets the keys at the revisions 1, 2, ..."""
    return models.Delta(
        after_revision=0,
        up_to_revision=revision,
        items=tuple(
            models.Item(key=key, revision=number, value=value, era=era)
            for number, key in enumerate(keys, 1)
        ),
        is_snapshot=True,
        era=era,
    )


def _decode_change(text):
    """Return the key and the value that a text describes."""
    name, _, detail = text.partition(" ")
    if name == "no":
        return f"servers/{detail}", None
    if name in ("off", "on"):
        return f"op/evacuate/{detail}", b"{}" if name == "off" else None
    if name.startswith("v"):
        version = f"r{name[1:]}"
        configuration = {"version": version, "routes": {}, "services": {}}
        return "op/config", json.dumps(configuration).encode()
    if name == "other":
        return "other", detail.encode()
    target_state = "draining" if detail == "draining" else "ready"
    entry = json.loads(reading_host.make_entry(int(name[1:]), target_state))
    if detail.startswith("as "):
        entry["born"] = int(detail[3:])
    return f"servers/{name}", json.dumps(entry).encode()


class Host:
    """State of one host.

    :param clock: clock of the test.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.staleness = staleness_tracker.StalenessTracker(
            random_source=random.Random(1)
        )
        self.replica = replica.Replica()
        self.state = state.GatewayState(
            decoder=decoder.StoreDecoder(),
            connections=None,
            target_registry=registry.TargetRegistry(
                leaving=leaving_targets.LeavingTargets(
                    random_source=random.Random(1)
                ),
                staleness=self.staleness,
                drain_s=2.5,
            ),
            retry_limits=retry_budget.RetryBudgetLimits(
                ratio=0.2, allowance=56.0, window_s=10.0
            ),
            random_source=random.Random(1),
            clock=clock,
        )
        self.replica.add_listener(self.state.apply_items)
        self._lost_items = lost_items.LostItemRetention(
            state=self.replica, staleness=self.staleness, clock=clock
        )

    def read(self, delta):
        """Apply a response of the store, which confirms the state."""
        is_applied = self.replica.apply(delta)
        self.staleness.confirm(self.clock.now_s())
        return is_applied

    def follow(self, store):
        """Read the changes of the store."""
        return self.read(store.changes_since(self.replica.revision))

    def fetch(self, peer):
        """Fetch from a peer what this host lacks."""
        return self.replica.apply(
            peer.replica.changes_since(self.replica.position)
        )

    def run(self, seconds, *, is_confirmed=True):
        """Let time pass while the store is read without any change."""
        for _ in range(int(seconds / _STEP_S)):
            self.clock.time_s += _STEP_S
            if is_confirmed:
                self.staleness.confirm(self.clock.now_s())
            self._lost_items.tick(self.clock.now_s())
            self.state.tick(self.clock.now_s())

    def describe(self):
        """Return targets in use, evacuated domains and version as text."""
        parts = sorted(
            target.target_id
            + (
                f" as {target.record.incarnation}"
                if target.record.incarnation != 1
                else ""
            )
            for target in self.state.targets.all()
        )
        parts += [
            f"{domain} off"
            for domain in "ab"
            if domain in self.state.evacuated_domains
        ]
        if self.state.version:
            parts.append(f"v{self.state.version}")
        return ", ".join(parts) or "-"
