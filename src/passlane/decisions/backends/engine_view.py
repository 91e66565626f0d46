"""What a node knows of one engine: load corrected by own calls, speed, health, cache."""

import math
from collections import deque
from dataclasses import dataclass

from passlane.configuration.documents import EngineBody
from passlane.decisions.backends.cache_view import CacheView
from passlane.decisions.backends.circuit_breaker import CircuitBreaker
from passlane.decisions.backends.speed import MAX_SLOWDOWN, EngineSpeed, FleetSpeed
from passlane.decisions.inputs.call_scheduler_config import SchedulerConfig
from passlane.identifiers import CallId, EngineId
from passlane.messages.backends import EngineLoad

OVERDUE_FACTOR = 3.0
ENDED_CALLS_KEPT_S = 5.0


@dataclass(slots=True)
class RunningCall:
    """A call that this node has sent to the engine and that has not ended.

    ``expected_s`` is the duration that was expected when it was sent, with
    ``expected_slowdown`` counted in; ``new_tokens`` is what it adds to the cache.
    """

    call_id: CallId
    started_at: float
    expected_s: float
    expected_slowdown: float
    new_tokens: int = 0


@dataclass(frozen=True, slots=True)
class _EndedCall:
    started_at: float
    ended_at: float


class EngineView:
    """An engine as this node sees it.

    Parameters
    ----------
    engine_id, body
        Name and configuration.
    config
        Constants of the scheduler.
    fleet_speed
        Speed of all engines together, shared between their views.
    """

    def __init__(
        self,
        engine_id: EngineId,
        body: EngineBody,
        config: SchedulerConfig,
        fleet_speed: FleetSpeed,
    ) -> None:
        self.engine_id = engine_id
        self.body = body
        self.leaving = False
        self.breaker = CircuitBreaker(config.breaker)
        self.cache = CacheView()
        self.running: dict[CallId, RunningCall] = {}
        self._config = config
        self._ended: deque[_EndedCall] = deque()
        self._load: EngineLoad | None = None
        self._load_as_of = -math.inf
        self._others = 0
        self._speed = EngineSpeed(fleet_speed)

    def record_start(self, call: RunningCall) -> None:
        """Note a call that is being sent to the engine."""
        self.running[call.call_id] = call
        self.breaker.record_start(call.started_at)

    def record_end(self, call_id: CallId, now: float) -> RunningCall | None:
        """Note that a call is over, however it ended; return it if it was known."""
        call = self.running.pop(call_id, None)
        if call is not None:
            self._ended.append(_EndedCall(call.started_at, now))
            self._drop_old_ends(now)
        return call

    def record_duration(self, call: RunningCall, now: float) -> None:
        """Learn the engine's speed from a call that ended well."""
        self._speed.learn(now - call.started_at, call.expected_s, call.expected_slowdown, now)

    def see_load(self, load: EngineLoad, now: float) -> bool:
        """Take in a load report; return whether the engine has restarted since the last."""
        as_of = now - load.age_s
        restarted = self.cache.observe_incarnation(load.incarnation)
        if as_of < self._load_as_of and not restarted:
            return False
        self._load = load
        self._load_as_of = as_of
        self._others = max(0, load.running + load.waiting - self._own_at(as_of))
        return restarted

    def occupancy(self, now: float) -> int:
        """Return how many calls run or wait at the engine, own and estimated others'."""
        others = self._others
        if now - self._load_as_of > self._config.report_timeout_s:
            others = 0
        return len(self.running) + others

    def has_spare_batch(self, fraction: float, now: float) -> bool:
        """Return whether less than this share of the batch is filled."""
        return self.occupancy(now) < fraction * self.body.max_batch

    def cache_pressure(self) -> float:
        """Return the share of the engine's cache in use, from 0 to 1 or a little above."""
        capacity = max(self.body.cache_tokens, 1)
        return self.cached_tokens() / capacity

    def cached_tokens(self) -> int:
        """Return the tokens in the engine's cache, by its report or by the cache view.

        What own running calls add is counted besides, where the figure can't hold it yet.
        """
        reported = 0 if self._load is None else self._load.cached_tokens
        viewed = self.cache.total_tokens
        for call in self.running.values():
            viewed += call.new_tokens
            if call.started_at > self._load_as_of:
                reported += call.new_tokens
        return max(reported, viewed)

    def free_cache_tokens(self) -> int:
        """Return the tokens that the cache can take without evicting anything."""
        return max(self.body.cache_tokens - self.cached_tokens(), 0)

    def has_model(self, model: str) -> bool:
        """Return whether the engine shall serve the model and, by its report, has loaded it."""
        if model not in self.body.models:
            return False
        return self._load is None or not self._load.models or model in self._load.models

    def slots(self) -> int:
        """Return how many calls may be at the engine at once."""
        return self.body.max_batch + self._config.engine.slots_over_batch

    def step_s(self, running: int, now: float) -> float:
        """Return the estimated duration of one decoding step with so many calls running."""
        engine = self._config.engine
        batch = min(running, self.body.max_batch)
        return (engine.step_s + engine.step_per_running_s * batch) * self.slowdown(now)

    def prefill_s(self, tokens: int, now: float) -> float:
        """Return the estimated time to compute so many prompt tokens."""
        return tokens / self._config.engine.prefill_tokens_per_s * self.slowdown(now)

    def slowdown(self, now: float) -> float:
        """Return how many times slower than assumed the engine is.

        Counts calls that are overdue now, so a hung engine shows before its calls end.
        """
        learned = self._speed.slowdown(now)
        oldest = next(iter(self.running.values()), None)
        if oldest is None:
            return learned
        overdue = (now - oldest.started_at) / (OVERDUE_FACTOR * max(oldest.expected_s, 0.01))
        if overdue <= 1.0:
            return learned
        return min(max(learned, overdue * oldest.expected_slowdown), MAX_SLOWDOWN)

    def _own_at(self, time: float) -> int:
        running = sum(1 for call in self.running.values() if call.started_at <= time)
        ended = sum(1 for call in self._ended if call.started_at <= time < call.ended_at)
        return running + ended

    def _drop_old_ends(self, now: float) -> None:
        while self._ended and self._ended[0].ended_at < now - ENDED_CALLS_KEPT_S:
            self._ended.popleft()
