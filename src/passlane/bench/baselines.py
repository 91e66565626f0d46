"""Baselines as placement rules in the scheduler's own code paths.

All share the scheduler's queues, slots, breakers and release at a program's end; they
serve by arrival, keep idle caches until the engine evicts them, and differ from the
scheduler and from each other in which engine they choose.
"""

import dataclasses
import enum
import random
from collections.abc import Iterable

import xxhash

from passlane.decisions.backends.engine_view import EngineView
from passlane.decisions.inputs.call_events import CallArrived
from passlane.decisions.inputs.call_scheduler_config import (
    CrowdingConfig,
    Ordering,
    QueueConfig,
    RetentionConfig,
    SchedulerConfig,
)
from passlane.decisions.placement.call_placement import Estimate, Placement, is_eligible
from passlane.decisions.scheduling.call_scheduler import Scheduler


class Strategy(enum.StrEnum):
    """The scheduler and what it is compared with."""

    PASSLANE = "passlane"
    ROUND_ROBIN = "round-robin"
    LEAST_LOADED = "least-loaded"
    STICKY = "sticky"


class RoundRobinPlacement(Placement):
    """The next engine in turn that has a free slot."""

    _last = ""

    def estimates(
        self, call: CallArrived, engines: Iterable[EngineView], now: float
    ) -> list[Estimate]:
        """Return the engine in turn, if any has a free slot."""
        found = super().estimates(call, engines, now)
        free = sorted(
            (item for item in found if item.can_start), key=lambda item: item.engine.engine_id
        )
        if not free:
            return found
        following = [item for item in free if item.engine.engine_id > self._last]
        chosen = (following or free)[0]
        self._last = chosen.engine.engine_id
        return [chosen]


class LeastLoadedPlacement(Placement):
    """The engine with the fewest calls, by the same corrected view of load."""

    def estimates(
        self, call: CallArrived, engines: Iterable[EngineView], now: float
    ) -> list[Estimate]:
        """Return the least loaded engine, if any has a free slot."""
        found = super().estimates(call, engines, now)
        free = [item for item in found if item.can_start]
        if not free:
            return found
        return [min(free, key=lambda item: (item.engine.occupancy(now), item.cost_s))]


class StickyPlacement(Placement):
    """One engine for each program, by rendezvous hashing; waits for a slot there."""

    def estimates(
        self, call: CallArrived, engines: Iterable[EngineView], now: float
    ) -> list[Estimate]:
        """Return the program's engine."""
        eligible = [engine for engine in engines if is_eligible(engine, call, now)]
        if not eligible:
            return []
        chosen = max(
            eligible,
            key=lambda engine: xxhash.xxh64_intdigest(
                f"{call.program_id}/{engine.engine_id}".encode()
            ),
        )
        return [self.estimate(call, chosen, now)]


_PLACEMENTS: dict[Strategy, type[Placement]] = {
    Strategy.ROUND_ROBIN: RoundRobinPlacement,
    Strategy.LEAST_LOADED: LeastLoadedPlacement,
    Strategy.STICKY: StickyPlacement,
}


def build_scheduler(
    strategy: Strategy,
    zone: str,
    generator: random.Random,
    config: SchedulerConfig,
    node_key: str = "",
) -> Scheduler:
    """Return a scheduler that follows the strategy."""
    if strategy is Strategy.PASSLANE:
        return Scheduler(zone, generator, config, node_key=node_key)
    plain = dataclasses.replace(
        config,
        queue=QueueConfig(ordering=Ordering.ARRIVAL, max_calls=config.queue.max_calls),
        retention=RetentionConfig(enabled=False),
        crowding=CrowdingConfig(enabled=False),
    )
    placement = _PLACEMENTS[strategy](zone, generator, plain)
    return Scheduler(zone, generator, plain, node_key=node_key, placement=placement)
