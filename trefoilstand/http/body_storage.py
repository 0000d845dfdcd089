"""Collect the parts of one body in memory without copies of the whole.

Large bodies are kept in mappings of their own: growing them copies nothing,
and their memory returns to the system as soon as they are released, whatever
else was allocated meanwhile.
"""

import contextlib
import mmap
import typing

from trefoilstand.http import models

#: Bodies up to this size are kept as bytes.
SMALL_BODY_BYTES: typing.Final = 64 * 1024
#: First size of a mapping for a body of unknown length.  Pages take memory
#: only once they are written to.
_FIRST_MAPPING_BYTES: typing.Final = 1024 * 1024


class BodyStorage:
    """Hold the parts of one body, and return it as one buffer."""

    __slots__ = ("_mapping", "_small", "size_bytes")

    def __init__(self) -> None:
        #: The first part itself, so that bodies in one part are not copied.
        self._small: bytes | bytearray = b""
        self._mapping: mmap.mmap | None = None
        self.size_bytes = 0

    def append(self, part: bytes) -> None:
        """Add the next part of the body.

        :param part: received bytes.
        :raises OSError: the system has no memory for the body.
        """
        size_bytes = self.size_bytes + len(part)
        if self._mapping is None and size_bytes <= SMALL_BODY_BYTES:
            if not self.size_bytes:
                self._small = part
            elif isinstance(self._small, bytearray):
                self._small += part
            else:
                self._small = bytearray(self._small) + part
        else:
            self._write_mapped(part, size_bytes)
        self.size_bytes = size_bytes

    def _write_mapped(self, part: bytes, size_bytes: int) -> None:
        mapping = self._mapping
        if mapping is None:
            mapping = _open_mapping(max(_FIRST_MAPPING_BYTES, size_bytes))
            mapping.write(self._small)
            self._mapping = mapping
            self._small = b""
        elif size_bytes > len(mapping):
            mapping.resize(max(len(mapping) * 2, size_bytes))
        mapping.write(part)

    def take(self) -> models.Body:
        """Return the body, and start with an empty one."""
        if self._mapping is None:
            body: models.Body = bytes(self._small)
        else:
            body = memoryview(self._mapping)[: self.size_bytes]
        self.clear()
        return body

    def clear(self) -> None:
        """Forget the parts of a body that is not needed."""
        self._small = b""
        self._mapping = None
        self.size_bytes = 0


def _open_mapping(size_bytes: int) -> mmap.mmap:
    mapping = mmap.mmap(-1, size_bytes, mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
    # A huge page would take 2 MiB for the first bytes of a body.  Systems
    # without huge pages do not know the advice.
    with contextlib.suppress(OSError):
        mapping.madvise(mmap.MADV_NOHUGEPAGE)
    return mapping
