"""Tell callers which entry hosts to use and the platform who is ready."""

import random
import typing

from trefoilstand.peers import membership
from trefoilstand.peers import models as peers_models

#: Most addresses in one answer.
_MAX_ADDRESSES: typing.Final = 64
#: Callers pick at random from the answer, so hosts of other failure domains
#: are named only where the own domain has fewer than this.
_MIN_NEAR_HOSTS: typing.Final = 2


class Directory:
    """Choose entry hosts for callers.

    :param members: beliefs about the entry hosts.
    :param random_source: spreads callers over hosts.
    """

    def __init__(
        self,
        *,
        members: membership.MemberTable,
        random_source: random.Random,
    ) -> None:
        self._members = members
        self._random = random_source
        self.is_own_ready = False

    def choose(self, failure_domain: str) -> list[str]:
        """Return caller addresses of hosts that are believed ready.

        :param failure_domain: where the caller is, empty if unknown.
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
