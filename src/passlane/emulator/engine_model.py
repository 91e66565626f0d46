"""A model of a model engine as a plain state machine on a given clock.

Laid out as the well-known batching engines are: a waiting queue, running requests, a
prefix cache, and a scheduler that plans one step at a time. A step computes one token
for each decoding request and chunks of prefill up to a token budget; it gives one typed
output. The model does no I/O, reads no clock and draws only from the generator given.

Drive it by the times that it tells::

    model.submit(submission, now)
    when = model.next_event_time()
    for output in model.advance(when): ...
"""

import random

import msgspec

from passlane.emulator.cache_event_log import CacheEventLog
from passlane.emulator.engine_orders import EngineOrders
from passlane.emulator.engine_outputs import (
    FinishedRequest,
    FinishReason,
    GeneratedTokens,
    RefusalReason,
    StepOutput,
    Submission,
)
from passlane.emulator.engine_queue import EngineRequest, WaitingQueue
from passlane.emulator.engine_settings import EngineModelSettings
from passlane.emulator.engine_steps import PlannedStep, plan_prefill, step_duration_s
from passlane.emulator.fencing import FencingTokens, program_scope
from passlane.emulator.load_reports import LoadReports
from passlane.emulator.prefix_cache import PrefixCache
from passlane.emulator.weights_store import WeightsStore
from passlane.identifiers import EngineId, ProgramId
from passlane.messages.backends import (
    CacheEntry,
    CacheEvents,
    CacheSnapshot,
    EngineLoad,
    EngineOrder,
    OrderKind,
    OrderReply,
)


class EngineModel:
    """One emulated engine, from one start to the next.

    Parameters
    ----------
    settings
        Sizes, speeds, delays and faults.
    engine_id
        Name that load reports carry.
    incarnation
        Number of this start; a restart is a new model with a higher one.
    generator
        Source of all drawn delays and faults.
    """

    def __init__(
        self,
        settings: EngineModelSettings,
        *,
        engine_id: EngineId,
        incarnation: int,
        generator: random.Random,
    ) -> None:
        self.settings = settings
        self.engine_id = engine_id
        self.incarnation = incarnation
        self.generated_tokens = 0
        self._random = generator
        self._events = CacheEventLog(settings, generator)
        self.cache = PrefixCache(settings.cache_tokens, self._events.record)
        self._tokens = FencingTokens()
        self._orders = EngineOrders(
            settings,
            incarnation,
            self.cache,
            self._tokens,
            WeightsStore(settings.weights_bytes_per_s),
        )
        self._loads = LoadReports(settings.load_lag_s, settings.load_interval_s)
        self._requests: dict[str, EngineRequest] = {}
        self._waiting = WaitingQueue()
        self._running: list[EngineRequest] = []
        self._step: PlannedStep | None = None

    # Requests.

    def submit(self, submission: Submission, now: float) -> RefusalReason | None:
        """Take a request at ``now``, or return why it is refused.

        ``advance(now)`` must have been called for what happened before.
        """
        reason = self._reason_to_refuse(submission)
        if reason is not None:
            return reason
        request = EngineRequest.create(submission, self._draw_failure(submission))
        self._requests[submission.attempt_id] = request
        self._waiting.add(request)
        self._plan_step(now)
        self._sample_load(now)
        return None

    def cancel(self, attempt_id: str, now: float) -> bool:
        """Stop a request and free its place; return whether it was there."""
        request = self._requests.get(attempt_id)
        if request is None:
            return False
        if request.is_running:
            self._leave(request, now)
        else:
            self._waiting.withdraw(attempt_id)
            del self._requests[attempt_id]
        self._plan_step(now)
        return True

    def order(self, order: EngineOrder, now: float, available_tokens: int = 0) -> OrderReply:
        """Carry out a fenced order; see ``EngineOrders.handle``."""
        stale = self._orders.is_stale(order)
        if order.kind is OrderKind.RELEASE_PROGRAM and not stale:
            self._cancel_program(order.program_id, now)
        return self._orders.handle(order, now, available_tokens)

    def is_stale(self, order: EngineOrder) -> bool:
        """Return whether the order's fencing token is older than one seen before."""
        return self._orders.is_stale(order)

    # Time.

    def next_event_time(self) -> float | None:
        """Return when ``advance`` has something to do; ``None`` while the engine idles."""
        times = [self._orders.next_event_time()]
        if self._step is not None:
            times.append(self._step.ends_at)
        return min((time for time in times if time is not None), default=None)

    def advance(self, now: float) -> list[StepOutput]:
        """Let time pass up to ``now`` and return the outputs of the steps that ended."""
        outputs: list[StepOutput] = []
        while self._step is not None and self._step.ends_at <= now:
            ended = self._step
            self._orders.advance(ended.ends_at)
            outputs.append(self._complete_step(ended))
            self._step = None
            self._plan_step(ended.ends_at)
        self._orders.advance(now)
        self._sample_load(now)
        return outputs

    # Reports.

    def load_report(self, now: float) -> EngineLoad:
        """Return the load as it was a while ago."""
        self._sample_load(now)
        last_event = self._events.last_published(now)
        return msgspec.structs.replace(self._loads.report(now), last_cache_event=last_event)

    def current_load(self) -> EngineLoad:
        """Return the load as it is; for observers, not for the protocol."""
        return EngineLoad(
            engine_id=self.engine_id,
            incarnation=self.incarnation,
            running=len(self._running),
            waiting=len(self._waiting),
            cached_tokens=self.cache.allocated_tokens,
            held_programs=self.cache.held_programs(),
            models=tuple(sorted(self._orders.models)),
        )

    def cache_events(self, after: int, now: float) -> CacheEvents:
        """Return the cache events after number ``after`` that are published by now."""
        return CacheEvents(self.incarnation, self._events.events_after(after, now))

    def cache_snapshot(self) -> CacheSnapshot:
        """Return the whole cache as of the last event."""
        entries = tuple(
            CacheEntry(program_id, tokens)
            for program_id, tokens in self.cache.tokens_by_program().items()
        )
        return CacheSnapshot(self.incarnation, self._events.last_number, entries)

    # Admission and planning.

    def _reason_to_refuse(self, submission: Submission) -> RefusalReason | None:
        """Return why a request can't be taken; ``None`` if it can."""
        if submission.attempt_id in self._requests:
            return RefusalReason.DUPLICATE_ATTEMPT
        if submission.model not in self._orders.models:
            return RefusalReason.MODEL_NOT_LOADED
        needed = submission.prompt_tokens + submission.answer_tokens
        if needed > self.settings.cache_tokens:
            return RefusalReason.TOO_LONG
        if len(self._waiting) >= self.settings.max_waiting:
            return RefusalReason.QUEUE_FULL
        if not self._tokens.admit(program_scope(submission.program_id), submission.epoch):
            return RefusalReason.STALE_EPOCH
        return None

    def _draw_failure(self, submission: Submission) -> int | None:
        """Draw whether and where the stream of a request breaks off."""
        if self._random.random() >= self.settings.failure_probability:
            return None
        return self._random.randint(submission.resume_from, submission.answer_tokens)

    def _plan_step(self, now: float) -> None:
        """Start the next step at ``now`` if there is work and none is under way."""
        if self._step is not None:
            return
        self._admit_waiting(now)
        if not self._running:
            return
        decoding = [request for request in self._running if request.prefill_left == 0]
        prefill = plan_prefill(self._running, self.settings.max_step_tokens - len(decoding))
        duration = step_duration_s(self.settings, decoding, prefill)
        step = PlannedStep(now, duration, decoding, prefill)
        if self._random.random() < self.settings.stall_probability:
            step.extra_s = self.settings.stall_s
        self._step = step

    def _admit_waiting(self, now: float) -> None:
        """Move waiting requests into the batch while there is room in it and in memory."""
        while len(self._running) < self.settings.max_batch:
            request = self._waiting.first()
            if request is None or not self._set_memory_aside(request, now):
                return
            self._waiting.take_first()
            request.is_running = True
            self._running.append(request)

    def _set_memory_aside(self, request: EngineRequest, now: float) -> bool:
        """Give a request its memory and reuse the cached prefix; false if it must wait."""
        program_id = request.submission.program_id
        cached = self.cache.tokens_of(program_id)
        if not self.cache.begin_use(program_id, request.needed_tokens, now):
            return False
        # The last token is always computed, since its result starts the generation.
        request.cached_tokens = max(0, min(cached, request.context_tokens - 1))
        request.computed_tokens = request.cached_tokens
        return True

    # Completion.

    def _complete_step(self, step: PlannedStep) -> StepOutput:
        """Apply what a step computed and return it."""
        now = step.ends_at
        for request, chunk in step.prefill:
            request.computed_tokens += chunk
        # The step that ends a prefill also gives the first token.
        generating = step.decoding + [r for r, _ in step.prefill if r.prefill_left == 0]
        tokens: list[GeneratedTokens] = []
        finished: list[FinishedRequest] = []
        for request in generating:
            if not request.is_running:
                continue
            self._generate(request, tokens)
            if request.position >= request.end_position:
                failed = request.fails_at is not None
                finished.append(
                    request.finished(FinishReason.FAILED if failed else FinishReason.STOP)
                )
                self._leave(request, now)
        return StepOutput(now, tuple(tokens), tuple(finished))

    def _generate(self, request: EngineRequest, tokens: list[GeneratedTokens]) -> None:
        """Generate a token of a request, unless its stream ends before it."""
        first = request.position
        if first < request.end_position:
            request.position = first + 1
            self.generated_tokens += 1
            tokens.append(GeneratedTokens(request.submission.attempt_id, first, first + 1))

    def _leave(self, request: EngineRequest, now: float) -> None:
        """Take a running request out of the batch; what it computed stays cached."""
        request.is_running = False
        self._running.remove(request)
        del self._requests[request.submission.attempt_id]
        self.cache.end_use(request.submission.program_id, request.valid_tokens, now)

    def _cancel_program(self, program_id: ProgramId | None, now: float) -> None:
        """Stop all requests of a program whose memory is to be released."""
        attempts = [
            attempt_id
            for attempt_id, request in self._requests.items()
            if request.submission.program_id == program_id
        ]
        for attempt_id in attempts:
            self.cancel(attempt_id, now)

    def _sample_load(self, now: float) -> None:
        """Take a sample of the load when one is due."""
        if self._loads.is_due(now):
            self._loads.add(self.current_load(), now)
