"""Members and other entities of the peer protocol."""

import dataclasses
import enum


class MemberState(enum.IntEnum):
    """State of an entry host; the greater one wins over an equal update.

    Updates are equal if their incarnation and refutation are.
    """

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """Describe one entry host.

    :param peer_address: address of its peer protocol; its key.
    :param caller_address: address on which it serves callers.
    :param failure_domain: failure domain of the host.
    :param process_id: random identity of its process.
    :param incarnation: number that increases with each process at an
        address.
    :param refutation: number that it increases to refute a suspicion.
    :param state: last known state.
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
        """Return the sort key by which the newer of two updates wins."""
        return (self.incarnation, self.refutation, int(self.state))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationMark:
    """Identify a configuration by version and digest."""

    version: int
    digest: str
