"""Targets and callers of a soak, and what each of them has seen."""

import asyncio
import random
import re
import time

from features.support import fault_proxy
from features.support import scripted_http
from features.support import soak_checks


class SoakTarget(scripted_http.ScriptedTarget):
    """Answer in many manners and note what arrived, behind a proxy."""

    def __init__(self, *, number, domain, seen, random_source):
        super().__init__(
            target_id=f"i-{number}", behavior="any", domain=domain
        )
        self._random = random_source
        self._seen = seen
        #: Time and entry host of each request that arrived.
        self.arrivals = []
        self.left_s = None
        self.started_s = time.monotonic()

    async def start(self):
        await super().start()
        self.proxy = fault_proxy.FaultProxy(
            ip="127.0.0.1", port=0, upstream=("127.0.0.1", self.port)
        )
        await self.proxy.start()
        self.port = self.proxy.port

    def stop(self):
        super().stop()
        self.proxy.stop()

    async def _any(self, request_id, reader, writer):
        now_s = time.monotonic()
        head = self.requests.pop()
        host = int(re.search(rb"(?i)x-host: (\d+)", head)[1])
        self.arrivals.append((now_s, host))
        seen = self._seen.setdefault(request_id, soak_checks.Seen())
        seen.arrived_s.append(now_s)
        draw = self._random.random()
        if draw < 0.02:
            await self._shed(request_id, reader, writer)
            return
        seen.runs += 1
        await asyncio.sleep(self._random.expovariate(1 / 0.015))
        body = b"done " + request_id
        if draw < 0.04:
            writer.write(
                scripted_http.response_bytes(request_id, body=body)[:-3]
            )
            await writer.drain()
            writer.close()
        elif draw < 0.05:
            writer.write(
                scripted_http.response_bytes(b"other", body=b"foreign")
                + scripted_http.response_bytes(request_id, body=body)
            )
        elif draw < 0.06:
            writer.write(
                scripted_http.response_bytes(
                    request_id, body=b"sorry", status=500
                )
            )
        else:
            writer.write(scripted_http.response_bytes(request_id, body=body))


class SoakCaller:
    """Send requests to one host on a connection kept as long as it lives.

    :param hosts: entry hosts.
    :param told: collects what callers were told.
    :param prefixes: returns the path prefixes to use.
    """

    def __init__(self, *, number, hosts, told, prefixes, seed):
        self._number = number
        self._hosts = hosts
        self._told = told
        self._prefixes = prefixes
        self._random = random.Random(f"{seed}-{number}")
        self._sent = 0
        self._stream = None
        self._host = 0

    async def repeat(self, until_s):
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.expovariate(1 / 0.03))
            await self._call()
        self._drop()

    def _drop(self):
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None

    async def _connect(self):
        self._host = self._random.randrange(len(self._hosts))
        try:
            async with asyncio.timeout(0.3):
                self._stream = await asyncio.open_connection(
                    self._hosts[self._host].ip, 8641
                )
        except (OSError, TimeoutError):
            self._stream = None

    async def _call(self):
        if self._stream is None:
            await self._connect()
            if self._stream is None:
                return
        self._sent += 1
        prefix, is_idempotent = self._random.choice(self._prefixes())
        told = soak_checks.Told(
            request_id=b"c%d-%d" % (self._number, self._sent),
            host=self._host,
            is_idempotent=is_idempotent,
            path=prefix,
            sent_s=time.monotonic(),
        )
        self._told.append(told)
        await self._exchange(told)
        told.ended_s = time.monotonic()

    async def _exchange(self, told):
        reader, writer = self._stream
        method = b"GET" if told.is_idempotent else b"POST"
        extra_fields = b"X-Host: %d\r\n" % told.host
        if not told.is_idempotent:
            extra_fields += b"Content-Length: 0\r\n"
        try:
            writer.write(
                scripted_http.request_bytes(
                    request_id=told.request_id,
                    method=method,
                    path=f"{told.path}x".encode(),
                    deadline_ms=600,
                    extra_fields=extra_fields,
                )
            )
            async with asyncio.timeout(self._random.choice([0.05, 3, 3, 3])):
                answer = await scripted_http.read_response(reader)
            told.status, head, told.body = answer
            if b"connection: close" in head:
                self._drop()
        except TimeoutError:
            # The caller leaves before its answer, and says so by closing.
            told.status = -1
            self._drop()
        except (OSError, asyncio.IncompleteReadError):
            self._drop()
