"""Stand-in for the store: paged range reads, watches and history.

It implements the published protocol and runs on the event loop of the
test, which changes the stored keys by calling its methods.
"""

import asyncio
import base64
import dataclasses
import json
import typing
import urllib.parse

from trefoilstand.http import handling
from trefoilstand.http import models

_JSON: typing.Final = (b"content-type", b"application/json")
_ITEMS_PER_PAGE: typing.Final = 50
_MS_PER_S: typing.Final = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreCopy:
    """Hold the content of the store at one moment.

    :param revision: revision of the store.
    :param items: revision and value of each key.
    :param history: revision, key and value of each change.
    """

    revision: int
    items: dict[str, tuple[int, bytes]]
    history: tuple[tuple[int, str, bytes | None], ...]


class StoreService(handling.RequestHandler):
    """Hold keys with revisions and serve reads and watches."""

    def __init__(self) -> None:
        self.revision = 1
        self.era = 0
        self.calls = 0
        self.is_down = False
        self._items: dict[str, tuple[int, bytes]] = {}
        self._history: list[tuple[int, str, bytes | None]] = []
        self._compacted_revision = 0
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Set the value of a key and increment the revision.

        :param key: key to set.
        :param value: its new value.
        """
        self.revision += 1
        self._items[key] = (self.revision, value)
        self._record_change(key, value)

    def remove(self, key: str) -> None:
        """Remove a key and increment the revision.

        :param key: key to remove.
        """
        self.revision += 1
        self._items.pop(key, None)
        self._record_change(key, None)

    def compact(self) -> None:
        """Drop the history, so that earlier revisions cannot be watched."""
        self._history.clear()
        self._compacted_revision = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can come back later."""
        return StoreCopy(
            revision=self.revision,
            items=dict(self._items),
            history=tuple(self._history),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from an earlier copy, which starts a new era.

        :param copy: copy that :meth:`copy` returned.
        """
        self.era += 1
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._changed.set()
        self._changed = asyncio.Event()

    def _record_change(self, key: str, value: bytes | None) -> None:
        self._history.append((self.revision, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: models.Request) -> handling.CallerResponse:
        """Serve a range read or a watch.

        :param request: request of a reader.
        """
        self.calls += 1
        if self.is_down:
            return handling.CallerResponse(status=503)
        query = dict(
            urllib.parse.parse_qsl(
                request.target.partition(b"?")[2].decode(),
                keep_blank_values=True,
            )
        )
        if request.path == b"/api/kv-range":
            return self._serve_range(query)
        if request.path == b"/api/kv-watch":
            return await self._serve_watch(query)
        return handling.CallerResponse(status=404)

    def _serve_range(self, query: dict[str, str]) -> handling.CallerResponse:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        page = [
            _encode_item(key, *self._items[key])
            for key in keys[:_ITEMS_PER_PAGE]
        ]
        return self._respond(items=page, truncated=len(keys) > _ITEMS_PER_PAGE)

    async def _serve_watch(
        self, query: dict[str, str]
    ) -> handling.CallerResponse:
        after_revision = int(query["after"])
        if not self._has_history_after(after_revision):
            return self._respond_gone()
        if not self._events_after(query["prefix"], after_revision):
            try:
                async with asyncio.timeout(int(query["wait-ms"]) / _MS_PER_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if self.is_down:
            return handling.CallerResponse(status=503)
        if not self._has_history_after(after_revision):
            return self._respond_gone()
        return self._respond(
            events=self._events_after(query["prefix"], after_revision)
        )

    def _has_history_after(self, revision: int) -> bool:
        return self._compacted_revision <= revision <= self.revision

    def _events_after(
        self, prefix: str, after_revision: int
    ) -> list[dict[str, typing.Any]]:
        return [
            _encode_item(key, revision, value)
            for revision, key, value in self._history
            if revision > after_revision and key.startswith(prefix)
        ]

    def _respond(self, **content: typing.Any) -> handling.CallerResponse:
        content["store-revision"] = self.revision
        return handling.CallerResponse(
            status=200,
            fields=[_JSON, self._era_field()],
            body=json.dumps(content).encode(),
        )

    def _respond_gone(self) -> handling.CallerResponse:
        return handling.CallerResponse(status=410, fields=[self._era_field()])

    def _era_field(self) -> tuple[bytes, bytes]:
        return (b"store-era", b"%d" % self.era)


def _encode_item(
    key: str, revision: int, value: bytes | None
) -> dict[str, typing.Any]:
    if value is None:
        return {"key": key, "revision": revision, "removed": True}
    return {
        "key": key,
        "revision": revision,
        "created-rev": revision,
        "lease": 0,
        "value": base64.b64encode(value).decode(),
    }
