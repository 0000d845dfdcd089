"""Decode what operators and targets write into the platform's store."""

import json
import typing

from trefoilstand.gateway import models
from trefoilstand.gateway import state
from trefoilstand.http import server
from trefoilstand.platform import values
from trefoilstand.telemetry import events
from trefoilstand.util import address as addresses

_CONFIGURATION_KEY: typing.Final = "op/config"
_TARGET_PREFIX: typing.Final = "servers/"
_IDEMPOTENT_KIND: typing.Final = "safe"
_STATES: typing.Final = {
    "ready": models.TargetState.READY,
    "draining": models.TargetState.DRAINING,
}


class StoreDecoder(state.ItemDecoder):
    """Turn items of the platform's store into entities."""

    def is_configuration(self, key: str) -> bool:
        """Return whether a key holds the configuration."""
        return key == _CONFIGURATION_KEY

    def target_id(self, key: str) -> str | None:
        """Return the target that a key describes, None for other keys."""
        if not key.startswith(_TARGET_PREFIX):
            return None
        return key[len(_TARGET_PREFIX) :]

    def decode_configuration(
        self, value: bytes
    ) -> models.GatewayConfiguration:
        """Return the configuration.

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
                        max_connections=int(policy.get("max-conns", 100)),
                    )
                    for name, policy in raw["services"].items()
                },
                limits=_decode_limits(raw.get("limits") or {}),
            )
        except values.MALFORMED as error:
            raise ValueError(f"{type(error).__name__}: {error}") from error

    def decode_target(
        self, target_id: str, value: bytes
    ) -> models.TargetRecord | None:
        """Return the target of an entry, None where it is malformed.

        Other writers may leave entries here that name no target.
        """
        try:
            raw = json.loads(value)
            info = raw["info"]
            status = raw["status"]
            address = addresses.parse_address(raw["address"])
            service, domain = info["service"], info["zone"]
            if not (isinstance(service, str) and isinstance(domain, str)):
                raise TypeError("service and zone are texts")
            if not service:
                raise ValueError("service is empty")
            if type(info["slots"]) is not int or info["slots"] < 1:
                raise TypeError("slots is a positive number")
            return models.TargetRecord(
                target_id=target_id,
                # Moment of the start, in milliseconds since the epoch.
                incarnation=_decode_born(raw),
                service=service,
                ip=address.ip,
                port=address.port,
                failure_domain=domain,
                slots=info["slots"],
                state=_STATES[status["state"]],
                warmup_left_s=values.parse_seconds(status["warmup-left"]),
            )
        except values.MALFORMED as error:
            events.warning(
                events.EntryDropped(
                    key=_TARGET_PREFIX + target_id,
                    cause=f"{type(error).__name__}: {error}"[:200],
                )
            )
            return None


def _decode_born(raw: dict[str, typing.Any]) -> int:
    born = raw.get("born", 0)
    if not isinstance(born, int) or isinstance(born, bool):
        raise TypeError("born is a whole number")
    return born


def _decode_route(name: str, raw: dict[str, typing.Any]) -> models.Route:
    split = raw.get("traffic-split")
    if split:
        parts = tuple(
            models.WeightedService(
                service=part["service"], weight=float(part["weight"])
            )
            for part in split
        )
    else:
        parts = (models.WeightedService(service=raw["service"], weight=1.0),)
    timeout_s = values.parse_seconds(raw["timeout"])
    objective = raw.get("target-latency")
    return models.Route(
        name=name,
        host=raw["host"].lower(),
        prefix=raw["prefix"],
        is_idempotent=raw["route-type"] == _IDEMPOTENT_KIND,
        timeout_s=timeout_s,
        objective_s=values.parse_seconds(objective)
        if objective
        else timeout_s / 2,
        max_attempts=max(int(raw.get("max-attempts", 1)), 1),
        priority=int(raw.get("priority", 0)),
        weighted_services=parts,
    )


def _decode_limits(raw: dict[str, typing.Any]) -> server.Limits:
    default = server.Limits()
    header_timeout = raw.get("header-timeout")
    idle_timeout = raw.get("idle-timeout")
    return server.Limits(
        header_bytes=int(raw.get("max-header-bytes", default.header_bytes)),
        body_bytes=int(raw.get("max-body-bytes", default.body_bytes)),
        header_timeout_s=values.parse_seconds(header_timeout)
        if header_timeout
        else default.header_timeout_s,
        idle_timeout_s=values.parse_seconds(idle_timeout)
        if idle_timeout
        else default.idle_timeout_s,
    )
