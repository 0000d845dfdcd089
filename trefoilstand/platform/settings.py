"""Read the platform's settings file into the project's settings."""

import json
import typing

from trefoilstand import exceptions
from trefoilstand.gateway import settings
from trefoilstand.platform import values

#: Part of the longest life of an answer that callers are told; some of them
#: keep it three times as long, and a leaving host serves no longer.
_ANSWER_LIFETIME_SHARE: typing.Final = 0.24
#: Position in the range of ports between hosts.
_PEER_PORT_OFFSET: typing.Final = 0
#: The deploy file names the same port.
_METRICS_PORT: typing.Final = 9464


class PlatformSettingsError(exceptions.TrefoilstandError):
    """Represent a settings file that lacks something or is malformed."""


def parse_settings(text: str) -> settings.GatewaySettings:
    """Return the settings that a file of the platform holds.

    :raises PlatformSettingsError: the file cannot be used.
    """
    try:
        return _translate(json.loads(text))
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise PlatformSettingsError(
            f"{type(error).__name__}: {error}"
        ) from error


def _translate(raw: dict[str, typing.Any]) -> settings.GatewaySettings:
    bounds = dict(text.split("=", 1) for text in raw["bounds"])
    listen = raw["listen"]
    ip = raw["ip"]
    first_port = int(raw["internal-ports"][0])
    peer_port = first_port + _PEER_PORT_OFFSET
    # A seed names the control address of a host; its peers' port is ours.
    seeds = tuple(
        f"{seed.rpartition(':')[0]}:{peer_port}"
        for seed in raw.get("seeds") or ()
    )
    directory = listen.get("directory")
    ttl_max_s = values.parse_seconds(bounds.get("ttl_max", "5s"))
    return settings.GatewaySettings(
        host_name=raw["node"],
        failure_domain=raw["zone"],
        caller_endpoint=_endpoint(listen["front"]),
        readiness_endpoint=_endpoint(listen["ready"]),
        directory_endpoint=_endpoint(directory) if directory else None,
        peer_endpoint=settings.Endpoint(ip=ip, port=peer_port),
        metrics_endpoint=settings.Endpoint(ip=ip, port=_METRICS_PORT),
        seeds=seeds,
        store_endpoint=_endpoint(raw["platform"]["address"]),
        is_first_start=bool(raw.get("bootstrap")),
        drain_s=values.parse_seconds(bounds.get("drain", "2s")),
        grace_s=values.parse_seconds(bounds.get("grace", "6s")),
        answer_lifetime_s=ttl_max_s * _ANSWER_LIFETIME_SHARE,
        retry_ratio=float(bounds.get("budget-ratio", "0.2")),
        retry_allowance=float(bounds.get("budget-extra", "0")),
        retry_window_s=values.parse_seconds(
            bounds.get("budget-window", "10s")
        ),
        probes_per_target_s=float(bounds.get("probes-per-s", "10")),
    )


def _endpoint(text: str) -> settings.Endpoint:
    ip, _, port = text.rpartition(":")
    return settings.Endpoint(ip=ip, port=int(port))
