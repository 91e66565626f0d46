"""Decides which calls must wait because starting them would slow programs under way.

1. Calls of light tenants never wait here.
2. New programs of heavy tenants wait while the engines evict recently used prefixes. Otherwise
   the caches thrash: engines recompute prefixes that were evicted shortly before.
3. Calls of tenants with excessive use, whose running calls or programs use a large share of all
   batches or caches, may only use spare batch and cache capacity.
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
    """Use of a tenant, compared with the other active tenants."""

    LIGHT = 0
    HEAVY = 1
    EXCESSIVE = 2


@dataclass(frozen=True, slots=True)
class _Thresholds:
    """Use per weight above which a tenant counts as heavy or as excessive.

    ``excessive_count`` is the use, not divided by weight, that must also be exceeded for
    excessive use.
    """

    heavy: float
    excessive: float
    excessive_count: float

    def load_of(self, use: int, weight: float) -> TenantLoad:
        """Return the load of a tenant with this use and weight."""
        use_per_weight = use / weight
        if use_per_weight > self.excessive and use > self.excessive_count:
            return TenantLoad.EXCESSIVE
        return TenantLoad.HEAVY if use_per_weight > self.heavy else TenantLoad.LIGHT


@dataclass(slots=True)
class _Capacity:
    """Capacity of the engines of a model for tenants that are not light.

    Attributes
    ----------
    heavy_program
        Maximum tokens that a new program of a heavy tenant may add to any engine's cache.
    excessive_program
        The same for a tenant with excessive use.
    has_spare_batch
        Whether any engine has spare batch capacity.
    """

    heavy_program: float = 0.0
    excessive_program: float = 0.0
    has_spare_batch: bool = False


class CrowdingRules:
    """Decides for one node which waiting calls may start at which engine.

    Parameters
    ----------
    config
        Limits; if disabled, every call may start anywhere.
    engines, programs, shares, placement
        State of the node, updated by the scheduler.
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
        """Return the limits for the next start; ``None`` if any call may start anywhere.

        There are no limits while no call is running, so that the scheduler can't deadlock on a
        wrong view of the caches.
        """
        if not self._config.enabled or self._shares.running == 0:
            return None
        running = self._thresholds(
            self._shares.running_by_tenant(), self._engines.batch_fill(model, now)
        )
        programs = self._thresholds(
            self._programs.open_by_tenant, self._engines.cache_pressure(model)
        )
        return Crowding(self, running, programs, self._capacity(model, now), now)

    def load_of(
        self, tenant_id: TenantId, running: _Thresholds, programs: _Thresholds
    ) -> TenantLoad:
        """Return the load of a tenant: the higher one by its running calls or by its programs."""
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
        """Return the tokens that a call adds to a cache.

        Without an estimate, the result is a lower bound for all engines.
        """
        if estimate is not None:
            return self._placement.new_tokens(queued.call, estimate)
        prompt_tokens = queued.call.prompt_tokens if queued.is_first else 0
        return prompt_tokens + self._placement.expected_generated(queued.call)

    def has_spare_batch(self, engine: EngineView, now: float) -> bool:
        """Return whether an engine has spare batch capacity for tenants with excessive use."""
        return engine.has_spare_batch(self._config.batch_fraction, now)

    def capacity_for_program(self, engine: EngineView, load: TenantLoad, now: float) -> float:
        """Return the tokens that a new program of a tenant that is not light may add.

        1. Excessive use: the free tokens minus a reserved share of the cache.
        2. Heavy use, and the least recently used prefix is older than ``min_residence_s``: no
           limit.
        3. Otherwise: the free tokens.
        """
        free = engine.free_cache_tokens()
        if load is TenantLoad.EXCESSIVE:
            return free - self._config.free_cache_fraction * engine.body.cache_tokens
        oldest = engine.cache.oldest_used_at
        if oldest is not None and now - oldest >= self._config.min_residence_s:
            return math.inf
        return free

    def _thresholds(self, uses: Mapping[TenantId, int], fill: float) -> _Thresholds:
        """Return the thresholds for calls or programs that use this share of the capacity."""
        total = sum(uses.values())
        if total == 0:
            return _Thresholds(math.inf, math.inf, math.inf)
        per_weight = [use / self._shares.weight_of(tenant) for tenant, use in uses.items()]
        mean = sum(per_weight) / len(per_weight)
        # Limits the heaviest tenants first, and others only once their use is close to that.
        near_heaviest = self._config.near_heaviest * max(per_weight)
        return _Thresholds(
            heavy=max(mean, near_heaviest),
            excessive=self._config.tolerance * mean,
            excessive_count=self._config.excessive_share / max(fill, 1e-9) * total,
        )

    def _capacity(self, model: str, now: float) -> _Capacity:
        capacity = _Capacity()
        for engine in self._engines:
            if engine.leaving or not engine.has_model(model):
                continue
            heavy = self.capacity_for_program(engine, TenantLoad.HEAVY, now)
            capacity.heavy_program = max(capacity.heavy_program, heavy)
            if self.has_spare_batch(engine, now):
                excessive = self.capacity_for_program(engine, TenantLoad.EXCESSIVE, now)
                capacity.excessive_program = max(capacity.excessive_program, excessive)
                capacity.has_spare_batch = True
        return capacity


class Crowding:
    """Limits for one start of a call; assessed again for the next start."""

    def __init__(
        self,
        rules: CrowdingRules,
        running: _Thresholds,
        programs: _Thresholds,
        capacity: _Capacity,
        now: float,
    ) -> None:
        self._rules = rules
        self._running = running
        self._programs = programs
        self._capacity = capacity
        self._now = now
        self._loads: dict[TenantId, TenantLoad] = {}

    def must_wait(self, queued: QueuedCall) -> bool:
        """Return whether no engine can start the call now.

        A cheap check: a call that passes it must still pass ``may_start``.
        """
        load = self._load_of(queued.call.tenant_id)
        if load is TenantLoad.LIGHT:
            return False
        new_tokens = self._rules.new_tokens(queued)
        if load is TenantLoad.HEAVY:
            return queued.is_first and new_tokens > self._capacity.heavy_program
        if not queued.is_first:
            return not self._capacity.has_spare_batch
        return new_tokens > self._capacity.excessive_program

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
            return new_tokens <= self._rules.capacity_for_program(engine, load, self._now)
        # A program under way may continue where its prefix is cached, so that it can finish.
        is_cached = estimate.cached_tokens > 0
        return load is TenantLoad.HEAVY or is_cached or new_tokens <= engine.free_cache_tokens()

    def _load_of(self, tenant_id: TenantId) -> TenantLoad:
        load = self._loads.get(tenant_id)
        if load is None:
            load = self._rules.load_of(tenant_id, self._running, self._programs)
            self._loads[tenant_id] = load
        return load
