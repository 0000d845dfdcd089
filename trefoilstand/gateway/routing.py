"""Choose the route of a request and the service of a route."""

import random
import typing

from trefoilstand.gateway import models

#: Longest memory of a split, so that a part that was away is not flooded.
_MAX_CREDIT: typing.Final = 8.0


class RouteTable:
    """Find routes by host and longest path prefix.

    :param routes: routes of one configuration.
    """

    def __init__(self, *, routes: dict[str, models.Route]) -> None:
        self._by_host: dict[str, dict[str, models.Route]] = {}
        for route in routes.values():
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> models.Route | None:
        """Return the route with the longest prefix of the path.

        Prefixes end with a slash, so only the ends of path segments are
        tried, the longest first.
        """
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class SplitBalancer:
    """Distribute the requests of routes over their parts by weight.

    Smooth weighted round robin: each part earns its share with every
    request, and the one with the most credit is chosen, so that shares
    hold exactly also over few requests.

    :param random_source: spreads the start of the rounds over hosts.
    """

    def __init__(self, *, random_source: random.Random) -> None:
        self._random = random_source
        self._credits: dict[
            tuple[str, tuple[models.WeightedService, ...]], list[float]
        ] = {}

    def choose(self, route: models.Route) -> str:
        """Return the service for the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        if total <= 0:
            return parts[0].service
        key = (route.name, parts)
        credits = self._credits.get(key)
        if credits is None:
            credits = [self._random.random() for _ in parts]
            self._credits[key] = credits
        for index, part in enumerate(parts):
            credits[index] = min(
                credits[index] + part.weight / total, _MAX_CREDIT
            )
        chosen = max(range(len(parts)), key=credits.__getitem__)
        credits[chosen] -= 1.0
        return parts[chosen].service

    def forget(self) -> None:
        """Drop the credits of routes of an older configuration."""
        self._credits.clear()
