"""Pool idle connections to targets."""

import abc
import asyncio
import collections
import math
import typing
import weakref

from trefoilstand import exceptions
from trefoilstand.gateway import connection_quota
from trefoilstand.gateway import const
from trefoilstand.gateway import targets
from trefoilstand.http import buffer_budget
from trefoilstand.http import errors
from trefoilstand.http import input_scheduler
from trefoilstand.http import models
from trefoilstand.http import outbound_connection
from trefoilstand.util import clock as clocks


class ForeignLinkError(exceptions.InvariantError):
    """Represent the release of a connection that the pool cannot hold."""


class TargetConnection(typing.Protocol):
    """Interface of a connection that carries requests to a target."""

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent on it."""

    def send(
        self,
        data: bytes,
        *,
        matches: outbound_connection.Matcher,
        is_head: bool = False,
        body: models.Body = b"",
    ) -> asyncio.Future[models.Response]:
        """Send a request and return the future of its response.

        :param data: encoded request.
        :param matches: tells the response to this request from others.
        :param is_head: whether it is a HEAD request, whose response has no
            body.
        :param body: body that the encoded request does not contain.
        """


class ConnectionSource(abc.ABC):
    """Provide connections to targets."""

    @abc.abstractmethod
    async def acquire(self, target: targets.Target) -> TargetConnection:
        """Return an idle connection or open one.

        :raises errors.ConnectionQuotaError: this host has its share of the
            connections that the target accepts.
        :raises errors.LinkError: no connection could be opened.
        """

    @abc.abstractmethod
    def release(
        self, target: targets.Target, connection: TargetConnection
    ) -> None:
        """Keep a connection for reuse, or close it if that is impossible."""


class ConnectionPool(ConnectionSource):
    """Pool idle connections by target.

    :param clock: source of the time.
    :param local_ip: local address that connections are bound to, None for
        any.
    :param buffers: memory for the bodies of responses, None for no limit.
    :param scheduler: shares the event loop with other connections, None to
        share it only among those of this pool.
    :param quota: limits the connections to each target, None for no limit.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        local_ip: str | None,
        buffers: buffer_budget.BufferBudget | None = None,
        scheduler: input_scheduler.InputScheduler | None = None,
        quota: connection_quota.ConnectionQuota | None = None,
    ) -> None:
        self._clock = clock
        self._local_ip = local_ip
        self._buffers = buffers
        self._input_scheduler = scheduler or input_scheduler.InputScheduler()
        self._quota = quota
        self._idle: dict[
            str, list[outbound_connection.OutboundConnection]
        ] = {}
        #: Connections by target, idle ones included.
        self._open: dict[
            str, weakref.WeakSet[outbound_connection.OutboundConnection]
        ] = {}
        #: Connections that are being opened, by target.
        self._opening: collections.Counter[str] = collections.Counter()
        self.opened = 0

    async def acquire(
        self, target: targets.Target
    ) -> outbound_connection.OutboundConnection:
        """Return an idle connection or open one.

        The most recently used connection is taken, as it is the least
        likely to have been closed by the target.

        :raises errors.ConnectionQuotaError: this host has its share of the
            connections that the target accepts.
        :raises errors.LinkError: no connection could be opened.
        """
        now_s = self._clock.now_s()
        idle = self._idle.get(target.target_id, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable and not _is_expired(connection, now_s):
                return connection
            connection.close()
        return await self._open_connection(target)

    async def _open_connection(
        self, target: targets.Target
    ) -> outbound_connection.OutboundConnection:
        target_id = target.target_id
        open_count = self._opening[target_id] + sum(
            not connection.is_closed
            for connection in self._open.get(target_id, ())
        )
        if open_count >= self._share(target):
            raise errors.ConnectionQuotaError
        self.opened += 1
        self._opening[target_id] += 1
        try:
            connection = await outbound_connection.connect(
                ip=target.record.ip,
                port=target.record.port,
                timeout_s=const.CONNECT_TIMEOUT_S,
                local_ip=self._local_ip,
                buffers=self._buffers,
                scheduler=self._input_scheduler,
            )
        finally:
            self._opening[target_id] -= 1
            if not self._opening[target_id]:
                del self._opening[target_id]
        self._open.setdefault(target_id, weakref.WeakSet()).add(connection)
        return connection

    def _share(self, target: targets.Target) -> float:
        """Return how many connections to a target this host may have."""
        if self._quota is None:
            return math.inf
        share = self._quota.share(target.record.service, self._clock.now_s())
        return math.inf if share is None else share

    def release(
        self, target: targets.Target, connection: TargetConnection
    ) -> None:
        """Keep a connection for reuse, or close it if that is impossible."""
        if not isinstance(connection, outbound_connection.OutboundConnection):
            raise ForeignLinkError(
                f"cannot pool a connection of type {type(connection).__name__}"
            )
        if not connection.is_reusable or target.is_removed:
            connection.close()
            return
        idle = self._idle.setdefault(target.target_id, [])
        if len(idle) >= min(const.MAX_IDLE_CONNECTIONS, self._share(target)):
            connection.close()
            return
        connection.idle_since_s = self._clock.now_s()
        idle.append(connection)

    def close_idle_connections(self, target: targets.Target) -> None:
        """Close the idle connections to a target that was removed."""
        for connection in self._idle.pop(target.target_id, []):
            connection.close()

    def close_expired(self) -> None:
        """Close connections that have been idle beyond their limit."""
        now_s = self._clock.now_s()
        for target_id, idle in list(self._idle.items()):
            reusable = []
            for connection in idle:
                if connection.is_closed or _is_expired(connection, now_s):
                    connection.close()
                else:
                    reusable.append(connection)
            if reusable:
                self._idle[target_id] = reusable
            else:
                del self._idle[target_id]
        for target_id, connections in list(self._open.items()):
            if not connections:
                del self._open[target_id]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()


def _is_expired(
    connection: outbound_connection.OutboundConnection, now_s: float
) -> bool:
    limit_s = const.CONNECTION_IDLE_LIMIT_S
    if connection.keep_alive_timeout_s is not None:
        limit_s = min(
            limit_s,
            connection.keep_alive_timeout_s - const.CONNECTION_IDLE_MARGIN_S,
        )
    return now_s - connection.idle_since_s > max(limit_s, 0.0)
