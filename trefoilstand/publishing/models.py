"""Documents that the platform publishes."""

import dataclasses
import enum
import typing

import pydantic

from trefoilstand.settings import models as settings_models


class HostRole(enum.StrEnum):
    """Kind of process that runs on a listed host."""

    ENTRY = "entry"
    TARGET = "target"


class HostState(enum.StrEnum):
    """State of a host in the list, which lags behind the fleet."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListedHost:
    """Describe one entry of the list of hosts.

    :param address: peer address of an entry host, or a target's address.
    :param failure_domain: failure domain of the host.
    :param role: kind of process that runs on the host.
    :param state: state of the host, possibly long outdated.
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

    :param version: version number, greater for later texts.
    :param text: complete text of this version.
    """

    version: int
    text: str
