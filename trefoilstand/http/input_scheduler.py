"""Share the event loop among connections whose input is expensive to parse.

The parser calls back for each part of a message, so the time that bytes take
depends on how they are divided: a body in chunks of one byte takes a hundred
times as long as one in large chunks.
"""

import abc
import asyncio
import typing

from trefoilstand.telemetry import events

#: Bytes that are parsed at a time.
SLICE_BYTES: typing.Final = 16 * 1024
#: Parts of messages in one slice from which on a connection counts as
#: fragmented.
_MAX_SLICE_PARTS: typing.Final = 512


class InputScheduler:
    """Parse input that had to wait, one slice per iteration of the loop."""

    def __init__(self) -> None:
        #: Connections that wait for a slice, in the order of their turns.
        self._waiting: dict[ScheduledProtocol, None] = {}
        self._is_run_scheduled = False
        #: Connections read into this one after the other, so that bytes which
        #: cannot be parsed yet stay out of the memory of the process.
        self.read_buffer = memoryview(bytearray(SLICE_BYTES))

    def add(self, protocol: "ScheduledProtocol") -> None:
        """Schedule a slice for a connection unless it waits for one.

        :param protocol: protocol of the connection.
        """
        self._waiting[protocol] = None
        self._schedule_run()

    def _schedule_run(self) -> None:
        if self._waiting and not self._is_run_scheduled:
            self._is_run_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_run_scheduled = False
        protocol = next(iter(self._waiting))
        del self._waiting[protocol]
        try:
            protocol.parse_slice()
        finally:
            if protocol.wants_slice:
                self._waiting[protocol] = None
            self._schedule_run()


class ScheduledProtocol(asyncio.BufferedProtocol, abc.ABC):
    """Parse received bytes in slices, and read on once that is done.

    A small amount of input is parsed when it arrives.  A fragmented connection
    shares one slice per iteration of the loop with all others of its kind, so
    that any number of them leaves time for other work.

    :param scheduler: shared by all connections of a process, None for one of
        its own.
    """

    def __init__(self, *, scheduler: InputScheduler | None) -> None:
        self._input_scheduler = scheduler or InputScheduler()
        self._transport: asyncio.Transport | None = None
        self._unparsed_input = memoryview(b"")
        self._is_fragmented = False
        #: Bytes received since the connection was opened.
        self.received_bytes = 0
        #: Parts that the parser has completed in the current slice.
        self._slice_parts = 0

    @abc.abstractmethod
    def _parse(self, data: bytes | memoryview) -> None:
        """Parse received bytes, and count the parts of messages."""

    @property
    def _is_parsing_blocked(self) -> bool:
        """Return whether the input has to wait, for example for memory."""
        return False

    @property
    def has_unparsed_input(self) -> bool:
        """Return whether received bytes wait to be parsed."""
        return len(self._unparsed_input) > 0

    @property
    def wants_slice(self) -> bool:
        """Return whether a slice can be parsed."""
        return self.has_unparsed_input and not self._is_parsing_blocked

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened connection."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory to read into, which is parsed or copied then."""
        return self._input_scheduler.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read into the buffer, or schedule it."""
        data = self._input_scheduler.read_buffer[:nbytes]
        if self._is_fragmented or len(self._unparsed_input):
            self.data_received(bytes(data))
        else:
            self.received_bytes += nbytes
            self._parse_slice(data)

    def data_received(self, data: bytes) -> None:
        """Parse a small amount of input, or schedule it."""
        self.received_bytes += len(data)
        if self.has_unparsed_input:
            self._unparsed_input = memoryview(
                bytes(self._unparsed_input) + data
            )
        elif self._is_fragmented or len(data) > SLICE_BYTES:
            self._unparsed_input = memoryview(data)
        else:
            self._parse_slice(data)
            return
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()
        self._continue_input()

    def parse_slice(self) -> None:
        """Parse the next slice, and read on after the last one."""
        if not self.wants_slice:
            return
        data = self._unparsed_input[:SLICE_BYTES]
        self._unparsed_input = self._unparsed_input[SLICE_BYTES:]
        try:
            self._parse_slice(data)
        except Exception:
            self._discard_input()
            if self._transport is not None:
                self._transport.abort()
            raise
        self._continue_input()

    def _continue_input(self) -> None:
        """Parse or read on unless that is blocked."""
        if self._is_parsing_blocked:
            return
        if self.has_unparsed_input:
            self._input_scheduler.add(self)
        elif self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _parse_remaining(self) -> None:
        """Parse what was received before the connection was lost."""
        data = self._unparsed_input
        self._discard_input()
        if data:
            self._parse(data)

    def _discard_input(self) -> None:
        self._unparsed_input = memoryview(b"")

    def _parse_slice(self, data: bytes | memoryview) -> None:
        self._slice_parts = 0
        self._parse(data)
        if self._slice_parts < _MAX_SLICE_PARTS or self._is_fragmented:
            return
        self._is_fragmented = True
        peer = None
        if self._transport is not None:
            peer = self._transport.get_extra_info("peername")
        events.warning(
            events.InputFragmented(
                peer=f"{peer[0]}:{peer[1]}" if peer else "",
                size_bytes=len(data),
                parts=self._slice_parts,
            )
        )
