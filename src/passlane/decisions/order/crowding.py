"""Which calls must wait because starting them now would harm programs under way.

Two harms are prevented. When more programs are under way than the caches can hold, each
call pushes out a prefix that is needed soon, and engines spend their time computing the
same prefixes again; so new programs of the heavier tenants wait while the engines' caches
turn over fast. And a tenant far above its share, whose running calls or programs fill a
good part of all batches or caches, may not take the room that others need. Light tenants
never wait here.
See docs/design/ordering.md.
"""

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass

from passlane.decisions.backends.engine_view import EngineView
from passlane.decisions.backends.fleet_view import FleetView
from passlane.decisions.inputs.call_scheduler_config import CrowdingConfig
from passlane.decisions.order.attained_service import AttainedService
from passlane.decisions.order.call_queue import QueuedCall
from passlane.decisions.order.tenant_shares import TenantShares
from passlane.decisions.placement.call_placement import Estimate, Placement
from passlane.identifiers import TenantId


class TenantLoad(enum.IntEnum):
    """How much a tenant uses, compared with the others that are active."""

    LIGHT = 0
    HEAVY = 1
    EXCESSIVE = 2


@dataclass(frozen=True, slots=True)
class _Levels:
    """Use per weight above which a tenant counts as heavy and as excessive.

    ``excessive_count`` is the least use, not divided by weight, that is excessive.
    """

    heavy: float
    excessive: float
    excessive_count: float

    def load_of(self, use: int, weight: float) -> TenantLoad:
        """Return how heavy a tenant with this use and this weight is."""
        use_per_weight = use / weight
        if use_per_weight > self.excessive and use > self.excessive_count:
            return TenantLoad.EXCESSIVE
        return TenantLoad.HEAVY if use_per_weight > self.heavy else TenantLoad.LIGHT


@dataclass(slots=True)
class _Room:
    """What the engines of a model can take by each of the rules.

    The first two are the most tokens that any engine can take.
    """

    heavy_program: float = 0.0
    excessive_program: float = 0.0
    has_spare_batch: bool = False


class CrowdingRules:
    """Decides for one node which waiting calls may start where.

    Parameters
    ----------
    config
        Limits; switched off, every call may start anywhere.
    engines, programs, shares, placement
        What the node knows, kept up to date by the scheduler.
    """

    def __init__(
        self,
        config: CrowdingConfig,
        engines: FleetView,
        programs: AttainedService,
        shares: TenantShares,
        placement: Placement,
    ) -> None:
        self._config = config
        self._engines = engines
        self._programs = programs
        self._shares = shares
        self._placement = placement

    def assess(self, model: str, now: float) -> "Crowding | None":
        """Return what holds for the next start; ``None`` if any call may start anywhere.

        That is so while nothing runs that could be harmed. So whatever the view of the
        caches says, some call can always go on.
        """
        if not self._config.enabled or self._shares.running == 0:
            return None
        running = self._levels(
            self._shares.running_by_tenant(), self._engines.batch_fill(model, now)
        )
        programs = self._levels(self._programs.open_by_tenant, self._engines.cache_pressure(model))
        return Crowding(self, running, programs, self._room(model, now), now)

    def load_of(self, tenant_id: TenantId, running: _Levels, programs: _Levels) -> TenantLoad:
        """Return how heavy a tenant is, by its calls that run or by its programs."""
        load = TenantLoad.LIGHT
        weight = self._shares.weight_of(tenant_id)
        calls = self._shares.running_count(tenant_id)
        if calls >= self._config.min_running:
            load = running.load_of(calls, weight)
        count = self._programs.open_by_tenant.get(tenant_id, 0)
        if count >= self._config.min_programs:
            load = max(load, programs.load_of(count, weight))
        return load

    def new_tokens(self, queued: QueuedCall, estimate: Estimate | None = None) -> float:
        """Return what a call adds to a cache: at the estimate's engine, or at least."""
        if estimate is not None:
            return self._placement.new_tokens(queued.call, estimate)
        prompt_tokens = queued.call.prompt_tokens if queued.is_first else 0
        return prompt_tokens + self._placement.expected_generated(queued.call)

    def has_spare_batch(self, engine: EngineView, now: float) -> bool:
        """Return whether an engine takes calls of tenants with excessive use."""
        return engine.has_spare_batch(self._config.batch_fraction, now)

    def room_for_program(self, engine: EngineView, load: TenantLoad, now: float) -> float:
        """Return the tokens that a new program of a tenant that is not light may add.

        With heavy use that is any number where caches last, with excessive use only what
        leaves a share of the cache free.
        """
        free = engine.free_cache_tokens()
        if load is TenantLoad.EXCESSIVE:
            return free - self._config.free_cache_fraction * engine.body.cache_tokens
        oldest = engine.cache.oldest_used_at
        if oldest is not None and now - oldest >= self._config.min_residence_s:
            return math.inf
        return free

    def _levels(self, uses: Mapping[TenantId, int], fill: float) -> _Levels:
        """Return the levels for calls or programs that fill their places to this share."""
        total = sum(uses.values())
        if total == 0:
            return _Levels(math.inf, math.inf, math.inf)
        per_weight = [use / self._shares.weight_of(tenant) for tenant, use in uses.items()]
        mean = sum(per_weight) / len(per_weight)
        # The heaviest are cut first, and others only when these have come near to them.
        near_heaviest = self._config.near_heaviest * max(per_weight)
        return _Levels(
            heavy=max(mean, near_heaviest),
            excessive=self._config.tolerance * mean,
            excessive_count=self._config.excessive_share / max(fill, 1e-9) * total,
        )

    def _room(self, model: str, now: float) -> _Room:
        room = _Room()
        for engine in self._engines:
            if engine.leaving or not engine.has_model(model):
                continue
            heavy = self.room_for_program(engine, TenantLoad.HEAVY, now)
            room.heavy_program = max(room.heavy_program, heavy)
            if self.has_spare_batch(engine, now):
                excessive = self.room_for_program(engine, TenantLoad.EXCESSIVE, now)
                room.excessive_program = max(room.excessive_program, excessive)
                room.has_spare_batch = True
        return room


class Crowding:
    """What holds for one start of a call; made anew for the next."""

    def __init__(
        self, rules: CrowdingRules, running: _Levels, programs: _Levels, room: _Room, now: float
    ) -> None:
        self._rules = rules
        self._running = running
        self._programs = programs
        self._room = room
        self._now = now
        self._loads: dict[TenantId, TenantLoad] = {}

    def must_wait(self, queued: QueuedCall) -> bool:
        """Return whether no engine can take the call now; cheap, but not the last word."""
        load = self._load_of(queued.call.tenant_id)
        if load is TenantLoad.LIGHT:
            return False
        new_tokens = self._rules.new_tokens(queued)
        if load is TenantLoad.HEAVY:
            return queued.is_first and new_tokens > self._room.heavy_program
        if not queued.is_first:
            return not self._room.has_spare_batch
        return new_tokens > self._room.excessive_program

    def may_start(self, queued: QueuedCall, estimate: Estimate) -> bool:
        """Return whether the call may start at the estimate's engine."""
        load = self._load_of(queued.call.tenant_id)
        if load is TenantLoad.LIGHT:
            return True
        engine = estimate.engine
        if load is TenantLoad.EXCESSIVE and not self._rules.has_spare_batch(engine, self._now):
            return False
        new_tokens = self._rules.new_tokens(queued, estimate)
        if queued.is_first:
            return new_tokens <= self._rules.room_for_program(engine, load, self._now)
        # A program under way goes on where its prefix is, so that it can come to its end.
        is_cached = estimate.cached_tokens > 0
        return load is TenantLoad.HEAVY or is_cached or new_tokens <= engine.free_cache_tokens()

    def _load_of(self, tenant_id: TenantId) -> TenantLoad:
        load = self._loads.get(tenant_id)
        if load is None:
            load = self._rules.load_of(tenant_id, self._running, self._programs)
            self._loads[tenant_id] = load
        return load
