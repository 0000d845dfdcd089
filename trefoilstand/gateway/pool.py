"""Keep connections to targets."""

import abc
import asyncio
import typing

from trefoilstand import exceptions
from trefoilstand.gateway import const
from trefoilstand.gateway import targets
from trefoilstand.http import link
from trefoilstand.http import models
from trefoilstand.util import clock as clocks


class ForeignLinkError(exceptions.InvariantError):
    """Represent a connection that this pool did not open."""


class ExchangeLink(typing.Protocol):
    """What a request needs of a connection."""

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""

    def send(
        self, data: bytes, *, matches: link.Matcher, is_head: bool = False
    ) -> asyncio.Future[models.Response]:
        """Send a request and return the future of its answer."""


class LinkSource(abc.ABC):
    """Hand out connections to targets."""

    @abc.abstractmethod
    async def acquire(self, target: targets.Target) -> ExchangeLink:
        """Return an idle connection or open one.

        :raises errors.LinkError: none could be opened.
        """

    @abc.abstractmethod
    def release(self, target: targets.Target, used: ExchangeLink) -> None:
        """Take a connection back, or close it if it cannot be reused."""


class LinkPool(LinkSource):
    """Hold idle connections by target.

    :param clock: source of the time.
    :param local_ip: address that connections start from.
    """

    def __init__(self, *, clock: clocks.Clock, local_ip: str | None) -> None:
        self._clock = clock
        self._local_ip = local_ip
        self._idle: dict[str, list[link.Link]] = {}
        self.opened = 0

    async def acquire(self, target: targets.Target) -> link.Link:
        """Return an idle connection or open one.

        The most recently used one is taken, as it is the least likely to
        be closed by the target meanwhile.

        :raises errors.LinkError: none could be opened.
        """
        now_s = self._clock.now_s()
        idle = self._idle.get(target.target_id, [])
        while idle:
            found = idle.pop()
            if found.is_reusable and not _is_aged(found, now_s):
                return found
            found.close()
        self.opened += 1
        return await link.connect(
            ip=target.record.ip,
            port=target.record.port,
            timeout_s=const.CONNECT_TIMEOUT_S,
            local_ip=self._local_ip,
        )

    def release(self, target: targets.Target, used: ExchangeLink) -> None:
        """Take a connection back, or close it if it cannot be reused."""
        if not isinstance(used, link.Link):
            raise ForeignLinkError(type(used).__name__)
        if not used.is_reusable:
            used.close()
            return
        idle = self._idle.setdefault(target.target_id, [])
        if len(idle) >= const.MAX_IDLE_LINKS:
            used.close()
            return
        used.idle_since_s = self._clock.now_s()
        idle.append(used)

    def forget(self, target: targets.Target) -> None:
        """Close the idle connections to a target that is gone."""
        for unused in self._idle.pop(target.target_id, []):
            unused.close()

    def expire(self) -> None:
        """Close connections that have been idle for too long."""
        now_s = self._clock.now_s()
        for target_id, idle in list(self._idle.items()):
            fresh = []
            for candidate in idle:
                if candidate.is_closed or _is_aged(candidate, now_s):
                    candidate.close()
                else:
                    fresh.append(candidate)
            if fresh:
                self._idle[target_id] = fresh
            else:
                del self._idle[target_id]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for unused in idle:
                unused.close()
        self._idle.clear()


def _is_aged(candidate: link.Link, now_s: float) -> bool:
    limit_s = const.LINK_IDLE_LIMIT_S
    if candidate.idle_limit_s is not None:
        limit_s = min(
            limit_s, candidate.idle_limit_s - const.LINK_IDLE_MARGIN_S
        )
    return now_s - candidate.idle_since_s > max(limit_s, 0.0)
