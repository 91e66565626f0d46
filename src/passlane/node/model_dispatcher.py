"""Shell of the scheduler: tells it what happens and carries out what it decides."""

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
from passlane.programs.call_events import CallEventIn, StartOrdered, StartRefused

MAX_REASONS = 2_000
"""Programs whose last placement can be explained."""

PlacementListener = Callable[[CallEventIn], None]


class SchedulerLike(Protocol):
    """The part of ``scheduling.scheduler.Scheduler`` that is used here."""

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take one event and return instructions."""
        ...

    @property
    def queued_calls(self) -> int:
        """Calls that wait at this node, over all models."""
        ...

    def in_flight_at(self, engine_id: EngineId) -> int:
        """Return how many calls of this node are at an engine."""
        ...


class CacheOrders(Protocol):
    """Carries out the scheduler's orders about cached memory and its wishes to watch."""

    def release_cache(self, program_id: ProgramId, engine_id: EngineId) -> None:
        """Order an engine to drop what it holds for a paused program."""
        ...

    def move_cache(self, program_id: ProgramId, source: EngineId, destination: EngineId) -> None:
        """Order an engine to import a program's cache from another."""
        ...

    def note_use(self, engine_id: EngineId) -> None:
        """Take note of a call that starts on an engine."""
        ...

    def watch(self, engine_ids: frozenset[EngineId]) -> None:
        """Poll these engines from now on."""
        ...

    def fetch_snapshot(self, engine_id: EngineId) -> None:
        """Fetch an engine's whole cache view."""
        ...


@dataclass(frozen=True, slots=True)
class _WaitingCall:
    """A call that waits for a place, and who is told of it."""

    program_id: ProgramId
    listener: PlacementListener


class ModelDispatcher:
    """Connects calls that wait for an engine with the scheduler.

    ``orders`` must be set before the first event.
    """

    def __init__(self, scheduler: SchedulerLike) -> None:
        self._scheduler = scheduler
        self._waiting: dict[CallId, _WaitingCall] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._wake_at: float | None = None
        self._wake_changed = anyio.Event()
        self._reasons: OrderedDict[ProgramId, str] = OrderedDict()
        self.orders: CacheOrders | None = None

    def place(self, call: CallArrived, listener: PlacementListener) -> None:
        """Ask for a place; ``listener`` gets ``StartOrdered`` or ``StartRefused``."""
        self._waiting[call.call_id] = _WaitingCall(call.program_id, listener)
        self.tell(call)

    def withdraw(self, call_id: CallId) -> None:
        """Take a call back, queued or started."""
        self._waiting.pop(call_id, None)
        self.tell(CallWithdrawn(call_id))

    def note_first_token(self, call_id: CallId) -> None:
        """Tell that a started call brought its first token."""
        self.tell(CallFirstToken(call_id))

    def note_ended(self, ended: CallEnded, engine_id: str) -> None:
        """Tell that a started call ended at its engine."""
        self._waiting.pop(ended.call_id, None)
        if ended.succeeded:
            self._budget_of(engine_id).record_request()
        self.tell(ended)

    def note_program_paused(self, program_id: ProgramId, expected_s: float) -> None:
        """Tell that a program went to a tool."""
        self.tell(ProgramPaused(program_id, expected_s))

    def note_program_ended(self, program_id: ProgramId) -> None:
        """Tell that a program ended."""
        self.tell(ProgramEnded(program_id))

    def change_engines(
        self, engines: dict[EngineId, EngineBody], leaving: frozenset[EngineId]
    ) -> None:
        """Tell which engines there are and which of them are leaving."""
        self.tell(EnginesChanged(engines))
        self.tell(EnginesLeaving(leaving))

    def try_retry(self, engine_id: str) -> bool:
        """Take one retry from the budget of the engine that failed."""
        return self._budget_of(engine_id).try_spend()

    @property
    def queued_calls(self) -> int:
        """Calls that wait for an engine."""
        return self._scheduler.queued_calls

    def in_flight_at(self, engine_id: EngineId) -> int:
        """Return how many calls of this node are at an engine."""
        return self._scheduler.in_flight_at(engine_id)

    def _budget_of(self, engine_id: str) -> RetryBudget:
        return self._budgets.setdefault(engine_id, RetryBudget())

    def tell(self, event: Event) -> None:
        """Give the scheduler an event and carry out its instructions."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                now = anyio.current_time()
                for instruction in self._scheduler.handle(self._events.popleft(), now):
                    self._carry_out(instruction)
        finally:
            self._is_handling = False

    def _carry_out(self, instruction: Instruction) -> None:
        match instruction:
            case StartCall(call_id, engine_id, priority, reason):
                self._keep_reason(call_id, reason)
                self._note_use(engine_id)
                self._notify(call_id, StartOrdered(engine_id, priority))
            case RefuseCall(call_id, code, message, retry_after_s):
                self._notify(call_id, StartRefused(code, message, retry_after_s))
            case WakeAt(time):
                self._set_wake(time)
            case _:
                self._carry_out_order(instruction)

    def _note_use(self, engine_id: EngineId) -> None:
        if self.orders is not None:
            self.orders.note_use(engine_id)

    def _carry_out_order(self, instruction: Instruction) -> None:
        if self.orders is None:
            return
        match instruction:
            case ReleaseCache(program_id, engine_id):
                self.orders.release_cache(program_id, engine_id)
            case MoveCache(program_id, source, destination):
                self.orders.move_cache(program_id, source, destination)
            case WatchEngines(engine_ids):
                self.orders.watch(engine_ids)
            case RequestCacheSnapshot(engine_id):
                self.orders.fetch_snapshot(engine_id)

    def _keep_reason(self, call_id: CallId, reason: str) -> None:
        waiting = self._waiting.get(call_id)
        if waiting is None:
            return
        self._reasons[waiting.program_id] = reason
        self._reasons.move_to_end(waiting.program_id)
        if len(self._reasons) > MAX_REASONS:
            self._reasons.popitem(last=False)

    def reason_of(self, program_id: ProgramId) -> str:
        """Return why the program's last call was started where and when it was."""
        return self._reasons.get(program_id, "")

    def _notify(self, call_id: CallId, event: CallEventIn) -> None:
        waiting = self._waiting.pop(call_id, None)
        if waiting is None:
            # Nobody waits for this place any more: give it back.
            if isinstance(event, StartOrdered):
                self.tell(CallWithdrawn(call_id))
            return
        waiting.listener(event)

    def _set_wake(self, time: float) -> None:
        if self._wake_at is None or time < self._wake_at:
            self._wake_at = time
            self._wake_changed.set()

    async def run(self) -> None:
        """Wake the scheduler at the times it asked for, until cancelled."""
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
            self.tell(TimeAdvanced())
