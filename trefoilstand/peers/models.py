"""Entities of the membership."""

import dataclasses
import enum


class MemberState(enum.IntEnum):
    """State of an entry host; the greater one wins at equal age."""

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """Describe one entry host.

    :param peer_address: address of its peers' protocol; its key.
    :param caller_address: address on which it serves callers.
    :param failure_domain: failure domain of the host.
    :param process_id: random identity of its process.
    :param incarnation: number that grows with each process at an address.
    :param refutation: number by which it denies a suspicion.
    :param state: what is believed of it.
    """

    peer_address: str
    caller_address: str
    failure_domain: str
    process_id: str
    incarnation: int
    refutation: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return what decides which of two updates is newer."""
        return (self.incarnation, self.refutation, int(self.state))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationMark:
    """Name a configuration by version and digest."""

    version: int
    digest: str
