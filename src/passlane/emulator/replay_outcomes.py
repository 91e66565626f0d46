"""Compares what a replay saw with the outcomes that its trace states."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Protocol

import anyio
import msgspec

from passlane.emulator.caller import default_key
from passlane.emulator.caller_answers import CallResult
from passlane.errors import Verdict
from passlane.identifiers import ProgramId
from passlane.messages.backends import LedgerLine
from passlane.messages.common import Amounts
from passlane.messages.store import Turn
from passlane.messages.traces import (
    CallMade,
    CallOutcomeStated,
    EngineQuietStated,
    HistoryStated,
    LedgerStated,
    MemoryStated,
    SpentStated,
    TraceOutcome,
)

MEMORY_RELEASED_WITHIN_S = 30.0
MEMORY_POLL_S = 0.5


class BackEndRecords(Protocol):
    """What the back ends of a fleet tell about themselves."""

    async def ledger(self) -> Sequence[LedgerLine]:
        """Return the ledgers of all applications."""
        ...

    async def held_programs(self) -> int:
        """Return for how many programs the engines hold memory."""
        ...

    async def engine_quiet_s(self, engine: str) -> float | None:
        """Return the seconds since an engine's last request; ``None`` if it got none."""
        ...


class ProgramShown(msgspec.Struct, frozen=True):
    """The parts of a program, as passlane shows it, that outcomes are compared with."""

    history: tuple[Turn, ...] = ()
    spent: Amounts = Amounts()
    budget: Amounts = Amounts()


ShowProgram = Callable[[ProgramId], Awaitable[ProgramShown]]


class CallResults:
    """The first result of each call, found by its key or by its place in the program."""

    def __init__(self) -> None:
        self._by_program: dict[ProgramId, dict[str, CallResult]] = {}
        self._keys: dict[tuple[ProgramId, int], list[str]] = {}

    def keep_first(self, call: CallMade, result: CallResult) -> CallResult:
        """Return the call's first result: this one, unless it was sent before."""
        key = key_of(call)
        keys = self._keys.setdefault((call.program, call.sequence), [])
        if key not in keys:
            keys.append(key)
        return self._by_program.setdefault(call.program, {}).setdefault(key, result)

    def find(self, stated: CallOutcomeStated) -> CallResult | None:
        """Return the result that an outcome is about.

        Without a key this is the call with the default key, or else the only call that
        was made with that sequence number. ``None`` if there is none, or more than one.
        """
        keys = self._keys.get((stated.program, stated.sequence), [])
        key = stated.idempotency_key or default_key(stated.program, stated.sequence)
        if stated.idempotency_key is None and key not in keys and len(keys) == 1:
            key = keys[0]
        return self._by_program.get(stated.program, {}).get(key)


class OutcomeComparison:
    """Compares stated outcomes, one by one, once all calls have been made.

    Parameters
    ----------
    results
        What the calls gave.
    records
        What the back ends tell.
    show
        Reads a program from passlane.
    leaving_since
        When each leaving engine was listed as such, on the clock of the replay.
    """

    def __init__(
        self,
        results: CallResults,
        records: BackEndRecords,
        show: ShowProgram,
        leaving_since: Mapping[str, float],
    ) -> None:
        self._results = results
        self._records = records
        self._show = show
        self._leaving_since = leaving_since

    async def compare(self, outcome: TraceOutcome) -> str | None:
        """Return how an outcome differs from what happened; ``None`` if it came true."""
        match outcome:
            case CallOutcomeStated():
                return _compare_call(outcome, self._results.find(outcome))
            case LedgerStated():
                return _compare_ledger(outcome, await self._records.ledger())
            case HistoryStated():
                return _compare_history(outcome, await self._show(outcome.program))
            case SpentStated():
                return _compare_spent(outcome, await self._show(outcome.program))
            case MemoryStated():
                return await self._compare_memory(outcome)
            case EngineQuietStated():
                return await self._compare_quiet(outcome)

    async def _compare_memory(self, stated: MemoryStated) -> str | None:
        """Wait until the engines hold no more than stated."""
        held = await self._records.held_programs()
        deadline = anyio.current_time() + MEMORY_RELEASED_WITHIN_S
        while held > stated.held_programs and anyio.current_time() < deadline:
            await anyio.sleep(MEMORY_POLL_S)
            held = await self._records.held_programs()
        if held <= stated.held_programs:
            return None
        return f"engines hold memory for {held} programs, expected {stated.held_programs}"

    async def _compare_quiet(self, stated: EngineQuietStated) -> str | None:
        """Compare an engine's last request with the time since when it is leaving."""
        since = self._leaving_since.get(stated.engine)
        if since is None:
            return f"{stated.engine} was never listed as leaving"
        quiet_s = await self._records.engine_quiet_s(stated.engine)
        if quiet_s is None:
            return f"{stated.engine} never got a request, which proves nothing"
        late_s = anyio.current_time() - since - quiet_s
        if late_s <= stated.within_s:
            return None
        return f"{stated.engine} got a request {late_s:.1f} s after it was listed as leaving"


def key_of(call: CallMade) -> str:
    """Return the idempotency key that a call is sent under."""
    return call.idempotency_key or default_key(call.program, call.sequence)


def describe(result: CallResult) -> str:
    """Return a result in a few words."""
    verdict = "no answer" if result.verdict is None else result.verdict.value
    if not result.code:
        return f"{verdict} with {len(result.answer)} characters"
    return f"{verdict} {result.code}: {result.message}"


def _compare_call(stated: CallOutcomeStated, result: CallResult | None) -> str | None:
    """Compare a call's verdict, code and answer."""
    if result is None:
        key = stated.idempotency_key or default_key(stated.program, stated.sequence)
        return f"call {key} was not made, or several calls fit"
    code = "" if stated.error_code is None else stated.error_code.value
    if result.verdict is not stated.verdict or (code and result.code != code):
        return f"expected {stated.verdict.value} {code}, got {describe(result)}"
    if stated.verdict is Verdict.RAN and not code and result.code:
        return f"expected an answer, got {describe(result)}"
    if stated.answer is not None and stated.answer != result.answer:
        return f"expected the answer {stated.answer!r}, got {result.answer!r}"
    return None


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


def _compare_history(stated: HistoryStated, shown: ProgramShown) -> str | None:
    """Compare the roles of the turns, and look for the texts."""
    roles = tuple(turn.role for turn in shown.history)
    if roles != stated.roles:
        return f"the history has roles {roles}, expected {stated.roles}"
    whole = "\n".join(turn.content for turn in shown.history)
    missing = [text for text in stated.contains if text not in whole]
    foreign = [text for text in stated.lacks if text in whole]
    if missing or foreign:
        return f"the history lacks {missing} and wrongly holds {foreign}"
    return None


def _compare_spent(stated: SpentStated, shown: ProgramShown) -> str | None:
    """Compare what was spent, also with the budget."""
    if not shown.spent.fits_within(shown.budget):
        return f"spent {shown.spent} of {shown.budget}"
    spent = (shown.spent.calls, shown.spent.money_micros)
    if spent == (stated.calls, stated.money_micros):
        return None
    return f"spent (calls, money) {spent}, expected {(stated.calls, stated.money_micros)}"
