"""Admission of calls at a node.

Enforces the node's maximum number of requests, and the rate limit and concurrency limit of
each tenant. A request over a limit is refused at once, with a time to retry after.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from passlane.configuration.documents import TenantBody
from passlane.decisions.limits.rate_limit import TenantLimiter, TenantLimits
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import TenantId

NODE_FULL_RETRY_AFTER_S = 1.0
"""Retry time for callers when the node has reached its maximum number of requests."""
MIN_LIMITERS_BEFORE_SWEEP = 64
"""Number of tracked tenants below which idle ones are not searched for."""


class Admission:
    """Admits requests or refuses them at once.

    Limits of a tenant apply to each node separately; nodes do not share their counts.

    Parameters
    ----------
    max_requests
        Number of requests that may be in flight at a time, over all tenants.
    """

    def __init__(self, max_requests: int) -> None:
        self._max_requests = max_requests
        self._in_flight = 0
        self._limiters: dict[TenantId, TenantLimiter] = {}
        self._sweep_threshold = MIN_LIMITERS_BEFORE_SWEEP

    @property
    def tracked_tenants(self) -> int:
        """Number of tenants that have a limiter in memory."""
        return len(self._limiters)

    @property
    def in_flight(self) -> int:
        """Number of requests that were admitted and not answered yet."""
        return self._in_flight

    def set_max_requests(self, max_requests: int) -> None:
        """Change the maximum number of requests; requests in flight continue."""
        self._max_requests = max_requests

    @contextmanager
    def admit(self, tenant_id: TenantId, tenant: TenantBody | None, now: float) -> Iterator[None]:
        """Count one request of a tenant as in flight while the context is open.

        Raises
        ------
        PasslaneError
            ``FORBIDDEN`` if the configuration does not contain the tenant;
            ``QUEUE_FULL`` if the node has reached its maximum number of requests;
            ``LIMIT_EXCEEDED`` if the tenant has reached its rate or concurrency limit.
            The last two give a time to retry after.
        """
        if tenant is None:
            raise PasslaneError(
                ErrorCode.FORBIDDEN, "the tenant is not configured", retry_after_s=5.0
            )
        if self._in_flight >= self._max_requests:
            raise PasslaneError(
                ErrorCode.QUEUE_FULL,
                "the node has reached its maximum number of requests",
                retry_after_s=NODE_FULL_RETRY_AFTER_S,
            )
        limiter = self._limiter(tenant_id, tenant, now)
        admission = limiter.admit(now)
        if not admission.admitted:
            raise PasslaneError(
                ErrorCode.LIMIT_EXCEEDED, admission.reason, retry_after_s=admission.retry_after_s
            )
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
            limiter.release()

    def _limiter(self, tenant_id: TenantId, tenant: TenantBody, now: float) -> TenantLimiter:
        limits = TenantLimits(
            calls_per_second=tenant.calls_per_second,
            max_calls_in_flight=tenant.max_calls_in_flight,
        )
        limiter = self._limiters.get(tenant_id)
        if limiter is None:
            self._drop_idle_limiters(now)
            limiter = self._limiters[tenant_id] = TenantLimiter(limits)
        limiter.change(limits)
        return limiter

    def _drop_idle_limiters(self, now: float) -> None:
        """Drop the limiters of idle tenants each time that the number of limiters has doubled.

        A tenant is idle when its token bucket is full and none of its calls is in flight, so
        a new limiter would behave the same.
        """
        if len(self._limiters) < self._sweep_threshold:
            return
        self._limiters = {
            tenant_id: limiter
            for tenant_id, limiter in self._limiters.items()
            if not limiter.is_idle(now)
        }
        self._sweep_threshold = max(2 * len(self._limiters), MIN_LIMITERS_BEFORE_SWEEP)
