"""Client of the platform's store."""

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
from trefoilstand.http import models as http_models
from trefoilstand.http import outbound_connection
from trefoilstand.http import wire
from trefoilstand.platform import values
from trefoilstand.telemetry import events

_OK: typing.Final = 200
_GONE: typing.Final = 410
_CONNECT_TIMEOUT_S: typing.Final = 0.5
_MS_PER_S: typing.Final = 1000
#: A response may take longer than its timeout while bytes of it arrive at
#: least this often, up to this time in all.
_PROGRESS_INTERVAL_S: typing.Final = 0.25
_MAX_RESPONSE_S: typing.Final = 6.0
#: Number of times that the store came back from an older copy.
_ERA_FIELD: typing.Final = b"store-era"
#: Eras from this on do not fit messages of hosts.
_ERA_LIMIT: typing.Final = 2**63
#: Bound on the pages of one snapshot, in case the store always reports that
#: another one follows.
_MAX_SNAPSHOT_PAGES: typing.Final = 400


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Page:
    """Hold one response of the store.

    :param items: items or change events, in the order received.
    :param era: era of the store.
    :param revision: revision of the store at the response.
    :param is_truncated: whether another page follows.
    """

    items: tuple[models.Item, ...]
    era: int
    revision: int
    is_truncated: bool


class PlatformStore(store.Store):
    """Read and watch the platform's store over HTTP.

    :param endpoint: address of the store.
    :param local_ip: IP address to connect from, None for any.
    """

    def __init__(
        self, *, endpoint: settings.Endpoint, local_ip: str | None
    ) -> None:
        self._endpoint = endpoint
        self._local_ip = local_ip
        self._connection: outbound_connection.OutboundConnection | None = None
        self.calls = 0

    async def read_all(self) -> models.Delta:
        """Return a snapshot of all keys.

        Pages are read at different moments. The revision of the first one
        is used for all, so that the next watch repeats the changes made
        while the later ones were read.

        :raises store.StoreError: no complete, valid response came in time.
        """
        items: dict[str, models.Item] = {}
        era = revision = 0
        last_key = ""
        for _ in range(_MAX_SNAPSHOT_PAGES):
            query = {"prefix": ""}
            if last_key:
                query["after"] = last_key
            page = await self._fetch_page(
                "/api/kv-range", query, fleet_const.READ_TIMEOUT_S, "items"
            )
            if not revision:
                era, revision = page.era, page.revision
            elif page.era != era:
                raise store.StoreError(
                    f"store {self._endpoint} was restored during a snapshot,"
                    f" from era {era} to {page.era}"
                )
            for item in page.items:
                items[item.key] = item
                last_key = item.key
            if not page.is_truncated or not page.items:
                break
        return models.Delta(
            after_revision=0,
            up_to_revision=revision,
            items=tuple(items.values()),
            is_snapshot=True,
            era=era,
        )

    async def watch(self, after_revision: int, wait_s: float) -> models.Delta:
        """Wait for changes and return them, an empty delta without any.

        :param after_revision: revision up to which changes are known.
        :param wait_s: how long the store may hold the request.
        :raises store.HistoryLostError: a new snapshot is needed.
        :raises store.StoreError: no complete, valid response came in time.
        """
        query = {
            "prefix": "",
            "after": str(after_revision),
            "wait-ms": str(int(wait_s * _MS_PER_S)),
        }
        page = await self._fetch_page(
            "/api/kv-watch",
            query,
            wait_s + fleet_const.WATCH_MARGIN_S,
            "events",
        )
        latest_items: dict[str, models.Item] = {}
        for item in page.items:
            known_item = latest_items.get(item.key)
            if known_item is None or known_item.revision < item.revision:
                latest_items[item.key] = item
        return models.Delta(
            after_revision=after_revision,
            up_to_revision=page.revision,
            items=tuple(latest_items.values()),
            era=page.era,
        )

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _fetch_page(
        self, path: str, query: dict[str, str], timeout_s: float, field: str
    ) -> _Page:
        """Send a GET request and return the decoded page.

        :param path: path of the store's operation.
        :param query: query parameters.
        :param timeout_s: time limit, connecting included.
        :param field: field of the response that holds the items.
        :raises store.HistoryLostError: the store no longer has the changes
            after the requested revision.
        :raises store.StoreError: no complete, valid response came in time.
        """
        self.calls += 1
        request_bytes = wire.encode_request(
            method=b"GET",
            target=f"{path}?{urllib.parse.urlencode(query)}".encode(),
            fields=[(b"host", str(self._endpoint).encode())],
        )
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect()
            response = await _await_response(
                connection,
                connection.send(request_bytes, matches=lambda _: True),
                timeout_s,
            )
        except (TimeoutError, errors.LinkError) as error:
            self.close()
            raise store.StoreError(
                f"{path} of store {self._endpoint} failed: {error!r}"
            ) from error
        if response.status == _GONE:
            raise store.HistoryLostError(
                f"{path} of store {self._endpoint}: status {_GONE},"
                " the changes after the requested revision are gone"
            )
        if response.status != _OK:
            raise store.StoreError(
                f"{path} of store {self._endpoint}: status {response.status},"
                f" expected {_OK}"
            )
        try:
            return _decode_page(
                bytes(response.body), field, _decode_era(response)
            )
        except values.MALFORMED_ERRORS as error:
            raise store.StoreError(
                f"{path} of store {self._endpoint}: malformed content,"
                f" {type(error).__name__}: {error}"
            ) from error

    async def _connect(self) -> outbound_connection.OutboundConnection:
        if self._connection is None or not self._connection.is_reusable:
            self._connection = await outbound_connection.connect(
                ip=self._endpoint.ip,
                port=self._endpoint.port,
                timeout_s=_CONNECT_TIMEOUT_S,
                local_ip=self._local_ip,
            )
        return self._connection


def _decode_era(response: http_models.Response) -> int:
    """Return the era that a response states, 0 without a statement.

    :param response: response of the store.
    :raises ValueError: the statement is malformed.
    """
    era = int(response.find_field(_ERA_FIELD) or b"0")
    if not 0 <= era < _ERA_LIMIT:
        raise ValueError(f"the era must not be {era}")
    return era


async def _await_response(
    connection: outbound_connection.OutboundConnection,
    pending: asyncio.Future[http_models.Response],
    timeout_s: float,
) -> http_models.Response:
    """Wait for a response, longer while it is being received.

    A large value takes longer than the timeout over a slow link.

    :param connection: connection that receives it.
    :param pending: future of the response, cancelled at the timeout.
    :param timeout_s: time limit without progress at its end.
    :raises TimeoutError: no complete response came in time.
    :raises errors.LinkError: the connection failed.
    """
    remaining_s = _MAX_RESPONSE_S
    received_bytes = connection.received_bytes
    wait_s = timeout_s
    try:
        while remaining_s > 0:
            done, _ = await asyncio.wait({pending}, timeout=wait_s)
            if done:
                return pending.result()
            if connection.received_bytes == received_bytes:
                break
            received_bytes = connection.received_bytes
            remaining_s -= wait_s
            wait_s = min(_PROGRESS_INTERVAL_S, remaining_s)
        raise TimeoutError
    finally:
        pending.cancel()


def _decode_page(body: bytes, field: str, era: int) -> _Page:
    """Decode the body of a response.

    :param body: JSON document.
    :param field: field of the document that holds the items.
    :param era: era of the store.
    :raises Exception: one of `values.MALFORMED_ERRORS`.
    """
    content = json.loads(body)
    revision = content["store-revision"]
    if type(revision) is not int or not isinstance(content[field], list):
        raise TypeError(
            f"{field} must be a list and store-revision an integer"
        )
    items = (_decode_item(raw, era) for raw in content[field])
    return _Page(
        items=tuple(item for item in items if item is not None),
        era=era,
        revision=revision,
        is_truncated=content.get("truncated") is True,
    )


def _decode_item(raw: dict[str, typing.Any], era: int) -> models.Item | None:
    """Decode an item of a snapshot page or an event of a watch.

    One malformed item must not make the others unreadable.

    :param raw: decoded JSON value.
    :param era: era of the store.
    :returns: the item, None if its key or revision is malformed.
    """
    try:
        key, revision = raw["key"], raw["revision"]
        if not isinstance(key, str) or type(revision) is not int:
            raise TypeError("key must be a string and revision an integer")
        # Half of a surrogate pair could not be sent to other hosts.
        key.encode()
        value: bytes | None = None
        if not raw.get("removed"):
            value = _decode_value(raw["value"])
    except values.MALFORMED_ERRORS as error:
        events.warning(
            events.EntryDropped(
                key=ascii(raw)[:200],
                cause=f"{type(error).__name__}: {error}"[:200],
            )
        )
        return None
    return models.Item(key=key, revision=revision, value=value, era=era)


def _decode_value(text: str) -> bytes:
    """Decode a value, as empty bytes if it is not valid base64."""
    try:
        return base64.b64decode(text, validate=True)
    except (TypeError, ValueError):
        return b""
