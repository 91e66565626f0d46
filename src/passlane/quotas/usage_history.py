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
    """Requests of a tenant that were granted by a moment on the group's clock."""

    tenant: str
    granted: int
    group_s: float


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
        self._noted.extend(_Noted(usage.tenant, usage.granted, group_s) for usage in usages)
        while self._noted and self._noted[0].group_s <= self._newest_s - self._span_s:
            self._noted.popleft()

    def grants(self, now: float) -> list[tuple[str, int, float]]:
        """Return tenant, grants and local moment of each note; the newest counts as of now."""
        return [
            (noted.tenant, noted.granted, now - (self._newest_s - noted.group_s))
            for noted in self._noted
        ]
