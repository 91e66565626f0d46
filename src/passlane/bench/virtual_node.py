"""A node on the event heap: a real scheduler with the shell's work done in virtual time."""

import functools
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from passlane.bench.event_heap import EventHeap
from passlane.bench.virtual_engine import VirtualEngine
from passlane.decisions.inputs import call_events as events
from passlane.decisions.inputs import call_instructions as instructions
from passlane.decisions.scheduling.call_scheduler import Scheduler
from passlane.emulator.engine_outputs import FinishedRequest, FinishReason, Submission
from passlane.errors import ErrorCode
from passlane.identifiers import CallId, EngineId, ProgramId

POLL_S = 0.25
RETRY_WITHOUT_HINT_S = 0.5


@dataclass(frozen=True, slots=True)
class CallResult:
    """What the caller hears: usage of a call that ran, or when to come back.

    ``engine_id`` tells the experiment where the call ran.
    """

    succeeded: bool
    engine_id: EngineId | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class _Call:
    arrived: events.CallArrived
    answer_tokens: int
    on_result: Callable[[CallResult], None]


class VirtualNode:
    """Carries out one scheduler's instructions against the engines.

    Parameters
    ----------
    delay_to
        One-way delay in seconds to an engine.
    max_polls_per_s
        All watched engines together are polled at most this often; each at most every
        ``POLL_S``.
    """

    def __init__(
        self,
        heap: EventHeap,
        scheduler: Scheduler,
        engines: Mapping[EngineId, VirtualEngine],
        delay_to: Callable[[EngineId], float],
        max_polls_per_s: float = math.inf,
    ) -> None:
        self.scheduler = scheduler
        self._heap = heap
        self._engines = engines
        self._delay_to = delay_to
        self._max_polls_per_s = max_polls_per_s
        self._calls: dict[CallId, _Call] = {}
        self._attempts = 0
        self._watched: frozenset[EngineId] = frozenset()
        self._polling: set[EngineId] = set()
        self._event_numbers: dict[EngineId, int] = {}
        self._snapshot_asked: set[EngineId] = set()
        self._wake_at: float | None = None

    def call(
        self,
        arrived: events.CallArrived,
        answer_tokens: int,
        on_result: Callable[[CallResult], None],
    ) -> None:
        """Take a call; ``on_result`` hears of its end or refusal."""
        self._calls[arrived.call_id] = _Call(arrived, answer_tokens, on_result)
        self.tell(arrived)

    def tell(self, event: events.Event) -> None:
        """Give the scheduler an event and carry out its instructions."""
        for instruction in self.scheduler.handle(event, self._heap.now):
            self._carry_out(instruction)

    def _carry_out(self, instruction: instructions.Instruction) -> None:
        match instruction:
            case instructions.StartCall():
                self._start(instruction)
            case instructions.RefuseCall():
                self._refuse(instruction)
            case instructions.ReleaseCache(program_id, engine_id):
                self._later(engine_id, lambda: self._engines[engine_id].release(program_id))
            case instructions.MoveCache():
                self._move(instruction)
            case instructions.WatchEngines(engine_ids):
                self._watch(engine_ids)
            case instructions.RequestCacheSnapshot(engine_id):
                self._fetch_snapshot(engine_id)
            case instructions.WakeAt(time):
                self._wake(time)

    # Calls.

    def _start(self, start: instructions.StartCall) -> None:
        call = self._calls[start.call_id]
        self._attempts += 1
        submission = Submission(
            attempt_id=f"{start.call_id}/{self._attempts}",
            program_id=call.arrived.program_id,
            model=call.arrived.model,
            prompt_tokens=call.arrived.prompt_tokens,
            answer_tokens=call.answer_tokens,
            priority=start.priority,
        )

        def arrive() -> None:
            refusal = self._engines[start.engine_id].submit(
                submission,
                lambda finished: self._later(
                    start.engine_id, lambda: self._finished(start, finished)
                ),
            )
            if refusal is not None:
                self._later(start.engine_id, lambda: self._failed(start.call_id))

        self._later(start.engine_id, arrive)

    def _finished(self, start: instructions.StartCall, finished: FinishedRequest) -> None:
        call_id = start.call_id
        if finished.reason is not FinishReason.STOP:
            self._failed(call_id)
            return
        call = self._calls.pop(call_id)
        self.tell(
            events.CallEnded(
                call_id=call_id,
                succeeded=True,
                prompt_tokens=finished.prompt_tokens,
                cached_tokens=finished.cached_tokens,
                generated_tokens=finished.generated_tokens,
            )
        )
        call.on_result(
            CallResult(
                succeeded=True,
                engine_id=start.engine_id,
                prompt_tokens=finished.prompt_tokens,
                cached_tokens=finished.cached_tokens,
                generated_tokens=finished.generated_tokens,
            )
        )

    def _failed(self, call_id: CallId) -> None:
        call = self._calls.pop(call_id)
        self.tell(events.CallEnded(call_id, succeeded=False))
        call.on_result(CallResult(succeeded=False, retry_after_s=RETRY_WITHOUT_HINT_S))

    def _refuse(self, refusal: instructions.RefuseCall) -> None:
        call = self._calls.pop(refusal.call_id)
        retry_after_s = refusal.retry_after_s
        if retry_after_s is None and refusal.code is not ErrorCode.UNKNOWN_MODEL:
            retry_after_s = RETRY_WITHOUT_HINT_S
        call.on_result(CallResult(succeeded=False, retry_after_s=retry_after_s))

    # Engines.

    def _move(self, move: instructions.MoveCache) -> None:
        source, destination = self._engines[move.source], self._engines[move.destination]
        program_id: ProgramId = move.program_id

        def arrive() -> None:
            tokens = source.model.cache.tokens_of(program_id)
            if tokens > 0:
                destination.import_cache(program_id, tokens)

        self._later(move.destination, arrive)

    def _watch(self, engine_ids: frozenset[EngineId]) -> None:
        self._watched = engine_ids
        for position, engine_id in enumerate(sorted(engine_ids - self._polling)):
            self._polling.add(engine_id)
            delay_s = self._poll_interval_s() * position / max(len(engine_ids), 1)
            self._heap.after(delay_s, functools.partial(self._poll, engine_id))

    def _poll(self, engine_id: EngineId) -> None:
        if engine_id not in self._watched:
            self._polling.discard(engine_id)
            return
        engine = self._engines[engine_id]
        load = engine.load_report()
        cache_events = engine.cache_events(self._event_numbers.get(engine_id, 0))
        if cache_events.events:
            self._event_numbers[engine_id] = cache_events.events[-1].number
        self._later(engine_id, lambda: self.tell(events.LoadReported(load)))
        self._later(
            engine_id, lambda: self.tell(events.CacheEventsReported(engine_id, cache_events))
        )
        self._heap.after(self._poll_interval_s(), lambda: self._poll(engine_id))

    def _poll_interval_s(self) -> float:
        return max(POLL_S, len(self._watched) / self._max_polls_per_s)

    def _fetch_snapshot(self, engine_id: EngineId) -> None:
        if engine_id in self._snapshot_asked:
            return
        self._snapshot_asked.add(engine_id)

        def arrive() -> None:
            snapshot = self._engines[engine_id].model.cache_snapshot()

            def answer() -> None:
                self._snapshot_asked.discard(engine_id)
                number = max(snapshot.number, self._event_numbers.get(engine_id, 0))
                self._event_numbers[engine_id] = number
                self.tell(events.CacheSnapshotReported(engine_id, snapshot))

            self._later(engine_id, answer)

        self._later(engine_id, arrive)

    # Time.

    def _later(self, engine_id: EngineId, action: Callable[[], None]) -> None:
        self._heap.after(self._delay_to(engine_id), action)

    def _wake(self, time: float) -> None:
        if self._wake_at is not None and self._heap.now < self._wake_at <= time:
            return
        self._wake_at = time
        self._heap.at(time, lambda: self._woken(time))

    def _woken(self, time: float) -> None:
        if self._wake_at != time:
            return
        self._wake_at = None
        self.tell(events.TimeAdvanced())
