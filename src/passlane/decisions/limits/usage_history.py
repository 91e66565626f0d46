"""Grants of the last window as replicated to every replica, from which a new leader continues.

``quota_ledger`` uses it. It owns the usage reported by the replicated commands of the leader and
carried in the group's snapshots. Times are seconds on the group's clock unless said to be local;
amounts are requests.

Each leader continues the group's clock from the newest time that it has received. The time since
then is not counted, so the clock never runs ahead of real time and no grant expires too early. The
leader reports the time at intervals while grants are recorded, so little is left uncounted.
"""

from collections import deque
from collections.abc import Iterable

import msgspec

from passlane.messages.quotas import RecordedUsage, TenantUsage, UsageSnapshot


class Grant(msgspec.Struct, frozen=True):
    """Requests that were granted to a tenant for the local time ``at`` or earlier."""

    tenant: str
    granted: int
    at: float


class UsageHistory:
    """Grants of the last ``span_s`` on the group's clock."""

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._entries: deque[RecordedUsage] = deque()
        self._newest_s = 0.0
        self._shift_s = 0.0
        self._received_at: float | None = None

    def __len__(self) -> int:
        return len(self._entries)

    def record(
        self, usages: Iterable[TenantUsage], group_s: float, received_at: float | None = None
    ) -> None:
        """Record the usage that a command reports for the time ``group_s``.

        The clock of a leader that lags behind this replica is shifted to the newest time here.
        ``received_at`` is the local time at which the command was applied; ``None`` if unknown.
        """
        self._received_at = received_at
        self._shift_s += max(0.0, self._newest_s - (group_s + self._shift_s))
        self._newest_s = group_s + self._shift_s
        for usage in usages:
            self._record_usage(usage)
        while self._entries and self._entries[0].group_s <= self._newest_s - self._span_s:
            self._entries.popleft()

    def _record_usage(self, usage: TenantUsage) -> None:
        """Record the usage of one tenant; delayed requests count from the time of the report."""
        removed = self._remove_oldest(usage.tenant, usage.moved)
        counted = TenantUsage(usage.tenant, usage.granted + removed, usage.last_in_s)
        if counted.granted:
            self._entries.append(RecordedUsage(counted, self._newest_s))

    def _remove_oldest(self, tenant: str, count: int) -> int:
        """Remove up to ``count`` of a tenant's oldest grants; return how many were removed."""
        remaining = count
        if not remaining:
            return 0
        kept: deque[RecordedUsage] = deque()
        for entry in self._entries:
            taken = min(remaining, entry.usage.granted) if entry.usage.tenant == tenant else 0
            remaining -= taken
            if entry.usage.granted > taken:
                rest = msgspec.structs.replace(entry.usage, granted=entry.usage.granted - taken)
                kept.append(RecordedUsage(rest, entry.group_s) if taken else entry)
        self._entries = kept
        return count - remaining

    def snapshot(self) -> UsageSnapshot | None:
        """Return the state for the group's snapshot; ``None`` if there are no grants."""
        if not self._entries:
            return None
        return UsageSnapshot(tuple(self._entries), self._newest_s, self._shift_s)

    def restore(self, snapshot: UsageSnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self._entries = deque(snapshot.noted)
        self._newest_s = snapshot.newest_s
        self._shift_s = snapshot.shift_s
        self._received_at = None

    @property
    def newest_s(self) -> float:
        """The newest time received, on the group's clock."""
        return self._newest_s

    def unreported_s(self, now: float) -> float:
        """Return the time since the newest report was received; 0 if that is unknown."""
        return now - self._received_at if self._received_at is not None else 0.0

    def grants(self, now: float) -> list[Grant]:
        """Return the recorded grants with local times; the newest report counts as of now."""
        return [
            Grant(
                entry.usage.tenant,
                entry.usage.granted,
                now - (self._newest_s - entry.group_s) + entry.usage.last_in_s,
            )
            for entry in self._entries
        ]
