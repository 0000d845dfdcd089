"""Scripted targets and a forwarder on loopback addresses."""

import asyncio
import random
import re
import socket
import struct
import time

from trefoilstand.experiments import gateway_model
from trefoilstand.fleet import models as fleet_models
from trefoilstand.fleet import rate_limits
from trefoilstand.gateway import assembly
from trefoilstand.gateway import leaving_reader
from trefoilstand.gateway import models
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import probing
from trefoilstand.gateway import retry_budget
from trefoilstand.gateway import routing
from trefoilstand.gateway import state
from trefoilstand.http import handling
from trefoilstand.http import server
from trefoilstand.platform import decoder
from trefoilstand.platform import target_protocol
from trefoilstand.telemetry import metric_store
from trefoilstand.util import clock as clocks
from trefoilstand.util import token_bucket

OWN_DOMAIN = "near"


def response_bytes(
    request_id, body=b"done", status=200, extra_fields=b"", has_stamp=True
):
    head_lines = [f"HTTP/1.1 {status} X".encode()]
    if request_id is not None:
        head_lines.append(b"Request-Id: " + request_id)
    if has_stamp:
        head_lines.append(b"Server-Stamp: s")
    head_lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(head_lines) + b"\r\n" + extra_fields + b"\r\n" + body


class ScriptedTarget:
    """Respond to requests with the behaviour that a scenario names.

    :param target_id: id in the registry and in health responses.
    :param behaviour: name of the method without its underscore that responds.
    :param load: value of the `Server-Load` field; none is sent if it is None.
    :param domain: failure domain of the target.
    """

    def __init__(
        self, *, target_id, behaviour, load=b"0,0,6,100", domain=None
    ):
        self.target_id = target_id
        self.behaviour = behaviour
        self.load = load
        self.domain = domain or OWN_DOMAIN
        self.runs = []
        self.requests = []
        self.probes = 0
        self.connection_closed = asyncio.Event()
        self.health_delay_s = 0.0
        self.work_s = 0.0
        #: Status of the responses of the behaviour `odd_status`.
        self.status = "200"
        self.refusal_has_id = True
        self.answers_after_refusal = True
        self.refuses_before_health = False
        #: Fields that its responses to requests and to health checks add, the
        #: latter under this id.
        self.response_fields = b""
        self.health_fields = b""
        self.health_id = target_id
        #: Requests a second that its responses state as its limit, if any.
        self.limit_per_s = None
        self.arrivals_s = []
        self.open_connections = 0
        self.most_connections = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()

    def record(self, service="quotes", target_state=models.TargetState.READY):
        return models.TargetRecord(
            target_id=self.target_id,
            incarnation=1,
            service=service,
            ip="127.0.0.1",
            port=self.port,
            failure_domain=self.domain,
            slots=6,
            state=target_state,
            warmup_left_s=0.0,
        )

    async def _serve(self, reader, writer):
        self.open_connections += 1
        self.most_connections = max(
            self.most_connections, self.open_connections
        )
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length_match = re.search(rb"(?i)content-length: (\d+)", head)
                body = b""
                if length_match:
                    body = await reader.readexactly(int(length_match[1]))
                self.arrivals_s.append(time.monotonic())
                if head.startswith(b"GET /health"):
                    self.probes += 1
                    await asyncio.sleep(self.health_delay_s)
                    if self.refuses_before_health and hasattr(self, "refusal"):
                        writer.write(self.refusal)
                    writer.write(self._health())
                    continue
                self.requests.append(head + body)
                id_match = re.search(rb"(?i)request-id: (\S+)", head)
                request_id = id_match[1] if id_match else None
                behaviour, _, status = self.behaviour.partition("odd_status_")
                if status:
                    self.status = status
                    behaviour = "odd_status"
                await getattr(self, f"_{behaviour}")(
                    request_id, reader, writer
                )
        except (OSError, asyncio.IncompleteReadError):
            self.connection_closed.set()
        finally:
            self.open_connections -= 1
            writer.close()

    def _health(self):
        return (
            b"HTTP/1.1 200 OK\r\nInstance-Id: "
            + self.health_id.encode()
            + (b"\r\nServer-Load: " + self.load if self.load else b"")
            + b"\r\n"
            + self.health_fields
            + b"Content-Length: 0\r\n\r\n"
        )

    async def _whole(self, request_id, reader, writer):
        self.runs.append(request_id)
        writer.write(
            response_bytes(request_id, extra_fields=self.response_fields)
        )

    async def _large(self, request_id, reader, writer):
        self.runs.append(request_id)
        await asyncio.sleep(self.work_s)
        writer.write(response_bytes(request_id, body=b"l" * 65536))

    async def _error(self, request_id, reader, writer):
        self.runs.append(request_id)
        writer.write(
            response_bytes(
                request_id,
                body=b"sorry",
                status=500,
                extra_fields=self.response_fields,
            )
        )

    async def _slow(self, request_id, reader, writer):
        self.runs.append(request_id)
        await asyncio.sleep(0.2)
        writer.write(
            response_bytes(request_id, extra_fields=self.response_fields)
        )

    async def _working(self, request_id, reader, writer):
        self.runs.append(request_id)
        await asyncio.sleep(self.work_s)
        limit_field = b""
        if self.limit_per_s is not None:
            limit_field = b"Server-Limit: %.1f\r\n" % self.limit_per_s
        writer.write(response_bytes(request_id, extra_fields=limit_field))

    async def _brief(self, request_id, reader, writer):
        self.runs.append(request_id)
        await asyncio.sleep(0.06)
        writer.write(response_bytes(request_id))

    async def _silent(self, request_id, reader, writer):
        self.runs.append(request_id)
        await reader.read(1)
        self.connection_closed.set()

    async def _reset(self, request_id, reader, writer):
        self.runs.append(request_id)
        _reset_connection(writer)

    async def _odd_status(self, request_id, reader, writer):
        self.runs.append(request_id)
        writer.write(response_bytes(request_id, status=self.status))

    async def _cut(self, request_id, reader, writer):
        self.runs.append(request_id)
        writer.write(response_bytes(request_id)[:-2])
        await writer.drain()
        writer.close()

    async def _unframed(self, request_id, reader, writer):
        self.runs.append(request_id)
        writer.write(
            b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: "
            + request_id
            + b"\r\n\r\ndone"
        )
        await writer.drain()
        writer.close()

    async def _unframed_reset(self, request_id, reader, writer):
        self.runs.append(request_id)
        writer.write(
            b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: "
            + request_id
            + b"\r\n\r\ndo"
        )
        await writer.drain()
        await asyncio.sleep(0.02)
        _reset_connection(writer)

    async def _foreign_first(self, request_id, reader, writer):
        self.runs.append(request_id)
        writer.write(
            response_bytes(
                b"other", body=b"foreign", extra_fields=self.response_fields
            )
            + response_bytes(request_id)
        )

    async def _foreign_only(self, request_id, reader, writer):
        self.runs.append(request_id)
        writer.write(response_bytes(b"other", body=b"foreign"))
        await writer.drain()
        writer.close()

    async def _twice(self, request_id, reader, writer):
        self.runs.append(request_id)
        writer.write(
            response_bytes(request_id)
            + response_bytes(request_id, body=b"again")
        )

    async def _noise(self, request_id, reader, writer):
        self.runs.append(request_id)
        writer.write(b"\x00\x01 no answer\r\n\r\n")

    async def _unsigned(self, request_id, reader, writer):
        self.runs.append(request_id)
        writer.write(
            response_bytes(
                request_id, has_stamp=False, extra_fields=self.response_fields
            )
        )

    async def _encoded(self, request_id, reader, writer):
        self.runs.append(request_id)
        writer.write(
            response_bytes(
                request_id, extra_fields=b"Content-Encoding: gzip\r\n"
            )
        )

    async def _shed(self, request_id, reader, writer):
        writer.write(_refusal_bytes(request_id, self.response_fields))

    async def _refuse_again(self, request_id, reader, writer):
        """Refuse the first request; repeat that refusal before later ones."""
        if not hasattr(self, "refusal"):
            self.refusal = _refusal_bytes(
                request_id if self.refusal_has_id else None
            )
            writer.write(_refusal_bytes(request_id))
            return
        self.runs.append(request_id)
        writer.write(self.refusal)
        await writer.drain()
        await asyncio.sleep(0.02)
        if self.answers_after_refusal:
            writer.write(response_bytes(request_id))

    async def _misdirected(self, request_id, reader, writer):
        writer.write(
            response_bytes(
                request_id,
                status=421,
                has_stamp=False,
                extra_fields=self.response_fields,
            )
        )


def _refusal_bytes(request_id, extra_fields=b""):
    return response_bytes(
        request_id,
        status=503,
        extra_fields=b"Not-Executed: 1\r\n" + extra_fields,
    )


def _reset_connection(writer):
    raw_socket = writer.get_extra_info("socket")
    raw_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def make_route(*, is_idempotent, timeout_s=0.5, max_attempts=2, priority=1):
    return models.Route(
        name="r",
        host="app.example",
        prefix="/q/",
        is_idempotent=is_idempotent,
        timeout_s=timeout_s,
        objective_s=timeout_s / 2,
        max_attempts=max_attempts,
        priority=priority,
        weighted_services=(
            models.WeightedService(service="quotes", weight=1.0),
        ),
    )


class GatewayHarness:
    """Connect a forwarder to scripted targets.

    :param targets: scripted targets, which `start` registers.
    :param route: only route of the configuration.
    :param allowance: retries that the budget allows regardless of requests.
    :param buffers: memory for bodies, None for no limit.
    :param connection_quota: limits connections, None for no limit.
    """

    def __init__(
        self,
        *,
        targets,
        route,
        allowance=100.0,
        buffers=None,
        connection_quota=None,
    ):
        self.targets = targets
        self.counts = metric_store.MetricStore()
        random_source = random.Random(5)
        clock = clocks.MonotonicClock()
        self.connections = pool.ConnectionPool(
            clock=clock,
            local_ip=None,
            buffers=buffers,
            quota=connection_quota,
        )
        self.state = state.GatewayState(
            decoder=decoder.StoreDecoder(),
            connections=self.connections,
            target_registry=gateway_model.make_registry(),
            retry_limits=retry_budget.RetryBudgetLimits(
                ratio=0.2, allowance=allowance, window_s=10.0
            ),
            random_source=random_source,
            clock=clock,
        )
        protocol = target_protocol.PlatformTargetProtocol()
        self.rate_limits = rate_limits.RateLimitTable(
            random_source=random_source
        )
        limits = assembly.build_limit_handling(
            table=self.rate_limits,
            ranking=gateway_model.StandaloneRanking(),
            protocol=protocol,
            counts=self.counts,
            on_new_limit=lambda: None,
        )
        self.forwarder = assembly.build_forwarder(
            gateway_state=self.state,
            connections=self.connections,
            prober=probing.Prober(
                connections=self.connections,
                protocol=protocol,
                limits=limits.reader,
                leaving=leaving_reader.LeavingReader(
                    protocol=protocol,
                    marks=self.state.registry.leaving,
                    clock=clock,
                ),
                clock=clock,
            ),
            probe_budget=token_bucket.TokenBucket(rate_per_s=1e4, burst=1e4),
            predictor=prediction.Predictor(),
            protocol=protocol,
            limits=limits,
            counts=self.counts,
            clock=clock,
            random_source=random_source,
            own_domain=OWN_DOMAIN,
        )
        self.state.configuration = models.GatewayConfiguration(
            version=1,
            routes={"r": route},
            services={},
            limits=handling.Limits(),
        )
        self.state.routes = routing.RouteTable(routes={"r": route})
        self.server = server.Server(handler=self.forwarder, buffers=buffers)

    async def start(self):
        for target in self.targets:
            await target.start()
            self.state.registry.set(target.record(), time.monotonic())
        self.apply_registry()
        await self.server.start(ip="127.0.0.1", port=0, backlog=64)
        self.port = self.server.port

    def apply_registry(self):
        self.state.apply_items(
            [fleet_models.Item(key="servers/none", revision=1, value=None)]
        )

    def stop(self):
        self.server.stop_listening()
        self.connections.close()
        for target in self.targets:
            target.stop()


def request_bytes(
    request_id=b"a1",
    method=b"GET",
    path=b"/q/x",
    deadline_ms=500,
    extra_fields=b"",
):
    return (
        method
        + b" "
        + path
        + b" HTTP/1.1\r\nHost: app.example\r\nRequest-Id: "
        + request_id
        + b"\r\nDeadline-Ms: %d\r\n" % deadline_ms
        + extra_fields
        + b"\r\n"
    )


async def read_response(reader):
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
    length_match = re.search(rb"(?i)content-length: (\d+)", head)
    body = (
        await reader.readexactly(int(length_match[1])) if length_match else b""
    )
    return int(head.split()[1]), head.lower(), body


async def send_request(port, data):
    """Send bytes on a new connection and return the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        return await read_response(reader)
    finally:
        writer.close()
