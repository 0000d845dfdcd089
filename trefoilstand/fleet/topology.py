"""Decide which hosts send state to which, without a consensus protocol.

Traffic between failure domains is expensive, so state is sent to each domain
once: each domain has a few relays, ranked by a hash of their address, that
exchange state with the relays of other domains and forward it within their
own.  A wrong view of the relays costs a datagram or a delay, but never loses
state: a host that receives nothing queries others and finally reads the store
itself.
"""

import collections.abc
import dataclasses
import enum
import random

from trefoilstand.fleet import const
from trefoilstand.fleet import readers
from trefoilstand.peers import models as peers_models


class Origin(enum.Enum):
    """Enumerate the sources from which a host receives new state."""

    #: The store, or a target.
    STORE = "store"
    NEAR_RELAY = "near_relay"
    NEAR_HOST = "near_host"
    FAR_HOST = "far_host"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Topology:
    """Hold one host's view of the hosts that exchange state.

    :param own: this host.
    :param near_hosts: addresses of the other live hosts of its failure domain.
    :param relays: addresses of the relays of each failure domain, the
        primary one first.
    :param suspected_far_hosts: addresses of all live hosts of those other
        domains that have a suspected host, by domain.
    """

    own: peers_models.Member
    near_hosts: tuple[str, ...]
    relays: dict[str, tuple[str, ...]]
    suspected_far_hosts: dict[str, tuple[str, ...]]

    @property
    def near_relays(self) -> tuple[str, ...]:
        """Return the relays of the own failure domain, primary first."""
        return self.relays.get(self.own.failure_domain, ())

    @property
    def is_relay(self) -> bool:
        """Return whether this host is a relay of its failure domain."""
        return self.own.peer_address in self.near_relays

    @property
    def is_primary_relay(self) -> bool:
        """Return whether other domains send new state to this host."""
        return self.near_relays[:1] == (self.own.peer_address,)

    @property
    def far_domains(self) -> list[str]:
        """Return the other failure domains that have live hosts."""
        return [
            domain
            for domain in self.relays
            if domain != self.own.failure_domain
        ]

    def classify_origin(self, sender: peers_models.Member) -> Origin:
        """Return the kind of host that sent a message."""
        if sender.failure_domain != self.own.failure_domain:
            return Origin.FAR_HOST
        if sender.peer_address in self.near_relays:
            return Origin.NEAR_RELAY
        return Origin.NEAR_HOST

    def takes_members_from(self, peer: peers_models.Member) -> bool:
        """Return whether this host takes over the member list of a peer.

        Hosts do so from the relays of their domain, and relays from those of
        other domains.
        """
        if peer.failure_domain == self.own.failure_domain:
            return peer.peer_address in self.near_relays
        return self.is_relay and peer.peer_address in self.relays.get(
            peer.failure_domain, ()
        )

    def choose_recipients(
        self, origin: Origin, random_source: random.Random
    ) -> list[str]:
        """Return the hosts to send new state to immediately.

        :param origin: where this host received the state from.
        :param random_source: samples hosts in large domains.
        :returns: peer addresses.
        """
        if not self.is_relay:
            if origin is Origin.STORE:
                return [*self.near_relays]
            return self._sample_near_hosts(random_source, only_if_large=True)
        if origin is Origin.NEAR_RELAY:
            return self._sample_near_hosts(random_source, only_if_large=True)
        recipients = self._sample_near_hosts(
            random_source, only_if_large=False
        )
        if origin is not Origin.FAR_HOST:
            recipients += [
                self.relays[domain][0] for domain in self.far_domains
            ]
        return recipients

    def choose_news_recipients(
        self, origin: Origin, random_source: random.Random
    ) -> list[str]:
        """Return the hosts to send news of targets to soon.

        The other hosts learn of them from the heartbeats that follow.

        :param origin: where this host received the news from.
        :param random_source: samples the hosts of the own domain.
        :returns: peer addresses.
        """
        if not self.is_relay:
            return [*self.near_relays] if origin is Origin.STORE else []
        recipients = self.sample_near_hosts(random_source)
        if origin is not Origin.FAR_HOST:
            recipients += [
                self.relays[domain][0] for domain in self.far_domains
            ]
        return recipients

    def sample_near_hosts(self, random_source: random.Random) -> list[str]:
        """Return some other hosts of the own domain."""
        return random_source.sample(
            self.near_hosts, min(const.EAGER_FANOUT, len(self.near_hosts))
        )

    def relays_to_query(self) -> tuple[str, ...]:
        """Return the relays to query for newer state, none on a relay."""
        if self.is_relay:
            return ()
        return self.near_relays

    def choose_far_hosts(self, random_source: random.Random) -> list[str]:
        """Return hosts of another domain to ping.

        A domain with a suspected host may be lost as a whole, so several of
        its hosts are pinged at a time.

        :param random_source: chooses the domain and its hosts.
        :returns: peer addresses.
        """
        if self.suspected_far_hosts:
            domain = random_source.choice(list(self.suspected_far_hosts))
            hosts = self.suspected_far_hosts[domain]
            count = min(const.SUSPECTED_DOMAIN_PINGS, len(hosts))
            return random_source.sample(hosts, count)
        domains = self.far_domains
        if not domains:
            return []
        return [
            random_source.choice(self.relays[random_source.choice(domains)])
        ]

    def _sample_near_hosts(
        self, random_source: random.Random, *, only_if_large: bool
    ) -> list[str]:
        is_large = len(self.near_hosts) > const.MAX_SMALL_DOMAIN_HOSTS
        if not is_large:
            return [] if only_if_large else list(self.near_hosts)
        fanout = (
            const.EAGER_FANOUT
            if only_if_large
            else const.MAX_SMALL_DOMAIN_HOSTS
        )
        return random_source.sample(self.near_hosts, fanout)


def make_topology(
    own: peers_models.Member,
    others: collections.abc.Iterable[peers_models.Member],
) -> Topology:
    """Build the topology that follows from the known hosts.

    :param own: this host.
    :param others: the other hosts that are not dead.
    """
    members_by_domain: dict[str, list[peers_models.Member]] = {
        own.failure_domain: [own]
    }
    for member in others:
        members_by_domain.setdefault(member.failure_domain, []).append(member)
    relays = {}
    suspected_far_hosts = {}
    for domain, members in members_by_domain.items():
        relays[domain] = tuple(
            member.peer_address for member in _choose_relays(members)
        )
        if domain != own.failure_domain and any(
            member.state is peers_models.MemberState.SUSPECT
            for member in members
        ):
            suspected_far_hosts[domain] = _peer_addresses(members)
    near_members = [
        member
        for member in members_by_domain[own.failure_domain]
        if member != own
    ]
    return Topology(
        own=own,
        near_hosts=_peer_addresses(near_members),
        relays=relays,
        suspected_far_hosts=suspected_far_hosts,
    )


def _choose_relays(
    members: list[peers_models.Member],
) -> list[peers_models.Member]:
    """Return the first hosts by rank, alive ones before all others."""
    ranked = sorted(
        members,
        key=lambda member: (
            member.state is not peers_models.MemberState.ALIVE,
            readers.rank(member),
        ),
    )
    return ranked[: const.RELAYS_PER_DOMAIN]


def _peer_addresses(members: list[peers_models.Member]) -> tuple[str, ...]:
    return tuple(member.peer_address for member in members)
