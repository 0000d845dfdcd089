"""Many hosts' heartbeats over a simulated network in simulated time."""

import asyncio
import random

from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import exchange
from trefoilstand.fleet import heartbeat
from trefoilstand.fleet import models
from trefoilstand.fleet import readers
from trefoilstand.fleet import replica
from trefoilstand.fleet import staleness_tracker
from trefoilstand.fleet import state_fetcher
from trefoilstand.fleet import topology
from trefoilstand.fleet import transfer
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models

_DELAY_S = 0.001
_ITEM_BYTES = 250


class Host:
    """One host with everything but its sockets and its store."""

    def __init__(self, *, net, number, domain, incarnation):
        source = random.Random(f"{net.seed}-{number}-{incarnation}")
        self.net = net
        self.domain = domain
        self.address = f"10.0.{number // 250}.{number % 250 + 1}:7000"
        self.is_down = False
        self.members = membership.MemberTable(
            own=peers_models.Member(
                peer_address=self.address,
                caller_address=self.address.replace(":7000", ":8000"),
                failure_domain=domain,
                process_id=f"p{number}-{incarnation}",
                incarnation=incarnation,
            ),
            random_source=source,
            clock=net.clock,
            update_sends=4,
        )
        self.state = replica.Replica()
        self.staleness = staleness_tracker.StalenessTracker(
            random_source=source
        )
        self.transfers = state_fetcher.StateFetcher(
            state=self.state,
            members=self.members,
            make_transfer=lambda: Transfers(host=self),
            clock=net.clock,
        )
        self.peers = exchange.PeerExchange(
            members=self.members,
            heartbeats=heartbeat.HeartbeatHandler(
                members=self.members,
                state=self.state,
                staleness=self.staleness,
                random_source=source,
            ),
            transfers=self.transfers,
            random_source=source,
            clock=net.clock,
        )
        self.peers.set_seeds(net.seeds)

    def start(self):
        self.peers.connection_made(Wire(host=self))
        self.peers.start_rounds()

    async def stop(self):
        self.is_down = True
        await self.peers.stop()

    def change(self, revision):
        """Take a change from the store."""
        item = models.Item(
            key=f"k{revision}", revision=revision, value=b"x" * _ITEM_BYTES
        )
        self.state.apply(
            models.Delta(
                after_revision=self.state.revision,
                up_to_revision=revision,
                items=(item,),
            )
        )
        self.confirm()
        self.peers.announce(topology.Origin.STORE)

    def confirm(self):
        self.staleness.confirm(self.net.clock.now_s())


class Wire(asyncio.DatagramTransport):
    """The sending side of a host's socket."""

    def __init__(self, *, host):
        super().__init__()
        self._host = host

    def sendto(self, data, addr=None):
        self._host.net.carry(self._host, f"{addr[0]}:{addr[1]}", data)

    def close(self):
        return


class Transfers(transfer.PeerTransfer):
    """Transfers that read the other host's copy."""

    def __init__(self, *, host):
        self._host = host

    async def start(self, ip, port):
        return

    def close(self):
        return

    async def fetch(self, address, *, wants_members):
        await asyncio.sleep(4 * _DELAY_S)
        net = self._host.net
        other = net.hosts.get(address)
        if other is None or other.is_down:
            return None
        found = models.Transfer(
            delta=other.state.changes_since(self._host.state.revision),
            members=(other.members.own, *other.members.members())
            if wants_members
            else (),
        )
        size = sum(len(item.value or b"") for item in found.delta.items)
        net.count(other, self._host, size)
        return found


class Net:
    """Carry datagrams with a delay, losing some."""

    def __init__(self, *, loop, hosts, domains, seed=1, loss=0.0):
        self.seed = seed
        self.loop = loop
        self.clock = virtual_time.LoopClock(loop=loop)
        self.loss = loss
        self.far_bytes = 0
        self.far_messages = 0
        self.near_bytes = 0
        self.near_messages = 0
        self._random = random.Random(seed)
        self.seeds = ()
        self.hosts = {}
        for number in range(hosts):
            host = self.add(number, f"d{number % domains}", 1)
            if number < 3:
                self.seeds += (host.address,)
        for host in self.hosts.values():
            host.peers.set_seeds(self.seeds)

    def add(self, number, domain, incarnation):
        host = Host(
            net=self, number=number, domain=domain, incarnation=incarnation
        )
        self.hosts[host.address] = host
        return host

    async def start(self):
        for host in self.hosts.values():
            await asyncio.sleep(0.002)
            host.start()

    @property
    def up(self):
        return [host for host in self.hosts.values() if not host.is_down]

    def readers(self):
        """Return the hosts that read the store for the fleet."""
        chosen = readers.choose_readers(host.members.own for host in self.up)
        return [self.hosts[address] for address in chosen]

    async def run(self, seconds):
        """Let the time pass while the readers confirm the state."""
        end_s = self.loop.time() + seconds
        while self.loop.time() < end_s:
            await asyncio.sleep(min(0.25, end_s - self.loop.time()))
            for reader in self.readers():
                reader.confirm()
                reader.peers.announce_confirmation(topology.Origin.STORE)

    def carry(self, sender, address, data):
        receiver = self.hosts.get(address)
        if receiver is None or sender.is_down:
            return
        self.count(sender, receiver, len(data))
        if self._random.random() < self.loss:
            return
        self.loop.call_later(
            _DELAY_S * (1 + self._random.random()),
            self._deliver,
            sender,
            receiver,
            data,
        )

    def _deliver(self, sender, receiver, data):
        if not receiver.is_down and self.hosts[receiver.address] is receiver:
            ip, port = sender.address.split(":")
            receiver.peers.datagram_received(data, (ip, int(port)))

    def count(self, sender, receiver, size):
        if sender.domain != receiver.domain:
            self.far_bytes += size
            self.far_messages += 1
        else:
            self.near_bytes += size
            self.near_messages += 1

    def reset_counts(self):
        """Count from now on."""
        self.far_bytes = self.far_messages = 0
        self.near_bytes = self.near_messages = 0
