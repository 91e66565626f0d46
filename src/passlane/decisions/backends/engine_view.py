"""A node's view of one engine: load, speed, health and prefix cache.

Load reports are corrected by the calls that this node has started or ended since the report.
"""

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
"""Multiple of the expected duration after which a running call counts as overdue."""
ENDED_CALL_RETENTION_S = 5.0
"""Seconds for which ended calls are retained in order to correct load reports."""


@dataclass(slots=True)
class RunningCall:
    """A call that this node has sent to the engine and that is still running.

    ``expected_s`` is the duration in seconds that was expected when it was sent, including
    ``expected_slowdown``; ``new_tokens`` is the number of tokens that it adds to the cache.
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
    """State of an engine as seen by this node.

    Parameters
    ----------
    engine_id, body
        Name and configuration.
    config
        Constants of the scheduler.
    fleet_speed
        Speed of all engines together, shared by their views.
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
        """Record a call that is being sent to the engine."""
        self.running[call.call_id] = call
        self.breaker.record_start(call.started_at)

    def record_end(self, call_id: CallId, now: float) -> RunningCall | None:
        """Record the end of a call with any result; return the call if it was tracked."""
        call = self.running.pop(call_id, None)
        if call is not None:
            self._ended.append(_EndedCall(call.started_at, now))
            self._drop_expired_ends(now)
        return call

    def record_duration(self, call: RunningCall, now: float) -> None:
        """Update the engine's speed from a successful call."""
        self._speed.learn(now - call.started_at, call.expected_s, call.expected_slowdown, now)

    def apply_load_report(self, load: EngineLoad, now: float) -> bool:
        """Apply a load report; return whether the engine has restarted since the last one."""
        as_of = now - load.age_s
        restarted = self.cache.observe_incarnation(load.incarnation)
        if as_of < self._load_as_of and not restarted:
            return False
        self._load = load
        self._load_as_of = as_of
        self._others = max(0, load.running + load.waiting - self._own_calls_at(as_of))
        return restarted

    def occupancy(self, now: float) -> int:
        """Return the number of calls at the engine, including estimated calls of other nodes."""
        others = self._others
        if now - self._load_as_of > self._config.report_timeout_s:
            others = 0
        return len(self.running) + others

    def has_spare_batch(self, fraction: float, now: float) -> bool:
        """Return whether less than this share of the batch is in use."""
        return self.occupancy(now) < fraction * self.body.max_batch

    def cache_pressure(self) -> float:
        """Return the share of the engine's cache in use; may slightly exceed 1."""
        capacity = max(self.body.cache_tokens, 1)
        return self.cached_tokens() / capacity

    def cached_tokens(self) -> int:
        """Return the tokens in the engine's cache: the maximum of its report and the cache view.

        Tokens of this node's running calls are added where the figure does not include them yet.
        """
        reported = 0 if self._load is None else self._load.cached_tokens
        estimated = self.cache.total_tokens
        for call in self.running.values():
            estimated += call.new_tokens
            if call.started_at > self._load_as_of:
                reported += call.new_tokens
        return max(reported, estimated)

    def free_cache_tokens(self) -> int:
        """Return the number of tokens that fit into the cache without an eviction."""
        return max(self.body.cache_tokens - self.cached_tokens(), 0)

    def has_model(self, model: str) -> bool:
        """Return whether the model is configured for the engine and reported as loaded."""
        if model not in self.body.models:
            return False
        return self._load is None or not self._load.models or model in self._load.models

    def slots(self) -> int:
        """Return the maximum number of concurrent calls at the engine."""
        return self.body.max_batch + self._config.engine.slots_over_batch

    def step_s(self, running: int, now: float) -> float:
        """Return the estimated duration of a decode step, in seconds, with this batch size."""
        engine = self._config.engine
        batch = min(running, self.body.max_batch)
        return (engine.step_s + engine.step_per_running_s * batch) * self.slowdown(now)

    def prefill_s(self, tokens: int, now: float) -> float:
        """Return the estimated prefill time of this many prompt tokens, in seconds."""
        return tokens / self._config.engine.prefill_tokens_per_s * self.slowdown(now)

    def slowdown(self, now: float) -> float:
        """Return the factor on the assumed durations at this engine.

        Includes overdue calls, so that a hung engine is detected before its calls end.
        """
        learned = self._speed.slowdown(now)
        oldest = next(iter(self.running.values()), None)
        if oldest is None:
            return learned
        overdue = (now - oldest.started_at) / (OVERDUE_FACTOR * max(oldest.expected_s, 0.01))
        if overdue <= 1.0:
            return learned
        return min(max(learned, overdue * oldest.expected_slowdown), MAX_SLOWDOWN)

    def _own_calls_at(self, time: float) -> int:
        running = sum(1 for call in self.running.values() if call.started_at <= time)
        ended = sum(1 for call in self._ended if call.started_at <= time < call.ended_at)
        return running + ended

    def _drop_expired_ends(self, now: float) -> None:
        while self._ended and self._ended[0].ended_at < now - ENDED_CALL_RETENTION_S:
            self._ended.popleft()
