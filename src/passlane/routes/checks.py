"""Validates route configurations.

Reports each problem as one sentence for the operator; sentences never contain API keys.
"""

import re
from collections.abc import Iterable, Iterator

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.number_bounds import MAX_AMOUNT
from passlane.messages.routes import RequestLimits, Route, RouteConfiguration, Tenant

MAX_NAME_CHARACTERS = 100
"""Characters of a name in a sentence; the configuration bounds no name."""
_HEADER_VALUE = re.compile(r"[!-~\x80-\xff]+(?:[ \t]+[!-~\x80-\xff]+)*")
"""What a header can carry (RFC 9110, section 5.5); engines get the tenant's name in one."""


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
            yield f"route {_shown(route.name)}: another route has the same host and prefix"
        host_prefixes.add(host_prefix)
    yield from _limit_problems(configuration.limits)
    yield from _tenant_problems(configuration.tenants)


def _shown(name: str) -> str:
    return name if len(name) <= MAX_NAME_CHARACTERS else f"{name[:MAX_NAME_CHARACTERS]}..."


def _is_amount(amount: float) -> bool:
    """Return whether a rate is within its bounds, which no NaN is."""
    return 0 <= amount <= MAX_AMOUNT


def _is_finite(seconds: float) -> bool:
    return -MAX_AMOUNT <= seconds <= MAX_AMOUNT


def _limit_problems(limits: RequestLimits) -> Iterator[str]:
    for name in ("header_timeout_s", "idle_timeout_s"):
        if not _is_finite(getattr(limits, name)):
            yield f"limits: {name} must be at most {MAX_AMOUNT:g}"


def _tenant_problems(tenants: Iterable[Tenant]) -> Iterator[str]:
    """Yield the problems of tenants; no sentence contains a key."""
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for tenant in tenants:
        name = _shown(tenant.name)
        if not tenant.name:
            yield "a tenant has no name"
        elif not _HEADER_VALUE.fullmatch(tenant.name):
            yield f"tenant {name!r}: the name has characters that no header carries"
        if tenant.name in names:
            yield f"two tenants are named {name}"
        names.add(tenant.name)
        for amount in (tenant.rate_per_s, tenant.burst):
            if not _is_amount(amount):
                yield f"tenant {name}: the rate and the burst must be finite and at least 0"
        for digest in tenant.key_digests:
            owner = owners.setdefault(digest, tenant.name)
            if owner != tenant.name:
                yield f"tenant {name}: one of its keys also belongs to tenant {_shown(owner)}"


def _route_problems(route: Route, services: set[str]) -> Iterator[str]:
    name = _shown(route.name)
    for share in route.shares:
        if share.service not in services:
            yield f"route {name}: unknown service {_shown(share.service)}"
        if share.weight < 0:
            yield f"route {name}: the weight of service {_shown(share.service)} is negative"
    if sum(share.weight for share in route.shares) <= 0:
        yield f"route {name}: the sum of the weights must be greater than 0"
    for field in ("timeout_s", "target_latency_s", "target_gap_s", "retention_s"):
        if not _is_finite(getattr(route, field)):
            yield f"route {name}: {field} must be at most {MAX_AMOUNT:g}"
    if route.timeout_s <= 0:
        yield f"route {name}: the timeout must be greater than 0"
    if route.max_attempts < 1:
        yield f"route {name}: max_attempts must be at least 1"
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        yield f"route {name}: the prefix must start and end with a slash"
