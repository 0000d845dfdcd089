"""Decide which entry hosts a caller is told to use."""

import random

from trefoilstand.callers import const
from trefoilstand.peers import membership
from trefoilstand.peers import models


class AddressBook:
    """Order entry hosts for callers.

    :param members: beliefs about the entry hosts.
    :param random_source: spreads callers over equals.
    """

    def __init__(
        self,
        *,
        members: membership.MemberTable,
        random_source: random.Random,
    ) -> None:
        self._members = members
        self._random = random_source

    def choose(self, failure_domain: str) -> list[models.Member]:
        """Return some entry hosts, near ones first.

        Equals are shuffled for each caller, so that the callers of a lost
        host do not all go to the same next one.  Suspected hosts come
        last, leaving and dead ones not at all.

        :param failure_domain: where the caller is, empty if unknown.
        """
        usable = [
            member
            for member in (
                self._members.own,
                *self._members.sample_members(const.ADDRESS_SAMPLE),
            )
            if member.caller_address
            and member.state
            in (models.MemberState.ALIVE, models.MemberState.SUSPECT)
        ]
        self._random.shuffle(usable)
        usable.sort(
            key=lambda member: (
                member.state,
                member.failure_domain != failure_domain,
            )
        )
        return usable[: const.MAX_ADDRESSES]
