"""Clients that do not keep to the limits, and the use of one process."""

import asyncio
import os
import pathlib
import re
import resource

from features.support import platform_fleet
from features.support import scripted_http

MIB = 1024 * 1024
#: Sent at a time, so that a client yields to the others.
_PIECE_BYTES = 64 * 1024
_TINY_CHUNK = b"4\r\nabcd\r\n"
_TINY_STREAM_BYTES = 256 * 1024
_DEADLINE_MS = 10_000
_SAMPLE_INTERVAL_S = 0.02
#: Longest time that the clients send, and that they stay open after it.
_SENDING_S = 12
_STAYING_S = 1.0
#: Descriptors of the test process: each client has one.
_TEST_DESCRIPTORS = 4096


class UnreadingTarget(scripted_http.ScriptedTarget):
    """Answer small requests, and never read the body of a large one."""

    def __init__(self, **settings):
        super().__init__(**settings)
        self._stopped = asyncio.Event()

    def stop(self):
        super().stop()
        self._stopped.set()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length_match = re.search(rb"(?i)content-length: (\d+)", head)
                if length_match and int(length_match[1]) > _PIECE_BYTES:
                    await self._stopped.wait()
                    return
                if head.startswith(b"GET /health"):
                    writer.write(self._health())
                    continue
                id_match = re.search(rb"(?i)request-id: (\S+)", head)
                writer.write(scripted_http.response_bytes(id_match[1]))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class UsageSampler:
    """Record the most memory and descriptors that a process uses.

    Bytes that its sockets have received and it has not read count as memory.
    """

    def __init__(self, host):
        self._host = host
        self._process_id = host.process.pid
        self.most_memory_mb = 0.0
        self.most_descriptors = 0

    async def run(self):
        while True:
            self.sample()
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def sample(self):
        folder = pathlib.Path(f"/proc/{self._process_id}")
        status = (folder / "status").read_text()
        resident_kb = int(re.search(r"VmRSS:\s+(\d+)", status)[1])
        peak_kb = int(re.search(r"VmHWM:\s+(\d+)", status)[1])
        used_mb = resident_kb / 1024 + self._unread_bytes() / MIB
        self.most_memory_mb = max(self.most_memory_mb, used_mb, peak_kb / 1024)
        self.most_descriptors = max(
            self.most_descriptors, len(os.listdir(folder / "fd"))
        )

    def _unread_bytes(self):
        address = "".join(
            f"{int(part):02X}" for part in reversed(self._host.ip.split("."))
        )
        unread_bytes = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            is_listening = fields[3] == "0A"
            if fields[1].startswith(address) and not is_listening:
                unread_bytes += int(fields[4].partition(":")[2], 16)
        return unread_bytes


def _head(framing):
    return scripted_http.request_bytes(
        method=b"POST",
        deadline_ms=_DEADLINE_MS,
        extra_fields=framing + b"\r\n" if framing else b"",
    )


def _with_length(announced, sent):
    yield _head(b"Content-Length: %d" % announced)
    while sent:
        size = min(sent, _PIECE_BYTES)
        yield bytes(size)
        sent -= size


def _chunked(sent):
    yield _head(b"Transfer-Encoding: chunked")
    while sent:
        size = min(sent, _PIECE_BYTES)
        yield b"%x\r\n" % size + bytes(size) + b"\r\n"
        sent -= size


def _tiny_chunks():
    yield _head(b"Transfer-Encoding: chunked")
    repeated = _TINY_CHUNK * (_PIECE_BYTES // len(_TINY_CHUNK))
    for _ in range(_TINY_STREAM_BYTES // _PIECE_BYTES):
        yield repeated


#: Bytes that one client sends, in pieces; the bodies may have 4 MiB.
STREAMS = {
    "whole bodies": lambda: _with_length(4 * MIB, 4 * MIB),
    "bodies that stop before their end": lambda: _with_length(
        4 * MIB, 4 * MIB - 1
    ),
    "chunked bodies that stop before their end": lambda: _chunked(4 * MIB),
    "small chunks and no end": _tiny_chunks,
    "announced bodies over the limit": lambda: _with_length(
        64 * MIB, 64 * MIB - 1
    ),
    "chunked bodies over the limit": lambda: _chunked(64 * MIB),
    "nothing": lambda: iter(()),
    "part of a header": lambda: iter((_head(b"")[:-2],)),
}


async def send_crowd(host, pieces_of, count):
    """Let clients send at once, stay open, and return their connections."""
    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit < _TEST_DESCRIPTORS:
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (_TEST_DESCRIPTORS, hard_limit)
        )
    writers = []

    async def send():
        try:
            _, writer = await asyncio.open_connection(host.ip, 8641)
            writers.append(writer)
            for piece in pieces_of():
                writer.write(piece)
                await writer.drain()
        except OSError:
            return

    tasks = [asyncio.create_task(send()) for _ in range(count)]
    _, unfinished = await asyncio.wait(tasks, timeout=_SENDING_S)
    for task in unfinished:
        task.cancel()
    await asyncio.sleep(_STAYING_S)
    return writers


async def upload(host, size_bytes):
    """Send one body and return the status of its response."""
    reader, writer = await asyncio.open_connection(host.ip, 8641)
    try:
        for piece in _with_length(size_bytes, size_bytes):
            writer.write(piece)
            await writer.drain()
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 15)
        return int(head.split()[1])
    finally:
        writer.close()


def make_fleet(limits, *, is_unreading=False):
    """Return a fleet of one host with its limits in the settings."""
    fleet = platform_fleet.PlatformFleet(hosts=1, targets=4, limits=limits)
    if is_unreading:
        fleet.targets = [
            UnreadingTarget(
                target_id=target.target_id,
                behaviour="whole",
                domain=target.domain,
            )
            for target in fleet.targets
        ]
    return fleet
