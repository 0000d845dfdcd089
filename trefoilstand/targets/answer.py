"""Collect one answer from a target piece by piece."""

from trefoilstand.targets import const
from trefoilstand.targets import models


class AnswerCollector:
    """Collect the status, header and body of the final answer.

    :param max_body_bytes: largest accepted body.
    """

    def __init__(self, *, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._body = bytearray()
        self._header_bytes = 0
        self.is_header_complete = False
        self.is_too_large = False
        self.fields: list[tuple[str, str]] = []

    def add_header_line(self, line: bytes) -> int:
        """Add one line of a header, status lines included.

        :returns: the bytes taken, fewer than given to stop the exchange.
        """
        self._header_bytes += len(line)
        if self._header_bytes > const.MAX_ANSWER_HEADER_BYTES:
            self.is_too_large = True
            return 0
        if line.startswith(b"HTTP/"):
            # Each interim answer starts a header of its own; only the
            # last one belongs to the final answer.
            self.fields = []
            self.is_header_complete = False
            return len(line)
        if not line.strip():
            self.is_header_complete = True
            return len(line)
        name, separator, value = line.partition(b":")
        if separator:
            self.fields.append(
                (
                    name.decode("latin-1").strip(),
                    value.decode("latin-1").strip(),
                )
            )
        return len(line)

    def add_body(self, data: bytes) -> int:
        """Add a piece of the body.

        :returns: the bytes taken, fewer than given to stop the exchange.
        """
        if len(self._body) + len(data) > self._max_body_bytes:
            self.is_too_large = True
            return 0
        self._body += data
        return len(data)

    def field(self, name: str) -> str:
        """Return the first field of a name, empty where there is none."""
        wanted = name.lower()
        for field, value in self.fields:
            if field.lower() == wanted:
                return value
        return ""

    def body(self) -> bytes:
        """Return the body collected so far."""
        return bytes(self._body)

    def is_framed(self, method: str, status: int) -> bool:
        """Return whether the answer states where its body ends."""
        if method == "HEAD" or status in (204, 304):
            return True
        for name, value in self.fields:
            lowered = name.lower()
            if lowered == "content-length":
                return True
            if lowered == "transfer-encoding" and "chunked" in value.lower():
                return True
        return False

    def end_to_end_fields(self) -> models.HeaderFields:
        """Return the fields that may be passed on to the caller."""
        dropped = set(const.HOP_BY_HOP_HEADERS)
        for name, value in self.fields:
            if name.lower() == "connection":
                dropped.update(
                    token.strip().lower() for token in value.split(",")
                )
        return tuple(
            item for item in self.fields if item[0].lower() not in dropped
        )
