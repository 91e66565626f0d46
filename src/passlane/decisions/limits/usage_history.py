"""What every replica of the store group knows of grants, so that a new leader goes on from it.

It is for ``quota_ledger``. It owns the grants of the last window that a leader told of, and relies
on the replicated log for every replica to hear the same. Moments are seconds on the group's own
clock unless said to be local; amounts are requests.

The leader tells by replicated commands, some times a second, what it has granted since the
last one. Moments are told on the group's own clock: each leader lets it go on from the newest
moment that it has heard of. The time between two leaders is left out, so that clock never
runs ahead of real time, and what a replica reads from its files, or hears from a leader
before, counts for as long as it must, or longer. A snapshot of the group stands for the commands
before it, so it carries what they told.
"""

from collections import deque
from collections.abc import Iterable

import msgspec

from passlane.messages.quotas import NotedUsage, TenantUsage, UsageSnapshot


class Grant(msgspec.Struct, frozen=True):
    """Requests that were granted to a tenant for the local moment ``at`` or before."""

    tenant: str
    granted: int
    at: float


class UsageHistory:
    """Grants of the last ``span_s`` on the group's clock."""

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._noted: deque[NotedUsage] = deque()
        self._newest_s = 0.0
        self._shift_s = 0.0

    def __len__(self) -> int:
        return len(self._noted)

    def note(self, usages: Iterable[TenantUsage], group_s: float) -> None:
        """Note what a command tells as of ``group_s`` on the group's clock.

        A leader that has heard less than this replica lags; its moments go on from the newest
        one here.
        """
        self._shift_s += max(0.0, self._newest_s - (group_s + self._shift_s))
        self._newest_s = group_s + self._shift_s
        for usage in usages:
            self._note_one(usage)
        while self._noted and self._noted[0].group_s <= self._newest_s - self._span_s:
            self._noted.popleft()

    def _note_one(self, usage: TenantUsage) -> None:
        """Note what is told of one tenant; what is sent only now counts from now on."""
        found = self._take_oldest(usage.tenant, usage.moved)
        counted = TenantUsage(usage.tenant, usage.granted + found, usage.last_in_s)
        if counted.granted:
            self._noted.append(NotedUsage(counted, self._newest_s))

    def _take_oldest(self, tenant: str, wanted: int) -> int:
        """Take out that many of a tenant's oldest grants; return how many were found."""
        left = wanted
        if not left:
            return 0
        kept: deque[NotedUsage] = deque()
        for noted in self._noted:
            taken = min(left, noted.usage.granted) if noted.usage.tenant == tenant else 0
            left -= taken
            if noted.usage.granted > taken:
                rest = msgspec.structs.replace(noted.usage, granted=noted.usage.granted - taken)
                kept.append(NotedUsage(rest, noted.group_s) if taken else noted)
        self._noted = kept
        return wanted - left

    def snapshot(self) -> UsageSnapshot | None:
        """Return what is known as it goes into a snapshot; ``None`` if nothing was heard of."""
        if not self._noted:
            return None
        return UsageSnapshot(tuple(self._noted), self._newest_s, self._shift_s)

    def restore(self, snapshot: UsageSnapshot) -> None:
        """Know what another replica knew at the same place of the log."""
        self._noted = deque(snapshot.noted)
        self._newest_s = snapshot.newest_s
        self._shift_s = snapshot.shift_s

    @property
    def newest_s(self) -> float:
        """The newest moment heard of, on the group's clock."""
        return self._newest_s

    def grants(self, now: float) -> list[Grant]:
        """Return what was noted, with local moments; the newest command counts as of now."""
        return [
            Grant(
                noted.usage.tenant,
                noted.usage.granted,
                now - (self._newest_s - noted.group_s) + noted.usage.last_in_s,
            )
            for noted in self._noted
        ]
