"""Heartbeats of a fleet over a simulated network in simulated time."""

import asyncio
import collections
import random

from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import exchange
from trefoilstand.fleet import heartbeat
from trefoilstand.fleet import leaving_targets
from trefoilstand.fleet import models
from trefoilstand.fleet import rate_limits
from trefoilstand.fleet import readers
from trefoilstand.fleet import replica
from trefoilstand.fleet import staleness_tracker
from trefoilstand.fleet import state_fetcher
from trefoilstand.fleet import topology
from trefoilstand.fleet import transfer
from trefoilstand.fleet import uploads
from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models

_NETWORK_DELAY_S = 0.001
_ITEM_BYTES = 250


class Host:
    """One entry host without sockets and without a store client."""

    def __init__(self, *, net, number, domain, incarnation):
        random_source = random.Random(f"{net.seed}-{number}-{incarnation}")
        self.net = net
        self.number = number
        self.incarnation = incarnation
        self.domain = domain
        self.address = f"10.0.{number // 250}.{number % 250 + 1}:7000"
        self.is_down = False
        self.link_free_s = 0.0
        self.schedule = uploads.UploadSchedule(
            bytes_per_s=net.link_bytes_per_s or 1.0
        )
        self.members = membership.MemberTable(
            own=peers_models.Member(
                peer_address=self.address,
                caller_address=self.address.replace(":7000", ":8000"),
                failure_domain=domain,
                process_id=f"p{number}-{incarnation}",
                incarnation=incarnation,
            ),
            random_source=random_source,
            clock=net.clock,
            update_sends=4,
        )
        self.state = replica.Replica()
        self.limits = rate_limits.RateLimitTable(random_source=random_source)
        self.leaving = leaving_targets.LeavingTargets(
            random_source=random_source
        )
        self.staleness = staleness_tracker.StalenessTracker(
            random_source=random_source
        )
        self.transfers = state_fetcher.StateFetcher(
            state=self.state,
            members=self.members,
            make_transfer=lambda: SimulatedTransfer(host=self),
            clock=net.clock,
            random_source=random_source,
        )
        self.peers = exchange.PeerExchange(
            members=self.members,
            make_handler=lambda: heartbeat.HeartbeatHandler(
                members=self.members,
                state=self.state,
                staleness=self.staleness,
                limits=self.limits,
                leaving=self.leaving,
                random_source=random_source,
            ),
            transfers=self.transfers,
            random_source=random_source,
            clock=net.clock,
        )
        self.peers.set_seeds(net.seeds)

    def start(self):
        self.peers.connection_made(HostTransport(host=self))
        self.peers.start_rounds()

    async def stop(self):
        self.is_down = True
        await self.peers.stop()

    def apply_store_change(self, revision, size_bytes=_ITEM_BYTES):
        """Apply a change as if read from the store and announce it."""
        item = models.Item(
            key=f"k{revision}", revision=revision, value=b"x" * size_bytes
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


class HostTransport(asyncio.DatagramTransport):
    """Datagram transport that sends over the simulated network."""

    def __init__(self, *, host):
        super().__init__()
        self._host = host

    def sendto(self, data, addr=None):
        self._host.net.send_datagram(self._host, f"{addr[0]}:{addr[1]}", data)

    def close(self):
        return


class SimulatedTransfer(transfer.PeerTransfer):
    """Transfer that reads the replica of the other host directly."""

    def __init__(self, *, host):
        self._host = host

    async def start(self, ip, port):
        return

    def close(self):
        return

    async def fetch(self, address, *, wants_members):
        await asyncio.sleep(4 * _NETWORK_DELAY_S)
        net = self._host.net
        source_host = net.hosts.get(address)
        if source_host is None or source_host.is_down:
            return None
        if net.link_bytes_per_s is not None:
            return await self._fetch_over_link(net, source_host)
        fetched = models.Transfer(
            delta=source_host.state.changes_since(self._host.state.position),
            members=(source_host.members.own, *source_host.members.members())
            if wants_members
            else (),
        )
        size_bytes = sum(
            len(item.value or b"") for item in fetched.delta.items
        )
        net.count_message(source_host, self._host, size_bytes)
        return fetched

    async def _fetch_over_link(self, net, source_host):
        """Fetch while other transfers use the link of the same peer."""
        fetched = models.Transfer(
            delta=source_host.state.changes_since(self._host.state.position)
        )
        size_bytes = sum(
            len(item.value or b"") for item in fetched.delta.items
        )
        now_s = net.loop.time()
        if net.limits_uploads and not source_host.schedule.try_add(
            self._host.address, size_bytes, now_s
        ):
            return models.Transfer(
                delta=models.Delta(
                    after_revision=0, up_to_revision=0, items=()
                ),
                is_busy=True,
                holders=tuple(source_host.schedule.recent_receivers),
            )
        source_host.link_free_s = (
            max(source_host.link_free_s, now_s)
            + size_bytes / net.link_bytes_per_s
        )
        await asyncio.sleep(source_host.link_free_s - now_s)
        return fetched


class FleetNetwork:
    """Deliver datagrams with a delay and lose a share of them."""

    def __init__(
        self,
        *,
        loop,
        hosts,
        domains,
        seed=1,
        loss=0.0,
        link_bytes_per_s=None,
    ):
        self.seed = seed
        self.loop = loop
        self.clock = virtual_time.LoopClock(loop=loop)
        self.loss = loss
        #: Rate of the link of each host, None for links without a limit.
        self.link_bytes_per_s = link_bytes_per_s
        #: Whether hosts turn transfers away that their link cannot carry.
        self.limits_uploads = True
        #: Failure domains that exchange nothing with the others.
        self.cut_domains = set()
        self.cross_domain_bytes = 0
        self.cross_domain_messages = 0
        self.same_domain_bytes = 0
        self.same_domain_messages = 0
        #: Bytes sent by address of the host and whole second of the loop.
        self.sent_bytes = collections.Counter()
        self._random_source = random.Random(seed)
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
        addresses = readers.choose_readers(
            host.members.own for host in self.up
        )
        return [self.hosts[address] for address in addresses]

    async def run(self, seconds):
        """Advance time while the readers confirm the state."""
        end_s = self.loop.time() + seconds
        while self.loop.time() < end_s:
            await asyncio.sleep(min(0.25, end_s - self.loop.time()))
            for reader in self.readers():
                reader.confirm()
                reader.peers.announce_confirmation(topology.Origin.STORE)

    def send_datagram(self, sender, address, data):
        receiver = self.hosts.get(address)
        if receiver is None or sender.is_down:
            return
        self.count_message(sender, receiver, len(data))
        if sender.domain != receiver.domain and self.cut_domains & {
            sender.domain,
            receiver.domain,
        }:
            return
        if self._random_source.random() < self.loss:
            return
        self.loop.call_later(
            _NETWORK_DELAY_S * (1 + self._random_source.random()),
            self._deliver,
            sender,
            receiver,
            data,
        )

    def _deliver(self, sender, receiver, data):
        if not receiver.is_down and self.hosts[receiver.address] is receiver:
            ip, port = sender.address.split(":")
            receiver.peers.datagram_received(data, (ip, int(port)))

    def count_message(self, sender, receiver, size_bytes):
        self.sent_bytes[sender.address, int(self.loop.time())] += size_bytes
        if sender.domain != receiver.domain:
            self.cross_domain_bytes += size_bytes
            self.cross_domain_messages += 1
        else:
            self.same_domain_bytes += size_bytes
            self.same_domain_messages += 1

    def reset_counts(self):
        """Reset the traffic counts to zero."""
        self.cross_domain_bytes = self.cross_domain_messages = 0
        self.same_domain_bytes = self.same_domain_messages = 0
        self.sent_bytes.clear()
