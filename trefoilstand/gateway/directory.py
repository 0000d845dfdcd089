"""Choose the entry hosts that callers use, and hold this host's readiness."""

import random
import typing

from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models

#: Largest number of addresses in one response.
_MAX_ADDRESSES: typing.Final = 64
#: Callers pick a random address of the response, so hosts of other failure
#: domains are included only if the caller's domain has fewer ready hosts than
#: this.
_MIN_NEAR_HOSTS: typing.Final = 2


class Directory:
    """Choose entry hosts for callers.

    :param members: entry hosts as known from membership.
    :param random_source: selects hosts when there are too many for one
        response.
    """

    def __init__(
        self,
        *,
        members: membership.MemberTable,
        random_source: random.Random,
    ) -> None:
        self._members = members
        self._random = random_source
        #: Whether this host is ready for callers.
        self.is_own_ready = False

    def choose(self, failure_domain: str) -> list[str]:
        """Return the caller addresses of hosts that are believed to be ready.

        :param failure_domain: failure domain of the caller, empty if unknown.
        """
        usable = [
            member
            for member in self._members.live_members()
            if member.state is peers_models.MemberState.ALIVE
        ]
        if self.is_own_ready:
            usable.append(self._members.own)
        near = [
            member
            for member in usable
            if member.failure_domain == failure_domain
        ]
        chosen = near if len(near) >= _MIN_NEAR_HOSTS else usable
        if len(chosen) > _MAX_ADDRESSES:
            chosen = self._random.sample(chosen, _MAX_ADDRESSES)
        return [member.caller_address for member in chosen]
