"""Loopback TCP proxy that injects connection faults."""

import asyncio
import enum
import socket
import struct

_CHUNK_BYTES = 65536


class Fault(enum.Enum):
    """Fault that a proxy injects into the bytes that it forwards."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    RESPONSES_LOST = "answers_lost"
    SILENCE = "silence"


class FaultProxy:
    """Forward connections, and inject a fault while one is set.

    Connections that were hit by silence or lost responses stay silent, as
    on a real network after a partition; new ones work once it is over.

    :param ip: IP address to listen on.
    :param port: port to listen on, 0 for any.
    :param upstream: IP address and port that connections are forwarded to.
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

    def set_fault(self, fault, delay_s=0.0):
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
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._upstream
            )
        except OSError:
            _reset(writer)
            return
        pair = {writer, upstream_writer}
        self._writers |= pair
        is_silenced = asyncio.Event()
        try:
            await asyncio.gather(
                self._pump(
                    reader, upstream_writer, is_silenced, is_response=False
                ),
                self._pump(
                    upstream_reader, writer, is_silenced, is_response=True
                ),
            )
        except asyncio.CancelledError:
            # The loop was stopped with open connections; no one awaits this.
            return
        finally:
            self._writers -= pair
            for pair_writer in pair:
                pair_writer.close()

    async def _pump(self, reader, writer, is_silenced, *, is_response):
        """Copy bytes in one direction until the sender closes."""
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if self._drops_data(is_response):
                    is_silenced.set()
                if is_silenced.is_set():
                    continue
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            if not is_silenced.is_set():
                writer.close()
        except OSError:
            _reset(writer)

    def _drops_data(self, is_response):
        if self.fault is Fault.SILENCE:
            return True
        return self.fault is Fault.RESPONSES_LOST and is_response


def _reset(writer):
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is not None and raw_socket.fileno() >= 0:
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
