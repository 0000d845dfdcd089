"""Divide the memory and descriptors of a process among their uses."""

import typing

from trefoilstand.http import buffer_budget

_MIB: typing.Final = 1024 * 1024
#: Memory that bodies may not use: 45 MB for the interpreter and the libraries,
#: 32 MB for the largest response, which may exceed the limit of bodies, and
#: the rest for connections, their socket buffers and the state.
_OTHER_MEMORY_BYTES: typing.Final = 104 * _MIB
#: Share of the memory limit that bodies may use at least.
_MIN_BODY_SHARE: typing.Final = 0.25
#: Share of the memory for bodies that is kept for small ones.
_SMALL_BODY_SHARE: typing.Final = 0.125
#: Descriptors that are kept for files.
_FILE_DESCRIPTORS: typing.Final = 200
#: Share of the other descriptors for connections of callers; what no share
#: names is for targets, peers and connections about to be closed.
_CALLER_SHARE: typing.Final = 0.6
#: Share of them for connections to one page, such as that of addresses.
_PAGE_SHARE: typing.Final = 0.1
#: Largest body of a request for a page; pages take none.
PAGE_BODY_BYTES: typing.Final = 16 * 1024


def make_budget(memory_limit_bytes: int) -> buffer_budget.BufferBudget:
    """Return the memory for all bodies of a process.

    :param memory_limit_bytes: memory that the process may use.
    """
    limit_bytes = max(
        memory_limit_bytes - _OTHER_MEMORY_BYTES,
        int(memory_limit_bytes * _MIN_BODY_SHARE),
    )
    return buffer_budget.BufferBudget(
        limit_bytes=limit_bytes,
        small_reserve_bytes=int(limit_bytes * _SMALL_BODY_SHARE),
    )


def max_caller_connections(descriptor_limit: int) -> int:
    """Return how many connections of callers may be open.

    :param descriptor_limit: descriptors that the process may use.
    """
    return _share_descriptors(descriptor_limit, _CALLER_SHARE)


def max_page_connections(descriptor_limit: int) -> int:
    """Return how many connections to one page may be open.

    :param descriptor_limit: descriptors that the process may use.
    """
    return _share_descriptors(descriptor_limit, _PAGE_SHARE)


def _share_descriptors(descriptor_limit: int, share: float) -> int:
    return max(int((descriptor_limit - _FILE_DESCRIPTORS) * share), 1)
