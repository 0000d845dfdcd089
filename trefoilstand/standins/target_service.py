"""Stand-in for targets of one or several services.

Each address serves one target with its own slots.  A target takes a random
service time for each request and sheds requests that exceed its slots and
its short queue before they run.  It reports its load and counts the runs of
each request, so that a test can detect a request that ran twice.
"""

import collections
import dataclasses
import json
import random
import secrets
import threading
import time
import typing

import cappa
import cheroot.wsgi
import werkzeug

from trefoilstand import const as project_const
from trefoilstand.targets import const as targets_const
from trefoilstand.util import address as addresses

_KEEP_ALIVE_CONNECTIONS: typing.Final = 200
SHED_HEADER: typing.Final = "Target-Shed"


@dataclasses.dataclass(kw_only=True, slots=True)
class Behaviour:
    """Hold the behaviour that a test may change while a target runs.

    :param service_ms: median service time in ms.
    :param slow_factor: factor applied to the service time.
    :param spread: standard deviation of the logarithm of the service time.
    :param fails: True if each request fails immediately with status 500.
    :param is_leaving: True if the target reports that it is leaving.
    """

    service_ms: float = 5.0
    slow_factor: float = 1.0
    spread: float = 0.3
    fails: bool = False
    is_leaving: bool = False


class TargetStandIn:
    """Serve one target over WSGI.

    :param slots: most requests that run at the same time.
    :param queue: most requests that may wait for a slot.
    :param service_ms: median service time in ms.
    """

    def __init__(self, *, slots: int, queue: int, service_ms: float) -> None:
        self._slots = slots
        self._queue = queue
        self._behaviour = Behaviour(service_ms=service_ms)
        self._incarnation = secrets.token_hex(4)
        self._free_slots = threading.BoundedSemaphore(slots)
        self._lock = threading.Lock()
        self._in_flight = 0
        self._shed_count = 0
        self._probe_count = 0
        self._runs: collections.Counter[str] = collections.Counter()
        self._last_start_s = 0.0
        self._random = random.Random(self._incarnation)

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> typing.Iterable[bytes]:
        """Serve one WSGI request."""
        request = werkzeug.Request(environ)
        if request.path == targets_const.LOAD_PATH:
            response = self._serve_load_report()
        elif request.path.startswith("/control/"):
            response = self._handle_control(request)
        else:
            response = self._serve(request)
        response.headers[project_const.HEADER_TARGET_LOAD] = (
            f"{self._in_flight}/{self._slots}"
        )
        response.headers[project_const.HEADER_TARGET_INCARNATION] = (
            self._incarnation
        )
        exchange_id = request.headers.get(project_const.HEADER_EXCHANGE_ID)
        if exchange_id:
            response.headers[project_const.HEADER_EXCHANGE_ID] = exchange_id
        if self._behaviour.is_leaving:
            response.headers[project_const.HEADER_TARGET_STATE] = "leaving"
        return response(environ, start_response)

    def _serve(self, request: werkzeug.Request) -> werkzeug.Response:
        body = request.get_data()
        mark = request.headers.get("Caller-Mark", "")
        if self._behaviour.fails:
            return werkzeug.Response(
                json.dumps({"mark": mark}),
                status=500,
                mimetype="application/json",
            )
        with self._lock:
            if self._in_flight >= self._slots + self._queue:
                self._shed_count += 1
                return werkzeug.Response(
                    status=503, headers={SHED_HEADER: "full"}
                )
            self._in_flight += 1
            self._last_start_s = time.time()
            if mark:
                self._runs[mark] += 1
        try:
            with self._free_slots:
                self._simulate_work()
        finally:
            with self._lock:
                self._in_flight -= 1
        content = {
            "mark": mark,
            "method": request.method,
            "target": request.environ.get("REQUEST_URI", ""),
            "body_bytes": len(body),
        }
        return werkzeug.Response(
            json.dumps(content), mimetype="application/json"
        )

    def _simulate_work(self) -> None:
        behaviour = self._behaviour
        median_s = behaviour.service_ms * behaviour.slow_factor / 1000
        if median_s > 0:
            time.sleep(
                median_s * self._random.lognormvariate(0.0, behaviour.spread)
            )

    def _serve_load_report(self) -> werkzeug.Response:
        with self._lock:
            self._probe_count += 1
            state = "leaving" if self._behaviour.is_leaving else "active"
            content = {
                "in_flight": self._in_flight,
                "slots": self._slots,
                "state": state,
                "incarnation": self._incarnation,
            }
        return werkzeug.Response(
            json.dumps(content), mimetype="application/json"
        )

    def _handle_control(self, request: werkzeug.Request) -> werkzeug.Response:
        if request.path == "/control/behaviour":
            changes = json.loads(request.get_data())
            if changes.pop("renew", False):
                # It now appears as a new process at the same address.
                self._incarnation = secrets.token_hex(4)
            self._behaviour = dataclasses.replace(self._behaviour, **changes)
        with self._lock:
            content = {
                "runs": dict(self._runs),
                "shed": self._shed_count,
                "probes": self._probe_count,
                "last_start_s": self._last_start_s,
            }
        return werkzeug.Response(
            json.dumps(content), mimetype="application/json"
        )


@cappa.command(name="target-stand-in")
@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetCommand:
    """Serve stand-ins for targets until the process is stopped."""

    addresses: typing.Annotated[list[str], cappa.Arg(num_args=-1)]
    slots: typing.Annotated[int, cappa.Arg(long=True)] = 6
    queue: typing.Annotated[int, cappa.Arg(long=True)] = 12
    service_ms: typing.Annotated[float, cappa.Arg(long=True)] = 5.0


def main() -> None:
    """Run the stand-ins, one server for each address."""
    command = cappa.parse(TargetCommand)
    threads = []
    for text in command.addresses:
        endpoint = addresses.parse_address(text)
        stand_in = TargetStandIn(
            slots=command.slots,
            queue=command.queue,
            service_ms=command.service_ms,
        )
        server = cheroot.wsgi.Server(
            (endpoint.ip, endpoint.port),
            stand_in,
            numthreads=command.slots + command.queue + 4,
            max=command.slots + command.queue + 4,
        )
        server.keep_alive_conn_limit = _KEEP_ALIVE_CONNECTIONS
        thread = threading.Thread(target=server.start, daemon=True)
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
