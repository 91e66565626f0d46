"""Registry of the listed back ends with this node's load and health state for each.

Owns the newest list, the state of each incarnation of a back end, the software versions that were
listed recently, and the outliers of each service as of the last evaluation, in order to detect
changes (log line ``outliers_changed``). The rules for outliers are in
``decisions.backends.health``.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from passlane.decisions.backends.health import BackendHealth, find_outliers, typical_latency_s
from passlane.decisions.backends.incarnations import newest_incarnations
from passlane.messages.listing import BackendRecord, BackendState, IncarnationId

VERSION_MEMORY_S = 30.0
"""Seconds for which a software version counts as recent after its last engine left the list; longer
than callers take to resume a stream."""


SERVES_WHILE_DRAINING_S = 1.0
"""Seconds after the first list that names a back end as draining during which it certainly still
accepts requests; back ends drain for three seconds and more, and lists are up to a second late."""


class _ServiceVersion(NamedTuple):
    """A software version of a service."""

    service: str
    version: str


class BackendLoad(msgspec.Struct):
    """A back end with this node's load and health state for it.

    Attributes
    ----------
    in_flight
        Number of requests of this node in flight there.
    avoid_until
        Local time until which it is used only if there is no other.
    failures
        Number of consecutive failures.
    health
        Health as seen by this node's requests.
    draining_since
        Local time of the first list that named it as draining, if earlier ones named it as ready;
        else ``None``.
    """

    record: BackendRecord
    in_flight: int = 0
    avoid_until: float = 0.0
    failures: int = 0
    health: BackendHealth = msgspec.field(default_factory=BackendHealth)
    draining_since: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether it accepts new requests."""
        return self.record.state is BackendState.READY


class ServiceHealth(msgspec.Struct, frozen=True):
    """Result of evaluating the health of a service's back ends.

    Attributes
    ----------
    loads
        Back ends that accept new requests.
    typical_s
        Typical time to the first part of an answer, in seconds; 0 if unknown.
    outliers, outliers_before
        Incarnations that are outliers, by this evaluation and by the previous one.
    """

    loads: list[BackendLoad]
    typical_s: float
    outliers: frozenset[str]
    outliers_before: frozenset[str]

    @property
    def has_changed(self) -> bool:
        """Whether the outliers differ from those of the previous evaluation."""
        return self.outliers != self.outliers_before


class BackendRegistry:
    """Back ends of the newest list, by incarnation.

    Attributes
    ----------
    updated_at
        Local time at which the list was last confirmed to be current; ``None`` without a list.
    is_as_listed
        Whether no back end was removed since the list was applied.
    """

    def __init__(self) -> None:
        self._loads: dict[IncarnationId, BackendLoad] = {}
        self._outliers: dict[str, frozenset[str]] = {}
        self._version_listed_until: dict[_ServiceVersion, float] = {}
        self.updated_at: float | None = None
        self.is_as_listed = True

    def update(self, records: Iterable[BackendRecord], now: float) -> list[BackendRecord]:
        """Apply a complete list; return the back ends that no longer accept requests."""
        loads: dict[IncarnationId, BackendLoad] = {}
        for record in newest_incarnations(records, self._records()):
            load = self._loads.get(record.incarnation) or BackendLoad(record)
            load.draining_since = _draining_since(load, record, now)
            load.record = record
            loads[record.incarnation] = load
        gone = [load.record for load in self._loads.values() if load.is_ready]
        usable = {incarnation for incarnation, load in loads.items() if load.is_ready}
        self._remember_versions(self._records(), now)
        self._loads = loads
        self.updated_at = now
        self.is_as_listed = True
        return [record for record in gone if record.incarnation not in usable]

    def _records(self) -> list[BackendRecord]:
        return [load.record for load in self._loads.values()]

    def state_of(self, incarnation: IncarnationId) -> BackendState | None:
        """Return the state of a listed back end; ``None`` if it is not listed."""
        load = self._loads.get(incarnation)
        return load.record.state if load is not None else None

    def listed_versions(self, service: str) -> frozenset[str]:
        """Return the software versions of a service's listed engines, of draining ones too."""
        return frozenset(r.software_version for r in self._records() if r.service == service)

    def recent_versions(self, service: str, now: float) -> frozenset[str]:
        """Return the software versions of a service's engines, of draining and recent ones too."""
        remembered = {
            known.version
            for known, until in self._version_listed_until.items()
            if known.service == service and now - until <= VERSION_MEMORY_S
        }
        return self.listed_versions(service) | remembered

    def _remember_versions(self, records: Iterable[BackendRecord], now: float) -> None:
        """Record until when versions were listed, and drop those that are no longer recent."""
        self._version_listed_until = {
            known: until
            for known, until in self._version_listed_until.items()
            if now - until <= VERSION_MEMORY_S
        }
        for record in records:
            known = _ServiceVersion(record.service, record.software_version)
            self._version_listed_until[known] = now

    def confirm(self, now: float) -> None:
        """Record that the current list is up to date."""
        self.updated_at = now

    def of_service(self, service: str) -> list[BackendLoad]:
        """Return the back ends of a service that accept new requests."""
        return [
            load
            for load in self._loads.values()
            if load.record.service == service and load.is_ready
        ]

    def just_draining(self, service: str, now: float) -> list[BackendLoad]:
        """Return the back ends of a service that began to drain so lately that they still serve."""
        return [
            load
            for load in self._loads.values()
            if load.record.service == service
            and load.draining_since is not None
            and now - load.draining_since <= SERVES_WHILE_DRAINING_S
        ]

    def evaluate_health(self, service: str, now: float) -> ServiceHealth:
        """Evaluate the health of a service's back ends and record its outliers."""
        loads = self.of_service(service)
        health = [load.health for load in loads]
        typical_s = typical_latency_s(health, now)
        found = find_outliers(health, typical_s, now)
        outliers = frozenset(loads[index].record.incarnation for index in found)
        before = self._outliers.get(service, frozenset())
        self._outliers[service] = outliers
        return ServiceHealth(loads, typical_s, outliers, before)

    def remove(self, incarnation: IncarnationId) -> None:
        """Remove a back end that is known to be gone, until a list contains it again."""
        load = self._loads.pop(incarnation, None)
        if load is not None and self.updated_at is not None:
            self._remember_versions([load.record], self.updated_at)
        self.is_as_listed = False

    def __len__(self) -> int:
        return len(self._loads)


def _draining_since(load: BackendLoad, record: BackendRecord, now: float) -> float | None:
    """Return since when a back end drains, given its record in a new list."""
    if record.state is BackendState.READY:
        return None
    return now if load.is_ready else load.draining_since
