"""Polls the engines that the scheduler watches for load, cache events and cache snapshots."""

import random
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from passlane.backends.failures import BackendError
from passlane.decisions.inputs.call_events import (
    CacheEventsReported,
    CacheSnapshotReported,
    EngineUnreachable,
    LoadReported,
)
from passlane.identifiers import EngineId
from passlane.messages.backends import CacheSnapshot, EngineLoad
from passlane.node.call_services import CallServices
from passlane.node.poll_intervals import PollIntervals
from passlane.observability.logging import get_logger

_log = get_logger(__name__)


@dataclass
class _Watch:
    scope: anyio.CancelScope
    last_event_read: int = 0
    incarnation: int = 0
    first_use: anyio.Event = field(default_factory=anyio.Event)


class EnginePoller:
    """Runs one polling task for each watched engine.

    Parameters
    ----------
    poll_intervals
        Computes the interval between two polls of an engine, which is then varied at random
        by up to 20%.
    """

    def __init__(
        self,
        services: CallServices,
        tasks: TaskGroup,
        poll_intervals: PollIntervals,
        source: random.Random,
    ) -> None:
        self._services = services
        self._tasks = tasks
        self._poll_intervals = poll_intervals
        self._random = source
        self._watches: dict[EngineId, _Watch] = {}
        self._fetching: set[EngineId] = set()

    @property
    def watched(self) -> frozenset[EngineId]:
        """Engines that are currently polled."""
        return frozenset(self._watches)

    def watch(self, engine_ids: frozenset[EngineId]) -> None:
        """Set the engines to poll; stop polling all others."""
        for engine_id in self.watched - engine_ids:
            self._watches.pop(engine_id).scope.cancel()
            self._poll_intervals.forget(engine_id)
        for engine_id in sorted(engine_ids - self.watched):
            watch = _Watch(anyio.CancelScope())
            self._watches[engine_id] = watch
            self._tasks.start_soon(self._poll_forever, engine_id, watch)

    def record_use(self, engine_id: EngineId) -> None:
        """Record a call that starts on an engine; an engine that was idle is polled at once."""
        watch = self._watches.get(engine_id)
        if watch is not None and self._poll_intervals.record_use(engine_id, anyio.current_time()):
            watch.first_use.set()

    async def _poll_forever(self, engine_id: EngineId, watch: _Watch) -> None:
        with watch.scope:
            while True:
                try:
                    await self._poll(engine_id, watch)
                except BackendError:
                    self._services.models.handle_event(EngineUnreachable(engine_id))
                await self._wait(engine_id, watch)

    async def _wait(self, engine_id: EngineId, watch: _Watch) -> None:
        """Wait for the engine's poll interval, or until a call starts on the idle engine."""
        watch.first_use = anyio.Event()
        interval_s = self._poll_intervals.interval_s(engine_id, self._watches, anyio.current_time())
        with anyio.move_on_after(interval_s * self._random.uniform(0.8, 1.2)):
            await watch.first_use.wait()

    async def _poll(self, engine_id: EngineId, watch: _Watch) -> None:
        engine = self._services.configuration().engines.get(engine_id)
        if engine is None:
            return
        client = self._services.engines.client(engine.address)
        load = await client.read_load()
        self._services.engines.record_incarnation(engine_id, load.incarnation)
        self._services.models.handle_event(LoadReported(load))
        if load.incarnation != watch.incarnation:
            watch.incarnation = load.incarnation
            watch.last_event_read = 0
        if not _may_have_new_events(load, watch):
            return
        events = await client.read_cache_events(watch.last_event_read)
        if events.incarnation != watch.incarnation:
            return
        if events.events:
            watch.last_event_read = max(event.number for event in events.events)
            self._services.models.handle_event(CacheEventsReported(engine_id, events))

    def fetch_snapshot(self, engine_id: EngineId) -> None:
        """Start fetching a cache snapshot for the scheduler, unless a fetch is running."""
        if engine_id not in self._fetching:
            self._fetching.add(engine_id)
            self._tasks.start_soon(self._fetch, engine_id)

    async def _fetch(self, engine_id: EngineId) -> None:
        try:
            snapshot = await self.read_cache(engine_id)
        except BackendError as error:
            _log.info("engine_cache_not_read", engine_id=engine_id, code=error.code.value)
            return
        finally:
            self._fetching.discard(engine_id)
        if snapshot is None:
            return
        watch = self._watches.get(engine_id)
        if watch is not None and snapshot.incarnation == watch.incarnation:
            watch.last_event_read = max(watch.last_event_read, snapshot.number)
        self._services.models.handle_event(CacheSnapshotReported(engine_id, snapshot))

    async def read_cache(self, engine_id: EngineId) -> CacheSnapshot | None:
        """Return an engine's cache snapshot; ``None`` for an engine that is not configured."""
        engine = self._services.configuration().engines.get(engine_id)
        if engine is None:
            return None
        return await self._services.engines.client(engine.address).read_cache()


def _may_have_new_events(load: EngineLoad, watch: _Watch) -> bool:
    """Return whether the engine may have cache events after the last one read."""
    return load.last_cache_event is None or load.last_cache_event > watch.last_event_read
