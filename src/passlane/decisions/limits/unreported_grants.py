"""Counts the grants of a leader that are not yet replicated to a majority of its group.

Grants that no majority has recorded are lost when the leader fails, so ``quota_ledger`` bounds
them. It owns, for each tenant, the grants since the last report and those in a report that is in
flight. The service that sends the reports must pass the result of each one.

Times are local monotonic seconds; amounts are requests.
"""

from collections.abc import Iterable

import msgspec

from passlane.messages.quotas import TenantUsage


class _PendingUsage(msgspec.Struct):
    """Grants of one tenant since the last report.

    ``last_at`` is the latest time for which one was granted; ``moved`` counts requests that were
    sent later than the time of their grant.
    """

    granted: int = 0
    last_at: float = 0.0
    moved: int = 0


class UnreportedGrants:
    """Grants of a leader that no majority of replicas is known to have recorded."""

    def __init__(self) -> None:
        self._pending: dict[str, _PendingUsage] = {}
        self._in_flight: dict[str, int] = {}

    def record(self, tenant: str, count: int, at: float) -> None:
        """Record ``count`` requests that were granted for the time ``at``."""
        pending = self._pending.setdefault(tenant, _PendingUsage())
        pending.granted += count
        pending.last_at = max(pending.last_at, at)

    def record_delayed(self, tenant: str) -> None:
        """Record a request that was sent later than the time of its grant."""
        self._pending.setdefault(tenant, _PendingUsage()).moved += 1

    def outstanding(self, tenant: str) -> int:
        """Return a tenant's unreported requests, including those in a report in flight."""
        pending = self._pending.get(tenant)
        return self._in_flight_of(tenant) + (pending.granted if pending else 0)

    def take(self, now: float) -> tuple[TenantUsage, ...]:
        """Return the usage to report now; it stays unreported until ``record_report``."""
        usages = tuple(
            TenantUsage(
                tenant, pending.granted, max(0.0, pending.last_at - now), moved=pending.moved
            )
            for tenant, pending in self._pending.items()
        )
        for usage in usages:
            self._in_flight[usage.tenant] = self._in_flight_of(usage.tenant) + usage.granted
        self._pending = {}
        return usages

    def record_report(self, usages: Iterable[TenantUsage], *, is_reported: bool) -> None:
        """Record the result of a report; usage that no majority recorded is reported again."""
        for usage in usages:
            remaining = self._in_flight_of(usage.tenant) - usage.granted
            if remaining > 0:
                self._in_flight[usage.tenant] = remaining
            else:
                self._in_flight.pop(usage.tenant, None)
            if not is_reported:
                pending = self._pending.setdefault(usage.tenant, _PendingUsage())
                pending.granted += usage.granted
                pending.moved += usage.moved

    def _in_flight_of(self, tenant: str) -> int:
        """Return a tenant's requests in reports that are in flight."""
        return self._in_flight.get(tenant, 0)
