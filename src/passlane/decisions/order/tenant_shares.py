"""Running calls and fair shares of the tenants that are active at a node.

Fair queuing protects only tenants that have waiting calls. A flooding tenant also slows others at
the engines; ``crowding`` uses the counts of this module to limit it.
"""

from collections import OrderedDict
from dataclasses import dataclass

from passlane.decisions.inputs.call_scheduler_config import CrowdingConfig
from passlane.identifiers import TenantId


@dataclass(slots=True)
class _TenantUsage:
    weight: float
    last_active: float
    running: int = 0


class TenantShares:
    """Counts the running calls of each active tenant of one node.

    A tenant is active while it has a running call, and for ``active_s`` after its last arrival,
    start or end of a call.

    Parameters
    ----------
    config
        Contains ``active_s``.
    """

    def __init__(self, config: CrowdingConfig) -> None:
        self._config = config
        self._usages: OrderedDict[TenantId, _TenantUsage] = OrderedDict()
        self._running = 0
        self._weight = 0.0

    @property
    def running(self) -> int:
        """Number of running calls of all tenants."""
        return self._running

    @property
    def active_tenants(self) -> int:
        """Number of active tenants."""
        return len(self._usages)

    def record_arrival(self, tenant_id: TenantId, weight: float, now: float) -> None:
        """Record the arrival of a call."""
        self._touch(tenant_id, weight, now)
        self._remove_inactive(now)

    def record_start(self, tenant_id: TenantId, weight: float, now: float) -> None:
        """Record that a call was sent to an engine."""
        self._touch(tenant_id, weight, now).running += 1
        self._running += 1

    def record_end(self, tenant_id: TenantId, now: float) -> None:
        """Record the end of a running call."""
        usage = self._usages.get(tenant_id)
        if usage is None or usage.running == 0:
            return
        usage.running -= 1
        self._running -= 1
        self._touch(tenant_id, usage.weight, now)

    def fair_share(self, tenant_id: TenantId) -> float:
        """Return the tenant's share of all active tenants' weights; 1 if it is not active."""
        usage = self._usages.get(tenant_id)
        return 1.0 if usage is None else usage.weight / self._weight

    def weight_of(self, tenant_id: TenantId) -> float:
        """Return a tenant's weight; 1 if it is not active."""
        usage = self._usages.get(tenant_id)
        return 1.0 if usage is None else usage.weight

    def running_by_tenant(self) -> dict[TenantId, int]:
        """Return the number of running calls of each active tenant."""
        return {tenant_id: usage.running for tenant_id, usage in self._usages.items()}

    def running_count(self, tenant_id: TenantId) -> int:
        """Return the number of running calls of a tenant."""
        usage = self._usages.get(tenant_id)
        return 0 if usage is None else usage.running

    def _touch(self, tenant_id: TenantId, weight: float, now: float) -> _TenantUsage:
        usage = self._usages.get(tenant_id)
        if usage is None:
            usage = self._usages[tenant_id] = _TenantUsage(weight, now)
            self._weight += weight
        self._weight += weight - usage.weight
        usage.weight = weight
        usage.last_active = now
        self._usages.move_to_end(tenant_id)
        return usage

    def _remove_inactive(self, now: float) -> None:
        while self._usages:
            tenant_id, usage = next(iter(self._usages.items()))
            if now - usage.last_active <= self._config.active_s:
                return
            if usage.running > 0:
                self._touch(tenant_id, usage.weight, now)
                continue
            del self._usages[tenant_id]
            self._weight -= usage.weight
