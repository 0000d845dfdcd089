"""Fetch small documents over HTTP with libcurl."""

import dataclasses

import pycurl

from trefoilstand import exceptions


class HttpFetchError(exceptions.TrefoilstandError):
    """A request failed or its response was incomplete or too large."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """Hold one complete HTTP response.

    :param status: HTTP status.
    :param headers: header fields, names in lower case.
    :param body: complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class HttpFetcher:
    """Send requests over one persistent connection.

    Not thread-safe: each thread needs its own instance.

    :param max_body_bytes: maximum size of a response body.
    """

    def __init__(self, *, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._handle = pycurl.Curl()

    def get(
        self,
        url: str,
        *,
        timeout_s: float,
        headers: tuple[str, ...] = (),
    ) -> HttpResponse:
        """Fetch a document.

        :param url: URL of the document.
        :param timeout_s: timeout of the whole exchange, in seconds.
        :param headers: additional header lines.
        :raises HttpFetchError: no complete response arrived in time.
        """
        body = bytearray()
        fields: dict[str, str] = {}

        def add_header(line: bytes) -> None:
            name, separator, value = line.decode("latin-1").partition(":")
            if separator:
                fields[name.strip().lower()] = value.strip()

        def add_body(data: bytes) -> int:
            if len(body) + len(data) > self._max_body_bytes:
                return 0
            body.extend(data)
            return len(data)

        handle = self._handle
        handle.reset()
        handle.setopt(pycurl.URL, url)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.TIMEOUT_MS, max(int(timeout_s * 1000), 1))
        handle.setopt(pycurl.HTTPHEADER, list(headers))
        handle.setopt(pycurl.HEADERFUNCTION, add_header)
        handle.setopt(pycurl.WRITEFUNCTION, add_body)
        try:
            handle.perform()
        except pycurl.error as error:
            raise HttpFetchError(
                f"GET {url} failed: {error.args[1]}"
            ) from error
        status = int(handle.getinfo(pycurl.RESPONSE_CODE))
        return HttpResponse(status=status, headers=fields, body=bytes(body))

    def close(self) -> None:
        """Close the persistent connection."""
        self._handle.close()
