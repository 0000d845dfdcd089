"""Entry hosts over a small message fake that loses, repeats and cuts."""

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


def name_of(index):
    return f"127.0.{index // 250}.{index % 250 + 1}:8200"


class Node:
    """Hold the pure parts of one entry host."""

    def __init__(self, name, clock, seed, incarnation=1):
        source = random.Random(f"{seed}-{name}-{incarnation}")
        self.name = name
        self.clock = clock
        self.is_frozen = False
        self.versions = []
        self.list_leaving = set()
        self.configurations = coordinator.ConfigurationCoordinator()
        self.decisions = engine.DecisionEngine(
            policy=selection.RandomPolicy(random_source=source),
            random_source=source,
        )
        self.configurations.add_listener(self._load)
        self.members = membership.MemberTable(
            own=models.Member(
                peer_address=name,
                caller_address=name,
                failure_domain="a",
                process_id=f"{name}-{source.getrandbits(32)}",
                incarnation=incarnation,
            ),
            random_source=source,
            clock=clock,
        )
        self.own_reports = reports.ReportBuffer()
        self.exchange = gossip.GossipExchange(
            members=self.members,
            configurations=self.configurations,
            decisions=self.decisions,
            own_reports=self.own_reports,
            clock=clock,
            random_source=source,
        )

    def _load(self, loaded):
        self.versions.append(loaded.version)
        self.decisions.apply_configuration(loaded.content)

    def states(self):
        return {
            member.peer_address: member.state
            for member in self.members.members()
        }


class GossipNet:
    """Run rounds of pings among nodes, with faults from a seed."""

    def __init__(self, count, seed, loss=0.0):
        self.seed = seed
        self.random = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.loss = loss
        self.groups = None
        self.bytes = 0
        self.messages = 0
        self.names = [name_of(index) for index in range(count)]
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

    def run(self, rounds, done=None):
        """Run rounds and return how many, None where never done."""
        for number in range(rounds):
            self.clock.advance(ROUND_S)
            order = list(self.nodes.values())
            self.random.shuffle(order)
            for node in order:
                if not node.is_frozen:
                    now_s = self.clock.now_s()
                    node.members.tick(now_s)
                    node.decisions.record_listed_leaving(
                        frozenset(node.list_leaving), now_s
                    )
                    node.decisions.tick(now_s)
                    self._round(node)
            if done is not None and done():
                return number + 1
        return None if done is not None else rounds

    def _round(self, node):
        address = node.members.next_ping()
        if address is None or self._ping(node, address):
            return
        for relay in node.members.sample_live(
            const.INDIRECT_PING_RELAYS, excluded=address
        ):
            reachable = self._is_linked(node.name, relay)
            if reachable and self._ping(self.nodes[relay], address):
                return
        node.members.suspect(address, self.clock.now_s())

    def _ping(self, node, address):
        peer = self.nodes.get(address)
        if peer is None or not self._is_linked(node.name, address):
            return False
        self._deliver(node, peer)
        if self.random.random() < self.loss:
            return False
        self._deliver(peer, node)
        return True

    def _is_linked(self, name, other):
        if self.random.random() < self.loss:
            return False
        if other not in self.nodes or self.nodes[other].is_frozen:
            return False
        if self.groups is None:
            return True
        return self.groups[name] == self.groups[other]

    def _deliver(self, sender, receiver):
        packed = sender.exchange.build_message().SerializeToString()
        self.messages += 1
        self.bytes += len(packed)
        copies = 2 if self.random.random() < self.loss else 1
        for _ in range(copies):
            message = peer_pb2.Gossip.FromString(packed)
            if receiver.exchange.process_message(message, self.clock.now_s()):
                current = sender.configurations.current
                receiver.configurations.offer(
                    version=current.version,
                    text=current.text,
                    source="peer",
                )
