"""Stand-in for the platform's configuration service and list of hosts.

Entry hosts only read from it.  Paths under `/control/` are for tests and
people who act as the operator: they publish texts, replace the list of
hosts and inject faults.
"""

import bisect
import dataclasses
import enum
import http
import json
import threading
import typing

import cappa
import cheroot.wsgi
import werkzeug

from trefoilstand.publishing import const
from trefoilstand.util import address as addresses

_MAX_WAIT_S: typing.Final = 60.0
_SERVER_THREADS: typing.Final = 64


class Fault(enum.StrEnum):
    """Fault of the stand-in that readers see."""

    NONE = "none"
    DOWN = "down"
    GARBAGE = "garbage"
    HALF = "half"
    SLOW = "slow"
    STALE = "stale"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PublishedValue:
    """Hold one published version of the operators' text.

    :param version: version of the text.
    :param text: bytes as they were published.
    """

    version: int
    text: bytes


class PlatformStandIn:
    """Hold the published state and serve it to readers over WSGI."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._history: list[PublishedValue] = []
        self._hosts = b'{"hosts": []}'
        self._fault = Fault.NONE
        self._calls = 0

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> typing.Iterable[bytes]:
        """Serve one WSGI request."""
        request = werkzeug.Request(environ)
        return self._route(request)(environ, start_response)

    def _route(self, request: werkzeug.Request) -> werkzeug.Response:
        if request.path.startswith("/control/"):
            return self._handle_control(request)
        with self._changed:
            self._calls += 1
            fault = self._fault
        if fault is Fault.DOWN:
            return werkzeug.Response(status=503)
        if fault is Fault.SLOW:
            threading.Event().wait(const.READ_TIMEOUT_S + 1)
        if fault is Fault.GARBAGE:
            return werkzeug.Response(
                b"\x00\xff{", headers=_version_header(10**6)
            )
        if request.path == const.HOSTS_PATH:
            return werkzeug.Response(self._hosts, mimetype="application/json")
        if request.path == const.CONFIGURATION_PATH:
            return self._serve_value(request, fault)
        return werkzeug.Response(status=404)

    def _serve_value(
        self, request: werkzeug.Request, fault: Fault
    ) -> werkzeug.Response:
        known_version = request.args.get("known_version", type=int)
        wait_s = min(request.args.get("wait_s", 0.0, type=float), _MAX_WAIT_S)
        with self._changed:
            if known_version is not None:
                self._changed.wait_for(
                    lambda: self._visible_version(fault) != known_version,
                    wait_s,
                )
            value = self._visible_value(fault)
        if value is None:
            return werkzeug.Response(status=404)
        if known_version == value.version:
            return werkzeug.Response(status=http.HTTPStatus.NOT_MODIFIED)
        text = value.text
        if fault is Fault.HALF:
            text = text[: len(text) // 2]
        return werkzeug.Response(
            text, mimetype="text/plain", headers=_version_header(value.version)
        )

    def _visible_value(self, fault: Fault) -> PublishedValue | None:
        if not self._history:
            return None
        return self._history[0 if fault is Fault.STALE else -1]

    def _visible_version(self, fault: Fault) -> int | None:
        value = self._visible_value(fault)
        return value.version if value else None

    def _handle_control(self, request: werkzeug.Request) -> werkzeug.Response:
        body = request.get_data()
        with self._changed:
            if request.path == "/control/text":
                version = request.args.get("version", type=int)
                if version is None:
                    last_version = (
                        self._history[-1].version if self._history else 0
                    )
                    version = last_version + 1
                # Of two operators that publish at once, the one with the
                # higher version may come first.
                bisect.insort(
                    self._history,
                    PublishedValue(version=version, text=body),
                    key=lambda value: value.version,
                )
            elif request.path == "/control/hosts":
                self._hosts = body
            elif request.path == "/control/fault":
                self._fault = Fault(body.decode())
            elif request.path != "/control/calls":
                return werkzeug.Response(status=404)
            self._changed.notify_all()
            content = json.dumps({"calls": self._calls})
        return werkzeug.Response(content, mimetype="application/json")


def _version_header(version: int) -> dict[str, str]:
    return {const.HEADER_VERSION: str(version)}


@cappa.command(name="platform-stand-in")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformCommand:
    """Serve a stand-in for the platform until it is stopped."""

    address: typing.Annotated[str, cappa.Arg(long=True)]


def main() -> None:
    """Run the stand-in."""
    command = cappa.parse(PlatformCommand)
    endpoint = addresses.parse_address(command.address)
    server = cheroot.wsgi.Server(
        (endpoint.ip, endpoint.port),
        PlatformStandIn(),
        numthreads=_SERVER_THREADS,
        max=_SERVER_THREADS,
    )
    try:
        server.start()
    except KeyboardInterrupt:
        server.stop()


if __name__ == "__main__":
    main()
