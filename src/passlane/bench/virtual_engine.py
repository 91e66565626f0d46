"""An emulated engine on the event heap."""

import random
from collections.abc import Callable

import msgspec

from passlane.bench.event_heap import EventHeap
from passlane.emulator.engine_model import EngineModel
from passlane.emulator.engine_outputs import FinishedRequest, RefusalReason, Submission
from passlane.emulator.engine_settings import EngineModelSettings
from passlane.identifiers import EngineId, ProgramId
from passlane.messages.backends import CacheEvents, EngineLoad, EngineOrder, OrderKind

FinishListener = Callable[[FinishedRequest], None]


class VirtualEngine:
    """Drives the engine model: advances it when its next step ends.

    Parameters
    ----------
    heap
        Virtual time.
    engine_id, zone, settings, generator
        See the engine model.
    """

    def __init__(
        self,
        heap: EventHeap,
        engine_id: EngineId,
        zone: str,
        settings: EngineModelSettings,
        generator: random.Random,
    ) -> None:
        self.engine_id = engine_id
        self.zone = zone
        self.model = EngineModel(
            settings,
            engine_id=engine_id,
            incarnation=1,
            generator=generator,
            report_each_step=False,
        )
        self._heap = heap
        self._listeners: dict[str, FinishListener] = {}
        self._wake_at: float | None = None
        self._order_number = 0

    def submit(self, submission: Submission, on_finish: FinishListener) -> RefusalReason | None:
        """Take a request; ``on_finish`` is told of its end."""
        self._advance()
        reason = self.model.submit(submission, self._heap.now)
        if reason is None:
            self._listeners[submission.attempt_id] = on_finish
        self._schedule()
        return reason

    def release(self, program_id: ProgramId) -> None:
        """Drop what is held for a program."""
        self._order(OrderKind.RELEASE_PROGRAM, program_id)

    def import_cache(self, program_id: ProgramId, tokens: int) -> None:
        """Import so many tokens of a program's cache."""
        self._order(OrderKind.IMPORT_CACHE, program_id, tokens)

    def slow_down(self, factor: float) -> None:
        """Make each step take ``factor`` times as long from now on."""
        settings = self.model.settings
        self.model.settings = msgspec.structs.replace(
            settings,
            step_base_s=settings.step_base_s * factor,
            step_sequence_s=settings.step_sequence_s * factor,
            step_prefill_token_s=settings.step_prefill_token_s * factor,
        )

    def load_report(self) -> EngineLoad:
        """Return the lagging load report."""
        self._advance()
        return self.model.load_report(self._heap.now)

    def cache_events(self, after: int) -> CacheEvents:
        """Return published cache events."""
        return self.model.cache_events(after, self._heap.now)

    def _order(self, kind: OrderKind, program_id: ProgramId, available_tokens: int = 0) -> None:
        self._advance()
        self._order_number += 1
        order = EngineOrder(
            kind=kind,
            scope=f"order:{program_id}",
            fencing_token=self._order_number,
            program_id=program_id,
        )
        self.model.order(order, self._heap.now, available_tokens)
        self._schedule()

    def _advance(self) -> None:
        for output in self.model.advance(self._heap.now):
            for finished in output.finished:
                listener = self._listeners.pop(finished.attempt_id, None)
                if listener is not None:
                    listener(finished)

    def _schedule(self) -> None:
        wake_at = self.model.next_event_time()
        if wake_at is None or wake_at == self._wake_at:
            return
        self._wake_at = wake_at
        self._heap.at(wake_at, lambda: self._wake(wake_at))

    def _wake(self, planned_at: float) -> None:
        if planned_at != self._wake_at:
            return
        self._wake_at = None
        self._advance()
        self._schedule()
