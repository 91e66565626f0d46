"""Gives slots of engines to turns, in order; the part of the scheduler of turns that places.

It answers which turn gets a slot that is free, and until when the turn has it. It owns no state
of its own: slots stand in ``EngineTable``, waiting turns in ``ServiceTurns``, programs in
``ProgramTable``. It relies on ``turn_queue`` for who goes first and on ``turn_placement`` for
where a turn goes.

Times are local monotonic seconds.
"""

from passlane.decisions.backends.engine_slots import PlacedTurn
from passlane.decisions.backends.engine_table import EngineTable
from passlane.decisions.inputs.turn_events import TurnPlaced
from passlane.decisions.order.program_progress import ProgramTable
from passlane.decisions.order.turn_queue import WaitingTurn
from passlane.decisions.placement.turn_placement import EngineChoice, choose_engine
from passlane.decisions.scheduling.service_turns import ServiceTurns

SLOT_TIME_FACTOR = 4.0
"""A slot is given back after this multiple of the expected time if nobody tells its turn's end:
its node was lost, or the engine hangs. Not measured; chosen."""
SHORTEST_SLOT_S = 1.0
"""Seconds for which a turn has its slot at least, unless its end is told. Not measured; chosen."""


class TurnPlacing:
    """Places turns at engines and keeps account of it."""

    def __init__(self, engines: EngineTable, programs: ProgramTable) -> None:
        self._engines = engines
        self._programs = programs

    def choose(self, turn: WaitingTurn, service: ServiceTurns, now: float) -> EngineChoice | None:
        """Return where a turn goes; ``None`` if no engine has room for it."""
        engines = self._engines.usable(service.name, now)
        choice = choose_engine(engines, turn.asked, service.durations)
        if choice is not None:
            return choice
        on_trial = self._engines.on_trial(service.name, now)
        return choose_engine(on_trial, turn.asked, service.durations)

    def fill(self, service: ServiceTurns, now: float) -> list[TurnPlaced]:
        """Give free slots to turns that wait, in order, until the first one has no room."""
        placed: list[TurnPlaced] = []
        while len(service.queue) > 0:
            decision = self._place_next(service, now)
            if decision is None:
                break
            placed.append(decision)
        return placed

    def _place_next(self, service: ServiceTurns, now: float) -> TurnPlaced | None:
        """Place the first turn, or one close behind it whose history the engine holds."""
        first = next(service.queue.in_order(now))
        choice = self.choose(first, service, now)
        if choice is None:
            return None
        turn = service.queue.first_for(choice.engine.incarnation, now) or first
        if turn is not first:
            own_choice = self.choose(turn, service, now)
            turn, choice = (first, choice) if own_choice is None else (turn, own_choice)
        service.withdraw(turn.attempt_id)
        return self.place(turn, choice, service, now)

    def place(
        self, turn: WaitingTurn, choice: EngineChoice, service: ServiceTurns, now: float
    ) -> TurnPlaced:
        """Give a turn, which does not wait any longer, a slot at the engine of a choice."""
        asked = turn.asked
        engine = choice.engine
        running = len(engine.turns)
        self._engines.take(engine, _placed_turn(turn, choice, now))
        engine.note_part(asked.demand)
        self._programs.note_placed(asked.program_id, turn.arrived_at, now)
        if turn.is_new_program:
            service.admission.note_begun(asked.program_id, now)
        service.queue.charge(asked, choice.run_s)
        return TurnPlaced(
            attempt_id=asked.attempt_id,
            engine=engine.incarnation,
            waited_s=now - turn.arrived_at,
            expected_s=choice.end_s,
            running=running,
            waiting=len(service.queue),
        )


def _placed_turn(turn: WaitingTurn, choice: EngineChoice, now: float) -> PlacedTurn:
    asked = turn.asked
    return PlacedTurn(
        attempt_id=asked.attempt_id,
        program_id=asked.program_id,
        tokens=asked.demand.prompt_tokens + asked.most_tokens,
        placed_at=now,
        expected_s=choice.run_s,
        expected_slowdown=choice.slowdown,
        until=now + max(SHORTEST_SLOT_S, SLOT_TIME_FACTOR * choice.end_s),
    )
