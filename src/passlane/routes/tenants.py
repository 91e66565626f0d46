"""Finds the tenant of a request by its API key.

Keys are kept and compared as digests only: the document of the operator is the one place that
holds them, and the time that a look-up takes tells nothing about a key.
"""

from collections.abc import Sequence
from hashlib import blake2b

import msgspec

from passlane.messages.routes import Route, Tenant

KEY_DIGEST_BYTES = 16
"""Two keys share a digest of 128 bits with a chance far below that of guessing one."""
RANKS = 10
"""Ranks of a tenant, of a route and at an engine go from 0 to 9."""
ROUTE_RANKS = 3
"""Ranks of routes that engines tell apart within one rank of tenants."""
SCOPE_MARK = "\n"
"""Separates a tenant's name from an id; no header can hold it."""


def digest_of_key(key: str) -> bytes:
    """Return the digest under which an API key is kept and looked up."""
    return blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).digest()


class Identity(msgspec.Struct, frozen=True):
    """On whose behalf a request comes; ``tenant`` is ``None`` where nobody need be named."""

    tenant: Tenant | None = None

    @property
    def tenant_name(self) -> str:
        """Name of the tenant; empty without one."""
        return self.tenant.name if self.tenant is not None else ""

    def priority_on(self, route: Route) -> int:
        """Return the rank of its requests on a route: the tenant's goes before the route's."""
        own = self.tenant.priority if self.tenant is not None else None
        return route.priority if own is None else own

    def engine_priority_on(self, route: Route) -> int:
        """Return the rank of its requests at engines, from 0 to 9.

        Engines order by one small number, so a tenant's rank leaves room for three of routes.
        """
        own = self.tenant.priority if self.tenant is not None else None
        if own is None:
            return min(route.priority, RANKS - 1)
        return min(own * ROUTE_RANKS + min(route.priority, ROUTE_RANKS - 1), RANKS - 1)

    def urgency_on(self, route: Route) -> int:
        """Return the place of its requests in the order of all; the lowest goes first.

        The tenant's rank goes before the route's, which decides among those of one rank.
        """
        own = self.tenant.priority if self.tenant is not None else None
        return route.priority if own is None else own * RANKS + min(route.priority, RANKS - 1)

    def scoped(self, name: str) -> str:
        """Return an id as it is kept for this tenant, unlike that of any other tenant.

        An id without a tenant stays as it is, as in files written before there were tenants.
        """
        return f"{self.tenant_name}{SCOPE_MARK}{name}" if self.tenant is not None else name


NOBODY = Identity()


class TenantTable:
    """The tenants of one configuration by the digests of their keys."""

    def __init__(self, tenants: Sequence[Tenant]) -> None:
        self._needs_keys = bool(tenants)
        self._identities: dict[bytes, Identity] = {}
        for tenant in tenants:
            identity = Identity(tenant)
            self._identities.update(dict.fromkeys(tenant.key_digests, identity))

    def identify(self, route: Route, key_digests: Sequence[bytes]) -> Identity | None:
        """Return on whose behalf a request comes; ``None`` if it must not be served.

        A request needs exactly one key, and one that is known, except on a public route.

        Parameters
        ----------
        key_digests
            Digests of all keys that the request carries.
        """
        if not self._needs_keys:
            return NOBODY
        known = self._identities.get(key_digests[0]) if len(key_digests) == 1 else None
        if known is None and route.is_public:
            return NOBODY
        return known
