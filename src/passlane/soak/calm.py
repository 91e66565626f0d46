"""Judges a fleet after its load and its faults: is everything back, is no place held?"""

import random
from collections.abc import Callable, Sequence

import anyio

from passlane.soak.back_ends import EVENT_PAUSE_S, StandInEngine
from passlane.soak.callers import MOST_TRIES, Callers
from passlane.soak.configuration import LONG
from passlane.soak.ledger import Ledger
from passlane.soak.programs import AMPLE_BUDGET_TURNS, LONG_EVENTS, PROGRAM_KINDS, Line
from passlane.soak.report import FullSet, FullSetTurn, Run
from passlane.soak.watch import Watch

LONGEST_RETURN_S = 30.0
"""A fleet that is not whole again after this long counts as broken, also on a busy machine."""
CALM_S = 3.0
"""Places of turns whose end nobody told are given back within this time."""
ROUNDS = 5
"""A full set is tried so often: one place that is held for good spoils all rounds."""
ROUND_PAUSE_S = 0.5
FULL_SET_TURN_S = 0.8
"""Shorter than the time after which a place is given back without an end."""


class CalmChecks:
    """Runs when load and faults have ended.

    Attributes
    ----------
    rounds
        The full sets that were tried.
    """

    def __init__(
        self,
        callers: Callers,
        ledger: Ledger,
        watch: Watch,
        engines: Sequence[StandInEngine],
        seed: int,
    ) -> None:
        self._callers = callers
        self._ledger = ledger
        self._watch = watch
        self._engines = engines
        self._name = f"full-set-{seed}-{random.Random(seed).getrandbits(32):08x}"
        self._served = 0
        self._asked_at: dict[str, float] = {}
        self.rounds: list[FullSet] = []

    async def run(self) -> None:
        """Make all checks."""
        await self._expect("ready-again", self._watch.all_ready, "a node stays not ready")
        detail = f"version {self._watch.acknowledged} is not in force at each node"
        await self._expect("accepted-in-force", self._watch.are_up_to_date, detail)
        await anyio.sleep(CALM_S)
        await self._fill_all_places()

    async def _expect(self, check: str, condition: Callable[[], bool], detail: str) -> None:
        """Wait until something holds; a finding if it doesn't in time."""
        with anyio.move_on_after(LONGEST_RETURN_S):
            await self._watch.wait_until(condition)
        self._ledger.check(check, condition(), "", detail, anyio.current_time())

    async def _fill_all_places(self) -> None:
        """Serve as many turns at once as engines have places."""
        places = sum(engine.places for engine in self._engines)
        for engine in self._engines:
            engine.pace = FULL_SET_TURN_S / LONG_EVENTS / EVENT_PAUSE_S
        most_running = 0
        for number in range(ROUNDS):
            self._served = 0
            self._ledger.most_running = 0
            async with anyio.create_task_group() as tasks:
                for place in range(places):
                    tasks.start_soon(self._take_turn, f"{self._name}-{number}-{place}")
            most_running = max(most_running, self._ledger.most_running)
            self._note_round(number, places)
            if most_running >= places and self._served == places:
                break
            await anyio.sleep(ROUND_PAUSE_S)
        now = anyio.current_time()
        detail = f"{most_running} of {places} turns ran at once, {self._served} served at last"
        is_full = most_running >= places and self._served == places
        self._ledger.check("no-place-held", is_full, self._name, detail, now)

    def _note_round(self, number: int, places: int) -> None:
        """Keep when each turn of the round was asked for and begun, and where."""
        names = [f"{self._name}-{number}-{place}" for place in range(places)]
        turns = [
            FullSetTurn(name, self._asked_at.get(name, 0.0), self._runs(name)) for name in names
        ]
        self.rounds.append(FullSet(self._ledger.most_running, self._served, tuple(turns)))

    def _runs(self, name: str) -> tuple[Run, ...]:
        attempts = (f"{name}-0.{number}" for number in range(MOST_TRIES))
        return tuple(run for attempt in attempts for run in self._ledger.runs_of(attempt))

    async def _take_turn(self, program_id: str) -> None:
        self._asked_at[program_id] = round(anyio.current_time() - self._ledger.began_at, 3)
        line = Line(program_id, PROGRAM_KINDS[LONG], budget_turns=AMPLE_BUDGET_TURNS)
        self._ledger.begin_program(program_id, line.budget, anyio.current_time())
        result = await self._callers.make(line.turn("0"))
        self._served += result.is_success
