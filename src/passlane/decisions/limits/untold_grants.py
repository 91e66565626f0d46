"""Answers how much of what a leader granted the replicas of its group have not been told.

It is for ``quota_ledger``: a leader that is lost takes along what no majority was told of, so a
grant waits while too much is untold. It owns, for each tenant, what was granted since the last
telling and what is being told. It relies on the service that tells to say how each telling went.

Times are local monotonic seconds; amounts are requests.
"""

from collections.abc import Iterable

import msgspec

from passlane.messages.quotas import TenantUsage


class _Untold(msgspec.Struct):
    """What replicas have not been told yet, and the last moment that it was granted for.

    ``moved`` are requests that were sent later than at the moment of their grant.
    """

    granted: int = 0
    last_at: float = 0.0
    moved: int = 0


class UntoldGrants:
    """Grants of a leader that no majority of replicas is known to hold."""

    def __init__(self) -> None:
        self._untold: dict[str, _Untold] = {}
        self._being_told: dict[str, int] = {}

    def note(self, tenant: str, count: int, at: float) -> None:
        """Note that so many requests were granted for the moment ``at``."""
        untold = self._untold.setdefault(tenant, _Untold())
        untold.granted += count
        untold.last_at = max(untold.last_at, at)

    def note_moved(self, tenant: str) -> None:
        """Note that a request is sent now, later than at the moment that it was granted for."""
        self._untold.setdefault(tenant, _Untold()).moved += 1

    def granted(self, tenant: str) -> int:
        """Return the requests of a tenant that are untold, those being told included."""
        untold = self._untold.get(tenant)
        return self._told_of(tenant) + (untold.granted if untold else 0)

    def take(self, now: float) -> tuple[TenantUsage, ...]:
        """Return what is to be told now; it counts as untold until ``note_told``."""
        usages = tuple(
            TenantUsage(tenant, untold.granted, max(0.0, untold.last_at - now), moved=untold.moved)
            for tenant, untold in self._untold.items()
        )
        for usage in usages:
            self._being_told[usage.tenant] = self._told_of(usage.tenant) + usage.granted
        self._untold = {}
        return usages

    def note_told(self, usages: Iterable[TenantUsage], *, is_told: bool) -> None:
        """Note whether a majority of replicas holds what was taken; else it is untold again."""
        for usage in usages:
            left = self._told_of(usage.tenant) - usage.granted
            if left > 0:
                self._being_told[usage.tenant] = left
            else:
                self._being_told.pop(usage.tenant, None)
            if not is_told:
                untold = self._untold.setdefault(usage.tenant, _Untold())
                untold.granted += usage.granted
                untold.moved += usage.moved

    def _told_of(self, tenant: str) -> int:
        """Return the requests of a tenant that a telling under way tells of."""
        return self._being_told.get(tenant, 0)
