"""Read and watch the platform's store."""

import asyncio
import base64
import dataclasses
import json
import typing
import urllib.parse

from trefoilstand.fleet import const as fleet_const
from trefoilstand.fleet import models
from trefoilstand.fleet import store
from trefoilstand.gateway import settings
from trefoilstand.http import errors
from trefoilstand.http import link
from trefoilstand.http import wire
from trefoilstand.platform import values

_OK: typing.Final = 200
_GONE: typing.Final = 410
_CONNECT_TIMEOUT_S: typing.Final = 0.5
_MS_PER_S: typing.Final = 1000
#: Bound on the pages of one snapshot, against answers that never end.
_MAX_PAGES: typing.Final = 400


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Page:
    """Hold one answer of the store.

    :param items: items or events, as they came.
    :param revision: revision of the store.
    :param is_truncated: whether another page follows.
    """

    items: tuple[models.Item, ...]
    revision: int
    is_truncated: bool


class PlatformStore(store.Store):
    """Speak the protocol of the platform's store.

    :param endpoint: where it is served.
    :param local_ip: address that connections start from.
    """

    def __init__(
        self, *, endpoint: settings.Endpoint, local_ip: str | None
    ) -> None:
        self._endpoint = endpoint
        self._local_ip = local_ip
        self._link: link.Link | None = None
        self.calls = 0

    async def read_all(self) -> models.Delta:
        """Return a snapshot of all keys.

        Pages are not read at one moment: the revision of the first one is
        taken for all, so that the next watch repeats what came between.

        :raises store.StoreError: no whole answer came in time.
        """
        items: dict[str, models.Item] = {}
        revision = 0
        after = ""
        for _ in range(_MAX_PAGES):
            query = {"prefix": ""}
            if after:
                query["after"] = after
            page = await self._get(
                "/api/kv-range", query, fleet_const.READ_TIMEOUT_S, "items"
            )
            revision = revision or page.revision
            for item in page.items:
                items[item.key] = item
                after = item.key
            if not page.is_truncated or not page.items:
                break
        return models.Delta(
            after_revision=0,
            up_to_revision=revision,
            items=tuple(items.values()),
            is_snapshot=True,
        )

    async def watch(self, after_revision: int, wait_s: float) -> models.Delta:
        """Wait for changes and return them, none if there were none.

        :raises store.HistoryLostError: a new snapshot is needed.
        :raises store.StoreError: no whole answer came in time.
        """
        query = {
            "prefix": "",
            "after": str(after_revision),
            "wait-ms": str(int(wait_s * _MS_PER_S)),
        }
        page = await self._get(
            "/api/kv-watch",
            query,
            wait_s + fleet_const.WATCH_MARGIN_S,
            "events",
        )
        latest: dict[str, models.Item] = {}
        for item in page.items:
            known = latest.get(item.key)
            if known is None or known.revision < item.revision:
                latest[item.key] = item
        return models.Delta(
            after_revision=after_revision,
            up_to_revision=page.revision,
            items=tuple(latest.values()),
        )

    def close(self) -> None:
        """Close the connection."""
        if self._link is not None:
            self._link.abort()
            self._link = None

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float, field: str
    ) -> _Page:
        """Return the content of an answer.

        :param path: call of the store.
        :param query: its parameters.
        :param timeout_s: time limit.
        :param field: where the answer holds its items.
        :raises store.StoreError: there is no usable answer.
        """
        self.calls += 1
        data = wire.encode_request(
            method=b"GET",
            target=f"{path}?{urllib.parse.urlencode(query)}".encode(),
            fields=[(b"host", str(self._endpoint).encode())],
        )
        try:
            async with asyncio.timeout(timeout_s):
                used = await self._connect()
                response = await used.send(data, matches=lambda _: True)
        except (TimeoutError, errors.LinkError) as error:
            self.close()
            raise store.StoreError(
                f"{path}: {type(error).__name__}"
            ) from error
        if response.status == _GONE:
            raise store.HistoryLostError(path)
        if response.status != _OK:
            raise store.StoreError(f"{path}: status {response.status}")
        try:
            return _decode_page(response.body, field)
        except values.MALFORMED as error:
            raise store.StoreError(
                f"{path}: malformed content, {type(error).__name__}"
            ) from error

    async def _connect(self) -> link.Link:
        if self._link is None or not self._link.is_reusable:
            self._link = await link.connect(
                ip=self._endpoint.ip,
                port=self._endpoint.port,
                timeout_s=_CONNECT_TIMEOUT_S,
                local_ip=self._local_ip,
            )
        return self._link


def _decode_page(body: bytes, field: str) -> _Page:
    """Return the page of an answer.

    :raises Exception: one of `values.MALFORMED`.
    """
    content = json.loads(body)
    revision = content["store-revision"]
    if type(revision) is not int or not isinstance(content[field], list):
        raise TypeError(f"{field} is a list, the revision a whole number")
    return _Page(
        items=tuple(_decode_item(raw) for raw in content[field]),
        revision=revision,
        is_truncated=content.get("truncated") is True,
    )


def _decode_item(raw: dict[str, typing.Any]) -> models.Item:
    """Return the item of a page or an event."""
    key, revision = raw["key"], raw["revision"]
    if not isinstance(key, str) or type(revision) is not int:
        raise TypeError("a key is a text, a revision a whole number")
    value: bytes | None = None
    if not raw.get("removed"):
        value = _decode_value(raw["value"])
    return models.Item(key=key, revision=revision, value=value)


def _decode_value(text: str) -> bytes:
    """Return the bytes of a value, none where it is no base64.

    One malformed value must not hide the other keys of a page.
    """
    try:
        return base64.b64decode(text, validate=True)
    except (TypeError, ValueError):
        return b""
