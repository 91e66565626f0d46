"""Decides for all nodes together which turn runs when, and at which engine.

It is for loads that nodes by themselves answer badly: kinds of programs and tenants that compete
for too few slots, and engines that differ in speed. It takes in the events of turns and owns what
their answers rest on: the engines' slots, the programs under way, the waiting turns by service.

=============================================  =====================================
question                                       rule
=============================================  =====================================
does a node choose the engine by itself?       ``TurnScheduler.is_left_to_node``
must a turn that asks wait behind others?      ``turn_precedence.waits_for``
which waiting turn goes first?                 ``turn_queue``
to which engine does it go?                    ``turn_placement.choose_engine``
does an engine take turns at all?              ``engine_table.EngineTable.usable``
may a new program wait, or is it refused?      ``turn_entry``, ``program_admission``
when is a slot given back without an end?      ``turn_placing``
=============================================  =====================================

It relies on being told of each turn's beginning and end, so that it knows what is under way.
Times are local monotonic seconds. No method raises an error.
"""

import math
from collections.abc import Iterable

import msgspec

from passlane.decisions.backends.engine_table import EngineSlotState, EngineTable
from passlane.decisions.backends.health import STALL_WEIGHT
from passlane.decisions.inputs.turn_events import (
    TurnAsked,
    TurnDecision,
    TurnEnded,
    TurnPlaced,
    TurnWithdrawn,
)
from passlane.decisions.order.program_progress import ProgramTable
from passlane.decisions.scheduling.service_turns import ServiceTurns
from passlane.decisions.scheduling.turn_entry import TurnEntry
from passlane.decisions.scheduling.turn_outcomes import (
    TurnOutcomes,
    is_answered_whole,
    learn_pace,
)
from passlane.decisions.scheduling.turn_placing import TurnPlacing
from passlane.messages.listing import BackendRecord

LEARNING_S = 0.6
"""Seconds. A new leader knows of no turn under way. Nearly all of them end within this time;
until then nodes choose engines by themselves. Not measured; chosen."""


class SchedulerFigures(msgspec.Struct, frozen=True):
    """What the scheduler has under way and waiting of a service; for logs and metrics.

    The names of the fields are those of the log line ``places``. ``told_to_return`` counts the
    programs that were refused and whose time to retry is not over.
    """

    engines: int
    slots: int
    running: int
    waiting_under_way: int
    waiting_new: int
    told_to_return: int

    @property
    def has_waiting(self) -> bool:
        """Whether any turn waits, or a refused program is to retry."""
        return bool(self.waiting_new or self.waiting_under_way or self.told_to_return)


class TurnScheduler:
    """Places turns at engines in one order over all nodes."""

    def __init__(self) -> None:
        self._engines = EngineTable()
        self._programs = ProgramTable()
        self._services: dict[str, ServiceTurns] = {}
        self._placing = TurnPlacing(self._engines, self._programs)
        self._entry = TurnEntry(self._engines, self._programs, self._placing)
        self._outcomes = TurnOutcomes(self._engines)
        self._learning_until = -math.inf

    def begin(self, now: float) -> list[TurnDecision]:
        """Begin anew as a new leader: nothing is known of what is under way."""
        lost: list[TurnDecision] = [
            TurnWithdrawn(turn.attempt_id)
            for service in self._services.values()
            for turn in service.queue.in_order(now)
        ]
        self._engines.begin_anew()
        self._services = {}
        self._learning_until = now + LEARNING_S
        return lost

    def replace_backends(self, records: Iterable[BackendRecord], now: float) -> list[TurnDecision]:
        """Take over the list of back ends; nodes choose for services that have none any more."""
        self._engines.replace_records(records)
        decisions: list[TurnDecision] = []
        for name, service in self._services.items():
            if not self._engines.of_service(name):
                left = service.take_all(now)
                decisions += [_left_to_node(t.attempt_id, now - t.arrived_at) for t in left]
        return decisions + self._fill_all(now)

    def ask(self, asked: TurnAsked, now: float) -> list[TurnDecision]:
        """Place a turn, let it wait, or refuse it."""
        demand = asked.demand
        service = self._service(demand.service)
        if self.is_left_to_node(demand.service, now):
            return [_left_to_node(asked.attempt_id, 0.0)]
        holder = self._engines.engine_of(asked.attempt_id)
        if holder is not None:
            # The answer to an earlier question of the same attempt was lost.
            engine = holder.incarnation
            return [TurnPlaced(attempt_id=asked.attempt_id, engine=engine, waited_s=0.0)]
        program = self._programs.see(
            asked.program_id, demand.route, demand.program_time_left_s, now
        )
        used_last = self._programs.engine_of_history(program, asked.used_last)
        if used_last != asked.used_last:
            asked = msgspec.structs.replace(asked, used_last=used_last)
        return self._entry.ask(asked, program, service, now)

    def is_left_to_node(self, service_name: str, now: float) -> bool:
        """Whether nodes choose engines: this leader is new, or the service has no engine here."""
        return now < self._learning_until or not self._engines.of_service(service_name)

    def end(self, ended: TurnEnded, now: float) -> list[TurnDecision]:
        """Note the end of a turn; those that waited for its slot may follow."""
        for service in self._services.values():
            if service.withdraw(ended.attempt_id):
                return [TurnWithdrawn(ended.attempt_id)]
        given_back = self._engines.give_back(ended.attempt_id)
        if ended.outcome is not None:
            self._outcomes.note_failures(ended.attempt_id, ended.outcome, now)
        held = given_back or self._engines.take_expired(ended.attempt_id)
        if held is None:
            return []
        self._programs.note_end(held.turn.program_id, ended.served_by, now)
        service_name = held.engine.record.service
        if ended.outcome is not None and is_answered_whole(held, ended):
            learn_pace(held, ended.outcome, self._service(service_name).durations, now)
            self._engines.note_served(held.engine)
        return self._fill(service_name, now) if given_back is not None else []

    def advance(self, now: float) -> list[TurnDecision]:
        """Give back slots by time, refuse what has waited too long, and go on."""
        self._engines.look_again()
        for engine in self._engines.expire(now):
            engine.health.note_failure(now, STALL_WEIGHT)
        decisions: list[TurnDecision] = []
        for service in self._services.values():
            decisions += self._entry.refuse_held_too_long(service, now)
        return decisions + self._fill_all(now)

    def figures(self, service_name: str) -> SchedulerFigures:
        """Return what is under way and waiting of a service."""
        service = self._services.get(service_name) or ServiceTurns(service_name)
        engines = self._engines.of_service(service_name)
        return SchedulerFigures(
            engines=len(engines),
            slots=self._engines.all_slots(service_name),
            running=sum(len(engine.turns) for engine in engines),
            waiting_under_way=service.queue.under_way,
            waiting_new=service.queue.new_programs,
            told_to_return=len(service.admission),
        )

    def slot_states(self, service_name: str, now: float) -> list[EngineSlotState]:
        """Return how the slots of each engine of a service stand."""
        return self._engines.slot_states(service_name, now)

    @property
    def service_names(self) -> tuple[str, ...]:
        """Services whose turns it has placed."""
        return tuple(self._services)

    def _service(self, name: str) -> ServiceTurns:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = ServiceTurns(name)
        return service

    def _fill_all(self, now: float) -> list[TurnDecision]:
        decisions: list[TurnDecision] = []
        for service in self._services.values():
            decisions += self._placing.fill(service, now)
        return decisions

    def _fill(self, name: str, now: float) -> list[TurnDecision]:
        service = self._services.get(name)
        return list(self._placing.fill(service, now)) if service is not None else []


def _left_to_node(attempt_id: str, waited_s: float) -> TurnPlaced:
    """Let a turn's node choose the engine."""
    return TurnPlaced(attempt_id=attempt_id, engine="", waited_s=waited_s)
