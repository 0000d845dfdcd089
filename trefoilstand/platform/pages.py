"""Pages that callers and the platform ask of an entry host."""

import json
import typing
import urllib.parse

from trefoilstand.gateway import directory
from trefoilstand.http import models
from trefoilstand.http import server

_READINESS_PATH: typing.Final = b"/api/readiness"
_RESOLVE_PATH: typing.Final = b"/api/resolve"
_JSON: typing.Final = (b"content-type", b"application/json")


class ReadinessPage(server.RequestHandler):
    """Tell whether this host takes requests.

    :param addresses: knows whether it does.
    """

    def __init__(self, *, addresses: directory.Directory) -> None:
        self._addresses = addresses

    async def handle(self, request: models.Request) -> server.Answer:
        """Return 200 or 503."""
        if request.path != _READINESS_PATH:
            return server.Answer(status=404)
        return server.Answer(
            status=200 if self._addresses.is_own_ready else 503
        )


class ResolvePage(server.RequestHandler):
    """Tell callers which addresses to use.

    :param addresses: chooses them.
    :param lifetime_s: how long callers may keep them.
    """

    def __init__(
        self, *, addresses: directory.Directory, lifetime_s: float
    ) -> None:
        self._addresses = addresses
        self._lifetime_s = lifetime_s

    async def handle(self, request: models.Request) -> server.Answer:
        """Return the addresses, or 503 while none is known."""
        if request.path != _RESOLVE_PATH:
            return server.Answer(status=404)
        query = urllib.parse.parse_qs(
            request.target.partition(b"?")[2].decode("latin-1")
        )
        found = self._addresses.choose(query.get("zone", [""])[0])
        if not found:
            return server.Answer(status=503)
        content = {"addresses": found, "ttl": f"{self._lifetime_s:g}s"}
        return server.Answer(
            status=200, fields=[_JSON], body=json.dumps(content).encode()
        )
