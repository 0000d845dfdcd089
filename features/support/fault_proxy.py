"""A loopback proxy that disturbs connections from outside the programs."""

import asyncio
import enum
import socket
import struct

_CHUNK_BYTES = 65536


class Fault(enum.Enum):
    """What happens to the bytes."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    ANSWERS_LOST = "answers_lost"
    SILENCE = "silence"


class FaultProxy:
    """Pass connections on, and disturb them while a fault is set.

    Connections that met silence or lost answers stay silent for good, as
    on a real network after a partition; new ones work once it is over.

    :param ip: address to listen on.
    :param port: port to listen on, 0 for any.
    :param upstream: address that connections are passed on to.
    """

    def __init__(self, *, ip, port, upstream):
        self._ip = ip
        self._upstream = upstream
        self._writers = set()
        self.port = port
        self.fault = Fault.NONE
        self.delay_s = 0.0

    async def start(self):
        self._server = await asyncio.start_server(
            self._accept, self._ip, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()
        self.reset_all()

    def set(self, fault, delay_s=0.0):
        self.fault = fault
        self.delay_s = delay_s
        if fault is Fault.RESET:
            self.reset_all()

    def reset_all(self):
        """Reset all open connections."""
        for writer in self._writers:
            _reset(writer)
        self._writers.clear()

    async def _accept(self, reader, writer):
        if self.fault is Fault.RESET:
            _reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._upstream
            )
        except OSError:
            _reset(writer)
            return
        pair = {writer, far_writer}
        self._writers |= pair
        spoiled = asyncio.Event()
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, spoiled, is_answer=False),
                self._pump(far_reader, writer, spoiled, is_answer=True),
            )
        except asyncio.CancelledError:
            # The loop ends with connections open; nobody awaits this task.
            return
        finally:
            self._writers -= pair
            for end in pair:
                end.close()

    async def _pump(self, reader, writer, spoiled, *, is_answer):
        """Copy bytes in one direction until it ends."""
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if self._swallows(is_answer):
                    spoiled.set()
                if spoiled.is_set():
                    continue
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            if not spoiled.is_set():
                writer.close()
        except OSError:
            _reset(writer)

    def _swallows(self, is_answer):
        if self.fault is Fault.SILENCE:
            return True
        return self.fault is Fault.ANSWERS_LOST and is_answer


def _reset(writer):
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
