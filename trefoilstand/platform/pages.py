"""Pages that an entry host serves to callers and to the platform."""

import json
import typing
import urllib.parse

from trefoilstand.gateway import directory
from trefoilstand.http import handling
from trefoilstand.http import models

_READINESS_PATH: typing.Final = b"/api/readiness"
_RESOLVE_PATH: typing.Final = b"/api/resolve"
_JSON_CONTENT_TYPE: typing.Final = (b"content-type", b"application/json")


class ReadinessPage(handling.RequestHandler):
    """Report whether this host accepts requests.

    :param host_directory: holds the readiness of this host.
    """

    def __init__(self, *, host_directory: directory.Directory) -> None:
        self._host_directory = host_directory

    async def handle(self, request: models.Request) -> handling.CallerResponse:
        """Return status 200 if this host is ready, 503 otherwise."""
        if request.path != _READINESS_PATH:
            return handling.CallerResponse(status=404)
        return handling.CallerResponse(
            status=200 if self._host_directory.is_own_ready else 503
        )


class ResolvePage(handling.RequestHandler):
    """Serve the addresses of entry hosts to callers.

    :param host_directory: chooses the addresses.
    :param lifetime_s: how long in seconds callers may cache them.
    """

    def __init__(
        self, *, host_directory: directory.Directory, lifetime_s: float
    ) -> None:
        self._host_directory = host_directory
        self._lifetime_s = lifetime_s

    async def handle(self, request: models.Request) -> handling.CallerResponse:
        """Return the addresses as JSON, or status 503 if none is known."""
        if request.path != _RESOLVE_PATH:
            return handling.CallerResponse(status=404)
        query = urllib.parse.parse_qs(
            request.target.partition(b"?")[2].decode("latin-1")
        )
        addresses = self._host_directory.choose(query.get("zone", [""])[0])
        if not addresses:
            return handling.CallerResponse(status=503)
        content = {"addresses": addresses, "ttl": f"{self._lifetime_s:g}s"}
        return handling.CallerResponse(
            status=200,
            fields=[_JSON_CONTENT_TYPE],
            body=json.dumps(content).encode(),
        )
