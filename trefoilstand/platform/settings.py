"""Convert the platform's settings file into gateway settings."""

import json
import typing

from trefoilstand import exceptions
from trefoilstand.gateway import settings
from trefoilstand.platform import values

#: Share of the maximum cache lifetime (`ttl_max`) that callers are given for
#: addresses. Some callers cache them three times as long, and a leaving host
#: serves no longer than the maximum.
_ANSWER_LIFETIME_SHARE: typing.Final = 0.24
#: Offset of the peer port from the first internal port.
_PEER_PORT_OFFSET: typing.Final = 0
#: The deploy file must name the same port.
_METRICS_PORT: typing.Final = 9464
#: Memory limit assumed where the file names none; the smallest hosts have
#: this much.
_DEFAULT_MEMORY_MB: typing.Final = 200
#: Descriptor limit assumed where the file names none, as that of the smallest
#: hosts.
_DEFAULT_DESCRIPTORS: typing.Final = 4100
#: Interval of the targets' heartbeats assumed where the file names none.
_DEFAULT_HEARTBEAT: typing.Final = "1500ms"
_BYTES_PER_MB: typing.Final = 1024 * 1024
#: Rate of the link assumed where the file names none.
_DEFAULT_LINK_MBPS: typing.Final = 1000.0
_BYTES_PER_MEGABIT: typing.Final = 125_000


class PlatformSettingsError(exceptions.TrefoilstandError):
    """Represent a settings file that is incomplete or malformed."""


def parse_settings(text: str) -> settings.GatewaySettings:
    """Return the gateway settings of a platform settings file.

    :param text: JSON content of the file.
    :raises PlatformSettingsError: the content is incomplete or malformed.
    """
    try:
        return _convert_settings(json.loads(text))
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise PlatformSettingsError(
            f"settings file is not valid: {type(error).__name__}: {error}"
        ) from error


def _convert_settings(raw: dict[str, typing.Any]) -> settings.GatewaySettings:
    bounds = dict(bound.split("=", 1) for bound in raw["bounds"])
    listen = raw["listen"]
    limits = raw.get("limits") or {}
    ip = raw["ip"]
    first_port = int(raw["internal-ports"][0])
    peer_port = first_port + _PEER_PORT_OFFSET
    # A seed is the control address of a host, whose peer port is the same
    # as that of this host.
    seeds = tuple(
        f"{seed.rpartition(':')[0]}:{peer_port}"
        for seed in raw.get("seeds") or ()
    )
    directory_address = listen.get("directory")
    ttl_max_s = values.parse_seconds(bounds.get("ttl_max", "5s"))
    return settings.GatewaySettings(
        host_name=raw["node"],
        failure_domain=raw["zone"],
        caller_endpoint=_parse_endpoint(listen["front"]),
        readiness_endpoint=_parse_endpoint(listen["ready"]),
        directory_endpoint=_parse_endpoint(directory_address)
        if directory_address
        else None,
        peer_endpoint=settings.Endpoint(ip=ip, port=peer_port),
        metrics_endpoint=settings.Endpoint(ip=ip, port=_METRICS_PORT),
        seeds=seeds,
        store_endpoint=_parse_endpoint(raw["platform"]["address"]),
        is_first_start=bool(raw.get("bootstrap")),
        drain_s=values.parse_seconds(bounds.get("drain", "2s")),
        entry_heartbeat_s=values.parse_seconds(
            raw.get("heartbeat") or _DEFAULT_HEARTBEAT
        ),
        grace_s=values.parse_seconds(bounds.get("grace", "6s")),
        answer_lifetime_s=ttl_max_s * _ANSWER_LIFETIME_SHARE,
        retry_ratio=float(bounds.get("budget-ratio", "0.2")),
        retry_allowance=float(bounds.get("budget-extra", "0")),
        retry_window_s=values.parse_seconds(
            bounds.get("budget-window", "10s")
        ),
        probes_per_target_s=float(bounds.get("probes-per-s", "10")),
        memory_limit_bytes=int(limits.get("memory-mb", _DEFAULT_MEMORY_MB))
        * _BYTES_PER_MB,
        link_bytes_per_s=float(limits.get("link-mbps") or _DEFAULT_LINK_MBPS)
        * _BYTES_PER_MEGABIT,
        descriptor_limit=int(limits.get("max-fds", _DEFAULT_DESCRIPTORS)),
    )


def _parse_endpoint(text: str) -> settings.Endpoint:
    ip, _, port = text.rpartition(":")
    return settings.Endpoint(ip=ip, port=int(port))
