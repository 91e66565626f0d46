"""What every replica of the store group knows of grants, so that a new leader goes on from it.

The leader tells by replicated commands, some times a second, what it has granted since the
last one. Moments are told on the group's own clock: the age of the replicated state and the
time since it advanced. That clock never runs ahead of real time, so what a replica reads
from its files, or hears from a leader before, counts for as long as it must, or longer.
"""

from collections import deque
from collections.abc import Iterable

import msgspec

from passlane.messages.quotas import TenantUsage


class _Noted(msgspec.Struct, frozen=True):
    """Grants that a command told of at ``group_s`` on the group's clock."""

    usage: TenantUsage
    group_s: float


class Grant(msgspec.Struct, frozen=True):
    """Requests that were granted to a tenant for the local moment ``at`` or before."""

    tenant: str
    granted: int
    at: float


class UsageHistory:
    """Grants of the last ``span_s`` on the group's clock."""

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._noted: deque[_Noted] = deque()
        self._newest_s = 0.0

    def __len__(self) -> int:
        return len(self._noted)

    def note(self, usages: Iterable[TenantUsage], group_s: float) -> None:
        """Note what a command tells as of ``group_s`` on the group's clock."""
        self._newest_s = max(self._newest_s, group_s)
        self._noted.extend(_Noted(usage, group_s) for usage in usages)
        while self._noted and self._noted[0].group_s <= self._newest_s - self._span_s:
            self._noted.popleft()

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
