"""Finds the route of a request and spreads requests over the services of a route."""

from math import gcd
from random import Random

import msgspec

from passlane.messages.routes import Route, RouteConfiguration, RoutedService, ServiceShare
from passlane.routes.tenants import TenantTable

LONGEST_CYCLE = 1_000
"""Most steps that are taken into the cycle of a route's shares before its first request."""


class RouteTable:
    """The routes of one configuration, by host and longest path prefix."""

    def __init__(self, configuration: RouteConfiguration) -> None:
        self.configuration = configuration
        self.tenants = TenantTable(configuration.tenants)
        self._services = {service.name: service for service in configuration.services}
        self._routes: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.configuration.version

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins ``path``, if there is one."""
        for route in self._routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service(self, name: str) -> RoutedService:
        """Return a service that a route of this table names."""
        return self._services[name]


class _Credits(msgspec.Struct):
    """Running credit of each share of one route (smooth weighted round robin)."""

    shares: tuple[ServiceShare, ...]
    credit: list[float] = msgspec.field(default_factory=list)


class ShareSelector:
    """Gives each service of a route its weight's share of the requests.

    Each choice adds every service's weight to its credit and takes the whole from the
    one with the most, so that the shares hold over any run of requests. Each route begins
    anywhere in that cycle, so that they hold as well over many nodes that have had few
    requests each.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._routes: dict[str, _Credits] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request on ``route``."""
        shares = tuple(share for share in route.shares if share.weight > 0)
        if len(shares) == 1:
            return shares[0].service
        credits = self._routes.get(route.name)
        if credits is None or credits.shares != shares:
            credits = self._begin(shares)
            self._routes[route.name] = credits
        return self._take_largest(credits)

    def _begin(self, shares: tuple[ServiceShare, ...]) -> _Credits:
        """Return the credits at a place in the cycle that is drawn at random."""
        credits = _Credits(shares, [0.0] * len(shares))
        cycle = sum(share.weight for share in shares) // gcd(*(share.weight for share in shares))
        for _ in range(self._random.randrange(min(cycle, LONGEST_CYCLE))):
            self._take_largest(credits)
        return credits

    @staticmethod
    def _take_largest(credits: _Credits) -> str:
        for position, share in enumerate(credits.shares):
            credits.credit[position] += share.weight
        largest = max(range(len(credits.credit)), key=credits.credit.__getitem__)
        credits.credit[largest] -= sum(share.weight for share in credits.shares)
        return credits.shares[largest].service
