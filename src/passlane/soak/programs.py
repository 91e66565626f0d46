"""The load: urgent short programs, long ones that keep their history, and a flooding tenant."""

import random

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.platform import names
from passlane.soak.callers import Call, Callers, CallResult
from passlane.soak.configuration import (
    CHARGE,
    FLOODING_TENANT,
    LIMIT_PER_S,
    LONG,
    LOOKUP,
    SAFE_RUNS,
    TOKENS_PER_EVENT,
    URGENT,
    USUAL_TENANT,
)
from passlane.soak.ledger import PROMISES_OF_NOT_RUN, Ledger
from passlane.soak.outputs import kept_output
from passlane.soak.tallies import Outcome, Tallies

URGENT_PER_S = 3.0
LONG_PER_S = 2.5
FLOOD_PER_S = 3 * LIMIT_PER_S
MOST_UNDER_WAY = 40
"""Programs and flood calls that the rig keeps under way; more are counted as not begun."""
URGENT_EVENTS = 2
LONG_EVENTS = 6
MOST_LONG_TURNS = 5
FEWEST_LONG_TURNS = 3
AMPLE_BUDGET_TURNS = 40
TIGHT_BUDGET_TURNS = 2.5
"""Such a program is refused before its third turn."""
TIGHT_SHARE = 0.2
CHARGE_SHARE = 0.5
URGENT_TIME_S = 4.0
LONG_TIME_S = 20.0
PROMPT_TOKENS = 50
MILLISECONDS = 1000
BUDGET_SPENT = 402
FLOOD = "flood"


class ProgramKind(msgspec.Struct, frozen=True):
    """What programs of one kind do.

    Attributes
    ----------
    has_history
        Whether its turns go on from each other.
    time_s
        Time within which a program should be over.
    """

    route: str
    fewest_turns: int
    most_turns: int
    events: int
    has_history: bool
    time_s: float


PROGRAM_KINDS = {
    URGENT: ProgramKind(URGENT, 1, 2, URGENT_EVENTS, False, URGENT_TIME_S),
    LONG: ProgramKind(LONG, FEWEST_LONG_TURNS, MOST_LONG_TURNS, LONG_EVENTS, True, LONG_TIME_S),
}


class Line:
    """One program's line of turns: its budget, the last whole turn, the history up to it."""

    def __init__(self, program_id: str, kind: ProgramKind, budget_turns: float) -> None:
        self.program_id = program_id
        self.budget = int(budget_turns * kind.events * TOKENS_PER_EVENT)
        self._kind = kind
        self._previous: str | None = None
        self._history = b""

    def turn(self, name: str) -> Call:
        """Return the next turn."""
        kind = self._kind
        body = f"[{name}]".encode()
        headers = {
            names.PROGRAM_ID: self.program_id,
            names.SESSION_ID: self.program_id,
            names.PROGRAM_DEADLINE_MS: str(int(kind.time_s * MILLISECONDS)),
            names.TOKEN_BUDGET: str(self.budget),
            names.TOKEN_USAGE: f"{PROMPT_TOKENS},{kind.events * TOKENS_PER_EVENT}",
        }
        if self._previous is not None:
            headers[names.PREVIOUS_TURN] = self._previous
        return Call(
            name=f"{self.program_id}-{name}",
            route=kind.route,
            tenant=USUAL_TENANT,
            headers=headers,
            body=body,
            expected_body=self._history + body,
            has_kept_history=self._previous is not None,
            events=kind.events,
        )

    def go_on_from(self, turn: Call, request_id: str) -> None:
        """Note a turn whose whole answer has come, and the id of its attempt."""
        if self._kind.has_history:
            self._previous = request_id
            self._history = turn.expected_body + kept_output(request_id, self._kind.events)


class Load:
    """Begins programs at random moments of a seed and follows them to their end."""

    def __init__(self, callers: Callers, ledger: Ledger, tallies: Tallies, seed: int) -> None:
        self._callers = callers
        self._ledger = ledger
        self._tallies = tallies
        self._seed = seed
        self._begun = 0
        self._under_way = 0

    async def run(self, load_s: float) -> None:
        """Begin programs for some seconds; return when all have ended."""
        async with anyio.create_task_group() as tasks:
            for kind, per_s in ((URGENT, URGENT_PER_S), (LONG, LONG_PER_S), (FLOOD, FLOOD_PER_S)):
                tasks.start_soon(self._arrivals, tasks, kind, per_s, load_s)

    async def _arrivals(self, tasks: TaskGroup, kind: str, per_s: float, load_s: float) -> None:
        moments = random.Random(f"{self._seed} {kind}")
        ends_at = anyio.current_time() + load_s
        while anyio.current_time() < ends_at:
            if self._under_way < MOST_UNDER_WAY:
                tasks.start_soon(self._run_program, kind, moments.getrandbits(32))
            else:
                self._tallies.note_program(kind, Outcome.NOT_BEGUN)
            await anyio.sleep(moments.expovariate(per_s))

    async def _run_program(self, kind: str, number: int) -> None:
        self._begun += 1
        self._under_way += 1
        choices = random.Random(number)
        program_id = f"{kind}-{self._seed}-{self._begun}"
        try:
            if kind == FLOOD:
                outcome = await self._run_flood(program_id)
            else:
                outcome = await self._run_turns(program_id, choices, PROGRAM_KINDS[kind])
            self._tallies.note_program(kind, outcome)
        finally:
            self._under_way -= 1

    async def _run_flood(self, program_id: str) -> Outcome:
        call = tool_call(program_id, "0", LOOKUP, FLOODING_TENANT, most_tries=1)
        return _outcome_of(await self._callers.make(call))

    async def _run_turns(
        self, program_id: str, choices: random.Random, kind: ProgramKind
    ) -> Outcome:
        """Run a program with a tool call after each turn; some long ones have a tight budget."""
        is_tight = kind.has_history and choices.random() < TIGHT_SHARE
        line = Line(program_id, kind, TIGHT_BUDGET_TURNS if is_tight else AMPLE_BUDGET_TURNS)
        self._ledger.begin_program(program_id, line.budget, anyio.current_time())
        for number in range(choices.randint(kind.fewest_turns, kind.most_turns)):
            result = await self._take_turn(line, f"{number}", is_doubled=is_tight)
            if not result.is_success:
                return _outcome_of(result)
            charges = kind.has_history and choices.random() < CHARGE_SHARE
            route = CHARGE if charges else LOOKUP
            result = await self._callers.make(tool_call(program_id, f"{number}", route))
            if not result.is_success and not charges:
                return _outcome_of(result)
        return Outcome.COMPLETED

    async def _take_turn(self, line: Line, name: str, *, is_doubled: bool) -> CallResult:
        """Take a turn; a doubled one has a twin at the same time, most likely elsewhere."""
        turn = line.turn(name)
        if is_doubled:
            result = await self._make_twins(turn)
        else:
            result = await self._callers.make(turn)
        if result.is_success:
            line.go_on_from(turn, result.request_id)
        return result

    async def _make_twins(self, turn: Call) -> CallResult:
        results: list[CallResult] = []

        async def make(name: str) -> None:
            twin = msgspec.structs.replace(turn, name=name)
            results.append(await self._callers.make(twin))

        async with anyio.create_task_group() as tasks:
            for letter in "ab":
                tasks.start_soon(make, turn.name + letter)
        return next((result for result in results if result.is_success), results[0])


def tool_call(
    program_id: str, name: str, route: str, tenant: str = USUAL_TENANT, most_tries: int = 5
) -> Call:
    """Return a call of a tool; charges may run only once, look-ups more often."""
    is_once = route == CHARGE
    body = f"({program_id} {name})".encode()
    return Call(
        name=f"{program_id}-{route}-{name}",
        route=route,
        tenant=tenant,
        headers={names.PROGRAM_ID: program_id, names.SESSION_ID: program_id},
        body=body,
        expected_body=body,
        most_tries=most_tries,
        most_runs=1 if is_once else SAFE_RUNS,
        is_once=is_once,
    )


def _outcome_of(result: CallResult) -> Outcome:
    if result.is_success:
        return Outcome.COMPLETED
    if result.status == BUDGET_SPENT:
        return Outcome.BUDGET_SPENT
    return Outcome.REFUSED if result.status in PROMISES_OF_NOT_RUN else Outcome.FAILED
