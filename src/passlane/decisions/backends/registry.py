"""Knows which back ends there are, and how much this node has under way at each.

Owns the newest list, what was seen of each start of a back end, and the outliers by the last
judgement of each service, so that a change of them is seen (log line ``outliers_changed``).
``decisions.backends.health`` judges.
"""

from collections.abc import Iterable

import msgspec

from passlane.decisions.backends.health import BackendHealth, find_outliers, typical_latency_s
from passlane.decisions.backends.incarnations import newest_starts
from passlane.messages.listing import BackendRecord, BackendState, IncarnationId


class BackendLoad(msgspec.Struct):
    """A back end and what this node knows of it.

    Attributes
    ----------
    in_flight
        Requests of this node under way there.
    avoid_until
        Local time before which it is only used if there is no other.
    failures
        Failures in a row.
    health
        What this node's requests have shown of it.
    """

    record: BackendRecord
    in_flight: int = 0
    avoid_until: float = 0.0
    failures: int = 0
    health: BackendHealth = msgspec.field(default_factory=BackendHealth)

    @property
    def is_ready(self) -> bool:
        """Whether it takes new requests."""
        return self.record.state is BackendState.READY


class ServiceJudgement(msgspec.Struct, frozen=True):
    """How the back ends of a service do at one moment.

    Attributes
    ----------
    loads
        Those that take new requests.
    typical_s
        Their typical time to the first part of an answer; 0 if unknown.
    outliers, outliers_before
        Incarnations that do worse than most, now and by the judgement before.
    """

    loads: list[BackendLoad]
    typical_s: float
    outliers: frozenset[str]
    outliers_before: frozenset[str]

    @property
    def has_changed(self) -> bool:
        """Whether there are other outliers than before."""
        return self.outliers != self.outliers_before


class BackendRegistry:
    """Back ends by incarnation, as the newest list tells.

    Attributes
    ----------
    updated_at
        Local time at which the list was last known to be right; ``None`` without a list.
    is_as_listed
        Whether none was forgotten since the list was taken over.
    """

    def __init__(self) -> None:
        self._loads: dict[IncarnationId, BackendLoad] = {}
        self._outliers: dict[str, frozenset[str]] = {}
        self.updated_at: float | None = None
        self.is_as_listed = True

    def update(self, records: Iterable[BackendRecord], now: float) -> list[BackendRecord]:
        """Take over a whole list; return the back ends that no longer take requests."""
        loads: dict[IncarnationId, BackendLoad] = {}
        for record in newest_starts(records, self._records()):
            load = self._loads.get(record.incarnation) or BackendLoad(record)
            load.record = record
            loads[record.incarnation] = load
        gone = [load.record for load in self._loads.values() if load.is_ready]
        usable = {incarnation for incarnation, load in loads.items() if load.is_ready}
        self._loads = loads
        self.updated_at = now
        self.is_as_listed = True
        return [record for record in gone if record.incarnation not in usable]

    def _records(self) -> list[BackendRecord]:
        return [load.record for load in self._loads.values()]

    def confirm(self, now: float) -> None:
        """Note that the list held is still right."""
        self.updated_at = now

    def of_service(self, service: str) -> list[BackendLoad]:
        """Return the back ends of a service that take new requests."""
        return [
            load
            for load in self._loads.values()
            if load.record.service == service and load.is_ready
        ]

    def judge(self, service: str, now: float) -> ServiceJudgement:
        """Judge the back ends of a service anew."""
        loads = self.of_service(service)
        health = [load.health for load in loads]
        typical_s = typical_latency_s(health, now)
        found = find_outliers(health, typical_s, now)
        outliers = frozenset(loads[index].record.incarnation for index in found)
        before = self._outliers.get(service, frozenset())
        self._outliers[service] = outliers
        return ServiceJudgement(loads, typical_s, outliers, before)

    def remove(self, incarnation: IncarnationId) -> None:
        """Forget a back end that is known to be gone, until a list names it again."""
        self._loads.pop(incarnation, None)
        self.is_as_listed = False

    def __len__(self) -> int:
        return len(self._loads)
