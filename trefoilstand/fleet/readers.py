"""Choose the hosts that read the store, without a consensus protocol."""

import collections.abc
import functools
import hashlib

from trefoilstand.fleet import const
from trefoilstand.peers import models as peers_models


def choose_readers(
    members: collections.abc.Iterable[peers_models.Member],
) -> list[str]:
    """Choose the readers among live members.

    Hosts are ranked by a hash of their peer address.  The second reader is
    in another failure domain if there is one, so that a reader remains when
    a domain is lost.

    :param members: hosts believed to be alive, this one included.
    :returns: peer addresses of the readers, the first reader first.
    """
    ranked = sorted(members, key=rank)
    readers = ranked[:1]
    if not readers:
        return []
    other_domains = [
        member
        for member in ranked[1:]
        if member.failure_domain != readers[0].failure_domain
    ]
    same_domain = [
        member for member in ranked[1:] if member not in other_domains
    ]
    readers += (other_domains + same_domain)[: const.READER_COUNT - 1]
    return [member.peer_address for member in readers]


def rank(member: peers_models.Member) -> bytes:
    """Return the sort key of a host, the same on every host."""
    return _hash_address(member.peer_address)


@functools.lru_cache(maxsize=const.RANK_CACHE_SIZE)
def _hash_address(address: str) -> bytes:
    return hashlib.sha256(address.encode()).digest()
