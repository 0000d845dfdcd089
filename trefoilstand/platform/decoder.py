"""Decode the configuration and target entries of the platform's store."""

import ipaddress
import json
import math
import re
import typing

from trefoilstand.gateway import models
from trefoilstand.gateway import state
from trefoilstand.http import handling
from trefoilstand.platform import values
from trefoilstand.telemetry import events
from trefoilstand.util import address as addresses

_CONFIGURATION_KEY: typing.Final = "op/config"
_TARGET_PREFIX: typing.Final = "servers/"
_EVACUATION_PREFIX: typing.Final = "op/evacuate/"
#: Requests carry the id of their target in a header field, so anything else
#: could change the meaning of a request.
_TARGET_ID_PATTERN: typing.Final = re.compile(r"[\x21-\x7e]{1,200}")
#: Larger numbers are not plausible: a target with so many slots, or with so
#: long a warm-up, would upset the choice of targets for all requests.
_SLOTS_LIMIT: typing.Final = 1_000_000
WARMUP_LIMIT_S: typing.Final = 86_400.0
#: Start times from this on, in milliseconds, do not fit messages of hosts.
_INCARNATION_LIMIT: typing.Final = 2**63
#: Route types whose requests may run more than once; downloads are safe
#: requests with large responses.
_IDEMPOTENT_ROUTE_TYPES: typing.Final = frozenset({"safe", "download"})
_TARGET_STATES: typing.Final = {
    "ready": models.TargetState.READY,
    "draining": models.TargetState.DRAINING,
}


class StoreDecoder(state.ItemDecoder):
    """Decode items of the platform's store into gateway models."""

    def is_configuration(self, key: str) -> bool:
        """Return whether a key holds the configuration."""
        return key == _CONFIGURATION_KEY

    def evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain whose evacuation a key requests."""
        if not key.startswith(_EVACUATION_PREFIX):
            return None
        return key[len(_EVACUATION_PREFIX) :] or None

    def target_id(self, key: str) -> str | None:
        """Return the target ID in a key, None if it describes no target."""
        if not key.startswith(_TARGET_PREFIX):
            return None
        target_id = key[len(_TARGET_PREFIX) :]
        if _TARGET_ID_PATTERN.fullmatch(target_id) is None:
            events.warning(
                events.EntryDropped(
                    key=ascii(key)[:200], cause="the key holds no target ID"
                )
            )
            return None
        return target_id

    def decode_configuration(
        self, value: bytes
    ) -> models.GatewayConfiguration:
        """Return the configuration that a value holds.

        :param value: JSON document as stored.
        :raises ValueError: the content is malformed.
        """
        try:
            raw = json.loads(value)
            return models.GatewayConfiguration(
                version=values.parse_version(raw["version"]),
                routes={
                    name: _decode_route(name, route)
                    for name, route in raw["routes"].items()
                },
                services={
                    name: models.ServicePolicy(
                        name=name,
                        health_path=policy.get("health-path", "/health"),
                        max_connections=_decode_max_connections(policy),
                        warmup_s=_decode_warmup_s(policy.get("warmup", "0s")),
                        warmup_requests_per_s=_decode_warmup_rate(policy),
                    )
                    for name, policy in raw["services"].items()
                },
                limits=_decode_limits(raw.get("limits") or {}),
            )
        except values.MALFORMED_ERRORS as error:
            raise ValueError(f"{type(error).__name__}: {error}") from error

    def decode_target(
        self, target_id: str, value: bytes
    ) -> models.TargetRecord | None:
        """Return the target that an entry describes, None if malformed.

        A malformed entry is logged and dropped, since other writers may
        leave entries with this prefix that describe no target.

        :param target_id: target ID from the key.
        :param value: JSON document as stored.
        """
        try:
            raw = json.loads(value)
            info = raw["info"]
            status = raw["status"]
            address = _decode_address(raw["address"])
            return models.TargetRecord(
                target_id=target_id,
                # Start time of the target in milliseconds since the epoch.
                incarnation=_decode_incarnation(raw),
                service=_decode_service(info["service"]),
                ip=address.ip,
                port=address.port,
                failure_domain=_decode_text(info["zone"]),
                slots=_decode_slots(info["slots"]),
                state=_TARGET_STATES[status["state"]],
                warmup_left_s=_decode_warmup_s(status["warmup-left"]),
            )
        except values.MALFORMED_ERRORS as error:
            events.warning(
                events.EntryDropped(
                    key=_TARGET_PREFIX + target_id,
                    cause=f"{type(error).__name__}: {error}"[:200],
                )
            )
            return None


def _decode_address(raw: typing.Any) -> addresses.SocketAddress:
    address = addresses.parse_address(raw)
    ip = ipaddress.IPv4Address(address.ip)
    # Reserved addresses include that of the broadcast.
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise ValueError(f"{address.ip} is not the address of one machine")
    return address


def _decode_service(raw: typing.Any) -> str:
    if not raw:
        raise ValueError("service must not be empty")
    return _decode_text(raw)


def _decode_text(raw: typing.Any) -> str:
    if not isinstance(raw, str):
        raise TypeError("service and zone must be strings")
    # Half of a surrogate pair could not be encoded again.
    raw.encode()
    return raw


def _decode_slots(raw: typing.Any) -> int:
    if type(raw) is not int or not 1 <= raw < _SLOTS_LIMIT:
        raise ValueError(
            f"slots must be an integer from 1 to {_SLOTS_LIMIT - 1}"
        )
    return raw


def _decode_warmup_s(raw: typing.Any) -> float:
    warmup_s = values.parse_seconds(raw)
    if warmup_s > WARMUP_LIMIT_S:
        raise ValueError(f"warmup-left must not exceed {WARMUP_LIMIT_S} s")
    return warmup_s


def _decode_incarnation(raw: dict[str, typing.Any]) -> int:
    born = raw.get("born", 0)
    if type(born) is not int or not 0 <= born < _INCARNATION_LIMIT:
        raise ValueError("born must be a time in milliseconds")
    return born


def _decode_route(name: str, raw: dict[str, typing.Any]) -> models.Route:
    traffic_split = raw.get("traffic-split")
    if traffic_split:
        parts = tuple(
            models.WeightedService(
                service=part["service"], weight=float(part["weight"])
            )
            for part in traffic_split
        )
    else:
        parts = (models.WeightedService(service=raw["service"], weight=1.0),)
    timeout_s = values.parse_seconds(raw["timeout"])
    latency_objective = raw.get("target-latency")
    return models.Route(
        name=name,
        host=raw["host"].lower(),
        prefix=raw["prefix"],
        is_idempotent=raw["route-type"] in _IDEMPOTENT_ROUTE_TYPES,
        timeout_s=timeout_s,
        objective_s=values.parse_seconds(latency_objective)
        if latency_objective
        else timeout_s / 2,
        max_attempts=max(int(raw.get("max-attempts", 1)), 1),
        priority=int(raw.get("priority", 0)),
        weighted_services=parts,
    )


def _decode_max_connections(policy: dict[str, typing.Any]) -> int | None:
    value = policy.get("max-conns")
    return None if value is None else int(value)


def _decode_warmup_rate(policy: dict[str, typing.Any]) -> float | None:
    """Return the rate that cold targets tolerate, None without a limit."""
    value = policy.get("warmup-per-s")
    if value is None:
        return None
    rate_per_s = float(value)
    if not (math.isfinite(rate_per_s) and rate_per_s >= 0):
        raise ValueError(f"warmup-per-s must not be {rate_per_s}")
    return rate_per_s or None


def _decode_limits(raw: dict[str, typing.Any]) -> handling.Limits:
    default_limits = handling.Limits()
    header_timeout = raw.get("header-timeout")
    idle_timeout = raw.get("idle-timeout")
    return handling.Limits(
        header_bytes=int(
            raw.get("max-header-bytes", default_limits.header_bytes)
        ),
        body_bytes=int(raw.get("max-body-bytes", default_limits.body_bytes)),
        header_timeout_s=values.parse_seconds(header_timeout)
        if header_timeout
        else default_limits.header_timeout_s,
        idle_timeout_s=values.parse_seconds(idle_timeout)
        if idle_timeout
        else default_limits.idle_timeout_s,
    )
