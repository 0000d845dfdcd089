"""Stand-in for the users' store: ranges with pages, watches, history.

It speaks the published protocol and runs on the caller's event loop.
Whoever plays the operator calls its methods.
"""

import asyncio
import base64
import json
import typing
import urllib.parse

from trefoilstand.http import models
from trefoilstand.http import server

_JSON: typing.Final = (b"content-type", b"application/json")
_PAGE_ITEMS: typing.Final = 50
_MS_PER_S: typing.Final = 1000


class StoreService(server.RequestHandler):
    """Hold keys with revisions and answer reads."""

    def __init__(self) -> None:
        self.revision = 1
        self.calls = 0
        self.is_down = False
        self._items: dict[str, tuple[int, bytes]] = {}
        self._history: list[tuple[int, str, bytes | None]] = []
        self._oldest = 0
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Set a key."""
        self.revision += 1
        self._items[key] = (self.revision, value)
        self._note(key, value)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self._items.pop(key, None)
        self._note(key, None)

    def compact(self) -> None:
        """Forget the history."""
        self._history.clear()
        self._oldest = self.revision

    def _note(self, key: str, value: bytes | None) -> None:
        self._history.append((self.revision, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: models.Request) -> server.CallerResponse:
        """Answer a read or a watch."""
        self.calls += 1
        if self.is_down:
            return server.CallerResponse(status=503)
        query = dict(
            urllib.parse.parse_qsl(
                request.target.partition(b"?")[2].decode(),
                keep_blank_values=True,
            )
        )
        if request.path == b"/api/kv-range":
            return self._range(query)
        if request.path == b"/api/kv-watch":
            return await self._watch(query)
        return server.CallerResponse(status=404)

    def _range(self, query: dict[str, str]) -> server.CallerResponse:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        page = [_item(key, *self._items[key]) for key in keys[:_PAGE_ITEMS]]
        return self._answer(items=page, truncated=len(keys) > _PAGE_ITEMS)

    async def _watch(self, query: dict[str, str]) -> server.CallerResponse:
        after = int(query["after"])
        if after < self._oldest:
            return server.CallerResponse(status=410)
        if not self._events(query["prefix"], after):
            try:
                async with asyncio.timeout(int(query["wait-ms"]) / _MS_PER_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if self.is_down:
            return server.CallerResponse(status=503)
        if after < self._oldest:
            return server.CallerResponse(status=410)
        return self._answer(events=self._events(query["prefix"], after))

    def _events(self, prefix: str, after: int) -> list[dict[str, typing.Any]]:
        return [
            _item(key, revision, value)
            for revision, key, value in self._history
            if revision > after and key.startswith(prefix)
        ]

    def _answer(self, **content: typing.Any) -> server.CallerResponse:
        content["store-revision"] = self.revision
        return server.CallerResponse(
            status=200, fields=[_JSON], body=json.dumps(content).encode()
        )


def _item(
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
