"""The call scheduler of one node: decides when and where each model call runs.

A plain state machine: it takes an event and the local monotonic time and returns instructions.
Calls wait in one queue per model and are bound to an engine only when one has a free slot, so
that the decision uses the newest view of the engines.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from passlane.decisions.backends.cache_view import CacheUpdate
from passlane.decisions.backends.engine_view import EngineView, RunningCall
from passlane.decisions.backends.fleet_view import FleetView
from passlane.decisions.inputs import call_events as events
from passlane.decisions.inputs import call_instructions as instructions
from passlane.decisions.inputs.call_scheduler_config import SchedulerConfig
from passlane.decisions.order.attained_service import AttainedService
from passlane.decisions.order.call_queue import CallQueue, QueuedCall
from passlane.decisions.order.crowding import Crowding, CrowdingRules
from passlane.decisions.order.model_queues import ModelQueues
from passlane.decisions.order.tenant_shares import TenantShares
from passlane.decisions.placement.call_placement import Estimate, Placement
from passlane.decisions.scheduling.cache_retention import CacheRetention
from passlane.errors import ErrorCode
from passlane.identifiers import CallId, EngineId, ProgramId

PRIORITY_STEP_PER_CLASS = 10


@dataclass(frozen=True, slots=True)
class _StartedCall:
    """A call of this node that is running at an engine."""

    call: events.CallArrived
    engine_id: EngineId


class Scheduler:
    """Queues, places and limits the model calls of the programs that one node leads.

    Parameters
    ----------
    own_zone
        Zone of the node; engines in the same zone cost less.
    random
        Seeded source for tie-breaking between equal engines.
    config
        Parameters; see ``passlane.decisions.inputs.call_scheduler_config``.
    node_key
        The node's name, which determines the subset of a large fleet that it watches;
        drawn from ``random`` if empty.
    placement
        Replaces the default placement.
    """

    def __init__(
        self,
        own_zone: str,
        random: Random,
        config: SchedulerConfig | None = None,
        *,
        node_key: str = "",
        placement: Placement | None = None,
    ) -> None:
        self._config = config or SchedulerConfig()
        node_key = node_key or f"{random.getrandbits(64):x}"
        self._engines = FleetView(node_key, own_zone, self._config)
        self._running: dict[CallId, _StartedCall] = {}
        self._programs = AttainedService(self._config.max_programs)
        self._placement = placement or Placement(own_zone, random, self._config)
        self._retention = CacheRetention(self._config)
        self._shares = TenantShares(self._config.crowding)
        self._queues = ModelQueues(self._config.queue, self._engines, self._placement, self._shares)
        self._crowding = CrowdingRules(
            self._config.crowding, self._engines, self._programs, self._shares, self._placement
        )
        self._recheck_at = math.inf
        self._output: list[instructions.Instruction] = []
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            events.CallArrived: self._call_arrived,
            events.CallFirstToken: self._call_first_token,
            events.CallEnded: self._call_ended,
            events.CallWithdrawn: self._call_withdrawn,
            events.ProgramPaused: self._program_paused,
            events.ProgramEnded: self._program_ended,
            events.EnginesChanged: self._engines_changed,
            events.EnginesLeaving: self._engines_leaving,
            events.LoadReported: self._load_reported,
            events.CacheEventsReported: self._cache_events_reported,
            events.CacheSnapshotReported: self._cache_snapshot_reported,
            events.EngineUnreachable: self._engine_unreachable,
            events.TimeAdvanced: self._time_advanced,
        }

    @property
    def queued_calls(self) -> int:
        """Number of calls that wait at this node, over all models."""
        return len(self._queues)

    @property
    def running_calls(self) -> int:
        """Number of calls of this node that are running at engines."""
        return len(self._running)

    def in_flight_at(self, engine_id: EngineId) -> int:
        """Return how many calls of this node are running at an engine."""
        engine = self._engines.get(engine_id)
        return 0 if engine is None else len(engine.running)

    def handle(self, event: events.Event, now: float) -> list[instructions.Instruction]:
        """Apply one event at the local monotonic time ``now`` and return the instructions."""
        self._output = []
        self._recheck_at = math.inf
        self._refuse_expired(now)
        self._release_overdue(now)
        self._handlers[type(event)](event, now)
        self._dispatch(now)
        self._request_wake_up(now)
        return self._output

    # Calls.

    def _call_arrived(self, event: events.CallArrived, now: float) -> None:
        if not self._engines.serves(event.model):
            self._refuse(event, ErrorCode.UNKNOWN_MODEL, "no engine serves the model", None)
            return
        if event.deadline <= now:
            self._refuse(event, ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed", None)
            return
        queue = self._queues.of_model(event.model)
        if not queue.has_room_for(event.tenant_id):
            self._refuse(
                event,
                ErrorCode.QUEUE_FULL,
                "too many calls of the tenant, or in all, wait for the model",
                self._queues.retry_after_s(event, now),
            )
            return
        progress = self._programs.of(event.program_id)
        self._retention.resume(progress, now)
        progress.paused_at = None
        progress.prefix_tokens = event.prompt_tokens
        is_first = (
            progress.attained_tokens == 0
            and not event.is_sub_agent
            and not self._engines.holders_of(event.program_id)
        )
        queue.add(event, progress.attained_tokens, now, is_first=is_first)
        self._shares.record_arrival(event.tenant_id, event.weight, now)

    def _call_first_token(self, event: events.CallFirstToken, now: float) -> None:
        """Do nothing: the call's duration is recorded at its end."""

    def _call_ended(self, event: events.CallEnded, now: float) -> None:
        running = self._remove_running(event.call_id, now)
        if running is None:
            return
        call, engine_id = running.call, running.engine_id
        progress = self._programs.of(call.program_id)
        computed = max(event.prompt_tokens - event.cached_tokens, 0) + event.generated_tokens
        progress.attained_tokens += computed
        engine = self._engines.get(engine_id)
        at_engine = None if engine is None else engine.record_end(event.call_id, now)
        if engine is None or at_engine is None:
            return
        if not event.succeeded:
            engine.breaker.record_failure(now)
            return
        engine.breaker.record_success()
        engine.record_duration(at_engine, now)
        self._placement.learn_generated(event.generated_tokens)
        progress.prefix_tokens = event.prompt_tokens + event.generated_tokens
        engine.cache.record(call.program_id, progress.prefix_tokens, now)

    def _call_withdrawn(self, event: events.CallWithdrawn, now: float) -> None:
        if self._queues.remove(event.call_id):
            return
        running = self._remove_running(event.call_id, now)
        if running is None:
            return
        engine = self._engines.get(running.engine_id)
        if engine is not None:
            engine.record_end(event.call_id, now)
            engine.breaker.record_abandoned()

    def _remove_running(self, call_id: CallId, now: float) -> _StartedCall | None:
        """Remove and return a running call; ``None`` if it is not running."""
        running = self._running.pop(call_id, None)
        if running is None:
            return None
        self._shares.record_end(running.call.tenant_id, now)
        progress = self._programs.of(running.call.program_id)
        progress.active_calls = max(progress.active_calls - 1, 0)
        return running

    # Programs.

    def _program_paused(self, event: events.ProgramPaused, now: float) -> None:
        progress = self._programs.of(event.program_id)
        progress.paused_at = now
        progress.expected_s = event.expected_s
        engine = None
        if progress.last_engine is not None:
            engine = self._engines.get(progress.last_engine)
        self._retention.pause(event.program_id, progress, engine)

    def _program_ended(self, event: events.ProgramEnded, now: float) -> None:
        self._programs.forget(event.program_id)
        self._release_everywhere(event.program_id, now)

    def _release_overdue(self, now: float) -> None:
        """Release the caches of programs that are unlikely to return."""
        for program_id in self._retention.take_overdue(self._programs, now):
            self._programs.close(program_id)
            self._release_everywhere(program_id, now)

    def _release_everywhere(self, program_id: ProgramId, now: float) -> None:
        for engine in self._engines.holders_of(program_id):
            engine.cache.record(program_id, 0, now)
            self._output.append(instructions.ReleaseCache(program_id, engine.engine_id))

    # Engines.

    def _engines_changed(self, event: events.EnginesChanged, now: float) -> None:
        self._engines.change_engines(event.engines)
        self._output.append(instructions.WatchEngines(self._engines.watched))
        self._refuse_unserved(now)

    def _engines_leaving(self, event: events.EnginesLeaving, now: float) -> None:
        watched_before = self._engines.watched
        newly_leaving = self._engines.change_leaving(event.engine_ids)
        if self._engines.watched != watched_before:
            self._output.append(instructions.WatchEngines(self._engines.watched))
        for engine in newly_leaving:
            self._move_caches(engine, now)

    def _move_caches(self, leaving: EngineView, now: float) -> None:
        for move in self._retention.moves_from(leaving, self._engines, self._programs, now):
            tokens = leaving.cache.tokens_of(move.program_id)
            self._engines.views[move.destination].cache.record(move.program_id, tokens, now)
            self._output.append(
                instructions.MoveCache(move.program_id, leaving.engine_id, move.destination)
            )

    def _load_reported(self, event: events.LoadReported, now: float) -> None:
        engine = self._engines.get(event.load.engine_id)
        if engine is not None:
            engine.apply_load_report(event.load, now)

    def _cache_events_reported(self, event: events.CacheEventsReported, now: float) -> None:
        engine = self._engines.get(event.engine_id)
        if engine is None:
            return
        engine.cache.apply_events(event.events, now)
        if engine.cache.has_missed_events:
            self._output.append(instructions.RequestCacheSnapshot(event.engine_id))

    def _cache_snapshot_reported(self, event: events.CacheSnapshotReported, now: float) -> None:
        engine = self._engines.get(event.engine_id)
        if engine is None:
            return
        if engine.cache.apply_snapshot(event.snapshot, now) is CacheUpdate.STALE:
            self._output.append(instructions.RequestCacheSnapshot(event.engine_id))

    def _engine_unreachable(self, event: events.EngineUnreachable, now: float) -> None:
        engine = self._engines.get(event.engine_id)
        if engine is not None:
            engine.breaker.record_failure(now)

    def _time_advanced(self, event: events.TimeAdvanced, now: float) -> None:
        """Do nothing more: each event checks deadlines and overdue programs."""

    # Dispatch.

    def _dispatch(self, now: float) -> None:
        for model, queue in self._queues.items():
            while len(queue) > 0 and self._start_one(model, queue, now):
                pass

    def _start_one(self, model: str, queue: CallQueue, now: float) -> bool:
        """Start the first waiting call that may start now; return whether there was one."""
        if not self._engines.has_free_slot(model, now):
            return False
        crowding = self._crowding.assess(model, now)
        tried = 0
        for queued in queue.in_order(now, self._config.queue.lane_lookahead):
            if crowding is not None and crowding.must_wait(queued):
                continue
            tried += 1
            if tried > self._config.queue.lookahead:
                return False
            estimate = self._choose(queued, crowding, now)
            if estimate is not None:
                queue.remove(queued.call.call_id)
                self._start(queued, estimate, queue, now)
                return True
        return False

    def _choose(self, queued: QueuedCall, crowding: Crowding | None, now: float) -> Estimate | None:
        """Return the engine on which to start the call now, or ``None`` if it should wait.

        It waits for a full engine that caches its prefix and costs less than a free one, but
        no longer than the difference of the costs.
        """
        estimates = self._placement.estimates(queued.call, self._engines, now)
        best = next(
            (
                estimate
                for estimate in estimates
                if estimate.can_start and (crowding is None or crowding.may_start(queued, estimate))
            ),
            None,
        )
        if best is None or best is estimates[0]:
            return best
        waited_s = now - queued.arrived_at
        gain_s = best.cost_s - estimates[0].cost_s
        if waited_s >= gain_s:
            return best
        self._recheck_at = min(self._recheck_at, queued.arrived_at + gain_s)
        return None

    def _start(self, queued: QueuedCall, estimate: Estimate, queue: CallQueue, now: float) -> None:
        call = queued.call
        engine = estimate.engine
        progress = self._programs.of(call.program_id)
        progress.last_engine = engine.engine_id
        progress.active_calls += 1
        self._programs.open(progress, call.tenant_id)
        engine.record_start(
            RunningCall(
                call_id=call.call_id,
                started_at=now,
                expected_s=estimate.service_s,
                expected_slowdown=engine.slowdown(now),
                new_tokens=int(self._placement.new_tokens(call, estimate)),
            )
        )
        self._shares.record_start(call.tenant_id, call.weight, now)
        self._running[call.call_id] = _StartedCall(call, engine.engine_id)
        queue.charge(call, self._placement.new_tokens(call, estimate))
        self._output.append(
            instructions.StartCall(
                call_id=call.call_id,
                engine_id=engine.engine_id,
                priority=call.service_class * PRIORITY_STEP_PER_CLASS,
                reason=self._reason(queued, estimate, progress.attained_tokens, now),
            )
        )

    def _reason(
        self, queued: QueuedCall, estimate: Estimate, attained_tokens: int, now: float
    ) -> str:
        call = queued.call
        return (
            f"class {call.service_class}, {attained_tokens} tokens attained, "
            f"waited {now - queued.arrived_at:.3f} s; {estimate.engine.engine_id}: "
            f"{estimate.cached_tokens} of {call.prompt_tokens} prompt tokens cached, "
            f"{estimate.engine.occupancy(now) - 1} other calls, cost {estimate.cost_s:.3f} s"
        )

    # Refusals and wake-ups.

    def _refuse(
        self,
        call: events.CallArrived,
        code: ErrorCode,
        message: str,
        retry_after_s: float | None,
    ) -> None:
        self._output.append(instructions.RefuseCall(call.call_id, code, message, retry_after_s))

    def _refuse_expired(self, now: float) -> None:
        for queued in self._queues.take_expired(now):
            self._refuse(
                queued.call,
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline passed before an engine was free",
                self._queues.retry_after_s(queued.call, now),
            )

    def _refuse_unserved(self, now: float) -> None:
        for queued in self._queues.take_unserved(now):
            self._refuse(queued.call, ErrorCode.UNKNOWN_MODEL, "no engine serves the model", None)

    def _request_wake_up(self, now: float) -> None:
        times = [self._queues.next_deadline(), self._retention.next_overdue()]
        if len(self._queues) > 0:
            times += [engine.breaker.opens_next_at(now) for engine in self._engines]
            times.append(self._recheck_at)
        finite = [time for time in times if time is not None and time < math.inf]
        if finite:
            self._output.append(instructions.WakeAt(min(finite)))
