"""Documents that the platform publishes."""

import dataclasses
import enum
import typing

import pydantic

from trefoilstand.settings import models as settings_models


class HostRole(enum.StrEnum):
    """What runs on a listed host."""

    ENTRY = "entry"
    TARGET = "target"


class HostState(enum.StrEnum):
    """State of a host as the lagging list tells it."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListedHost:
    """Describe one entry of the list of hosts.

    :param address: peer address of an entry host, or a target's address.
    :param failure_domain: failure domain of the host.
    :param role: what runs there.
    :param state: state, possibly long outdated.
    """

    address: settings_models.AddressText
    failure_domain: typing.Annotated[str, pydantic.Field(min_length=1)]
    role: HostRole
    state: HostState


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostList:
    """Hold the list of live and leaving hosts.

    :param hosts: all listed hosts.
    """

    hosts: tuple[ListedHost, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PublishedText:
    """Hold one version of the operators' text.

    :param version: version, greater for later texts.
    :param text: the text itself.
    """

    version: int
    text: str
