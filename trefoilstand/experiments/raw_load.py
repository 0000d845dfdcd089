"""Send requests over plain sockets, so that the sender costs little."""

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
    :param calls: calls of each caller.
    """

    address: str
    request: bytes
    callers: int
    calls: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RawResult:
    """Hold what a load has measured.

    :param latencies_ms: latency of each call.
    :param elapsed_s: time of the whole load.
    """

    latencies_ms: list[float]
    elapsed_s: float


def get_request(path: str) -> bytes:
    """Return a plain request for a path."""
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


def run(plan: RawPlan) -> RawResult:
    """Run a load from as many processes as callers.

    Separate processes keep the callers from waiting for each other.
    """
    started_s = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(plan.callers) as executor:
        futures = [
            executor.submit(_run_caller, plan) for _ in range(plan.callers)
        ]
        results = [future.result() for future in futures]
    return RawResult(
        latencies_ms=[value for result in results for value in result],
        elapsed_s=time.monotonic() - started_s,
    )


def _run_caller(plan: RawPlan) -> list[float]:
    endpoint = addresses.parse_address(plan.address)
    latencies_ms = []
    with socket.create_connection((endpoint.ip, endpoint.port)) as link:
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for number in range(plan.calls + _WARM_UP_CALLS):
            started_s = time.perf_counter()
            link.sendall(plan.request)
            _read_answer(link)
            if number >= _WARM_UP_CALLS:
                elapsed_s = time.perf_counter() - started_s
                latencies_ms.append(elapsed_s * 1000)
    return latencies_ms


def _read_answer(link: socket.socket) -> None:
    data = link.recv(65536)
    while _END_OF_HEADER not in data:
        data += _receive(link)
    head, _, body = data.partition(_END_OF_HEADER)
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(_LENGTH_FIELD):
            length = int(line[len(_LENGTH_FIELD) :])
    left = length - len(body)
    while left > 0:
        left -= len(_receive(link))


def _receive(link: socket.socket) -> bytes:
    piece = link.recv(65536)
    if not piece:
        raise ConnectionError("the connection ended inside an answer")
    return piece
