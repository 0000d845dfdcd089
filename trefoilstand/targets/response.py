"""Collect one response of a target as libcurl delivers it."""

from trefoilstand.targets import const
from trefoilstand.targets import models


class ResponseCollector:
    """Collect the header fields and body of the final response.

    :param max_body_bytes: largest accepted body in bytes.
    """

    def __init__(self, *, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._body = bytearray()
        self._header_bytes = 0
        self.is_header_complete = False
        self.is_too_large = False
        self.headers: list[tuple[str, str]] = []

    def add_header_line(self, line: bytes) -> int:
        """Add one header line or status line.

        :param line: the line as received.
        :returns: number of accepted bytes; fewer than the length of the
            line make libcurl abort the exchange.
        """
        self._header_bytes += len(line)
        if self._header_bytes > const.MAX_RESPONSE_HEADER_BYTES:
            self.is_too_large = True
            return 0
        if line.startswith(b"HTTP/"):
            # Each interim response has a header of its own; only the last
            # header belongs to the final response.
            self.headers = []
            self.is_header_complete = False
            return len(line)
        if not line.strip():
            self.is_header_complete = True
            return len(line)
        name, separator, value = line.partition(b":")
        if separator:
            self.headers.append(
                (
                    name.decode("latin-1").strip(),
                    value.decode("latin-1").strip(),
                )
            )
        return len(line)

    def add_body(self, chunk: bytes) -> int:
        """Add a chunk of the body.

        :param chunk: the chunk as received.
        :returns: number of accepted bytes; fewer than the length of the
            chunk make libcurl abort the exchange.
        """
        if len(self._body) + len(chunk) > self._max_body_bytes:
            self.is_too_large = True
            return 0
        self._body += chunk
        return len(chunk)

    def header(self, name: str) -> str:
        """Return the value of the first header field of a name.

        :param name: name of the field, in any case.
        :returns: its value, empty where there is none.
        """
        lowered_name = name.lower()
        for field_name, value in self.headers:
            if field_name.lower() == lowered_name:
                return value
        return ""

    def body(self) -> bytes:
        """Return the body collected so far."""
        return bytes(self._body)

    def is_framed(self, method: str, status: int) -> bool:
        """Return whether the response states where its body ends.

        :param method: HTTP method of the request.
        :param status: HTTP status of the response.
        """
        if method == "HEAD" or status in (204, 304):
            return True
        for name, value in self.headers:
            lowered_name = name.lower()
            if lowered_name == "content-length":
                return True
            if (
                lowered_name == "transfer-encoding"
                and "chunked" in value.lower()
            ):
                return True
        return False

    def end_to_end_headers(self) -> models.HeaderFields:
        """Return the header fields that may be forwarded to the caller."""
        hop_by_hop_names = set(const.HOP_BY_HOP_HEADERS)
        for name, value in self.headers:
            if name.lower() == "connection":
                hop_by_hop_names.update(
                    token.strip().lower() for token in value.split(",")
                )
        return tuple(
            header
            for header in self.headers
            if header[0].lower() not in hop_by_hop_names
        )
