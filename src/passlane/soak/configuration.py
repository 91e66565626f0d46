"""The configuration documents of a soak, and the names in them."""

from typing import Any

import msgspec

from passlane.messages.routes import (
    RequestLimits,
    Route,
    RouteConfiguration,
    RoutedService,
    RouteKind,
    ServiceShare,
    Tenant,
)
from passlane.platform.configuration_format import encode_configuration
from passlane.soak.ledger import LimitRule

HOST = "soak.example"
ZONE = "a"
HEALTH_PATH = "/healthz"
ENGINES = "engines"
TOOLS = "tools"
URGENT = "urgent"
LONG = "long"
STREAM = "stream"
LOOKUP = "lookup"
CHARGE = "charge"
USUAL_TENANT = "usual"
FLOODING_TENANT = "flooding"
KEYS = {USUAL_TENANT: "key-of-usual", FLOODING_TENANT: "key-of-flooding"}
SOFTWARE_VERSIONS = ("v1", "v2")
TOKENS_PER_EVENT = 9
SAFE_RUNS = 2
"""Back ends that one attempt of a repeatable call may be sent to."""

RETENTION_S = 60.0
"""Time for which turns of long programs are kept."""
LIMIT_PER_S = 5.0
LIMIT_BURST = 5.0
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK_REQUESTS = 10.0
LIMIT = LimitRule(WINDOW_S, (LIMIT_PER_S * WINDOW_S + LIMIT_BURST) * (1 + OVERAGE) + SLACK_REQUESTS)


def version_path(version: int) -> str:
    """Return a path that has a route in this version of the configuration alone."""
    return f"/version-{version}/"


def configuration(version: int) -> bytes:
    """Return the document of a version."""
    routes = (
        _route(URGENT, RouteKind.STREAM, ENGINES, priority=0, target_latency_s=0.3),
        _route(
            LONG, RouteKind.STREAM, ENGINES, priority=3, keeps_turns=True, retention_s=RETENTION_S
        ),
        _route(STREAM, RouteKind.STREAM, ENGINES, max_attempts=2, is_resumable=True),
        _route(LOOKUP, RouteKind.REPEATABLE, TOOLS, max_attempts=SAFE_RUNS),
        _route(CHARGE, RouteKind.AT_MOST_ONCE, TOOLS),
        _route("version", RouteKind.REPEATABLE, TOOLS, path_prefix=version_path(version)),
    )
    engines = RoutedService(
        name=ENGINES, health_path=HEALTH_PATH, max_connections=40, slots=2,
        tokens_per_event=TOKENS_PER_EVENT, memory_tokens=100_000,
    )  # fmt: skip
    tools = RoutedService(name=TOOLS, health_path=HEALTH_PATH, max_connections=40)
    held = RouteConfiguration(
        version=version,
        routes=routes,
        services=(engines, tools),
        limits=RequestLimits(
            max_header_bytes=0, max_body_bytes=0, header_timeout_s=0.0, idle_timeout_s=0.0
        ),
        source=b"",
        tenants=(
            Tenant(name=USUAL_TENANT),
            Tenant(name=FLOODING_TENANT, rate_per_s=LIMIT_PER_S, burst=LIMIT_BURST),
        ),
    )
    return encode_configuration(held, {name: (key,) for name, key in KEYS.items()})


def _route(name: str, kind: RouteKind, service: str, **changes: Any) -> Route:
    usual = Route(
        name=name,
        host=HOST,
        path_prefix=f"/{name}/",
        kind=kind,
        timeout_s=4.0,
        target_latency_s=0.6,
        target_gap_s=0.6,
        priority=2,
        shares=(ServiceShare(service, 1),),
        max_attempts=1,
    )
    return msgspec.structs.replace(usual, **changes)
