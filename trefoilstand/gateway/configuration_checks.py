"""Find mistakes of a configuration that can be decoded all the same."""

import collections.abc
import dataclasses
import enum
import re
import typing

from trefoilstand.gateway import models

#: The port of a request's host and the query of its target are not compared.
_HOST_PATTERN: typing.Final = re.compile(r"[^\s:/?#]+")
_PREFIX_PATTERN: typing.Final = re.compile(r"/([^\s?#]*/)?")


class Severity(enum.StrEnum):
    """Consequence of a finding.

    An error means that the configuration is rejected or that requests fail;
    a warning means that an entry has no effect or contradicts another one.
    """

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """Describe one mistake and where it is.

    :param severity: consequence of the mistake.
    :param path: names and positions that lead to the entry, empty for the
        whole configuration; names of entries are those of the models.
    :param message: what is wrong.
    """

    severity: Severity
    path: tuple[str | int, ...]
    message: str


Findings = collections.abc.Iterator[Finding]


def error(path: tuple[str | int, ...], message: str) -> Finding:
    """Return a finding that is an error."""
    return Finding(severity=Severity.ERROR, path=path, message=message)


def warning(path: tuple[str | int, ...], message: str) -> Finding:
    """Return a finding that is a warning."""
    return Finding(severity=Severity.WARNING, path=path, message=message)


def find_mistakes(configuration: models.GatewayConfiguration) -> Findings:
    """Yield all mistakes of a configuration except for unused services."""
    yield from _find_unmatched_routes(configuration)
    for name, route in configuration.routes.items():
        if route.objective_s > route.timeout_s:
            yield warning(
                ("routes", name, "objective_s"),
                f"the objective of {route.objective_s:g} s exceeds the "
                f"timeout of {route.timeout_s:g} s",
            )
        path = ("routes", name, "weighted_services")
        for index, part in enumerate(route.weighted_services):
            if part.service not in configuration.services:
                yield error(
                    (*path, index, "service"),
                    f"service {part.service!r} is not defined",
                )
        yield from _find_unused_parts(path, route)
    yield from _find_contradictory_policies(configuration)


def find_unused_services(
    configuration: models.GatewayConfiguration,
) -> Findings:
    """Yield the services that no route leads to."""
    used_services = {
        part.service
        for route in configuration.routes.values()
        for part in route.weighted_services
    }
    for name in configuration.services:
        if name not in used_services:
            yield warning(("services", name), "no route leads to the service")


def find_version_mistakes(version: int, version_in_force: int) -> Findings:
    """Yield a finding if hosts ignore a configuration as not newer.

    :param version: version of the configuration to be sent.
    :param version_in_force: version that the hosts use.
    """
    if version <= version_in_force:
        yield error(
            ("version",),
            f"version {version} is ignored, as it is not above version "
            f"{version_in_force}, which is in force",
        )


def _find_unmatched_routes(
    configuration: models.GatewayConfiguration,
) -> Findings:
    owners: dict[tuple[str, str], str] = {}
    for name, route in configuration.routes.items():
        path = ("routes", name)
        if _HOST_PATTERN.fullmatch(route.host) is None:
            yield error(
                (*path, "host"),
                f"never matches: {route.host!r} is not a host without port",
            )
        if _PREFIX_PATTERN.fullmatch(route.prefix) is None:
            yield error(
                (*path, "prefix"),
                f"never matches: {route.prefix!r} is not a path that begins "
                "and ends with a slash",
            )
        owner = owners.setdefault((route.host, route.prefix), name)
        if owner != name:
            yield error(
                (*path, "prefix"),
                f"only one of two routes matches: route {owner!r} has the "
                "same host and prefix",
            )


def _find_unused_parts(
    path: tuple[str | int, ...], route: models.Route
) -> Findings:
    if all(part.weight <= 0 for part in route.weighted_services):
        yield warning(
            path, "no weight is above 0: the first service gets all requests"
        )
        return
    for index, part in enumerate(route.weighted_services):
        if part.weight <= 0:
            yield warning(
                (*path, index, "weight"),
                f"service {part.service!r} gets no requests",
            )


def _find_contradictory_policies(
    configuration: models.GatewayConfiguration,
) -> Findings:
    for name, policy in configuration.services.items():
        if policy.warmup_requests_per_s is not None and policy.warmup_s <= 0:
            yield warning(
                ("services", name, "warmup_requests_per_s"),
                "a request rate of cold targets needs a warm-up time",
            )
    limits = configuration.limits
    if limits.header_bytes > limits.body_bytes:
        yield warning(
            ("limits", "header_bytes"),
            f"headers of {limits.header_bytes} bytes are allowed, but bodies "
            f"of only {limits.body_bytes} bytes",
        )
    if limits.header_timeout_s > limits.idle_timeout_s:
        yield warning(
            ("limits", "header_timeout_s"),
            f"the {limits.header_timeout_s:g} s for a header exceed the "
            f"{limits.idle_timeout_s:g} s of an idle connection",
        )
