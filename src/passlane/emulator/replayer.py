"""Plays a trace against a fleet and compares what happens with the outcomes stated.

The fleet may be processes on loopback or simulated ones; it is reached through
``ReplayFleet`` only. Lines of a program and its sub-agents are played one after the other,
each at its time or later; different programs run side by side.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

import anyio
import msgspec

from passlane.emulator.caller import Caller
from passlane.emulator.caller_answers import CallResult
from passlane.emulator.replay_outcomes import (
    BackEndRecords,
    CallResults,
    OutcomeComparison,
    ProgramShown,
    describe,
    key_of,
)
from passlane.emulator.replay_schedule import dependent_chains, played_times
from passlane.emulator.trace_files import NumberedAction, Trace
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import ProgramId, TenantId
from passlane.messages.store import CallKind
from passlane.messages.traces import (
    CallMade,
    FaultInjected,
    FaultKind,
    ProgramCreated,
    ProgramEndAsked,
)

SHORTEST_PAUSE_S = 3.0
"""Gaps in a trace from this length on are reported as pauses, in seconds."""


class ReplayFleet(BackEndRecords, Protocol):
    """What a replay needs of a fleet."""

    def caller(self, tenant: TenantId) -> Caller:
        """Return a caller of a tenant."""
        ...

    async def inject(self, fault: FaultInjected, program_id: str | None) -> None:
        """Let something fail; ``program_id`` is the fleet's id of the fault's program."""
        ...


@dataclass(frozen=True)
class PlayedCall:
    """One call as it was played, for reports."""

    line: int
    call: CallMade
    result: CallResult


@dataclass(frozen=True)
class PlayedPause:
    """A program made no call for a while; times in seconds.

    ``recorded_s`` is the gap in the trace, ``played_s`` what is left of it in the replay.
    """

    program: ProgramId
    recorded_s: float
    played_s: float


@dataclass(frozen=True)
class PlayedAction:
    """A program's start or end, or a fault, as it was played."""

    action: ProgramCreated | ProgramEndAsked | FaultInjected


PlayedStep = PlayedCall | PlayedPause | PlayedAction


@dataclass(frozen=True)
class Mismatch:
    """A line of the trace that did not come true."""

    line: int
    message: str


OnStep = Callable[[PlayedStep], None]


def ignore_step(_step: PlayedStep) -> None:
    """Report nothing."""


class TraceReplay:
    """One replay of one trace.

    Parameters
    ----------
    trace
        What to play.
    fleet
        Where to play it; configured and ready.
    longest_pause_s
        Longer gaps between two lines are cut to this length.
    on_step
        Told of each step: of a call as it ends, of all others before they are taken.
    """

    def __init__(
        self,
        trace: Trace,
        fleet: ReplayFleet,
        longest_pause_s: float,
        on_step: OnStep = ignore_step,
    ) -> None:
        self._trace = trace
        self._fleet = fleet
        self._on_step = on_step
        self._starts = played_times(trace.actions, longest_pause_s)
        self._began = 0.0
        self._ids: dict[ProgramId, str] = {}
        self._callers: dict[ProgramId, Caller] = {}
        self._results = CallResults()
        self._leaving_since: dict[str, float] = {}
        self._call_began = {
            (numbered.action.program, numbered.action.sequence): anyio.Event()
            for numbered in trace.actions
            if isinstance(numbered.action, CallMade)
        }
        self._mismatches: list[Mismatch] = []

    async def run(self) -> list[Mismatch]:
        """Play the trace and return what did not come true, in the order of lines."""
        self._began = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for chain in dependent_chains(self._trace.actions):
                tasks.start_soon(self._play_chain, chain)
        comparison = OutcomeComparison(self._results, self._fleet, self._show, self._leaving_since)
        for numbered in self._trace.outcomes:
            message = await comparison.compare(numbered.outcome)
            if message is not None:
                self._mismatches.append(Mismatch(numbered.number, message))
        return sorted(self._mismatches, key=lambda mismatch: mismatch.line)

    def program_ids(self) -> Mapping[ProgramId, str]:
        """Return the fleet's id of each of the trace's programs."""
        return dict(self._ids)

    async def _play_chain(self, chain: Sequence[NumberedAction]) -> None:
        """Play lines one after the other."""
        earlier: NumberedAction | None = None
        for numbered in chain:
            self._report_pause(earlier, numbered)
            await self._wait_for_time(numbered)
            await self._play(numbered)
            earlier = numbered

    async def _wait_for_time(self, numbered: NumberedAction) -> None:
        """Wait until a line's time, or for the call during which a fault happens."""
        action = numbered.action
        if isinstance(action, FaultInjected) and action.during_call is not None:
            await self._wait_for_call(action, action.during_call)
        else:
            await anyio.sleep_until(self._began + self._starts[numbered.number])

    async def _wait_for_call(self, fault: FaultInjected, sequence: int) -> None:
        """Wait until a fault's call has been under way as long as it was when recorded."""
        if fault.program is None:
            raise PasslaneError(ErrorCode.BAD_REQUEST, "during_call needs the fault's program")
        await self._call_began[fault.program, sequence].wait()
        call_at_s = min(
            numbered.action.at_s
            for numbered in self._trace.actions
            if isinstance(numbered.action, CallMade)
            and (numbered.action.program, numbered.action.sequence) == (fault.program, sequence)
        )
        await anyio.sleep(fault.at_s - call_at_s)

    def _report_pause(self, earlier: NumberedAction | None, later: NumberedAction) -> None:
        """Report a gap between two lines of a chain that is long enough to be a pause."""
        if earlier is None or isinstance(later.action, FaultInjected):
            return
        recorded_s = later.action.at_s - earlier.action.at_s
        if recorded_s >= SHORTEST_PAUSE_S:
            played_s = self._starts[later.number] - self._starts[earlier.number]
            self._on_step(PlayedPause(later.action.program, recorded_s, played_s))

    async def _play(self, numbered: NumberedAction) -> None:
        """Play one line."""
        action = numbered.action
        if not isinstance(action, CallMade):
            self._on_step(PlayedAction(action))
        match action:
            case ProgramCreated():
                await self._create(numbered.number, action)
            case CallMade():
                await self._call(numbered.number, action)
            case ProgramEndAsked():
                caller = self._callers[action.program]
                result = await caller.end_program(self._ids[action.program])
                self._expect_success(numbered.number, result)
            case FaultInjected():
                await self._inject(action)

    async def _inject(self, fault: FaultInjected) -> None:
        """Let something fail, and note since when an engine is leaving."""
        program_id = None if fault.program is None else self._ids.get(fault.program)
        if fault.kind is FaultKind.ENGINE_LEAVES:
            self._leaving_since[fault.target] = anyio.current_time()
        await self._fleet.inject(fault, program_id)

    async def _create(self, line: int, action: ProgramCreated) -> None:
        """Start a program and keep the id that it gets."""
        caller = self._fleet.caller(action.tenant)
        parent_id = None if action.parent is None else self._ids.get(action.parent)
        result = await caller.create_program(action.program, parent_id, action.budget)
        self._expect_success(line, result)
        self._ids[action.program] = result.answer
        self._callers[action.program] = caller

    async def _call(self, line: int, call: CallMade) -> None:
        """Make a call; one that is sent again must get the first outcome again."""
        result = await self._send(call)
        self._on_step(PlayedCall(line, call, result))
        earlier = self._results.keep_first(call, result)
        if (earlier.verdict, earlier.answer) != (result.verdict, result.answer):
            self._mismatches.append(
                Mismatch(line, f"sent again: {describe(result)}, first: {describe(earlier)}")
            )

    async def _send(self, call: CallMade) -> CallResult:
        """Send one call to the fleet."""
        key = key_of(call)
        self._call_began[call.program, call.sequence].set()
        caller = self._callers[call.program]
        program_id = self._ids[call.program]
        if call.kind is CallKind.MODEL:
            return await caller.model_call(
                program_id,
                call.sequence,
                call.target,
                call.turns,
                call.max_tokens,
                key,
                repeats=call.repeats,
            )
        return await caller.tool_call(
            program_id, call.sequence, call.target, call.arguments, key, repeats=call.repeats
        )

    def _expect_success(self, line: int, result: CallResult) -> None:
        """Note a line that should have succeeded and did not."""
        if not result.succeeded:
            self._mismatches.append(Mismatch(line, describe(result)))

    async def _show(self, program: ProgramId) -> ProgramShown:
        """Read a program from the fleet."""
        shown = await self._callers[program].read_program(self._ids[program])
        return msgspec.convert(shown, ProgramShown)
