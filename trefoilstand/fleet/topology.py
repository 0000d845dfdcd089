"""Decide which hosts tell which others, without any agreement.

Bytes between failure domains are dear, so state crosses them once: each
domain has a few relays, ranked by a hash of their address, that talk to the
relays of other domains and pass on what they hear inside their own.  A wrong
view of who relays costs a datagram or a moment, never state: a host that
hears nothing asks, and at last reads the store for itself.
"""

import collections.abc
import dataclasses
import enum
import random

from trefoilstand.fleet import const
from trefoilstand.fleet import readers
from trefoilstand.peers import models as peers_models


class Origin(enum.Enum):
    """Where a host learned of new state."""

    STORE = "store"
    NEAR_RELAY = "near_relay"
    NEAR_HOST = "near_host"
    FAR_HOST = "far_host"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Topology:
    """Hold one host's view of who passes on what.

    :param own: this host.
    :param near: addresses of the other live hosts of its failure domain.
    :param relays: addresses of the relays of each failure domain, the
        primary one first.
    :param doubtful_far: addresses of all live hosts of those other domains
        that have a suspected one.
    """

    own: peers_models.Member
    near: tuple[str, ...]
    relays: dict[str, tuple[str, ...]]
    doubtful_far: dict[str, tuple[str, ...]]

    @property
    def near_relays(self) -> tuple[str, ...]:
        """Return the relays of the own failure domain."""
        return self.relays.get(self.own.failure_domain, ())

    @property
    def is_relay(self) -> bool:
        """Return whether this host speaks for its failure domain."""
        return self.own.peer_address in self.near_relays

    @property
    def is_primary(self) -> bool:
        """Return whether other domains tell this host first."""
        return self.near_relays[:1] == (self.own.peer_address,)

    @property
    def far_domains(self) -> list[str]:
        """Return the other failure domains that have live hosts."""
        return [
            domain
            for domain in self.relays
            if domain != self.own.failure_domain
        ]

    def origin_of(self, sender: peers_models.Member) -> Origin:
        """Return what kind of host a message came from."""
        if sender.failure_domain != self.own.failure_domain:
            return Origin.FAR_HOST
        if sender.peer_address in self.near_relays:
            return Origin.NEAR_RELAY
        return Origin.NEAR_HOST

    def audience(
        self, origin: Origin, random_source: random.Random
    ) -> list[str]:
        """Return the hosts to tell at once of new state.

        :param origin: where this host learned of it.
        :param random_source: samples hosts in large domains.
        """
        if not self.is_relay:
            if origin is Origin.STORE:
                return [*self.near_relays]
            return self._sample_near(random_source, only_if_large=True)
        if origin is Origin.NEAR_RELAY:
            return self._sample_near(random_source, only_if_large=True)
        told = self._sample_near(random_source, only_if_large=False)
        if origin is not Origin.FAR_HOST:
            told += [self.relays[domain][0] for domain in self.far_domains]
        return told

    def sources(self) -> tuple[str, ...]:
        """Return the hosts to ask for what is new, none for a relay."""
        if self.is_relay:
            return ()
        return self.near_relays

    def choose_far(self, random_source: random.Random) -> list[str]:
        """Return hosts of another domain to keep in touch with.

        A domain with a suspected host may be lost as a whole, so that
        several of its hosts are tried at a time.
        """
        if self.doubtful_far:
            domain = random_source.choice(list(self.doubtful_far))
            hosts = self.doubtful_far[domain]
            count = min(const.DOUBTFUL_PINGS, len(hosts))
            return random_source.sample(hosts, count)
        domains = self.far_domains
        if not domains:
            return []
        return [
            random_source.choice(self.relays[random_source.choice(domains)])
        ]

    def _sample_near(
        self, random_source: random.Random, *, only_if_large: bool
    ) -> list[str]:
        is_large = len(self.near) > const.SMALL_DOMAIN
        if not is_large:
            return [] if only_if_large else list(self.near)
        fanout = const.EAGER_FANOUT if only_if_large else const.SMALL_DOMAIN
        return random_source.sample(self.near, fanout)


def make_topology(
    own: peers_models.Member,
    others: collections.abc.Iterable[peers_models.Member],
) -> Topology:
    """Return the view that follows from what is believed of the hosts.

    :param own: this host.
    :param others: the other hosts that are not dead.
    """
    by_domain: dict[str, list[peers_models.Member]] = {
        own.failure_domain: [own]
    }
    for member in others:
        by_domain.setdefault(member.failure_domain, []).append(member)
    relays = {}
    doubtful_far = {}
    for domain, members in by_domain.items():
        relays[domain] = tuple(
            member.peer_address for member in _choose_relays(members)
        )
        if domain != own.failure_domain and any(
            member.state is peers_models.MemberState.SUSPECT
            for member in members
        ):
            doubtful_far[domain] = _addresses(members)
    near = [
        member for member in by_domain[own.failure_domain] if member != own
    ]
    return Topology(
        own=own,
        near=_addresses(near),
        relays=relays,
        doubtful_far=doubtful_far,
    )


def _choose_relays(
    members: list[peers_models.Member],
) -> list[peers_models.Member]:
    """Return the first hosts by rank, those believed well before others."""
    ranked = sorted(
        members,
        key=lambda member: (
            member.state is not peers_models.MemberState.ALIVE,
            readers.rank(member),
        ),
    )
    return ranked[: const.RELAYS_PER_DOMAIN]


def _addresses(members: list[peers_models.Member]) -> tuple[str, ...]:
    return tuple(member.peer_address for member in members)
