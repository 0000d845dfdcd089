"""Select the entry hosts whose addresses are returned to a caller."""

import random

from trefoilstand.callers import const
from trefoilstand.peers import membership
from trefoilstand.peers import models


class EntryHostSelector:
    """Select and order entry hosts for callers.

    :param members: this process's view of the entry hosts.
    :param random_source: shuffles hosts of equal preference.
    """

    def __init__(
        self,
        *,
        members: membership.MemberTable,
        random_source: random.Random,
    ) -> None:
        self._members = members
        self._random = random_source

    def select(self, failure_domain: str) -> list[models.Member]:
        """Return some entry hosts, the most preferred one first.

        Hosts in the caller's failure domain come first.  Hosts of equal
        preference are shuffled for each caller, so that the callers of a
        failed host do not all fail over to the same one.  Suspected hosts
        come last; leaving and dead hosts are left out.

        :param failure_domain: failure domain of the caller, empty if
            unknown.
        :returns: at most `MAX_ADDRESSES` hosts.
        """
        candidates = [
            member
            for member in (
                self._members.own,
                *self._members.sample_members(const.ADDRESS_SAMPLE_SIZE),
            )
            if member.caller_address
            and member.state
            in (models.MemberState.ALIVE, models.MemberState.SUSPECT)
        ]
        self._random.shuffle(candidates)
        candidates.sort(
            key=lambda member: (
                member.state,
                member.failure_domain != failure_domain,
            )
        )
        return candidates[: const.MAX_ADDRESSES]
