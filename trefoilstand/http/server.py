"""Serve HTTP requests of callers on one event loop."""

import abc
import asyncio
import collections
import collections.abc
import dataclasses
import time
import typing

import httptools

from trefoilstand.http import models
from trefoilstand.http import wire
from trefoilstand.telemetry import events

#: Requests that one connection may have waiting behind the current one.
_MAX_PIPELINED: typing.Final = 8
_CONTINUE: typing.Final = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Bound what a caller may send.

    :param header_bytes: longest header section.
    :param body_bytes: longest body.
    :param header_timeout_s: longest time for a header section.
    :param idle_timeout_s: longest time between two requests.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """Hold what a caller is told.

    :param status: status code.
    :param fields: header fields.
    :param body: whole body.
    """

    status: int
    fields: models.HeaderFields = dataclasses.field(default_factory=list)
    body: bytes = b""


class RequestHandler(abc.ABC):
    """Answer requests."""

    @abc.abstractmethod
    async def handle(self, request: models.Request) -> Answer:
        """Return the answer; cancelled when the caller leaves."""


class CallerConnection(asyncio.Protocol):
    """Parse the requests of one caller and answer them in order."""

    def __init__(self, *, server: "Server") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: collections.deque[models.Request] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._target = b""
        self._fields: models.HeaderFields = []
        self._chunks: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._started_s = 0.0
        self._in_message = False
        self._is_refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for a request."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._server.connections.add(self)
        self._set_timer(self._server.limits.idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, since nobody waits for it."""
        self._server.connections.discard(self)
        self._clear_timer()
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treat the end of a caller's stream as its leaving."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what the caller sent."""
        if self._is_refused:
            return
        if not self._in_message:
            self._started_s = time.monotonic()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(400)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return self._task is None and not self._in_message

    def close_idle(self) -> None:
        """Close the connection if nothing is in progress on it."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def on_message_begin(self) -> None:
        """Start a request."""
        self._in_message = True
        self._target = b""
        self._fields = []
        self._chunks = []
        self._header_bytes = 0
        self._body_bytes = 0
        if self._task is None:
            self._set_timer(self._server.limits.header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._fields.append((name.lower(), value))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Tell a caller that waits for it to send its body."""
        if self._is_refused or self._transport is None:
            return
        self._clear_timer()
        for name, value in self._fields:
            if name == b"expect" and value.lower() == b"100-continue":
                self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes:
            self._refuse(413)
            return
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Begin to answer a whole request."""
        self._in_message = False
        if self._is_refused:
            return
        request = models.Request(
            method=self._parser.get_method(),
            target=self._target,
            fields=self._fields,
            body=b"".join(self._chunks),
            arrived_s=self._started_s,
        )
        self._chunks = []
        if self._is_ambiguous(request):
            self._refuse(400)
            return
        self._waiting.append(request)
        if len(self._waiting) > _MAX_PIPELINED:
            self._refuse(400)
            return
        if self._task is None:
            keeps = self._parser.should_keep_alive()
            self._task = asyncio.get_running_loop().create_task(
                self._answer_all(keeps)
            )

    def _is_ambiguous(self, request: models.Request) -> bool:
        """Return whether another reader might see other requests here."""
        names = [name for name, _ in request.fields]
        if names.count(b"host") > 1 or names.count(b"content-length") > 1:
            return True
        return b"content-length" in names and b"transfer-encoding" in names

    def _count_header(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        if self._header_bytes > self._server.limits.header_bytes:
            self._refuse(431)

    async def _answer_all(self, keeps_alive: bool) -> None:
        try:
            while self._waiting:
                request = self._waiting.popleft()
                answer = await self._handle(request)
                self._write(request, answer, keeps_alive)
        finally:
            self._task = None
            if self._transport is not None and not self._in_message:
                self._set_timer(self._server.limits.idle_timeout_s)

    async def _handle(self, request: models.Request) -> Answer:
        """Return the answer, also where the handler has a defect."""
        try:
            return await self._server.handler.handle(request)
        except Exception as error:
            # The caller must not wait for an answer that never comes.
            events.error(
                events.ComponentFailed(
                    component="callers",
                    error_type=type(error).__name__,
                    detail=str(error)[:500],
                )
            )
            return Answer(status=500)

    def _write(
        self, request: models.Request, answer: Answer, keeps_alive: bool
    ) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        is_closing = not keeps_alive or self._server.is_draining
        self._transport.write(
            wire.encode_response(
                status=answer.status,
                fields=answer.fields,
                body=answer.body,
                is_closing=is_closing,
                is_head=request.method == b"HEAD",
            )
        )
        if is_closing:
            self._transport.close()

    def _refuse(self, status: int) -> None:
        """Answer a malformed request and close the connection."""
        if self._is_refused or self._transport is None:
            return
        self._is_refused = True
        if self._task is None:
            self._transport.write(
                wire.encode_response(
                    status=status, fields=[], body=b"", is_closing=True
                )
            )
        self._transport.close()

    def _set_timer(self, timeout_s: float) -> None:
        self._clear_timer()
        self._timer = asyncio.get_running_loop().call_later(
            timeout_s, self._on_timeout
        )

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._task is None and self._transport is not None:
            self._transport.close()


class Server:
    """Listen on one address.

    :param handler: answers the requests.
    """

    def __init__(self, *, handler: RequestHandler) -> None:
        self.handler = handler
        self.limits = Limits()
        self.connections: set[CallerConnection] = set()
        self.is_draining = False
        self._server: asyncio.Server | None = None

    async def start(self, *, ip: str, port: int, backlog: int) -> None:
        """Begin to listen.

        :raises OSError: the address cannot be served.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(server=self),
            ip,
            port,
            backlog=backlog,
            reuse_address=True,
        )

    @property
    def port(self) -> int:
        """Return the port that is listened on, 0 while none is."""
        if self._server is None:
            return 0
        return int(self._server.sockets[0].getsockname()[1])

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Close the connections on which nothing is in progress."""
        for connection in list(self.connections):
            connection.close_idle()

    @property
    def busy_count(self) -> int:
        """Return how many connections have a request in progress."""
        return sum(not item.is_idle for item in self.connections)
