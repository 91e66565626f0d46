"""Estimates the cost of a call at each engine, from cached prefix, load and zone."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from passlane.decisions.backends.engine_view import EngineView
from passlane.decisions.inputs.call_events import CallArrived
from passlane.decisions.inputs.call_scheduler_config import SchedulerConfig


@dataclass(frozen=True, slots=True)
class Estimate:
    """Estimated cost of a call at an engine, in seconds.

    Attributes
    ----------
    cost_s
        Cost by which engines are compared: time of the call plus the delay of other calls.
    service_s
        Time from sending the call until its answer is complete.
    cached_tokens
        Prompt tokens that are estimated to be in the engine's cache.
    can_start
        Whether the engine has a free slot now.
    """

    engine: EngineView
    cost_s: float
    service_s: float
    cached_tokens: int
    can_start: bool


def is_eligible(engine: EngineView, call: CallArrived, now: float) -> bool:
    """Return whether the call may be sent to the engine."""
    return (
        not engine.leaving
        and engine.engine_id not in call.excluded
        and engine.has_model(call.model)
        and engine.breaker.allows(now)
    )


class Placement:
    """Estimates the cost of a call at engines.

    Parameters
    ----------
    own_zone
        Zone of this node.
    random
        Seeded source for breaking ties.
    config
        Weights of the costs and assumed engine parameters.
    """

    def __init__(self, own_zone: str, random: Random, config: SchedulerConfig) -> None:
        self._own_zone = own_zone
        self._random = random
        self._config = config
        self._mean_generated = config.engine.mean_generated_tokens

    @property
    def mean_generated_tokens(self) -> float:
        """Learned mean length of answers, in tokens."""
        return self._mean_generated

    def learn_generated(self, tokens: int) -> None:
        """Update the mean length of answers from one answer."""
        self._mean_generated += 0.05 * (tokens - self._mean_generated)

    def expected_generated(self, call: CallArrived) -> float:
        """Return the expected length of the call's answer, in tokens."""
        return max(1.0, min(self._mean_generated, call.max_tokens))

    def estimates(
        self, call: CallArrived, engines: Iterable[EngineView], now: float
    ) -> list[Estimate]:
        """Return the estimates for the eligible engines, lowest cost first."""
        found = [
            self.estimate(call, engine, now) for engine in engines if is_eligible(engine, call, now)
        ]
        found.sort(key=lambda estimate: estimate.cost_s)
        return found

    def estimate(self, call: CallArrived, engine: EngineView, now: float) -> Estimate:
        """Return the estimated cost of the call at an engine."""
        weights = self._config.placement
        occupancy = engine.occupancy(now)
        cached = min(engine.cache.tokens_of(call.program_id), call.prompt_tokens)
        missing = call.prompt_tokens - cached
        prefill_s = engine.prefill_s(missing, now)
        step_s = engine.step_s(occupancy + 1, now)
        decode_s = self.expected_generated(call) * step_s
        wait_s = self._wait_s(engine, occupancy, step_s)
        others = min(occupancy, engine.body.max_batch)
        neighbours_s = prefill_s * others * weights.neighbour_weight
        zone_s = 0.0 if engine.body.zone == self._own_zone else weights.other_zone_s
        eviction_s = self._eviction_s(call, engine, missing, now)
        zone_s += self._random.random() * weights.jitter_s
        if cached > 0:
            zone_s -= weights.stay_bonus_s
        return Estimate(
            engine=engine,
            cost_s=wait_s + prefill_s + decode_s + neighbours_s + zone_s + eviction_s,
            service_s=wait_s + prefill_s + decode_s,
            cached_tokens=cached,
            can_start=occupancy < engine.slots(),
        )

    def new_tokens(self, call: CallArrived, estimate: Estimate) -> float:
        """Return the number of tokens that the call would add to the engine's cache."""
        missing = call.prompt_tokens - estimate.cached_tokens
        return missing + self.expected_generated(call)

    def _wait_s(self, engine: EngineView, occupancy: int, step_s: float) -> float:
        """Return the estimated time until a batch slot is free, from the mean answer length."""
        ahead = occupancy + 1 - engine.body.max_batch
        if ahead <= 0:
            return 0.0
        slot_s = self._mean_generated * step_s / engine.body.max_batch
        return ahead * slot_s

    def _eviction_s(self, call: CallArrived, engine: EngineView, missing: int, now: float) -> float:
        """Return the weighted time to recompute the tokens that this call would evict."""
        added = missing + self.expected_generated(call)
        evicted = max(0.0, added - engine.free_cache_tokens())
        return self._config.placement.eviction_weight * engine.prefill_s(int(evicted), now)
