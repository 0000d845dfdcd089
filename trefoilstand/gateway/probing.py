"""Probe the load of a target on a connection that can carry a request."""

import abc
import asyncio
import dataclasses
import typing

from trefoilstand.gateway import const
from trefoilstand.gateway import leaving_reader
from trefoilstand.gateway import limit_reader
from trefoilstand.gateway import pool
from trefoilstand.gateway import target_protocol
from trefoilstand.gateway import targets
from trefoilstand.http import errors
from trefoilstand.http import models as http_models
from trefoilstand.http import outbound_connection
from trefoilstand.http import wire
from trefoilstand.util import clock as clocks

_OK: typing.Final = 200
#: Largest body of a health response, whose content is not used.
_MAX_HEALTH_BODY_BYTES: typing.Final = 64 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeResult:
    """Hold a target that has just responded to a probe.

    :param target: the target, with its load report updated.
    :param connection: connection reserved for the caller of the probe.
    :param is_healthy: whether the target reports itself healthy.
    """

    target: targets.Target
    connection: pool.TargetConnection
    is_healthy: bool


class TargetProber(abc.ABC):
    """Probe single targets for their load."""

    @abc.abstractmethod
    async def probe(self, target: targets.Target) -> ProbeResult | None:
        """Probe one target.

        :returns: None without a valid response.
        """


class Prober(TargetProber):
    """Probe targets by HTTP health checks.

    :param connections: connections to targets.
    :param protocol: header names and formats of the targets.
    :param limits: updated with the limits that responses state.
    :param leaving: reads from responses that their target leaves.
    :param clock: source of the time.
    """

    def __init__(
        self,
        *,
        connections: pool.ConnectionPool,
        protocol: target_protocol.TargetProtocol,
        limits: limit_reader.LimitReader,
        leaving: leaving_reader.LeavingReader,
        clock: clocks.Clock,
    ) -> None:
        self._clock = clock
        self._connections = connections
        self._protocol = protocol
        self._limits = limits
        self._leaving = leaving
        self.health_paths: dict[str, str] = {}
        self.sent = 0
        self.failed = 0

    async def probe(self, target: targets.Target) -> ProbeResult | None:
        """Probe one target.

        :returns: None without a valid response.
        """
        self.sent += 1
        self._limits.record_message(target, "probe", self._clock.now_s())
        connection: outbound_connection.OutboundConnection | None = None
        try:
            async with asyncio.timeout(const.PROBE_TIMEOUT_S):
                connection = await self._connections.acquire(target)
                response = await connection.send(
                    self._encode_health_check(target),
                    matches=self._leaving.watch(
                        target, self._is_health_response, is_health_check=True
                    ),
                    max_body_bytes=_MAX_HEALTH_BODY_BYTES,
                )
        except errors.ConnectionQuotaError:
            # Says nothing about the target.
            return None
        except (TimeoutError, errors.LinkError):
            if connection is not None:
                connection.abort()
            self.failed += 1
            target.record_failure(self._clock.now_s())
            return None
        except asyncio.CancelledError:
            if connection is not None:
                connection.abort()
            raise
        return await self._process_response(target, connection, response)

    async def _process_response(
        self,
        target: targets.Target,
        connection: outbound_connection.OutboundConnection,
        response: http_models.Response,
    ) -> ProbeResult | None:
        """Update the target from a response and return the probe result."""
        now_s = self._clock.now_s()
        responder_id = self._protocol.read_target_id(response)
        if responder_id is not None and responder_id != target.target_id:
            # The address belongs to another process now.
            connection.close()
            self.failed += 1
            target.record_failure(now_s)
            return None
        if target.is_removed:
            connection.close()
            return None
        self._limits.read_response(target, response, now_s, is_request=False)
        warmup_s = self._protocol.read_warmup_s(response)
        if warmup_s is not None:
            target.warming_until_s = now_s + warmup_s
        report = self._protocol.read_load(response, now_s)
        target.reports_load = report is not None
        if report is not None:
            target.report = report
        is_healthy = response.status == _OK
        if connection.is_reusable:
            return ProbeResult(
                target=target, connection=connection, is_healthy=is_healthy
            )
        # The target closed the connection, as targets do while draining.
        try:
            replacement = await self._connections.acquire(target)
        except errors.LinkError:
            return None
        return ProbeResult(
            target=target, connection=replacement, is_healthy=is_healthy
        )

    def _encode_health_check(self, target: targets.Target) -> bytes:
        path = self.health_paths.get(target.record.service, "/health")
        return wire.encode_request(
            method=b"GET",
            target=path.encode(),
            fields=[(b"host", target.host_field)],
        )

    def _is_health_response(self, response: http_models.Response) -> bool:
        """Return whether this is not a late response to a caller's request."""
        return response.find_field(self._protocol.names.request_id) is None
