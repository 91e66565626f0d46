"""Which requests a node takes: its own bound, each tenant's rate and concurrency."""

from collections.abc import Iterator
from contextlib import contextmanager

from passlane.configuration.documents import TenantBody
from passlane.decisions.limits.rate_limit import TenantLimiter, TenantLimits
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import TenantId

FULL_RETRY_AFTER_S = 1.0
"""Advice to callers when the node has as many requests as it may."""
MIN_LIMITERS_BEFORE_SWEEP = 64
"""So many tenants are remembered before idle ones are looked for."""


class Admission:
    """Admits requests or refuses them at once, with the time to come back.

    Limits of a tenant hold for each node: what a node leads is bounded there, without
    asking the others.
    """

    def __init__(self, max_requests: int) -> None:
        self._max_requests = max_requests
        self._requests = 0
        self._tenants: dict[TenantId, TenantLimiter] = {}
        self._sweep_above = MIN_LIMITERS_BEFORE_SWEEP

    @property
    def remembered_tenants(self) -> int:
        """Tenants whose rate or calls in flight are remembered now."""
        return len(self._tenants)

    @property
    def in_flight(self) -> int:
        """Requests admitted and not yet answered."""
        return self._requests

    def limit_requests(self, max_requests: int) -> None:
        """Change how many requests are admitted at a time; those in flight go on."""
        self._max_requests = max_requests

    @contextmanager
    def admit(self, tenant_id: TenantId, tenant: TenantBody | None, now: float) -> Iterator[None]:
        """Hold a place for one request of a tenant.

        Raises
        ------
        PasslaneError
            ``FORBIDDEN`` for a tenant that the configuration does not know;
            ``QUEUE_FULL`` or ``LIMIT_EXCEEDED`` with a time to come back.
        """
        if tenant is None:
            raise PasslaneError(
                ErrorCode.FORBIDDEN, "the tenant is not configured", retry_after_s=5.0
            )
        if self._requests >= self._max_requests:
            raise PasslaneError(
                ErrorCode.QUEUE_FULL,
                "this node has as many requests as it takes",
                retry_after_s=FULL_RETRY_AFTER_S,
            )
        limiter = self._limiter(tenant_id, tenant, now)
        admission = limiter.admit(now)
        if not admission.admitted:
            raise PasslaneError(
                ErrorCode.LIMIT_EXCEEDED, admission.reason, retry_after_s=admission.retry_after_s
            )
        self._requests += 1
        try:
            yield
        finally:
            self._requests -= 1
            limiter.release()

    def _limiter(self, tenant_id: TenantId, tenant: TenantBody, now: float) -> TenantLimiter:
        limits = TenantLimits(
            calls_per_second=tenant.calls_per_second,
            max_calls_in_flight=tenant.max_calls_in_flight,
        )
        limiter = self._tenants.get(tenant_id)
        if limiter is None:
            self._forget_idle(now)
            limiter = self._tenants[tenant_id] = TenantLimiter(limits)
        limiter.change(limits)
        return limiter

    def _forget_idle(self, now: float) -> None:
        """Drop the limiters of idle tenants, each time that twice as many are remembered.

        A tenant is idle when its rate is saved up in full and no call is in flight, so
        forgetting it gives it nothing.
        """
        if len(self._tenants) < self._sweep_above:
            return
        self._tenants = {
            tenant_id: limiter
            for tenant_id, limiter in self._tenants.items()
            if not limiter.is_idle(now)
        }
        self._sweep_above = max(2 * len(self._tenants), MIN_LIMITERS_BEFORE_SWEEP)
