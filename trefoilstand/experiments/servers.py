"""Compare HTTP servers under the same small WSGI application."""

import dataclasses
import os
import pathlib
import statistics
import subprocess
import sys
import time
import typing

import cappa
import cheroot.wsgi
import waitress
import werkzeug

from trefoilstand.callers import server as product_server
from trefoilstand.cli import output
from trefoilstand.experiments import raw_load
from trefoilstand.standins import load

_ADDRESS: typing.Final = "127.80.0.1:8100"
_BODY: typing.Final = b"x" * 200
_CALLERS: typing.Final = (1, 4, 16)
_SERVERS: typing.Final = ("waitress", "cheroot", "product")
_START_WAIT_S: typing.Final = 1.5
_THREADS: typing.Final = 32


def send_fixed_body(
    environ: dict[str, typing.Any], start_response: typing.Any
) -> list[bytes]:
    """Answer each request with the same body.

    :param environ: WSGI environment.
    :param start_response: WSGI callable that takes status and headers.
    """
    werkzeug.Request(environ).get_data()
    start_response("200 OK", [("Content-Length", str(len(_BODY)))])
    return [_BODY]


def serve(name: str) -> None:
    """Serve the application until the process is killed.

    :param name: server, one of `_SERVERS`.
    """
    host, _, port = _ADDRESS.partition(":")
    if name == "waitress":
        waitress.serve(
            send_fixed_body, host=host, port=int(port), threads=_THREADS
        )
    elif name == "cheroot":
        cheroot_server = cheroot.wsgi.Server(
            (host, int(port)), send_fixed_body, numthreads=_THREADS
        )
        cheroot_server.keep_alive_conn_limit = 4096
        cheroot_server.start()
    else:
        caller_server = product_server.CallerServer(
            address=_ADDRESS,
            wsgi_application=send_fixed_body,
            threads=_THREADS,
            read_timeout_s=5,
        )
        caller_server.start()
        time.sleep(3600)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerRow:
    """Hold the medians of one server at one number of callers.

    :param server: name of the server.
    :param callers: concurrent callers.
    :param p50_ms: median latency.
    :param p99_ms: 99th percentile.
    :param cpu_us: CPU time per call in microseconds.
    """

    server: str
    callers: int
    p50_ms: float
    p99_ms: float
    cpu_us: float


def measure(name: str, rounds: int, calls: int) -> list[ServerRow]:
    """Run one server in its own process and measure it.

    :param name: server, one of `_SERVERS`.
    :param rounds: rounds that each median is taken over.
    :param calls: calls of one round, split evenly between the callers.
    """
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "trefoilstand.experiments.servers",
            "--serve",
            name,
        ],
        stderr=subprocess.DEVNULL,
    )
    try:
        time.sleep(_START_WAIT_S)
        return [
            _measure_callers(name, process.pid, callers, rounds, calls)
            for callers in _CALLERS
        ]
    finally:
        process.kill()
        process.wait()


def _measure_callers(
    name: str, pid: int, callers: int, rounds: int, calls: int
) -> ServerRow:
    p50_ms, p99_ms, cpu_us = [], [], []
    for _ in range(rounds):
        cpu_before_s = _read_cpu_s(pid)
        latencies_ms = raw_load.run(
            raw_load.RawPlan(
                address=_ADDRESS,
                request=raw_load.build_get_request("/"),
                callers=callers,
                calls=calls // callers,
            )
        ).latencies_ms
        cpu_us.append(
            (_read_cpu_s(pid) - cpu_before_s) * 1e6 / len(latencies_ms)
        )
        p50_ms.append(load.percentile(latencies_ms, 0.5))
        p99_ms.append(load.percentile(latencies_ms, 0.99))
    return ServerRow(
        server=name,
        callers=callers,
        p50_ms=statistics.median(p50_ms),
        p99_ms=statistics.median(p99_ms),
        cpu_us=statistics.median(cpu_us),
    )


def _read_cpu_s(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@cappa.command(name="servers")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ServersCommand:
    """Compare HTTP servers under the same small application."""

    rounds: typing.Annotated[int, cappa.Arg(long=True)] = 5
    calls: typing.Annotated[int, cappa.Arg(long=True)] = 1600
    serve: typing.Annotated[
        str, cappa.Arg(long=True, help="Serve only, with this server.")
    ] = ""

    def __call__(self) -> int:
        """Run the comparison and return the exit code."""
        if self.serve:
            serve(self.serve)
            return 0
        rows = [
            row
            for name in _SERVERS
            for row in measure(name, self.rounds, self.calls)
        ]
        output.print_table(
            ("server", "callers", "p50 ms", "p99 ms", "calls/s/core"),
            (
                (
                    row.server,
                    row.callers,
                    f"{row.p50_ms:.2f}",
                    f"{row.p99_ms:.2f}",
                    f"{1e6 / row.cpu_us:.0f}",
                )
                for row in rows
            ),
        )
        return 0


def main() -> None:
    """Run the comparison."""
    sys.exit(cappa.parse(ServersCommand)())


if __name__ == "__main__":
    main()
