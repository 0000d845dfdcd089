"""Targets that send bytes without end until their caller closes."""

import asyncio
import itertools
import time

from features.support import scripted_http

_HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: %b\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_BLOCK = b"y" * 65536

#: Start of each endless response, and the part that is repeated after it;
#: `%b` stands for the id of the request.
STREAMS = {
    "blank lines": (b"", b"\r\n" * 32768),
    "a status line": (b"HTTP/1.1 200 ", _BLOCK),
    "header fields": (_HEAD, b"X-Field: value\r\n" * 4096),
    "a header field": (_HEAD + b"X-Field: ", _BLOCK),
    "a header name": (_HEAD, _BLOCK),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "other responses": (
        b"",
        scripted_http.response_bytes(b"other", body=b"z" * 400) * 100,
    ),
    "a chunk extension": (_CHUNKED + b"2;x=", _BLOCK),
    "trailer fields": (
        _CHUNKED + b"2\r\nok\r\n0\r\n",
        b"X-Field: value\r\n" * 4096,
    ),
    "a trailer field": (_CHUNKED + b"2\r\nok\r\n0\r\nX-Field: ", _BLOCK),
    "chunks": (_CHUNKED, b"10000\r\n" + _BLOCK + b"\r\n"),
    "chunks of one byte": (_CHUNKED, b"1\r\ny\r\n" * 10_000),
    "a body up to its close": (_HEAD + b"\r\n", _BLOCK),
    "a body of known length": (
        _HEAD + b"Content-Length: 1000000000000\r\n\r\n",
        _BLOCK,
    ),
}


class EndlessTarget(scripted_http.ScriptedTarget):
    """Answer each request with one endless response.

    :param stream: key of `STREAMS`.
    """

    def __init__(self, *, stream, **settings):
        super().__init__(behaviour="flood", **settings)
        self._stream = stream
        self.sent_bytes = 0
        self.closed_after_s = None

    async def _flood(self, request_id, reader, writer):
        self.runs.append(request_id)
        started_s = time.monotonic()
        start, repeated = STREAMS[self._stream]
        if b"%b" in start:
            start %= request_id
        try:
            for data in itertools.chain([start], itertools.repeat(repeated)):
                writer.write(data)
                self.sent_bytes += len(data)
                await writer.drain()
                # Lets other tasks run where drain does not wait.
                await asyncio.sleep(0)
        except OSError:
            self.closed_after_s = time.monotonic() - started_s
            self.connection_closed.set()
            raise
