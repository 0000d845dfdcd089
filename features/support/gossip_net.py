"""Simulated gossip network that loses, duplicates and partitions."""

import random

from features.support import texts
from trefoilstand.configuration import coordinator
from trefoilstand.decision import engine
from trefoilstand.decision import selection
from trefoilstand.peers import const
from trefoilstand.peers import gossip
from trefoilstand.peers import membership
from trefoilstand.peers import models
from trefoilstand.peers import peer_pb2
from trefoilstand.peers import reports
from trefoilstand.util import clock as clocks

ROUND_S = 0.5


def host_address(index):
    return f"127.0.{index // 250}.{index % 250 + 1}:8200"


class Node:
    """Hold the parts of one entry host that do no I/O."""

    def __init__(self, name, clock, seed, incarnation=1):
        random_source = random.Random(f"{seed}-{name}-{incarnation}")
        self.name = name
        self.clock = clock
        self.is_frozen = False
        self.versions = []
        self.list_leaving = set()
        self.configurations = coordinator.ConfigurationCoordinator()
        self.decisions = engine.DecisionEngine(
            policy=selection.RandomPolicy(random_source=random_source),
            random_source=random_source,
        )
        self.configurations.add_listener(self._apply_loaded)
        self.members = membership.MemberTable(
            own=models.Member(
                peer_address=name,
                caller_address=name,
                failure_domain="a",
                process_id=f"{name}-{random_source.getrandbits(32)}",
                incarnation=incarnation,
            ),
            random_source=random_source,
            clock=clock,
        )
        self.own_reports = reports.ReportBuffer()
        self.exchange = gossip.GossipExchange(
            members=self.members,
            configurations=self.configurations,
            decisions=self.decisions,
            own_reports=self.own_reports,
            clock=clock,
            random_source=random_source,
        )

    def _apply_loaded(self, loaded):
        self.versions.append(loaded.version)
        self.decisions.apply_configuration(loaded.content)

    def states(self):
        return {
            member.peer_address: member.state
            for member in self.members.members()
        }


class GossipNet:
    """Run rounds of pings among nodes, with faults drawn from a seed."""

    def __init__(self, count, seed, loss_share=0.0):
        self.seed = seed
        self._random_source = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.loss_share = loss_share
        self.groups = None
        self.total_bytes = 0
        self.message_count = 0
        self.names = [host_address(index) for index in range(count)]
        self.nodes = {
            name: Node(name, self.clock, seed) for name in self.names
        }
        for node in self.nodes.values():
            node.members.set_seeds(frozenset(self.names))

    def replace(self, name, incarnation):
        self.nodes[name] = Node(name, self.clock, self.seed, incarnation)
        self.nodes[name].members.set_seeds(frozenset(self.names))

    def publish(self, name, version, targets=2):
        self.nodes[name].configurations.offer(
            version=version, text=texts.make_text(targets), source="test"
        )

    def run(self, rounds, is_done=None):
        """Run rounds, at most until ``is_done`` returns true.

        :param rounds: Most rounds to run.
        :param is_done: Condition checked after each round, or ``None``.
        :returns: Number of rounds run, or ``None`` if ``is_done`` was given
            and never returned true.
        """
        for round_index in range(rounds):
            self.clock.advance(ROUND_S)
            order = list(self.nodes.values())
            self._random_source.shuffle(order)
            for node in order:
                if not node.is_frozen:
                    now_s = self.clock.now_s()
                    node.members.tick(now_s)
                    node.decisions.record_listed_leaving(
                        frozenset(node.list_leaving), now_s
                    )
                    node.decisions.tick(now_s)
                    self._ping_next(node)
            if is_done is not None and is_done():
                return round_index + 1
        return None if is_done is not None else rounds

    def _ping_next(self, node):
        address = node.members.next_ping()
        if address is None or self._ping(node, address):
            return
        for relay in node.members.sample_live(
            const.INDIRECT_PING_RELAYS, excluded=address
        ):
            is_reachable = self._can_reach(node.name, relay)
            if is_reachable and self._ping(self.nodes[relay], address):
                return
        node.members.suspect(address, self.clock.now_s())

    def _ping(self, node, address):
        peer = self.nodes.get(address)
        if peer is None or not self._can_reach(node.name, address):
            return False
        self._deliver(node, peer)
        if self._random_source.random() < self.loss_share:
            return False
        self._deliver(peer, node)
        return True

    def _can_reach(self, name, other_name):
        if self._random_source.random() < self.loss_share:
            return False
        if other_name not in self.nodes or self.nodes[other_name].is_frozen:
            return False
        if self.groups is None:
            return True
        return self.groups[name] == self.groups[other_name]

    def _deliver(self, sender, receiver):
        encoded = sender.exchange.build_message().SerializeToString()
        self.message_count += 1
        self.total_bytes += len(encoded)
        copies = 2 if self._random_source.random() < self.loss_share else 1
        for _ in range(copies):
            message = peer_pb2.Gossip.FromString(encoded)
            if receiver.exchange.process_message(message, self.clock.now_s()):
                current = sender.configurations.current
                receiver.configurations.offer(
                    version=current.version,
                    text=current.text,
                    source="peer",
                )
