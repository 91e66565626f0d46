"""Announces which software versions serve resumable routes, before a stream begins there.

A process that has begun lately doesn't know which versions served before it, and all nodes may end
at once. So a stream begins only at a version that the store group has recorded for its route; what
it has recorded is then all that a stream whose origin was not reported may have begun at. The store
group forgets what is not renewed, so a node counts on an announcement for a shorter time, and
renews it while the version is listed or a stream of it goes on. Owns what this node has announced.
It relies on ``turns.reported_versions`` to retain it. Log lines: ``versions_announced``,
``versions_not_announced``.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager

import anyio
import msgspec

from passlane.decisions.backends.registry import BackendRegistry, ServiceHealth
from passlane.errors import PasslaneError
from passlane.messages.routes import Route
from passlane.messages.streams import ServedVersion, StreamOrigin
from passlane.observability.logging import get_logger
from passlane.turns.client import TurnStoreClient

ANNOUNCE_TIMEOUT_S = 0.5
"""Seconds that a stream waits until its version is recorded; longer than an election of the store
group."""
ANNOUNCE_INTERVAL_S = 1.0
"""Interval at which new versions are looked for in the list."""
RENEWED_AFTER_S = 5.0
"""Seconds after which an announcement is renewed."""
COUNTED_ON_S = 15.0
"""Seconds for which streams may begin at an announced version; the store group keeps it for 12 s
more at least, in which callers resume a stream whose node is lost."""

_log = get_logger(__name__)


def address_of(route: Route) -> str:
    """Return the host and path prefix of a route, which begin the address of its requests."""
    return route.host.lower() + route.path_prefix


class AnnouncedVersions:
    """Versions of engines that this node has announced for routes."""

    def __init__(self, registry: BackendRegistry, store: TurnStoreClient) -> None:
        self._registry = registry
        self._store = store
        self._announced_at: dict[ServedVersion, float] = {}
        self._under_way: Counter[ServedVersion] = Counter()
        self._report_ended: anyio.Event | None = None

    async def run(self, routes: Callable[[], Sequence[Route]]) -> None:
        """Announce new versions as they are listed, so that no stream waits; until cancelled.

        Versions that were announced before are renewed.
        """
        while True:
            needed = self._needed(routes())
            self._forget_all_but(needed)
            due = self._older_than(RENEWED_AFTER_S, needed)
            if due:
                await self._announce(due)
            await anyio.sleep(ANNOUNCE_INTERVAL_S)

    async def announce(self, route: Route, service: str) -> None:
        """Announce the listed versions of a service for a route; wait until they are recorded.

        They stay unannounced if the store group is unavailable, or after ``ANNOUNCE_TIMEOUT_S``.
        """
        if not self._missing(route, service):
            return
        with anyio.move_on_after(ANNOUNCE_TIMEOUT_S):
            while self._report_ended is not None:
                await self._report_ended.wait()
            missing = self._missing(route, service)
            if missing and not self._store.is_unavailable:
                await self._report(missing)

    def restrict(self, health: ServiceHealth, route: Route) -> ServiceHealth:
        """Return a service's health with only the engines whose version is announced."""
        listed = {(load.record.service, load.record.software_version) for load in health.loads}
        announced = {pair for pair in listed if self._is_announced(_served(route, *pair))}
        if len(announced) == len(listed):
            return health
        loads = [
            load
            for load in health.loads
            if (load.record.service, load.record.software_version) in announced
        ]
        return msgspec.structs.replace(health, loads=loads)

    @contextmanager
    def under_way(self, route: Route, origin: StreamOrigin) -> Iterator[None]:
        """Keep the version of a stream of a route announced while the stream goes on."""
        version = _served(route, origin.service, origin.software_version)
        self._under_way[version] += 1
        try:
            yield
        finally:
            self._under_way[version] -= 1
            if not self._under_way[version]:
                del self._under_way[version]

    def _needed(self, routes: Iterable[Route]) -> set[ServedVersion]:
        """Return the versions at which streams may begin, and those of streams that go on."""
        listed = {
            version
            for route in _resumable(routes)
            for share in route.shares
            for version in self._listed(route, share.service)
        }
        return listed | set(self._under_way)

    def _forget_all_but(self, needed: set[ServedVersion]) -> None:
        for version in self._announced_at.keys() - needed:
            del self._announced_at[version]

    def _is_announced(self, version: ServedVersion) -> bool:
        return not self._older_than(COUNTED_ON_S, {version})

    def _missing(self, route: Route, service: str) -> tuple[ServedVersion, ...]:
        return self._older_than(COUNTED_ON_S, self._listed(route, service))

    def _older_than(
        self, limit_s: float, versions: Iterable[ServedVersion]
    ) -> tuple[ServedVersion, ...]:
        """Return the versions that were not announced within a time, in order."""
        announced_since = anyio.current_time() - limit_s
        older = (v for v in versions if self._announced_at.get(v, -math.inf) < announced_since)
        return tuple(sorted(older, key=_sort_key))

    def _listed(self, route: Route, service: str) -> set[ServedVersion]:
        versions = self._registry.listed_versions(service)
        return {_served(route, service, version) for version in versions}

    async def _announce(self, versions: tuple[ServedVersion, ...]) -> None:
        """Announce versions in the background, unless that is under way or futile."""
        if self._report_ended is None and not self._store.is_unavailable:
            await self._report(versions)

    async def _report(self, versions: tuple[ServedVersion, ...]) -> None:
        began_at = anyio.current_time()
        report_ended = self._report_ended = anyio.Event()
        try:
            await self._store.announce_versions(versions, timeout_s=ANNOUNCE_TIMEOUT_S)
        except PasslaneError as error:
            _log.info(
                "versions_not_announced",
                versions=[str(version) for version in versions],
                code=error.code.value,
            )
            return
        finally:
            self._report_ended = None
            report_ended.set()
        self._record(versions, began_at)

    def _record(self, versions: tuple[ServedVersion, ...], announced_at: float) -> None:
        """Count on versions from the time on at which their announcement was sent."""
        new = [str(version) for version in versions if version not in self._announced_at]
        for version in versions:
            self._announced_at[version] = announced_at
        if new:
            taken_s = round(anyio.current_time() - announced_at, 4)
            _log.info("versions_announced", versions=new, taken_s=taken_s)


def _resumable(routes: Iterable[Route]) -> Iterator[Route]:
    return (route for route in routes if route.is_resumable)


def _served(route: Route, service: str, software_version: str) -> ServedVersion:
    return ServedVersion(
        address=address_of(route), service=service, software_version=software_version
    )


def _sort_key(version: ServedVersion) -> tuple[str, str, str]:
    return version.address, version.service, version.software_version
