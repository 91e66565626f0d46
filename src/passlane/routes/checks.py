"""Validates route configurations.

Reports each problem as one sentence for the operator; sentences never contain API keys.
"""

import math
from collections.abc import Iterable, Iterator

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.routes import Route, RouteConfiguration, Tenant


def check_configuration(configuration: RouteConfiguration) -> None:
    """Raise ``PasslaneError`` (``INVALID_DOCUMENT``) with the first problem, if there is one."""
    for problem in find_problems(configuration):
        raise PasslaneError(ErrorCode.INVALID_DOCUMENT, problem)


def find_problems(configuration: RouteConfiguration) -> Iterator[str]:
    """Yield each problem of a configuration as one sentence."""
    if configuration.version < 1:
        yield f"the version is {configuration.version}, but must be at least 1"
    services = {service.name for service in configuration.services}
    if len(services) < len(configuration.services):
        yield "two services have the same name"
    host_prefixes: set[tuple[str, str]] = set()
    for route in configuration.routes:
        yield from _route_problems(route, services)
        host_prefix = (route.host.lower(), route.path_prefix)
        if host_prefix in host_prefixes:
            yield f"route {route.name}: another route has the same host and prefix"
        host_prefixes.add(host_prefix)
    yield from _tenant_problems(configuration.tenants)


def _tenant_problems(tenants: Iterable[Tenant]) -> Iterator[str]:
    """Yield the problems of tenants; no sentence contains a key."""
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for tenant in tenants:
        if not tenant.name:
            yield "a tenant has no name"
        if tenant.name in names:
            yield f"two tenants are named {tenant.name}"
        names.add(tenant.name)
        for amount in (tenant.rate_per_s, tenant.burst):
            if amount < 0 or not math.isfinite(amount):
                yield f"tenant {tenant.name}: the rate and the burst must be finite and at least 0"
        for digest in tenant.key_digests:
            owner = owners.setdefault(digest, tenant.name)
            if owner != tenant.name:
                yield f"tenant {tenant.name}: one of its keys also belongs to tenant {owner}"


def _route_problems(route: Route, services: set[str]) -> Iterator[str]:
    for share in route.shares:
        if share.service not in services:
            yield f"route {route.name}: unknown service {share.service}"
        if share.weight < 0:
            yield f"route {route.name}: the weight of service {share.service} is negative"
    if sum(share.weight for share in route.shares) <= 0:
        yield f"route {route.name}: the sum of the weights must be greater than 0"
    if route.timeout_s <= 0:
        yield f"route {route.name}: the timeout must be greater than 0"
    if route.max_attempts < 1:
        yield f"route {route.name}: max_attempts must be at least 1"
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        yield f"route {route.name}: the prefix must start and end with a slash"
