"""Choose the hosts that read the store, without any agreement."""

import collections.abc
import functools
import hashlib

from trefoilstand.fleet import const
from trefoilstand.peers import models as peers_models


def choose_readers(
    members: collections.abc.Iterable[peers_models.Member],
) -> list[str]:
    """Return the peer addresses of the readers among live members.

    Hosts are ranked by a hash of address and incarnation.  The second
    reader is taken from another failure domain where there is one, so that
    the loss of a domain leaves a reader.

    :param members: hosts believed alive, the own one included.
    """
    ranked = sorted(members, key=rank)
    readers = ranked[:1]
    if not readers:
        return []
    others = [
        member
        for member in ranked[1:]
        if member.failure_domain != readers[0].failure_domain
    ]
    rest = [member for member in ranked[1:] if member not in others]
    readers += (others + rest)[: const.READERS - 1]
    return [member.peer_address for member in readers]


def rank(member: peers_models.Member) -> bytes:
    """Return the place of a host among all, the same in every view."""
    return _hash_address(member.peer_address)


@functools.lru_cache(maxsize=const.RANK_CACHE_SIZE)
def _hash_address(address: str) -> bytes:
    return hashlib.sha256(address.encode()).digest()
