"""Polls the engines that the scheduler watches: load, cache events, cache snapshots."""

import random
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from passlane.backends.failures import BackendError
from passlane.identifiers import EngineId
from passlane.messages.backends import CacheSnapshot
from passlane.node.call_services import CallServices
from passlane.scheduling.events import (
    CacheEventsReported,
    CacheSnapshotReported,
    EngineUnreachable,
    LoadReported,
)


@dataclass
class _Watch:
    scope: anyio.CancelScope
    next_event: int = 0
    incarnation: int = 0


class EnginePoller:
    """One polling task for each watched engine.

    Parameters
    ----------
    interval_s
        Seconds between two polls of an engine, spread at random by a fifth.
    """

    def __init__(
        self, services: CallServices, tasks: TaskGroup, interval_s: float, source: random.Random
    ) -> None:
        self._services = services
        self._tasks = tasks
        self._interval_s = interval_s
        self._random = source
        self._watches: dict[EngineId, _Watch] = {}
        self._fetching: set[EngineId] = set()

    @property
    def watched(self) -> frozenset[EngineId]:
        """Engines that are polled now."""
        return frozenset(self._watches)

    def watch(self, engine_ids: frozenset[EngineId]) -> None:
        """Poll exactly these engines from now on."""
        for engine_id in self.watched - engine_ids:
            self._watches.pop(engine_id).scope.cancel()
        for engine_id in sorted(engine_ids - self.watched):
            watch = _Watch(anyio.CancelScope())
            self._watches[engine_id] = watch
            self._tasks.start_soon(self._poll_forever, engine_id, watch)

    async def _poll_forever(self, engine_id: EngineId, watch: _Watch) -> None:
        with watch.scope:
            while True:
                try:
                    await self._poll(engine_id, watch)
                except BackendError:
                    self._services.models.tell(EngineUnreachable(engine_id))
                await anyio.sleep(self._interval_s * self._random.uniform(0.8, 1.2))

    async def _poll(self, engine_id: EngineId, watch: _Watch) -> None:
        engine = self._services.configuration().engines.get(engine_id)
        if engine is None:
            return
        client = self._services.engines.client(engine.address)
        load = await client.read_load()
        self._services.engines.note_incarnation(engine_id, load.incarnation)
        self._services.models.tell(LoadReported(load))
        if load.incarnation != watch.incarnation:
            watch.incarnation = load.incarnation
            watch.next_event = 0
        events = await client.read_cache_events(watch.next_event)
        if events.incarnation != watch.incarnation:
            return
        if events.events:
            watch.next_event = max(event.number for event in events.events)
            self._services.models.tell(CacheEventsReported(engine_id, events))

    def fetch_snapshot(self, engine_id: EngineId) -> None:
        """Fetch an engine's whole cache view once, for the scheduler."""
        if engine_id not in self._fetching:
            self._fetching.add(engine_id)
            self._tasks.start_soon(self._fetch, engine_id)

    async def _fetch(self, engine_id: EngineId) -> None:
        try:
            snapshot = await self.read_cache(engine_id)
        except BackendError:
            return
        finally:
            self._fetching.discard(engine_id)
        if snapshot is None:
            return
        watch = self._watches.get(engine_id)
        if watch is not None and snapshot.incarnation == watch.incarnation:
            watch.next_event = max(watch.next_event, snapshot.number)
        self._services.models.tell(CacheSnapshotReported(engine_id, snapshot))

    async def read_cache(self, engine_id: EngineId) -> CacheSnapshot | None:
        """Return what an engine's cache holds; ``None`` for an engine that is unknown."""
        engine = self._services.configuration().engines.get(engine_id)
        if engine is None:
            return None
        return await self._services.engines.client(engine.address).read_cache()
