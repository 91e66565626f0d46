"""Identifies the tenant of a request by its API key.

Keys are stored and compared only as digests: the operator's document is the only place with the
keys themselves, and the duration of a lookup reveals nothing about a key.
"""

from collections.abc import Sequence
from hashlib import blake2b

import msgspec

from passlane.messages.routes import Route, Tenant

KEY_DIGEST_BYTES = 16
"""A collision of two 128-bit digests is far less likely than guessing a key."""
PRIORITY_LEVELS = 10
"""Priorities of tenants, of routes and at engines range from 0 to 9."""
ROUTE_PRIORITY_LEVELS = 3
"""Route priorities that engines distinguish within one tenant priority."""
SCOPE_SEPARATOR = "\n"
"""Separates a tenant's name from an id; HTTP headers cannot contain it."""


def digest_of_key(key: str) -> bytes:
    """Return the digest under which an API key is stored and looked up."""
    return blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).digest()


class Identity(msgspec.Struct, frozen=True):
    """The tenant that a request belongs to; ``None`` for requests without a tenant."""

    tenant: Tenant | None = None

    @property
    def tenant_name(self) -> str:
        """Name of the tenant; empty without one."""
        return self.tenant.name if self.tenant is not None else ""

    def priority_on(self, route: Route) -> int:
        """Return the priority of its requests on a route: the tenant's, or else the route's."""
        tenant_priority = self.tenant.priority if self.tenant is not None else None
        return route.priority if tenant_priority is None else tenant_priority

    def engine_priority_on(self, route: Route) -> int:
        """Return the priority of its requests at engines, from 0 to 9; 0 is the most urgent.

        Engines order by one small number, so that only three route priorities are distinguished
        within each tenant priority.
        """
        tenant_priority = self.tenant.priority if self.tenant is not None else None
        if tenant_priority is None:
            return min(route.priority, PRIORITY_LEVELS - 1)
        return min(
            tenant_priority * ROUTE_PRIORITY_LEVELS
            + min(route.priority, ROUTE_PRIORITY_LEVELS - 1),
            PRIORITY_LEVELS - 1,
        )

    def queue_rank_on(self, route: Route) -> int:
        """Return the rank of its requests among those of all tenants; 0 is the most urgent.

        Requests are ordered by the tenant's priority, then by the route's.
        """
        tenant_priority = self.tenant.priority if self.tenant is not None else None
        return (
            route.priority
            if tenant_priority is None
            else tenant_priority * PRIORITY_LEVELS + min(route.priority, PRIORITY_LEVELS - 1)
        )

    def scoped(self, name: str) -> str:
        """Return an id that is unique to this tenant.

        Without a tenant the id is returned unchanged, which matches data stored without tenants.
        """
        return f"{self.tenant_name}{SCOPE_SEPARATOR}{name}" if self.tenant is not None else name


ANONYMOUS = Identity()


class TenantTable:
    """The tenants of one configuration, by the digests of their API keys."""

    def __init__(self, tenants: Sequence[Tenant]) -> None:
        self._needs_keys = bool(tenants)
        self._identities: dict[bytes, Identity] = {}
        for tenant in tenants:
            identity = Identity(tenant)
            self._identities.update(dict.fromkeys(tenant.key_digests, identity))

    def identify(self, route: Route, key_digests: Sequence[bytes]) -> Identity | None:
        """Return the identity of a request; ``None`` if it must be refused.

        1. Without any tenants in the configuration, every request is anonymous.
        2. A request with exactly one key, and a valid one, belongs to the tenant of that key.
        3. On a public route, any other request is anonymous; elsewhere it is refused.

        Parameters
        ----------
        key_digests
            Digests of all keys in the request.
        """
        if not self._needs_keys:
            return ANONYMOUS
        identity = self._identities.get(key_digests[0]) if len(key_digests) == 1 else None
        if identity is None and route.is_public:
            return ANONYMOUS
        return identity
