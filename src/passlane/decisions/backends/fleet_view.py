"""A node's views of the engines that it watches."""

from collections.abc import Iterator, Mapping
from types import MappingProxyType

from passlane.configuration.documents import EngineBody
from passlane.decisions.backends.engine_view import EngineView
from passlane.decisions.backends.speed import FleetSpeed
from passlane.decisions.backends.watched_engines import watched_engines
from passlane.decisions.inputs.call_scheduler_config import SchedulerConfig
from passlane.identifiers import EngineId, ProgramId


class FleetView:
    """Views of the engines that the node watches.

    Includes the subset that gets new calls. An engine that is already watched stays so while
    it is leaving or runs calls of this node, so that these can end and cached prefixes can move.

    Parameters
    ----------
    node_key, own_zone
        Determine which subset of a large fleet is watched.
    config
        Constants of the scheduler.
    """

    def __init__(self, node_key: str, own_zone: str, config: SchedulerConfig) -> None:
        self._node_key = node_key
        self._own_zone = own_zone
        self._config = config
        self._bodies: dict[EngineId, EngineBody] = {}
        self._models: frozenset[str] = frozenset()
        self._views: dict[EngineId, EngineView] = {}
        self._leaving: frozenset[EngineId] = frozenset()
        self._speed = FleetSpeed()

    def __iter__(self) -> Iterator[EngineView]:
        """Iterate over the views in insertion order."""
        return iter(self._views.values())

    def get(self, engine_id: EngineId) -> EngineView | None:
        """Return the view of an engine, or ``None`` if it is not watched."""
        return self._views.get(engine_id)

    @property
    def views(self) -> Mapping[EngineId, EngineView]:
        """Views of all watched engines."""
        return MappingProxyType(self._views)

    @property
    def watched(self) -> frozenset[EngineId]:
        """Ids of the watched engines."""
        return frozenset(self._views)

    def serves(self, model: str) -> bool:
        """Return whether any configured engine serves the model."""
        return model in self._models

    def has_free_slot(self, model: str, now: float) -> bool:
        """Return whether any watched engine of the model has a free slot."""
        return any(
            engine.occupancy(now) < engine.slots() and engine.has_model(model)
            for engine in self._views.values()
        )

    def batch_fill(self, model: str, now: float) -> float:
        """Return the share of batch slots of a model's engines in use, 0 if there are none."""
        engines = self._not_leaving(model)
        batch_slots = sum(engine.body.max_batch for engine in engines)
        return sum(engine.occupancy(now) for engine in engines) / max(batch_slots, 1)

    def cache_pressure(self, model: str) -> float:
        """Return the share of the caches of a model's engines in use, 0 if there are none."""
        engines = self._not_leaving(model)
        capacity = sum(engine.body.cache_tokens for engine in engines)
        return sum(engine.cached_tokens() for engine in engines) / max(capacity, 1)

    def _not_leaving(self, model: str) -> list[EngineView]:
        return [
            engine
            for engine in self._views.values()
            if not engine.leaving and engine.has_model(model)
        ]

    def holders_of(self, program_id: ProgramId) -> list[EngineView]:
        """Return the engines that are estimated to have cached tokens of a program."""
        return [view for view in self._views.values() if view.cache.tokens_of(program_id) > 0]

    def change_engines(self, engines: Mapping[EngineId, EngineBody]) -> None:
        """Apply the configured engines; views of engines that are missing are removed."""
        self._bodies = dict(engines)
        self._models = frozenset(model for body in engines.values() for model in body.models)
        self._update_views()

    def change_leaving(self, leaving: frozenset[EngineId]) -> list[EngineView]:
        """Apply the set of leaving engines; return the views of those that are newly leaving."""
        newly_leaving = sorted(leaving - self._leaving)
        self._leaving = leaving
        self._update_views()
        return [self._views[engine_id] for engine_id in newly_leaving if engine_id in self._views]

    def _update_views(self) -> None:
        to_watch = self._engines_to_watch()
        for engine_id in [tracked for tracked in self._views if tracked not in to_watch]:
            del self._views[engine_id]
        for engine_id in sorted(to_watch):
            body = self._bodies[engine_id]
            view = self._views.get(engine_id)
            if view is None or view.body.address != body.address:
                view = EngineView(engine_id, body, self._config, self._speed)
                self._views[engine_id] = view
            view.body = body
            view.leaving = engine_id in self._leaving

    def _engines_to_watch(self) -> frozenset[EngineId]:
        subset = watched_engines(
            self._node_key,
            self._own_zone,
            self._bodies,
            self._config.watched_engines_per_model,
            self._leaving,
        )
        still_needed = {
            engine_id
            for engine_id, view in self._views.items()
            if engine_id in self._bodies and (engine_id in self._leaving or view.running)
        }
        return subset | still_needed
