"""Ask one target for its load on a connection that can be used next."""

import abc
import asyncio
import dataclasses
import typing

from trefoilstand.gateway import const
from trefoilstand.gateway import dialect as dialects
from trefoilstand.gateway import pool
from trefoilstand.gateway import targets
from trefoilstand.http import errors
from trefoilstand.http import link
from trefoilstand.http import models as http_models
from trefoilstand.http import wire
from trefoilstand.util import clock as clocks

_OK: typing.Final = 200


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Probed:
    """Hold a target that has just answered.

    :param target: the target, its report updated.
    :param link: connection that nobody else uses.
    :param is_well: whether it considers itself healthy.
    """

    target: targets.Target
    link: pool.ExchangeLink
    is_well: bool


class TargetProber(abc.ABC):
    """Ask single targets for their load."""

    @abc.abstractmethod
    async def probe(self, target: targets.Target) -> Probed | None:
        """Ask one target; None where it gave no usable answer."""


class Prober(TargetProber):
    """Send health checks.

    :param links: connections to targets.
    :param dialect: names on the wire.
    :param clock: source of the time.
    """

    def __init__(
        self,
        *,
        links: pool.LinkPool,
        dialect: dialects.Dialect,
        clock: clocks.Clock,
    ) -> None:
        self._clock = clock
        self._links = links
        self._dialect = dialect
        self.health_paths: dict[str, str] = {}
        self.sent = 0
        self.failed = 0

    async def probe(self, target: targets.Target) -> Probed | None:
        """Ask one target; None where it gave no usable answer."""
        self.sent += 1
        used: link.Link | None = None
        try:
            async with asyncio.timeout(const.PROBE_TIMEOUT_S):
                used = await self._links.acquire(target)
                response = await used.send(
                    self._encode(target), matches=self._is_health
                )
        except (TimeoutError, errors.LinkError):
            if used is not None:
                used.abort()
            self.failed += 1
            target.record_failure(self._clock.now_s())
            return None
        except asyncio.CancelledError:
            if used is not None:
                used.abort()
            raise
        return await self._take(target, used, response)

    async def _take(
        self,
        target: targets.Target,
        used: link.Link,
        response: http_models.Response,
    ) -> Probed | None:
        """Learn from an answer and keep the connection."""
        now_s = self._clock.now_s()
        identity = self._dialect.read_target_id(response)
        if identity is not None and identity != target.target_id:
            # The address belongs to another process by now.
            used.close()
            self.failed += 1
            target.record_failure(now_s)
            return None
        report = self._dialect.read_load(response, now_s)
        target.tells_load = report is not None
        if report is not None:
            target.report = report
        is_well = response.status == _OK
        if used.is_reusable:
            return Probed(target=target, link=used, is_well=is_well)
        # The target closes its connections, as it does when it leaves.
        try:
            fresh = await self._links.acquire(target)
        except errors.LinkError:
            return None
        return Probed(target=target, link=fresh, is_well=is_well)

    def _encode(self, target: targets.Target) -> bytes:
        path = self.health_paths.get(target.record.service, "/health")
        return wire.encode_request(
            method=b"GET",
            target=path.encode(),
            fields=[(b"host", target.host_field)],
        )

    def _is_health(self, response: http_models.Response) -> bool:
        """Return whether an answer is not a late one to a request."""
        return response.find(self._dialect.names.request_id) is None
