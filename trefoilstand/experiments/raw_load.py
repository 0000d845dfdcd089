"""Send requests over plain sockets to keep the sender's CPU cost low."""

import concurrent.futures
import dataclasses
import socket
import time
import typing

from trefoilstand.util import address as addresses

_END_OF_HEADER: typing.Final = b"\r\n\r\n"
_LENGTH_FIELD: typing.Final = b"content-length:"
_WARM_UP_CALLS: typing.Final = 20


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RawPlan:
    """Describe a closed-loop load.

    :param address: numeric address with port.
    :param request: whole request as bytes.
    :param callers: connections, each with one request in flight.
    :param calls: measured calls of each caller, after the warm-up calls.
    """

    address: str
    request: bytes
    callers: int
    calls: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RawResult:
    """Hold the measurements of one load run.

    :param latencies_ms: latency of each call.
    :param elapsed_s: duration of the whole run, with its warm-up calls.
    """

    latencies_ms: list[float]
    elapsed_s: float


def build_get_request(path: str) -> bytes:
    """Return a GET request for a path, as bytes."""
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


def run(plan: RawPlan) -> RawResult:
    """Run a load with one process for each caller.

    Separate processes keep the callers from delaying each other.

    :param plan: load to run.
    :returns: latencies of all callers and the duration.
    """
    started_s = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(plan.callers) as executor:
        futures = [
            executor.submit(_run_caller, plan) for _ in range(plan.callers)
        ]
        latencies_by_caller = [future.result() for future in futures]
    return RawResult(
        latencies_ms=[
            latency_ms
            for caller_latencies_ms in latencies_by_caller
            for latency_ms in caller_latencies_ms
        ],
        elapsed_s=time.monotonic() - started_s,
    )


def _run_caller(plan: RawPlan) -> list[float]:
    endpoint = addresses.parse_address(plan.address)
    latencies_ms = []
    with socket.create_connection((endpoint.ip, endpoint.port)) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for number in range(plan.calls + _WARM_UP_CALLS):
            started_s = time.perf_counter()
            connection.sendall(plan.request)
            _read_response(connection)
            if number >= _WARM_UP_CALLS:
                elapsed_s = time.perf_counter() - started_s
                latencies_ms.append(elapsed_s * 1000)
    return latencies_ms


def _read_response(connection: socket.socket) -> None:
    data = connection.recv(65536)
    while _END_OF_HEADER not in data:
        data += _receive(connection)
    head, _, body = data.partition(_END_OF_HEADER)
    length_bytes = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(_LENGTH_FIELD):
            length_bytes = int(line[len(_LENGTH_FIELD) :])
    remaining_bytes = length_bytes - len(body)
    while remaining_bytes > 0:
        remaining_bytes -= len(_receive(connection))


def _receive(connection: socket.socket) -> bytes:
    chunk = connection.recv(65536)
    if not chunk:
        raise ConnectionError(
            "the server closed the connection before the end of a response"
        )
    return chunk
