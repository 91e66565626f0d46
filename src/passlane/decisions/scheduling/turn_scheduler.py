"""Decides for all nodes together which turn runs when, and at which engine.

The load that it answers: kinds of programs and tenants that compete for too few places, and
engines that differ in speed. Its rules stand in ``turn_queue`` (who goes first),
``program_admission`` (which new programs wait or are told to come back) and ``expected_end``
(where a turn goes). It is told of every turn's beginning and end, so it knows what is under way.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from passlane.decisions.admission.program_admission import (
    LONGEST_HOLD_AFTER_RETURN_S,
    LONGEST_HOLD_S,
    ProgramAdmission,
    retry_after,
)
from passlane.decisions.backends.engine_slots import EngineSlots, PlacedTurn
from passlane.decisions.backends.engine_table import EngineTable
from passlane.decisions.backends.health import STALL_WEIGHT
from passlane.decisions.inputs.turn_events import (
    TurnAsked,
    TurnDecision,
    TurnEnded,
    TurnNotPlaced,
    TurnPlaced,
    TurnWithdrawn,
)
from passlane.decisions.order.program_progress import ProgramProgress, ProgramTable
from passlane.decisions.order.turn_queue import (
    LONGEST_LATE_WAIT_S,
    LONGEST_PASSED_OVER_S,
    TurnQueue,
    WaitingTurn,
)
from passlane.decisions.placement.turn_placement import EngineChoice, TurnDurations, choose_engine
from passlane.messages.listing import BackendRecord
from passlane.messages.placement import TurnOutcome

LEARNING_S = 0.6
"""A new leader knows of no turn under way. Nearly all of them end within this time; until then
nodes choose engines by themselves."""
PLACE_FACTOR = 4.0
SHORTEST_PLACE_S = 1.0
"""A place is given back after this multiple of the expected time, at least, if nobody tells its
turn's end: its node was lost, or the engine hangs."""
LONGEST_LOOPING_HOLD_S = 1.2
MOST_FAILED_ATTEMPTS = 10_000
"""So many turns with failures are remembered, so that a settlement that is repeated reports none
again; more than fail within the seconds for which one is repeated."""


class SchedulerFigures(msgspec.Struct, frozen=True):
    """What the scheduler has under way and waiting; for logs and metrics."""

    engines: int
    slots: int
    running: int
    waiting_under_way: int
    waiting_new: int
    told_to_return: int


class _Service(msgspec.Struct):
    """The waiting turns and learnt figures of one service."""

    queue: TurnQueue = msgspec.field(default_factory=TurnQueue)
    admission: ProgramAdmission = msgspec.field(default_factory=ProgramAdmission)
    durations: TurnDurations = msgspec.field(default_factory=TurnDurations)


class TurnScheduler:
    """Places turns at engines in one order over all nodes."""

    def __init__(self) -> None:
        self._engines = EngineTable()
        self._programs = ProgramTable()
        self._services: dict[str, _Service] = {}
        self._learning_until = -math.inf
        self._failed_attempts: OrderedDict[str, None] = OrderedDict()

    def begin(self, now: float) -> list[TurnDecision]:
        """Begin anew as a new leader: nothing is known of what is under way."""
        lost = [
            TurnWithdrawn(turn.attempt_id)
            for service in self._services.values()
            for turn in service.queue.in_order(now)
        ]
        records = [engine.record for engine in self._engines]
        self._engines = EngineTable()
        self._engines.replace_records(records)
        self._services = {}
        self._learning_until = now + LEARNING_S
        return list(lost)

    def replace_backends(self, records: Iterable[BackendRecord], now: float) -> list[TurnDecision]:
        """Take over the list of back ends; nodes choose for services that have none any more."""
        self._engines.replace_records(records)
        left: list[TurnDecision] = []
        for name, service in self._services.items():
            if not self._engines.of_service(name):
                left += self._leave_to_nodes(service, now)
        return left + self._fill_all(now)

    def _leave_to_nodes(self, service: _Service, now: float) -> list[TurnPlaced]:
        """Let nodes choose where turns go that wait here for engines that are gone."""
        turns = list(service.queue.in_order(now))
        for turn in turns:
            self._leave_queue(service, turn.attempt_id)
        return [
            TurnPlaced(attempt_id=turn.attempt_id, engine="", waited_s=now - turn.arrived_at)
            for turn in turns
        ]

    def ask(self, asked: TurnAsked, now: float) -> list[TurnDecision]:
        """Place a turn, let it wait, or refuse it."""
        demand = asked.demand
        service = self._services.setdefault(demand.service, _Service())
        if now < self._learning_until or not self._engines.of_service(demand.service):
            return [TurnPlaced(attempt_id=asked.attempt_id, engine="", waited_s=0.0)]
        holder = self._engines.engine_of(asked.attempt_id)
        if holder is not None:
            # The answer to an earlier question of the same attempt was lost.
            return [
                TurnPlaced(attempt_id=asked.attempt_id, engine=holder.instance_id, waited_s=0.0)
            ]
        program = self._programs.see(
            asked.program_id, demand.route, demand.program_time_left_s, now
        )
        if self._programs.is_looping(program):
            # It gets places that nobody wants, none beyond an engine's slots.
            asked = msgspec.structs.replace(asked, used_last="")
        elif program.used_last:
            # Newer than what is replicated, which holds settlements back for a moment.
            asked = msgspec.structs.replace(asked, used_last=program.used_last)
        is_new = asked.is_first and program.turns == 0
        waiting = self._waiting_turn(asked, program, service, is_new=is_new, now=now)
        choice = self._choice_at_once(waiting, service, now)
        if choice is not None:
            return [self._place(waiting, choice, service, now)]
        if is_new:
            return self._hold_or_refuse(waiting, service, now)
        service.queue.add(waiting)
        return []

    def end(self, ended: TurnEnded, now: float) -> list[TurnDecision]:
        """Note the end of a turn; those that waited for its place may follow."""
        for service in self._services.values():
            if self._leave_queue(service, ended.attempt_id):
                return [TurnWithdrawn(ended.attempt_id)]
        given_back = self._engines.give_back(ended.attempt_id)
        if ended.outcome is not None:
            self._note_failures(ended.attempt_id, ended.outcome, now)
        placed = given_back or self._engines.take_expired(ended.attempt_id)
        if placed is None:
            return []
        self._programs.note_end(placed.turn.program_id, ended.served_by, now)
        self._learn(placed.engine, placed.turn, ended, now)
        return self._fill(placed.engine.record.service, now) if given_back is not None else []

    def advance(self, now: float) -> list[TurnDecision]:
        """Give back places by time, refuse what has waited too long, and go on."""
        self._engines.look_again()
        for engine in self._engines.expire(now):
            engine.health.note_failure(now, STALL_WEIGHT)
        refused: list[TurnDecision] = []
        for name, service in self._services.items():
            service.admission.forget_lapsed(now)
            for turn in service.queue.take_held_too_long(now):
                self._note_left(service, turn)
                refused.append(self._refuse(turn, name, service, now))
        return refused + self._fill_all(now)

    def figures(self, service_name: str) -> SchedulerFigures:
        """Return what is under way and waiting of a service."""
        service = self._services.get(service_name, _Service())
        engines = self._engines.of_service(service_name)
        return SchedulerFigures(
            engines=len(engines),
            slots=sum(engine.slots for engine in engines),
            running=sum(len(engine.turns) for engine in engines),
            waiting_under_way=service.queue.under_way,
            waiting_new=service.queue.new_programs,
            told_to_return=len(service.admission),
        )

    @property
    def service_names(self) -> tuple[str, ...]:
        """Services whose turns it has placed."""
        return tuple(self._services)

    # Who waits.

    def _waiting_turn(
        self,
        asked: TurnAsked,
        program: ProgramProgress,
        service: _Service,
        *,
        is_new: bool,
        now: float,
    ) -> WaitingTurn:
        is_looping = self._programs.is_looping(program)
        hold_until = math.inf
        asked_at = now
        if is_new:
            admission = service.admission
            asked_at = admission.first_asked_at(asked.program_id, now)
            has_returned = admission.came_as_told(asked.program_id, now)
            hold_until = now + (LONGEST_HOLD_AFTER_RETURN_S if has_returned else LONGEST_HOLD_S)
        elif is_looping:
            hold_until = now + LONGEST_LOOPING_HOLD_S
        return WaitingTurn(
            asked=asked,
            asked_at=asked_at,
            arrived_at=now,
            latest_start=self._programs.latest_start(program),
            hold_until=hold_until,
            is_new_program=is_new,
            is_looping=is_looping,
        )

    def _choice_at_once(
        self, turn: WaitingTurn, service: _Service, now: float
    ) -> EngineChoice | None:
        """Return where a turn that has just asked goes, unless others go before it."""
        queue = service.queue
        if turn.is_looping and len(queue) > 0:
            return None
        if turn.is_new_program and (queue.new_programs or queue.is_before_new(turn.urgency)):
            return None
        if queue.longest_more_urgent_wait_s(turn.urgency, now) > LONGEST_PASSED_OVER_S:
            return None
        if self._is_memory_awaited(turn, service, now):
            return None
        return self._choose(turn, service, now)

    def _is_memory_awaited(self, turn: WaitingTurn, service: _Service, now: float) -> bool:
        """Whether a large turn of the same rank has waited too long for memory.

        Places are free then that it can't use; smaller turns that took them would keep the
        memory from it.
        """
        waited_s = service.queue.longest_wait_under_way_s(turn.urgency, now)
        if waited_s < LONGEST_LATE_WAIT_S:
            return False
        return self._engines.has_free_slot(turn.asked.demand.service, now)

    def _hold_or_refuse(
        self, turn: WaitingTurn, service: _Service, now: float
    ) -> list[TurnDecision]:
        """Let a new program wait if it can begin soon; else tell it when to come back.

        One that came back as it was told waits in any case.
        """
        if service.admission.came_as_told(turn.asked.program_id, now):
            return self._hold(turn, service)
        before = service.admission.programs_before(turn.asked, turn.asked_at, now)
        wait_s = service.admission.expected_wait_s(before, self._start_rate(turn, service), now)
        if wait_s > turn.hold_until - now:
            return [self._refuse(turn, turn.asked.demand.service, service, now)]
        return self._hold(turn, service)

    def _hold(self, turn: WaitingTurn, service: _Service) -> list[TurnDecision]:
        service.queue.add(turn)
        service.admission.note_waits(turn.asked, turn.asked_at)
        return []

    def _leave_queue(self, service: _Service, attempt_id: str) -> bool:
        """Take a turn out of the queue; return whether it was there."""
        turn = service.queue.remove(attempt_id)
        if turn is not None:
            self._note_left(service, turn)
        return turn is not None

    @staticmethod
    def _note_left(service: _Service, turn: WaitingTurn) -> None:
        if turn.is_new_program:
            service.admission.note_waits_no_longer(turn.asked.program_id)

    def _refuse(self, turn: WaitingTurn, name: str, service: _Service, now: float) -> TurnNotPlaced:
        before = service.admission.programs_before(turn.asked, turn.asked_at, now)
        wait_s = service.admission.expected_wait_s(before, self._start_rate(turn, service), now)
        retry_after_s = retry_after(wait_s)
        if turn.is_new_program:
            service.admission.note_refused(turn.asked, turn.asked_at, retry_after_s, now)
        return TurnNotPlaced(
            attempt_id=turn.attempt_id,
            retry_after_s=retry_after_s,
            waiting=before,
            busy_share=self._engines.busy_share(name),
            waited_s=now - turn.arrived_at,
        )

    def _start_rate(self, turn: WaitingTurn, service: _Service) -> float:
        """Return how many programs of a route a second all places together could serve."""
        demand = turn.asked.demand
        slots = self._engines.all_slots(demand.service)
        return slots / (service.durations.mean_s * self._programs.mean_turns(demand.route))

    # Where turns go.

    def _fill_all(self, now: float) -> list[TurnDecision]:
        decisions: list[TurnDecision] = []
        for name in self._services:
            decisions += self._fill(name, now)
        return decisions

    def _fill(self, name: str, now: float) -> list[TurnDecision]:
        """Give free places to turns that wait, in order."""
        service = self._services.get(name)
        decisions: list[TurnDecision] = []
        while service is not None and len(service.queue) > 0:
            placed = self._place_next(service, now)
            if placed is None:
                break
            decisions.append(placed)
        return decisions

    def _place_next(self, service: _Service, now: float) -> TurnPlaced | None:
        first = next(service.queue.in_order(now))
        choice = self._choose(first, service, now)
        if choice is None:
            return None
        turn = service.queue.first_for(choice.engine.instance_id, now) or first
        if turn is not first:
            choice_for_turn = self._choose(turn, service, now)
            if choice_for_turn is None:
                turn = first
            else:
                choice = choice_for_turn
        self._leave_queue(service, turn.attempt_id)
        return self._place(turn, choice, service, now)

    def _choose(self, turn: WaitingTurn, service: _Service, now: float) -> EngineChoice | None:
        engines = self._engines.usable(turn.asked.demand.service, now)
        return choose_engine(engines, turn.asked, service.durations)

    def _place(
        self, turn: WaitingTurn, choice: EngineChoice, service: _Service, now: float
    ) -> TurnPlaced:
        asked = turn.asked
        engine = choice.engine
        running = len(engine.turns)
        placed = PlacedTurn(
            attempt_id=asked.attempt_id,
            program_id=asked.program_id,
            tokens=asked.demand.prompt_tokens + asked.most_tokens,
            placed_at=now,
            expected_s=choice.run_s,
            expected_slowdown=choice.slowdown,
            until=now + max(SHORTEST_PLACE_S, PLACE_FACTOR * choice.end_s),
        )
        self._engines.take(engine, placed)
        engine.note_part(asked.demand)
        self._programs.note_placed(asked.program_id, turn.arrived_at, now)
        if turn.is_new_program:
            service.admission.note_begun(asked.program_id, now)
        service.queue.charge(asked, choice.run_s)
        return TurnPlaced(
            attempt_id=asked.attempt_id,
            engine=engine.instance_id,
            waited_s=now - turn.arrived_at,
            expected_s=choice.end_s,
            running=running,
            waiting=len(service.queue),
        )

    # What is learnt.

    def _learn(self, engine: EngineSlots, turn: PlacedTurn, ended: TurnEnded, now: float) -> None:
        """Learn from a turn that its engine answered whole, also if its place was over before."""
        outcome = ended.outcome
        if outcome is None or outcome.engine_s <= 0 or ended.served_by != engine.instance_id:
            return
        engine.learn(turn, outcome, now)
        durations = self._durations_of(engine.record.service)
        durations.learn(outcome, engine.speed.against_fleet(now))

    def _note_failures(self, attempt_id: str, outcome: TurnOutcome, now: float) -> None:
        """Note what failed for a turn, once: its settlement may come again."""
        has_failed = bool(outcome.failed_at or outcome.full_at)
        if not has_failed or attempt_id in self._failed_attempts:
            return
        self._failed_attempts[attempt_id] = None
        while len(self._failed_attempts) > MOST_FAILED_ATTEMPTS:
            self._failed_attempts.popitem(last=False)
        for instance_id in outcome.failed_at:
            engine = self._engines.get(instance_id)
            if engine is not None:
                engine.health.note_failure(now, 1.0)
        for instance_id in outcome.full_at:
            engine = self._engines.get(instance_id)
            if engine is not None:
                engine.pause_as_full(now)
        self._engines.look_again()

    def _durations_of(self, name: str) -> TurnDurations:
        return self._services.setdefault(name, _Service()).durations
