"""The configuration documents of a soak, and the names in them."""

from typing import Any

import msgspec

from passlane.soak.ledger import LimitRule

HOST = "soak.example"
ZONE = "a"
HEALTH_PATH = "/healthz"
ENGINES = "engines"
TOOLS = "tools"
URGENT = "urgent"
LONG = "long"
LOOKUP = "lookup"
CHARGE = "charge"
USUAL_TENANT = "usual"
FLOODING_TENANT = "flooding"
KEYS = {USUAL_TENANT: "key-of-usual", FLOODING_TENANT: "key-of-flooding"}
TOKENS_PER_EVENT = 9
SAFE_RUNS = 2
"""Back ends that one attempt of a repeatable call may be sent to."""

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
    routes = [
        _route(URGENT, "streaming", ENGINES, priority=0, target_latency_ms=300),
        _route(LONG, "streaming", ENGINES, priority=3, retained=True, retention_s=60.0),
        _route(LOOKUP, "safe", TOOLS, max_attempts=SAFE_RUNS),
        _route(CHARGE, "unsafe", TOOLS),
        _route("version", "safe", TOOLS) | {"path_prefix": version_path(version)},
    ]
    engine = {"slots": 2, "chunk_tokens": TOKENS_PER_EVENT, "kv_capacity": 100_000}
    services = [
        {"name": ENGINES, "health_path": HEALTH_PATH, "max_conns": 40, "engine": engine},
        {"name": TOOLS, "health_path": HEALTH_PATH, "max_conns": 40},
    ]
    tenants = [
        {"name": USUAL_TENANT, "api_keys": [KEYS[USUAL_TENANT]]},
        {
            "name": FLOODING_TENANT,
            "api_keys": [KEYS[FLOODING_TENANT]],
            "rate_per_s": LIMIT_PER_S,
            "burst": LIMIT_BURST,
        },
    ]
    document = {"version": version, "routes": routes, "services": services, "tenants": tenants}
    return msgspec.json.encode(document)


def _route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    usual = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 600,
        "target_gap_ms": 600,
        "priority": 2,
        "service": service,
    }
    return usual | changes
