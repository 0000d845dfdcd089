"""Targets and callers of a soak, which record what they observe."""

import asyncio
import random
import re
import time

from features.support import fault_proxy
from features.support import scripted_http
from features.support import soak_checks


class SoakTarget(scripted_http.ScriptedTarget):
    """Respond in random ways behind a fault proxy and record arrivals."""

    def __init__(self, *, number, domain, target_records, random_source):
        super().__init__(
            target_id=f"i-{number}", behaviour="any", domain=domain
        )
        self._random = random_source
        self._target_records = target_records
        #: Arrival time in seconds and entry host number of each request.
        self.arrivals = []
        self.withdrawn_s = None
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
        record = self._target_records.setdefault(
            request_id, soak_checks.TargetRecord()
        )
        record.arrived_s.append(now_s)
        random_share = self._random.random()
        if random_share < 0.02:
            await self._shed(request_id, reader, writer)
            return
        record.runs += 1
        await asyncio.sleep(self._random.expovariate(1 / 0.015))
        body = b"done " + request_id
        if random_share < 0.04:
            writer.write(
                scripted_http.response_bytes(request_id, body=body)[:-3]
            )
            await writer.drain()
            writer.close()
        elif random_share < 0.05:
            writer.write(
                scripted_http.response_bytes(b"other", body=b"foreign")
                + scripted_http.response_bytes(request_id, body=body)
            )
        elif random_share < 0.06:
            writer.write(
                scripted_http.response_bytes(
                    request_id, body=b"sorry", status=500
                )
            )
        else:
            writer.write(scripted_http.response_bytes(request_id, body=body))


class SoakCaller:
    """Send requests to one host over a connection that is kept alive.

    :param hosts: entry hosts.
    :param results: list to which the results of requests are added.
    :param prefixes: returns pairs of a path prefix and whether it is
        idempotent.
    """

    def __init__(self, *, number, hosts, results, prefixes, seed):
        self._number = number
        self._hosts = hosts
        self._results = results
        self._prefixes = prefixes
        self._random = random.Random(f"{seed}-{number}")
        self._sent_count = 0
        self._stream = None
        self._host = 0

    async def send_until(self, until_s):
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.expovariate(1 / 0.03))
            await self._call()
        self._close_stream()

    def _close_stream(self):
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
        self._sent_count += 1
        prefix, is_idempotent = self._random.choice(self._prefixes())
        result = soak_checks.CallerResult(
            request_id=b"c%d-%d" % (self._number, self._sent_count),
            host=self._host,
            is_idempotent=is_idempotent,
            path=prefix,
            sent_s=time.monotonic(),
        )
        self._results.append(result)
        await self._exchange(result)
        result.ended_s = time.monotonic()

    async def _exchange(self, result):
        reader, writer = self._stream
        method = b"GET" if result.is_idempotent else b"POST"
        extra_fields = b"X-Host: %d\r\n" % result.host
        if not result.is_idempotent:
            extra_fields += b"Content-Length: 0\r\n"
        try:
            writer.write(
                scripted_http.request_bytes(
                    request_id=result.request_id,
                    method=method,
                    path=f"{result.path}x".encode(),
                    deadline_ms=600,
                    extra_fields=extra_fields,
                )
            )
            async with asyncio.timeout(self._random.choice([0.05, 3, 3, 3])):
                response = await scripted_http.read_response(reader)
            result.status, head, result.body = response
            if b"connection: close" in head:
                self._close_stream()
        except TimeoutError:
            # The caller gives up before the response and closes.
            result.status = -1
            self._close_stream()
        except (OSError, asyncio.IncompleteReadError):
            self._close_stream()
