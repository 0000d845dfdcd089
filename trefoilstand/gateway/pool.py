"""Keep connections to targets."""

import time

from trefoilstand.gateway import const
from trefoilstand.gateway import targets
from trefoilstand.http import link


class LinkPool:
    """Hold idle connections by address and incarnation of the target.

    :param local_ip: address that connections start from.
    """

    def __init__(self, *, local_ip: str | None) -> None:
        self._local_ip = local_ip
        self._idle: dict[str, list[link.Link]] = {}
        self.opened = 0

    async def acquire(self, target: targets.Target) -> link.Link:
        """Return an idle connection or open one.

        The most recently used one is taken, as it is the least likely to
        be closed by the target meanwhile.

        :raises errors.LinkError: none could be opened.
        """
        now_s = time.monotonic()
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

    def release(self, target: targets.Target, used: link.Link) -> None:
        """Take a connection back, or close it if it cannot be reused."""
        if not used.is_reusable:
            used.close()
            return
        idle = self._idle.setdefault(target.target_id, [])
        if len(idle) >= const.MAX_IDLE_LINKS:
            used.close()
            return
        used.idle_since_s = time.monotonic()
        idle.append(used)

    def forget(self, target: targets.Target) -> None:
        """Close the idle connections to a target that is gone."""
        for unused in self._idle.pop(target.target_id, []):
            unused.close()

    def expire(self) -> None:
        """Close connections that have been idle for too long."""
        now_s = time.monotonic()
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
