"""Stand-in for the platform's configuration service and list of hosts.

The product only reads it.  Paths under `/control/` belong to the person or
test that plays the operator: they publish texts, change the list and
switch faults on.
"""

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
_THREADS: typing.Final = 64


class Fault(enum.StrEnum):
    """Way in which the stand-in fails."""

    NONE = "none"
    DOWN = "down"
    GARBAGE = "garbage"
    HALF = "half"
    SLOW = "slow"
    STALE = "stale"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PublishedValue:
    """Hold one version of the text."""

    version: int
    text: bytes


class PlatformStandIn:
    """Hold what is published and answer readers."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._history: list[PublishedValue] = []
        self._hosts = b'{"hosts": []}'
        self._fault = Fault.NONE
        self._calls = 0

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> typing.Iterable[bytes]:
        """Answer one request in the way of WSGI."""
        request = werkzeug.Request(environ)
        return self._route(request)(environ, start_response)

    def _route(self, request: werkzeug.Request) -> werkzeug.Response:
        if request.path.startswith("/control/"):
            return self._control(request)
        with self._changed:
            self._calls += 1
            fault = self._fault
        if fault is Fault.DOWN:
            return werkzeug.Response(status=503)
        if fault is Fault.SLOW:
            threading.Event().wait(const.READ_TIMEOUT_S + 1)
        if fault is Fault.GARBAGE:
            return werkzeug.Response(b"\x00\xff{", headers=_version(10**6))
        if request.path == const.HOSTS_PATH:
            return werkzeug.Response(self._hosts, mimetype="application/json")
        if request.path == const.CONFIGURATION_PATH:
            return self._serve_value(request, fault)
        return werkzeug.Response(status=404)

    def _serve_value(
        self, request: werkzeug.Request, fault: Fault
    ) -> werkzeug.Response:
        known = request.args.get("known_version", type=int)
        wait_s = min(request.args.get("wait_s", 0.0, type=float), _MAX_WAIT_S)
        with self._changed:
            if known is not None:
                self._changed.wait_for(
                    lambda: self._visible_version(fault) != known, wait_s
                )
            value = self._visible(fault)
        if value is None:
            return werkzeug.Response(status=404)
        if known == value.version:
            return werkzeug.Response(status=http.HTTPStatus.NOT_MODIFIED)
        text = value.text
        if fault is Fault.HALF:
            text = text[: len(text) // 2]
        return werkzeug.Response(
            text, mimetype="text/plain", headers=_version(value.version)
        )

    def _visible(self, fault: Fault) -> PublishedValue | None:
        if not self._history:
            return None
        return self._history[0 if fault is Fault.STALE else -1]

    def _visible_version(self, fault: Fault) -> int | None:
        value = self._visible(fault)
        return value.version if value else None

    def _control(self, request: werkzeug.Request) -> werkzeug.Response:
        body = request.get_data()
        with self._changed:
            if request.path == "/control/text":
                version = request.args.get("version", type=int)
                if version is None:
                    last = self._history[-1].version if self._history else 0
                    version = last + 1
                self._history.append(
                    PublishedValue(version=version, text=body)
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


def _version(version: int) -> dict[str, str]:
    return {const.HEADER_VERSION: str(version)}


@cappa.command(name="platform-stand-in")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformCommand:
    """Serve a stand-in for the platform until it is killed."""

    address: typing.Annotated[str, cappa.Arg(long=True)]


def main() -> None:
    """Run the stand-in."""
    command = cappa.parse(PlatformCommand)
    endpoint = addresses.parse_address(command.address)
    server = cheroot.wsgi.Server(
        (endpoint.ip, endpoint.port),
        PlatformStandIn(),
        numthreads=_THREADS,
        max=_THREADS,
    )
    try:
        server.start()
    except KeyboardInterrupt:
        server.stop()


if __name__ == "__main__":
    main()
