"""The configuration of a small deployment, as the operator's stand-in sends it, and turns' headers."""

from collections.abc import Sequence
from typing import Any

from rig import HOST

TOKENS_PER_EVENT = 9


def configuration(version: int, tenants: Sequence[dict[str, Any]] = (), **changes: dict[str, Any]) -> dict[str, Any]:
    """Return a whole configuration; ``changes`` are fields of routes, by the route's name."""
    stream = {"kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 250, "service": "tutor", "max_attempts": 1, "retention_s": 60.0, "sticky": True, "target_gap_ms": 200}
    routes: list[dict[str, Any]] = [
        {"name": "chat", "host": HOST, "path_prefix": "/chat/", "priority": 1, "retained": True, "resumable": False, **stream},
        {"name": "fix", "host": HOST, "path_prefix": "/fix/", "priority": 0, "retained": False, "resumable": True, **stream},
        {"name": "view", "host": HOST, "path_prefix": "/view/", "kind": "safe", "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2, "service": "app", "max_attempts": 2},
        {"name": "pay", "host": HOST, "path_prefix": "/pay/", "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 500, "priority": 2, "service": "app", "max_attempts": 1},
    ]
    for route in routes:
        route.update(changes.get(route["name"], {}))
    engine = {"slots": 12, "kv_capacity": 139361, "kv_token_bytes": 131072, "link_mbps": 1100000.0, "backups": True, "chunk_tokens": TOKENS_PER_EVENT, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}
    document: dict[str, Any] = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "tutor", "health_path": "/healthz", "max_conns": 170, "protocol": "h1", "tls": False, "engine": engine},
            {"name": "app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": False},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }
    if tenants:
        document["tenants"] = list(tenants)
    return document


def tenant(name: str, *keys: str) -> dict[str, Any]:
    """Return a tenant without a limit."""
    return {"name": name, "api_keys": list(keys), "priority": 1, "rate_per_s": 0, "burst": 0}


def turn(
    program: str, line: str, most: int, *, budget: int | None = None, previous: str | None = None, key: str | None = None
) -> dict[str, str]:
    """Return the headers of a turn."""
    headers = {
        "X-Passlane-Model": "m", "X-Passlane-Token-Usage": f"100,{most}", "X-Passlane-Prompt-Prefix": "aa:100",
        "X-Passlane-Program-Id": program, "X-Passlane-Session-Id": line, "X-Passlane-Program-Deadline-Ms": "60000",
    }
    if budget is not None:
        headers["X-Passlane-Token-Budget"] = str(budget)
    if previous is not None:
        headers["X-Passlane-Previous-Turn"] = previous
    if key is not None:
        headers["X-Api-Key"] = key
    return headers
