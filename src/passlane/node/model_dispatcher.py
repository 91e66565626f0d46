"""Passes events to the scheduler of model calls and executes its instructions."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import anyio

from passlane.configuration.documents import EngineBody
from passlane.decisions.failure.retry_budget import RetryBudget
from passlane.decisions.inputs.call_events import (
    CallArrived,
    CallEnded,
    CallFirstToken,
    CallWithdrawn,
    EnginesChanged,
    EnginesLeaving,
    Event,
    ProgramEnded,
    ProgramPaused,
    TimeAdvanced,
)
from passlane.decisions.inputs.call_instructions import (
    Instruction,
    MoveCache,
    RefuseCall,
    ReleaseCache,
    RequestCacheSnapshot,
    StartCall,
    WakeAt,
    WatchEngines,
)
from passlane.identifiers import CallId, EngineId, ProgramId
from passlane.programs.call_events import CallMachineEvent, PlacementGranted, PlacementRefused

MAX_PLACEMENT_REASONS = 2_000
"""Programs for which the reason of the last placement is retained."""

PlacementListener = Callable[[CallMachineEvent], None]


class CallSchedulerInterface(Protocol):
    """The part of ``decisions.scheduling.call_scheduler.Scheduler`` that is used here."""

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Handle one event and return instructions."""
        ...

    @property
    def queued_calls(self) -> int:
        """Calls that are queued at this node, over all models."""
        ...

    def in_flight_at(self, engine_id: EngineId) -> int:
        """Return the number of this node's calls in flight at an engine."""
        ...


class EngineCommands(Protocol):
    """Executes the scheduler's instructions about engine caches and polling."""

    def release_cache(self, program_id: ProgramId, engine_id: EngineId) -> None:
        """Tell an engine to release the cache of a paused program."""
        ...

    def move_cache(self, program_id: ProgramId, source: EngineId, destination: EngineId) -> None:
        """Tell ``destination`` to import a program's cache from ``source``."""
        ...

    def record_use(self, engine_id: EngineId) -> None:
        """Record a call that starts on an engine."""
        ...

    def watch(self, engine_ids: frozenset[EngineId]) -> None:
        """Set the engines to poll."""
        ...

    def fetch_snapshot(self, engine_id: EngineId) -> None:
        """Fetch an engine's cache snapshot."""
        ...


@dataclass(frozen=True, slots=True)
class _WaitingCall:
    """A call that waits for placement, with its listener."""

    program_id: ProgramId
    listener: PlacementListener


class ModelDispatcher:
    """Connects the model calls of a node with the scheduler.

    ``engine_commands`` must be set before the first event.
    """

    def __init__(self, scheduler: CallSchedulerInterface) -> None:
        self._scheduler = scheduler
        self._waiting: dict[CallId, _WaitingCall] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._wake_at: float | None = None
        self._wake_changed = anyio.Event()
        self._placement_reasons: OrderedDict[ProgramId, str] = OrderedDict()
        self.engine_commands: EngineCommands | None = None

    def place(self, call: CallArrived, listener: PlacementListener) -> None:
        """Request placement; ``listener`` gets ``PlacementGranted`` or ``PlacementRefused``."""
        self._waiting[call.call_id] = _WaitingCall(call.program_id, listener)
        self.handle_event(call)

    def withdraw(self, call_id: CallId) -> None:
        """Withdraw a call, whether queued or started."""
        self._waiting.pop(call_id, None)
        self.handle_event(CallWithdrawn(call_id))

    def report_first_token(self, call_id: CallId) -> None:
        """Report the first token of a started call."""
        self.handle_event(CallFirstToken(call_id))

    def note_ended(self, ended: CallEnded, engine_id: str) -> None:
        """Report that a started call ended at its engine."""
        self._waiting.pop(ended.call_id, None)
        if ended.succeeded:
            self._budget_of(engine_id).record_request()
        self.handle_event(ended)

    def note_program_paused(self, program_id: ProgramId, expected_s: float) -> None:
        """Report that a program paused; ``expected_s`` is the expected pause in seconds."""
        self.handle_event(ProgramPaused(program_id, expected_s))

    def note_program_ended(self, program_id: ProgramId) -> None:
        """Report that a program ended."""
        self.handle_event(ProgramEnded(program_id))

    def change_engines(
        self, engines: dict[EngineId, EngineBody], leaving: frozenset[EngineId]
    ) -> None:
        """Report the configured engines and those that are leaving or drained."""
        self.handle_event(EnginesChanged(engines))
        self.handle_event(EnginesLeaving(leaving))

    def try_retry(self, engine_id: str) -> bool:
        """Spend one retry of the engine's retry budget; return ``False`` if it is exhausted."""
        return self._budget_of(engine_id).try_spend()

    @property
    def queued_calls(self) -> int:
        """Calls that are queued for an engine."""
        return self._scheduler.queued_calls

    def in_flight_at(self, engine_id: EngineId) -> int:
        """Return the number of this node's calls in flight at an engine."""
        return self._scheduler.in_flight_at(engine_id)

    def _budget_of(self, engine_id: str) -> RetryBudget:
        return self._budgets.setdefault(engine_id, RetryBudget())

    def handle_event(self, event: Event) -> None:
        """Pass an event to the scheduler and execute its instructions."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                now = anyio.current_time()
                for instruction in self._scheduler.handle(self._events.popleft(), now):
                    self._execute(instruction)
        finally:
            self._is_handling = False

    def _execute(self, instruction: Instruction) -> None:
        match instruction:
            case StartCall(call_id, engine_id, priority, reason):
                self._record_reason(call_id, reason)
                self._report_use(engine_id)
                self._notify(call_id, PlacementGranted(engine_id, priority))
            case RefuseCall(call_id, code, message, retry_after_s):
                self._notify(call_id, PlacementRefused(code, message, retry_after_s))
            case WakeAt(time):
                self._schedule_wake(time)
            case _:
                self._execute_engine_command(instruction)

    def _report_use(self, engine_id: EngineId) -> None:
        if self.engine_commands is not None:
            self.engine_commands.record_use(engine_id)

    def _execute_engine_command(self, instruction: Instruction) -> None:
        if self.engine_commands is None:
            return
        match instruction:
            case ReleaseCache(program_id, engine_id):
                self.engine_commands.release_cache(program_id, engine_id)
            case MoveCache(program_id, source, destination):
                self.engine_commands.move_cache(program_id, source, destination)
            case WatchEngines(engine_ids):
                self.engine_commands.watch(engine_ids)
            case RequestCacheSnapshot(engine_id):
                self.engine_commands.fetch_snapshot(engine_id)

    def _record_reason(self, call_id: CallId, reason: str) -> None:
        waiting = self._waiting.get(call_id)
        if waiting is None:
            return
        self._placement_reasons[waiting.program_id] = reason
        self._placement_reasons.move_to_end(waiting.program_id)
        if len(self._placement_reasons) > MAX_PLACEMENT_REASONS:
            self._placement_reasons.popitem(last=False)

    def placement_reason(self, program_id: ProgramId) -> str:
        """Return the scheduler's reason for the placement of the program's last call."""
        return self._placement_reasons.get(program_id, "")

    def _notify(self, call_id: CallId, event: CallMachineEvent) -> None:
        waiting = self._waiting.pop(call_id, None)
        if waiting is None:
            # The call was withdrawn meanwhile, so the slot is released.
            if isinstance(event, PlacementGranted):
                self.handle_event(CallWithdrawn(call_id))
            return
        waiting.listener(event)

    def _schedule_wake(self, time: float) -> None:
        if self._wake_at is None or time < self._wake_at:
            self._wake_at = time
            self._wake_changed.set()

    async def run(self) -> None:
        """Wake the scheduler at the times it requested, until cancelled."""
        while True:
            self._wake_changed = anyio.Event()
            if self._wake_at is None:
                await self._wake_changed.wait()
                continue
            delay_s = self._wake_at - anyio.current_time()
            if delay_s > 0:
                with anyio.move_on_after(delay_s):
                    await self._wake_changed.wait()
                    continue
            self._wake_at = None
            self.handle_event(TimeAdvanced())
