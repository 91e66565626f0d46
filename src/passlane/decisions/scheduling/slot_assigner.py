"""Assigns free engine slots to turns in order of priority.

It is a part of the turn scheduler and decides which turn gets a free slot, and when the slot
expires. It owns no state: ``EngineTable`` has the slots, ``ServiceTurns`` the waiting turns and
``ProgramTable`` the programs. ``turn_queue`` defines the order and ``turn_placement`` the engine.

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
"""A slot expires after this multiple of the expected time if the end of its turn is not reported:
its node failed or the engine hangs."""
MIN_SLOT_S = 1.0
"""Minimum time in seconds before a slot expires."""


class SlotAssigner:
    """Assigns engine slots to turns and records the assignments."""

    def __init__(self, engines: EngineTable, programs: ProgramTable) -> None:
        self._engines = engines
        self._programs = programs

    def choose(self, turn: WaitingTurn, service: ServiceTurns, now: float) -> EngineChoice | None:
        """Return the engine for a turn; ``None`` if no engine has capacity for it."""
        engines = self._engines.usable(service.name, now)
        choice = choose_engine(engines, turn.asked, service.durations)
        if choice is not None:
            return choice
        probe_candidates = self._engines.probe_candidates(service.name, now)
        return choose_engine(probe_candidates, turn.asked, service.durations)

    def assign_free_slots(self, service: ServiceTurns, now: float) -> list[TurnPlaced]:
        """Assign free slots to waiting turns in order, until the first one fits no engine."""
        placed: list[TurnPlaced] = []
        while len(service.queue) > 0:
            decision = self._assign_next(service, now)
            if decision is None:
                break
            placed.append(decision)
        return placed

    def _assign_next(self, service: ServiceTurns, now: float) -> TurnPlaced | None:
        """Place the first turn, or one close behind it whose history the engine caches."""
        first = next(service.queue.in_order(now))
        choice = self.choose(first, service, now)
        if choice is None:
            return None
        turn = service.queue.first_for(choice.engine.incarnation, now) or first
        if turn is not first:
            own_choice = self.choose(turn, service, now)
            turn, choice = (first, choice) if own_choice is None else (turn, own_choice)
        service.dequeue(turn.attempt_id)
        return self.assign(turn, choice, service, now)

    def assign(
        self, turn: WaitingTurn, choice: EngineChoice, service: ServiceTurns, now: float
    ) -> TurnPlaced:
        """Assign a slot at the chosen engine to a turn that is not queued."""
        request = turn.asked
        engine = choice.engine
        running = len(engine.turns)
        self._engines.assign(engine, _placed_turn(turn, choice, now))
        engine.record_shared_part(request.demand)
        self._programs.note_placed(request.program_id, turn.arrived_at, now)
        if turn.is_new_program:
            service.admission.note_begun(request.program_id, now)
        service.queue.charge(request, choice.run_s)
        return TurnPlaced(
            attempt_id=request.attempt_id,
            engine=engine.incarnation,
            waited_s=now - turn.arrived_at,
            expected_s=choice.end_s,
            running=running,
            waiting=len(service.queue),
        )


def _placed_turn(turn: WaitingTurn, choice: EngineChoice, now: float) -> PlacedTurn:
    request = turn.asked
    return PlacedTurn(
        attempt_id=request.attempt_id,
        program_id=request.program_id,
        tokens=request.demand.prompt_tokens + request.most_tokens,
        placed_at=now,
        expected_s=choice.run_s,
        expected_slowdown=choice.slowdown,
        until=now + max(MIN_SLOT_S, SLOT_TIME_FACTOR * choice.end_s),
    )
