"""Choose the route of a request and the service of a route."""

import random
import typing

from trefoilstand.gateway import models

#: Upper bound of the credit of a part, so that a part that was not chosen
#: for long is not flooded.
_MAX_CREDIT: typing.Final = 8.0


class RouteTable:
    """Find routes by host and longest path prefix.

    :param routes: routes of one configuration by name.
    """

    def __init__(self, *, routes: dict[str, models.Route]) -> None:
        self._by_host: dict[str, dict[str, models.Route]] = {}
        for route in routes.values():
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> models.Route | None:
        """Return the route with the longest prefix of the path.

        Prefixes end with a slash, so only prefixes of whole path segments
        are tried, the longest first.
        """
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        slash_index = path.rfind("/")
        while slash_index >= 0:
            route = by_prefix.get(path[: slash_index + 1])
            if route is not None:
                return route
            slash_index = path.rfind("/", 0, slash_index)
        return None


class SplitBalancer:
    """Distribute the requests of routes over their parts by weight.

    Smooth weighted round robin: with every request each part earns credit
    in proportion to its weight, and the one with the most credit is
    chosen, so that the shares also hold over few requests.

    :param random_source: draws the initial credits, so that hosts do not all
        start with the same part.
    """

    def __init__(self, *, random_source: random.Random) -> None:
        self._random = random_source
        self._credits: dict[
            tuple[str, tuple[models.WeightedService, ...]], list[float]
        ] = {}

    def choose(self, route: models.Route) -> str:
        """Return the service for the next request of a route."""
        parts = route.weighted_services
        if len(parts) == 1:
            return parts[0].service
        total_weight = sum(part.weight for part in parts)
        if total_weight <= 0:
            return parts[0].service
        key = (route.name, parts)
        credits = self._credits.get(key)
        if credits is None:
            credits = [self._random.random() for _ in parts]
            self._credits[key] = credits
        for index, part in enumerate(parts):
            credits[index] = min(
                credits[index] + part.weight / total_weight, _MAX_CREDIT
            )
        chosen_index = max(range(len(parts)), key=credits.__getitem__)
        credits[chosen_index] -= 1.0
        return parts[chosen_index].service

    def reset(self) -> None:
        """Drop all credits, after a change of the configuration."""
        self._credits.clear()
