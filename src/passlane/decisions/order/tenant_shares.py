"""Running calls and fair shares of the tenants that are active at a node.

Fair queuing gives a tenant its share only while it has calls that wait. A tenant with
few calls at a time is harmed in another way by one that floods, at the engines; this
tells which tenants that are, for the rules of ``crowding``.
"""

from collections import OrderedDict
from dataclasses import dataclass

from passlane.decisions.inputs.call_scheduler_config import CrowdingConfig
from passlane.identifiers import TenantId


@dataclass(slots=True)
class _Use:
    weight: float
    last_active: float
    running: int = 0


class TenantShares:
    """Counts the running calls of each active tenant of one node.

    A tenant is active while it has a running call, and for some seconds after its last
    arrival, start or end.

    Parameters
    ----------
    config
        When a tenant is active.
    """

    def __init__(self, config: CrowdingConfig) -> None:
        self._config = config
        self._uses: OrderedDict[TenantId, _Use] = OrderedDict()
        self._running = 0
        self._weight = 0.0

    @property
    def running(self) -> int:
        """Calls of all tenants that are at engines."""
        return self._running

    @property
    def active_tenants(self) -> int:
        """Tenants that the shares are counted among."""
        return len(self._uses)

    def record_arrival(self, tenant_id: TenantId, weight: float, now: float) -> None:
        """Note a call that came in."""
        self._touch(tenant_id, weight, now)
        self._forget_inactive(now)

    def record_start(self, tenant_id: TenantId, weight: float, now: float) -> None:
        """Note a call that was sent to an engine."""
        self._touch(tenant_id, weight, now).running += 1
        self._running += 1

    def record_end(self, tenant_id: TenantId, now: float) -> None:
        """Note that a call that was sent is over."""
        use = self._uses.get(tenant_id)
        if use is None or use.running == 0:
            return
        use.running -= 1
        self._running -= 1
        self._touch(tenant_id, use.weight, now)

    def fair_share(self, tenant_id: TenantId) -> float:
        """Return the tenant's weight as a share of all active tenants' weights."""
        use = self._uses.get(tenant_id)
        return 1.0 if use is None else use.weight / self._weight

    def weight_of(self, tenant_id: TenantId) -> float:
        """Return a tenant's weight; 1 for one that is not active."""
        use = self._uses.get(tenant_id)
        return 1.0 if use is None else use.weight

    def running_by_tenant(self) -> dict[TenantId, int]:
        """Return the running calls of each active tenant."""
        return {tenant_id: use.running for tenant_id, use in self._uses.items()}

    def running_of(self, tenant_id: TenantId) -> int:
        """Return how many calls of a tenant are at engines."""
        use = self._uses.get(tenant_id)
        return 0 if use is None else use.running

    def _touch(self, tenant_id: TenantId, weight: float, now: float) -> _Use:
        use = self._uses.get(tenant_id)
        if use is None:
            use = self._uses[tenant_id] = _Use(weight, now)
            self._weight += weight
        self._weight += weight - use.weight
        use.weight = weight
        use.last_active = now
        self._uses.move_to_end(tenant_id)
        return use

    def _forget_inactive(self, now: float) -> None:
        while self._uses:
            tenant_id, use = next(iter(self._uses.items()))
            if now - use.last_active <= self._config.active_s:
                return
            if use.running > 0:
                self._touch(tenant_id, use.weight, now)
                continue
            del self._uses[tenant_id]
            self._weight -= use.weight
