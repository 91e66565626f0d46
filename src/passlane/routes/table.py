"""Matches requests to routes, and distributes a route's requests over its services.

Owns the route table of one configuration and the round-robin state of each route.
"""

from math import gcd
from random import Random

import msgspec

from passlane.messages.routes import Route, RouteConfiguration, RoutedService, ServiceShare
from passlane.routes.tenants import TenantTable

MAX_INITIAL_STEPS = 1_000
"""Maximum number of round-robin steps by which a route's first request is offset."""


class RouteTable:
    """The routes of one configuration, by host and path prefix."""

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
        """Return the route of a host with the longest prefix of ``path``; ``None`` without one."""
        for route in self._routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service(self, name: str) -> RoutedService:
        """Return a service by name.

        Raises
        ------
        KeyError
            When the configuration has no such service.
        """
        return self._services[name]


class _Credits(msgspec.Struct):
    """Current credit of each share of one route (smooth weighted round robin)."""

    shares: tuple[ServiceShare, ...]
    credit: list[float] = msgspec.field(default_factory=list)


class ShareSelector:
    """Distributes a route's requests over its services by weight.

    1. Each choice adds every service's weight to that service's credit.
    2. The service with the largest credit is chosen; the sum of all weights is subtracted from
       its credit. Any sequence of requests then follows the weights closely.
    3. Each route starts at a random step of the cycle, so that many nodes with few requests each
       also follow the weights together.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._routes: dict[str, _Credits] = {}

    def choose(self, route: Route) -> str:
        """Return the name of the service for the next request on ``route``."""
        shares = tuple(share for share in route.shares if share.weight > 0)
        if len(shares) == 1:
            return shares[0].service
        credits = self._routes.get(route.name)
        if credits is None or credits.shares != shares:
            credits = self._start_credits(shares)
            self._routes[route.name] = credits
        return self._select_next(credits)

    def _start_credits(self, shares: tuple[ServiceShare, ...]) -> _Credits:
        """Return credits that start at a random step of the round-robin cycle."""
        credits = _Credits(shares, [0.0] * len(shares))
        cycle = sum(share.weight for share in shares) // gcd(*(share.weight for share in shares))
        for _ in range(self._random.randrange(min(cycle, MAX_INITIAL_STEPS))):
            self._select_next(credits)
        return credits

    @staticmethod
    def _select_next(credits: _Credits) -> str:
        for position, share in enumerate(credits.shares):
            credits.credit[position] += share.weight
        largest = max(range(len(credits.credit)), key=credits.credit.__getitem__)
        credits.credit[largest] -= sum(share.weight for share in credits.shares)
        return credits.shares[largest].service
