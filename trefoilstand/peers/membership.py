"""Membership of entry hosts by pings, suspicion and refutation.

Each round pings one random member, and requests indirect pings from others
if it does not reply.  Updates are piggybacked on the pings, a bounded number
in each, so that the cost per node does not grow with the fleet.  The
published list only provides seed addresses to ping.
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
    """Hold the last known state of all entry hosts.

    :param own: description of this process.
    :param random_source: source of random numbers, seeded in tests.
    :param clock: source of the monotonic time.
    :param update_sends: how often each update is sent.
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
        self._last_contact_s = clock.now_s()
        self._lock = threading.RLock()
        self._members: dict[str, models.Member] = {}
        self._changed_s: dict[str, float] = {}
        self._aging: set[str] = set()
        self._dead: set[str] = set()
        self._seeds: frozenset[str] = frozenset()
        self._has_seeds = False
        self._remaining_in_round: list[str] = []
        self._listeners: list[Listener] = []
        #: Former processes whose incarnation is not below that of their
        #: successor, to be sent once.
        self._outdated_members: list[models.Member] = []
        #: Number of live hosts that a peer last reported, 0 before that.
        self.reported_live_count = 0
        #: Increases with each change of any member, this process included.
        self.version = 0

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
        """Add a function that is called with each change of a member.

        It is not called when a member is removed.
        """
        self._listeners.append(listener)

    def set_seeds(self, addresses: frozenset[str]) -> None:
        """Replace the peer addresses of the published list."""
        with self._lock:
            self._seeds = addresses - {self._own.peer_address}
            self._has_seeds = True

    def set_leaving(self) -> None:
        """Mark this process as leaving in all further messages."""
        with self._lock:
            self._own = dataclasses.replace(
                self._own, state=models.MemberState.LEAVING
            )
            self.version += 1

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
        """Return the number of live entry hosts, this one included."""
        with self._lock:
            return len(self._members) - len(self._dead) + 1

    def live_members(self) -> list[models.Member]:
        """Return the other entry hosts that are not dead."""
        return [
            member
            for member in self.members()
            if member.state is not models.MemberState.DEAD
        ]

    def sample_members(self, count: int) -> list[models.Member]:
        """Return up to a number of random members, dead ones included."""
        members = self.members()
        return self._random.sample(members, min(count, len(members)))

    def find_process(self, process_id: str) -> models.Member | None:
        """Return the member with a process identity, None if unknown."""
        with self._lock:
            for member in self._members.values():
                if member.process_id == process_id:
                    return member
            return None

    def ping_addresses(self) -> list[str]:
        """Return the addresses of all live members and seeds.

        Seeds are included even if they are dead, since nothing else would
        reconnect the two sides of a partition.
        """
        with self._lock:
            live = {
                address
                for address, member in self._members.items()
                if member.state is not models.MemberState.DEAD
            }
            return sorted(live | self._seeds)

    def next_ping(self) -> str | None:
        """Return the next address of a shuffled round, None without any."""
        with self._lock:
            if not self._remaining_in_round:
                self._remaining_in_round = self.ping_addresses()
                self._random.shuffle(self._remaining_in_round)
            return (
                self._remaining_in_round.pop()
                if self._remaining_in_round
                else None
            )

    def sample_live(self, count: int, excluded: str) -> list[str]:
        """Return the addresses of random live members.

        :param count: most addresses to return.
        :param excluded: peer address to leave out.
        """
        addresses = [
            member.peer_address
            for member in self.live_members()
            if member.peer_address != excluded
        ]
        return self._random.sample(addresses, min(count, len(addresses)))

    def apply(self, update: models.Member, now_s: float) -> None:
        """Apply an update if it is newer than the known state.

        :param update: state of a member, as received from any peer.
        :param now_s: monotonic time.
        """
        with self._lock:
            if update.peer_address == self._own.peer_address:
                self._refute(update)
                return
            current = self._members.get(update.peer_address)
            if current and update.precedence <= current.precedence:
                return
            if current is None and update.state is models.MemberState.DEAD:
                return
            self._set_member(update, now_s)

    def time_since_contact_s(self) -> float:
        """Return the seconds since the last direct contact with a peer."""
        return self._clock.now_s() - self._last_contact_s

    def record_contact(self, update: models.Member, now_s: float) -> None:
        """Apply the state that a member sent of itself.

        A process that communicates from an address exists, even with a
        lower incarnation than the known one; the updates that it receives
        make it raise its incarnation.

        :param update: state of the sender.
        :param now_s: monotonic time.
        """
        with self._lock:
            self._last_contact_s = now_s
            current = self._members.get(update.peer_address)
            if current and current.process_id != update.process_id:
                self._remove_member(update.peer_address)
                if current.incarnation >= update.incarnation:
                    # The next message, the reply to this one, makes the new
                    # process raise its incarnation.
                    self._outdated_members.append(current)
            elif (
                current
                and current.state is models.MemberState.DEAD
                and current.precedence >= update.precedence
            ):
                # The member refutes its death once it receives this update.
                self._updates.push(current.peer_address)
                return
            self.apply(update, now_s)

    def suspect(self, address: str, now_s: float) -> None:
        """Record that a member replied neither directly nor by relay.

        A leaving member is dead without a suspicion.

        :param address: peer address.
        :param now_s: monotonic time.
        """
        with self._lock:
            current = self._members.get(address)
            if current and current.state is models.MemberState.ALIVE:
                self._set_member(
                    dataclasses.replace(
                        current, state=models.MemberState.SUSPECT
                    ),
                    now_s,
                )
            elif current and current.state is models.MemberState.LEAVING:
                self._set_member(
                    dataclasses.replace(
                        current, state=models.MemberState.DEAD
                    ),
                    now_s,
                )

    def tick(self, now_s: float) -> None:
        """Declare long suspected members dead and remove old dead ones."""
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
                    self._set_member(dead, now_s)
                elif (
                    member.state is models.MemberState.DEAD
                    and age_s >= const.DEAD_RECORD_LIFETIME_S
                ):
                    self._remove_member(address)

    def shift_ages(self, delay_s: float) -> None:
        """Make all member states younger after a delay of this process.

        :param delay_s: time in seconds in which it received nothing.
        """
        with self._lock:
            for address in self._aging:
                self._changed_s[address] += delay_s

    def restart_ages(self, now_s: float) -> None:
        """Reset the ages of all member states after a time without ticks."""
        with self._lock:
            for address in self._changed_s:
                self._changed_s[address] = now_s

    def next_updates(
        self, limit: int = const.MAX_GOSSIP_MEMBERS
    ) -> list[models.Member]:
        """Return the updates for the next message and count their send.

        The least sent ones come first; each is sent a bounded number of
        times.

        :param limit: most updates that fit the message.
        """
        with self._lock:
            outdated, self._outdated_members = self._outdated_members, []
            return outdated + [
                self._members[address]
                for address in self._updates.pop_next(limit)
            ]

    def _refute(self, update: models.Member) -> None:
        self.version += 1
        own = self._own
        if update.process_id != own.process_id:
            if update.incarnation >= own.incarnation:
                self._own = dataclasses.replace(
                    own, incarnation=update.incarnation + 1
                )
            return
        if update.precedence > own.precedence:
            self._own = dataclasses.replace(
                own,
                incarnation=max(update.incarnation, own.incarnation),
                refutation=update.refutation + 1,
            )

    def _set_member(self, member: models.Member, now_s: float) -> None:
        self.version += 1
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

    def _remove_member(self, address: str) -> None:
        self.version += 1
        del self._members[address]
        self._dead.discard(address)
        self._aging.discard(address)
        self._changed_s.pop(address, None)
        self._updates.discard(address)
