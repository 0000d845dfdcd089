"""Membership of entry hosts by pings, suspicion and refutation.

Each round pings one random member, and asks others to try it where it does
not answer.  Updates travel inside the pings, a bounded number in each, so
that cost per node does not grow with the fleet.  The published list only
seeds the addresses to ping.
"""

import collections.abc
import dataclasses
import random
import threading

from trefoilstand.peers import const
from trefoilstand.peers import models
from trefoilstand.peers import update_queue
from trefoilstand.util import clock as clocks

_AGING_STATES = (models.MemberState.SUSPECT, models.MemberState.DEAD)

Listener = collections.abc.Callable[[models.Member], None]


class MemberTable:
    """Hold what this process believes of the entry hosts.

    :param own: description of this process.
    :param random_source: source of random numbers, seeded in tests.
    :param clock: source of the time.
    :param update_sends: how often each update is passed on.
    """

    def __init__(
        self,
        *,
        own: models.Member,
        random_source: random.Random,
        clock: clocks.Clock,
        update_sends: int = const.UPDATE_SENDS,
    ) -> None:
        self._updates = update_queue.UpdateQueue(sends=update_sends)
        self._own = own
        self._random = random_source
        self._clock = clock
        self._contact_s = clock.now_s()
        self._lock = threading.RLock()
        self._members: dict[str, models.Member] = {}
        self._changed_s: dict[str, float] = {}
        self._aging: set[str] = set()
        self._dead: set[str] = set()
        self._seeds: frozenset[str] = frozenset()
        self._has_seeds = False
        self._round: list[str] = []
        self._listeners: list[Listener] = []

    @property
    def own(self) -> models.Member:
        """Return the description of this process."""
        return self._own

    @property
    def has_seeds(self) -> bool:
        """Return whether the published list has been read once."""
        return self._has_seeds

    def is_known(self, address: str) -> bool:
        """Return whether an address belongs to an entry host."""
        with self._lock:
            return address in self._members or address in self._seeds

    def add_listener(self, listener: Listener) -> None:
        """Call a function with each change of another member."""
        self._listeners.append(listener)

    def set_seeds(self, addresses: frozenset[str]) -> None:
        """Replace the peer addresses of the published list."""
        with self._lock:
            self._seeds = addresses - {self._own.peer_address}
            self._has_seeds = True

    def set_leaving(self) -> None:
        """Tell others from now on that this process is leaving."""
        with self._lock:
            self._own = dataclasses.replace(
                self._own, state=models.MemberState.LEAVING
            )

    def get(self, address: str) -> models.Member | None:
        """Return another entry host by its peer address."""
        with self._lock:
            return self._members.get(address)

    def members(self) -> list[models.Member]:
        """Return the other known entry hosts, dead ones included."""
        with self._lock:
            return list(self._members.values())

    @property
    def live_count(self) -> int:
        """Return how many entry hosts live, this one included."""
        with self._lock:
            return len(self._members) - len(self._dead) + 1

    def live(self) -> list[models.Member]:
        """Return the other entry hosts that are not dead."""
        return [
            member
            for member in self.members()
            if member.state is not models.MemberState.DEAD
        ]

    def sample_members(self, count: int) -> list[models.Member]:
        """Return some random members, dead ones included."""
        found = self.members()
        return self._random.sample(found, min(count, len(found)))

    def find_process(self, process_id: str) -> models.Member | None:
        """Return the member with a process identity."""
        with self._lock:
            for member in self._members.values():
                if member.process_id == process_id:
                    return member
            return None

    def ping_addresses(self) -> list[str]:
        """Return all addresses worth a ping.

        Seeds are tried even when believed dead, since after a partition
        nobody else would bring the two sides together.
        """
        with self._lock:
            live = {
                address
                for address, member in self._members.items()
                if member.state is not models.MemberState.DEAD
            }
            return sorted(live | self._seeds)

    def next_ping(self) -> str | None:
        """Return the next address of a shuffled round."""
        with self._lock:
            if not self._round:
                self._round = self.ping_addresses()
                self._random.shuffle(self._round)
            return self._round.pop() if self._round else None

    def sample(self, count: int, excluded: str) -> list[str]:
        """Return some random live members."""
        addresses = [
            member.peer_address
            for member in self.live()
            if member.peer_address != excluded
        ]
        return self._random.sample(addresses, min(count, len(addresses)))

    def apply(self, update: models.Member, now_s: float) -> None:
        """Take over an update that is newer than what is known."""
        with self._lock:
            if update.peer_address == self._own.peer_address:
                self._refute(update)
                return
            known = self._members.get(update.peer_address)
            if known and update.precedence <= known.precedence:
                return
            if known is None and update.state is models.MemberState.DEAD:
                return
            self._store(update, now_s)

    def silence_s(self) -> float:
        """Return the time since any peer was in direct contact."""
        return self._clock.now_s() - self._contact_s

    def confirm(self, update: models.Member, now_s: float) -> None:
        """Take over what a member said of itself in direct contact.

        A process that answers at an address is there, whatever its
        number; it learns from us that it must raise it.
        """
        with self._lock:
            self._contact_s = now_s
            known = self._members.get(update.peer_address)
            if known and known.process_id != update.process_id:
                self._forget(update.peer_address)
            elif (
                known
                and known.state is models.MemberState.DEAD
                and known.precedence >= update.precedence
            ):
                # The member refutes as soon as it hears the rumour.
                self._updates.push(known.peer_address)
                return
            self.apply(update, now_s)

    def suspect(self, address: str, now_s: float) -> None:
        """Record that a member did not answer directly or by relay."""
        with self._lock:
            known = self._members.get(address)
            if known and known.state is models.MemberState.ALIVE:
                self._store(
                    dataclasses.replace(
                        known, state=models.MemberState.SUSPECT
                    ),
                    now_s,
                )
            elif known and known.state is models.MemberState.LEAVING:
                self._store(
                    dataclasses.replace(known, state=models.MemberState.DEAD),
                    now_s,
                )

    def tick(self, now_s: float) -> None:
        """Turn old suspicions into deaths and forget old deaths."""
        with self._lock:
            for address in list(self._aging):
                member = self._members[address]
                age_s = now_s - self._changed_s[address]
                if (
                    member.state is models.MemberState.SUSPECT
                    and age_s >= const.SUSPECT_TIMEOUT_S
                ):
                    dead = dataclasses.replace(
                        member, state=models.MemberState.DEAD
                    )
                    self._store(dead, now_s)
                elif (
                    member.state is models.MemberState.DEAD
                    and age_s >= const.DEAD_RECORD_LIFETIME_S
                ):
                    self._forget(address)

    def refresh(self, now_s: float) -> None:
        """Restart the age of all beliefs after a time without ticks."""
        with self._lock:
            for address in self._changed_s:
                self._changed_s[address] = now_s

    def updates(
        self, limit: int = const.MAX_GOSSIP_MEMBERS
    ) -> list[models.Member]:
        """Return the updates that the next message carries.

        The least sent ones go first; each is sent a bounded number of
        times.

        :param limit: most updates that fit the message.
        """
        with self._lock:
            return [
                self._members[address] for address in self._updates.take(limit)
            ]

    def _refute(self, rumour: models.Member) -> None:
        own = self._own
        if rumour.process_id != own.process_id:
            if rumour.incarnation >= own.incarnation:
                self._own = dataclasses.replace(
                    own, incarnation=rumour.incarnation + 1
                )
            return
        if rumour.precedence > own.precedence:
            self._own = dataclasses.replace(
                own,
                incarnation=max(rumour.incarnation, own.incarnation),
                refutation=rumour.refutation + 1,
            )

    def _store(self, member: models.Member, now_s: float) -> None:
        self._members[member.peer_address] = member
        self._changed_s[member.peer_address] = now_s
        self._updates.push(member.peer_address)
        self._dead.discard(member.peer_address)
        if member.state is models.MemberState.DEAD:
            self._dead.add(member.peer_address)
        self._aging.discard(member.peer_address)
        if member.state in _AGING_STATES:
            self._aging.add(member.peer_address)
        for listener in self._listeners:
            listener(member)

    def _forget(self, address: str) -> None:
        del self._members[address]
        self._dead.discard(address)
        self._aging.discard(address)
        self._changed_s.pop(address, None)
        self._updates.discard(address)
