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

from passlane.emulator.caller import Caller, CallResult, default_key
from passlane.emulator.trace_files import NumberedAction, Trace
from passlane.errors import Verdict
from passlane.identifiers import ProgramId, TenantId
from passlane.messages.backends import LedgerLine
from passlane.messages.common import Amounts
from passlane.messages.store import CallKind, Turn
from passlane.messages.traces import (
    CallMade,
    CallOutcomeStated,
    FaultInjected,
    HistoryStated,
    LedgerStated,
    MemoryStated,
    ProgramCreated,
    ProgramEndAsked,
    SpentStated,
    TraceOutcome,
)

MEMORY_RELEASED_WITHIN_S = 30.0
MEMORY_POLL_S = 0.5


class ReplayFleet(Protocol):
    """What a replay needs of a fleet."""

    def caller(self, tenant: TenantId) -> Caller:
        """Return a caller of a tenant."""
        ...

    async def inject(self, fault: FaultInjected, program_id: str | None) -> None:
        """Let something fail; ``program_id`` is the fleet's id of the fault's program."""
        ...

    async def ledger(self) -> Sequence[LedgerLine]:
        """Return the ledgers of all applications."""
        ...

    async def held_programs(self) -> int:
        """Return for how many programs the engines hold memory."""
        ...


@dataclass(frozen=True)
class PlayedCall:
    """One call as it was played, for reports."""

    line: int
    call: CallMade
    result: CallResult


@dataclass(frozen=True)
class Mismatch:
    """A line of the trace that did not come true."""

    line: int
    message: str


CallKey = tuple[ProgramId, str]
OnCall = Callable[[PlayedCall], None]


class ProgramShown(msgspec.Struct, frozen=True):
    """The parts of a program, as passlane shows it, that outcomes are compared with."""

    history: tuple[Turn, ...] = ()
    spent: Amounts = Amounts()
    budget: Amounts = Amounts()


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
    on_call
        Told of each call as it ends.
    """

    def __init__(
        self,
        trace: Trace,
        fleet: ReplayFleet,
        longest_pause_s: float,
        on_call: OnCall | None = None,
    ) -> None:
        self._trace = trace
        self._fleet = fleet
        self._on_call = on_call
        self._starts = _played_times(trace.actions, longest_pause_s)
        self._began = 0.0
        self._ids: dict[ProgramId, str] = {}
        self._callers: dict[ProgramId, Caller] = {}
        self._results: dict[CallKey, CallResult] = {}
        self._mismatches: list[Mismatch] = []

    async def run(self) -> list[Mismatch]:
        """Play the trace and return what did not come true, in the order of lines."""
        self._began = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for chain in _chains(self._trace.actions):
                tasks.start_soon(self._play_chain, chain)
        for numbered in self._trace.outcomes:
            message = await self._compare(numbered.outcome)
            if message is not None:
                self._mismatches.append(Mismatch(numbered.number, message))
        return sorted(self._mismatches, key=lambda mismatch: mismatch.line)

    def program_ids(self) -> Mapping[ProgramId, str]:
        """Return the fleet's id of each of the trace's programs."""
        return dict(self._ids)

    async def _play_chain(self, chain: Sequence[NumberedAction]) -> None:
        """Play lines one after the other."""
        for numbered in chain:
            await anyio.sleep_until(self._began + self._starts[numbered.number])
            await self._play(numbered)

    async def _play(self, numbered: NumberedAction) -> None:
        """Play one line."""
        action = numbered.action
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
                program_id = None if action.program is None else self._ids.get(action.program)
                await self._fleet.inject(action, program_id)

    async def _create(self, line: int, action: ProgramCreated) -> None:
        """Start a program and keep the id that it gets."""
        caller = self._fleet.caller(action.tenant)
        parent_id = None if action.parent is None else self._ids[action.parent]
        result = await caller.create_program(action.program, parent_id, action.budget)
        self._expect_success(line, result)
        self._ids[action.program] = result.answer
        self._callers[action.program] = caller

    async def _call(self, line: int, call: CallMade) -> None:
        """Make a call; one that is sent again must get the first outcome again."""
        key = call.idempotency_key or default_key(call.program, call.sequence)
        result = await self._send(call, key)
        if self._on_call is not None:
            self._on_call(PlayedCall(line, call, result))
        earlier = self._results.setdefault((call.program, key), result)
        if (earlier.verdict, earlier.answer) != (result.verdict, result.answer):
            self._mismatches.append(
                Mismatch(line, f"sent again: {_describe(result)}, first: {_describe(earlier)}")
            )

    async def _send(self, call: CallMade, key: str) -> CallResult:
        """Send one call to the fleet."""
        caller = self._callers[call.program]
        program_id = self._ids[call.program]
        if call.kind is CallKind.MODEL:
            return await caller.model_call(
                program_id, call.sequence, call.target, call.turns, call.max_tokens, key
            )
        return await caller.tool_call(program_id, call.sequence, call.target, call.arguments, key)

    def _expect_success(self, line: int, result: CallResult) -> None:
        """Note a line that should have succeeded and did not."""
        if not result.succeeded:
            self._mismatches.append(Mismatch(line, _describe(result)))

    async def _compare(self, outcome: TraceOutcome) -> str | None:
        """Return how an outcome differs from what happened; ``None`` if it came true."""
        match outcome:
            case CallOutcomeStated():
                return self._compare_call(outcome)
            case LedgerStated():
                return self._compare_ledger(outcome, await self._fleet.ledger())
            case HistoryStated():
                return _compare_history(outcome, await self._show(outcome.program))
            case SpentStated():
                return _compare_spent(outcome, await self._show(outcome.program))
            case MemoryStated():
                return await self._compare_memory(outcome)

    def _compare_call(self, stated: CallOutcomeStated) -> str | None:
        """Compare a call's verdict, code and answer."""
        key = stated.idempotency_key or default_key(stated.program, stated.sequence)
        result = self._results.get((stated.program, key))
        if result is None:
            return f"call {key} was not made"
        code = "" if stated.error_code is None else stated.error_code.value
        if result.verdict is not stated.verdict or (code and result.code != code):
            return f"expected {stated.verdict.value} {code}, got {_describe(result)}"
        if stated.verdict is Verdict.RAN and not code and result.code:
            return f"expected an answer, got {_describe(result)}"
        if stated.answer is not None and stated.answer != result.answer:
            return f"expected the answer {stated.answer!r}, got {result.answer!r}"
        return None

    @staticmethod
    def _compare_ledger(stated: LedgerStated, ledger: Sequence[LedgerLine]) -> str | None:
        """Count how often an operation ran."""
        arguments = msgspec.json.decode(stated.arguments)
        runs = sum(
            line.tool == stated.tool and msgspec.json.decode(line.arguments) == arguments
            for line in ledger
        )
        if runs == stated.runs:
            return None
        return f"{stated.tool} ran {runs} times, expected {stated.runs}"

    async def _compare_memory(self, stated: MemoryStated) -> str | None:
        """Wait until the engines hold no more than stated."""
        held = await self._fleet.held_programs()
        deadline = anyio.current_time() + MEMORY_RELEASED_WITHIN_S
        while held > stated.held_programs and anyio.current_time() < deadline:
            await anyio.sleep(MEMORY_POLL_S)
            held = await self._fleet.held_programs()
        if held <= stated.held_programs:
            return None
        return f"engines hold memory for {held} programs, expected {stated.held_programs}"

    async def _show(self, program: ProgramId) -> ProgramShown:
        """Read a program from the fleet."""
        shown = await self._callers[program].read_program(self._ids[program])
        return msgspec.convert(shown, ProgramShown)


def _played_times(actions: Sequence[NumberedAction], longest_pause_s: float) -> Mapping[int, float]:
    """Return when each line is played, with long gaps cut; by line number."""
    played: dict[int, float] = {}
    recorded = 0.0
    now = 0.0
    for numbered in sorted(actions, key=lambda numbered: numbered.action.at_s):
        now += min(numbered.action.at_s - recorded, longest_pause_s)
        recorded = numbered.action.at_s
        played[numbered.number] = now
    return played


def _chains(actions: Sequence[NumberedAction]) -> list[list[NumberedAction]]:
    """Return the lines that depend on each other: by root program; each fault by itself."""
    root_of: dict[ProgramId, ProgramId] = {}
    chains: dict[ProgramId | int, list[NumberedAction]] = {}
    for numbered in actions:
        action = numbered.action
        if isinstance(action, FaultInjected):
            chains[numbered.number] = [numbered]
            continue
        if isinstance(action, ProgramCreated):
            root_of[action.program] = root_of.get(action.parent or action.program, action.program)
        chains.setdefault(root_of[action.program], []).append(numbered)
    return list(chains.values())


def _describe(result: CallResult) -> str:
    """Return a result in a few words."""
    verdict = "no answer" if result.verdict is None else result.verdict.value
    if not result.code:
        return f"{verdict} with {len(result.answer)} characters"
    return f"{verdict} {result.code}: {result.message}"


def _compare_history(stated: HistoryStated, shown: ProgramShown) -> str | None:
    """Compare the roles of the turns, and look for the texts."""
    roles = tuple(turn.role for turn in shown.history)
    if roles != stated.roles:
        return f"the history has roles {roles}, expected {stated.roles}"
    whole = "\n".join(turn.content for turn in shown.history)
    missing = [text for text in stated.contains if text not in whole]
    return f"the history lacks {missing}" if missing else None


def _compare_spent(stated: SpentStated, shown: ProgramShown) -> str | None:
    """Compare what was spent, also with the budget."""
    if not shown.spent.fits_within(shown.budget):
        return f"spent {shown.spent} of {shown.budget}"
    spent = (shown.spent.calls, shown.spent.money_micros)
    if spent == (stated.calls, stated.money_micros):
        return None
    return f"spent (calls, money) {spent}, expected {(stated.calls, stated.money_micros)}"
