"""Write log lines without blocking on a slow reader."""

import collections
import logging
import os
import typing

#: Lines buffered while the reader is slow.
_MAX_LINES: typing.Final = 2000
_WRITE_BYTES: typing.Final = 32 * 1024


class BoundedStreamHandler(logging.Handler):
    """Buffer log lines and write them in batches to a descriptor.

    Lines that exceed the buffer are dropped and counted in `dropped`; the
    next flush adds a line with their number.

    :param descriptor: open file descriptor, made non-blocking.
    """

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self.dropped = 0
        self._reported_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line for the next flush."""
        if len(self._lines) >= _MAX_LINES:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        self._report_dropped()
        while self._unwritten or self._lines:
            parts = [self._unwritten]
            size = len(self._unwritten)
            while self._lines and size < _WRITE_BYTES:
                line = self._lines.popleft()
                parts.append(line)
                size += len(line)
            self._unwritten = b"".join(parts)
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; discard the buffered lines.
                self.dropped += len(self._lines) + 1
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _report_dropped(self) -> None:
        """Add a line with the number of lines dropped since the last one."""
        dropped = self.dropped - self._reported_dropped
        if not dropped:
            return
        self._reported_dropped = self.dropped
        record = logging.makeLogRecord(
            {
                "levelno": logging.WARNING,
                "levelname": logging.getLevelName(logging.WARNING),
                "msg": "log_lines_dropped",
                "lines": dropped,
            }
        )
        self._lines.append(self.format(record).encode() + b"\n")
