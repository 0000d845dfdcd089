"""Write log lines without ever waiting for their reader."""

import collections
import logging
import os
import typing

#: Lines kept while the reader is slow.
_MAX_LINES: typing.Final = 2000
_WRITE_BYTES: typing.Final = 32 * 1024


class BoundedStreamHandler(logging.Handler):
    """Collect lines and write them in batches to a descriptor.

    Lines that do not fit are dropped and counted; a line tells how many.

    :param descriptor: open file descriptor, made non-blocking.
    """

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a line for the next flush."""
        if len(self._lines) >= _MAX_LINES:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._rest or self._lines:
            parts = [self._rest]
            size = len(self._rest)
            while self._lines and size < _WRITE_BYTES:
                line = self._lines.popleft()
                parts.append(line)
                size += len(line)
            self._rest = b"".join(parts)
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the lines cannot be kept.
                self.dropped += len(self._lines) + 1
                self._lines.clear()
                self._rest = b""
                return
            self._rest = self._rest[written:]
