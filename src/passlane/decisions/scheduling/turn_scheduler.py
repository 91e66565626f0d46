"""Global scheduler of turns: decides for all nodes which turn runs when, and at which engine.

It serves loads that independent nodes handle badly: programs and tenants that compete for too few
slots, and engines of different speed. It owns the engines' slots, the running programs and the
waiting turns of each service.

=============================================  =====================================
decision                                       rule
=============================================  =====================================
whether the node chooses the engine            ``TurnScheduler.node_chooses``
whether a turn must wait for others            ``turn_precedence.find_wait_reason``
order of the waiting turns                     ``turn_queue``
engine of a turn                               ``turn_placement.choose_engine``
whether an engine is usable                    ``engine_table.EngineTable.usable``
whether a new program waits or is refused      ``turn_admission``, ``program_admission``
expiry of a slot whose turn does not end       ``slot_assigner``
=============================================  =====================================

Nodes must report the start and the end of each turn. Times are local monotonic seconds. No method
raises an error.
"""

import math
from collections.abc import Iterable

import msgspec

from passlane.decisions.backends.engine_table import EngineSlotState, EngineTable
from passlane.decisions.backends.health import STALL_WEIGHT
from passlane.decisions.inputs.turn_events import (
    TurnDecision,
    TurnEnded,
    TurnPlaced,
    TurnRequested,
    TurnWithdrawn,
)
from passlane.decisions.order.program_progress import ProgramTable
from passlane.decisions.scheduling.service_turns import ServiceTurns
from passlane.decisions.scheduling.slot_assigner import SlotAssigner
from passlane.decisions.scheduling.turn_admission import TurnAdmission
from passlane.decisions.scheduling.turn_outcomes import (
    TurnOutcomes,
    is_complete_response,
    learn_speed,
)
from passlane.messages.listing import BackendRecord

LEADER_WARMUP_S = 0.6
"""Seconds during which a new leader lets nodes choose the engines, because it does not know the
running turns; nearly all of them end within this time."""


class SchedulerStats(msgspec.Struct, frozen=True):
    """Counts of the running and waiting turns of a service, for logs and metrics.

    The field names are those of the log line ``places``. ``told_to_return`` counts the refused
    programs whose retry time has not passed.
    """

    engines: int
    slots: int
    running: int
    waiting_under_way: int
    waiting_new: int
    told_to_return: int

    @property
    def has_waiting(self) -> bool:
        """Whether any turn waits or a refused program may still retry."""
        return bool(self.waiting_new or self.waiting_under_way or self.told_to_return)


class TurnScheduler:
    """Places the turns of all nodes at engines, in one global order."""

    def __init__(self) -> None:
        self._engines = EngineTable()
        self._programs = ProgramTable()
        self._services: dict[str, ServiceTurns] = {}
        self._slot_assigner = SlotAssigner(self._engines, self._programs)
        self._admission = TurnAdmission(self._engines, self._programs, self._slot_assigner)
        self._outcomes = TurnOutcomes(self._engines)
        self._warmup_until = -math.inf

    def start_term(self, now: float) -> list[TurnDecision]:
        """Reset the state for a new leader, which does not know the running turns."""
        withdrawn: list[TurnDecision] = [
            TurnWithdrawn(turn.attempt_id)
            for service in self._services.values()
            for turn in service.queue.in_order(now)
        ]
        self._engines.reset()
        self._services = {}
        self._warmup_until = now + LEADER_WARMUP_S
        return withdrawn

    def replace_backends(self, records: Iterable[BackendRecord], now: float) -> list[TurnDecision]:
        """Apply a new list of back ends; nodes choose for services that have none left."""
        self._engines.replace_records(records)
        decisions: list[TurnDecision] = []
        for name, service in self._services.items():
            if not self._engines.of_service(name):
                dequeued = service.dequeue_all(now)
                decisions += [_node_choice(t.attempt_id, now - t.arrived_at) for t in dequeued]
        return decisions + self._assign_all(now)

    def request_slot(self, request: TurnRequested, now: float) -> list[TurnDecision]:
        """Place, queue or refuse a turn."""
        demand = request.demand
        service = self._service(demand.service)
        if self.node_chooses(demand.service, now):
            return [_node_choice(request.attempt_id, 0.0)]
        holder = self._engines.engine_of(request.attempt_id)
        if holder is not None:
            # The response to an earlier request of the same attempt was lost.
            engine = holder.incarnation
            return [TurnPlaced(attempt_id=request.attempt_id, engine=engine, waited_s=0.0)]
        program = self._programs.see(
            request.program_id, demand.route, demand.program_time_left_s, now
        )
        used_last = self._programs.engine_of_history(program, request.used_last)
        if used_last != request.used_last:
            request = msgspec.structs.replace(request, used_last=used_last)
        return self._admission.request_slot(request, program, service, now)

    def node_chooses(self, service_name: str, now: float) -> bool:
        """Whether nodes choose the engines: the leader is new, or it lists none for the service."""
        return now < self._warmup_until or not self._engines.of_service(service_name)

    def end(self, ended: TurnEnded, now: float) -> list[TurnDecision]:
        """Apply the end of a turn, and assign its slot to waiting turns."""
        for service in self._services.values():
            if service.dequeue(ended.attempt_id):
                return [TurnWithdrawn(ended.attempt_id)]
        released = self._engines.release(ended.attempt_id)
        if ended.outcome is not None:
            self._outcomes.record_failures(ended.attempt_id, ended.outcome, now)
        slot = released or self._engines.pop_expired(ended.attempt_id)
        if slot is None:
            return []
        self._programs.note_end(slot.turn.program_id, ended.served_by, now)
        service_name = slot.engine.record.service
        if ended.outcome is not None and is_complete_response(slot, ended):
            learn_speed(slot, ended.outcome, self._service(service_name).durations, now)
            self._engines.record_served(slot.engine)
        return self._assign_free_slots(service_name, now) if released is not None else []

    def advance(self, now: float) -> list[TurnDecision]:
        """Release expired slots, refuse turns at their maximum wait, and assign free slots."""
        self._engines.reevaluate_engines()
        for engine in self._engines.expire(now):
            engine.health.record_failure(now, STALL_WEIGHT)
        decisions: list[TurnDecision] = []
        for service in self._services.values():
            decisions += self._admission.refuse_expired(service, now)
        return decisions + self._assign_all(now)

    def stats(self, service_name: str) -> SchedulerStats:
        """Return the counts of running and waiting turns of a service."""
        service = self._services.get(service_name) or ServiceTurns(service_name)
        engines = self._engines.of_service(service_name)
        return SchedulerStats(
            engines=len(engines),
            slots=self._engines.all_slots(service_name),
            running=sum(len(engine.turns) for engine in engines),
            waiting_under_way=service.queue.under_way,
            waiting_new=service.queue.new_programs,
            told_to_return=len(service.admission),
        )

    def slot_states(self, service_name: str, now: float) -> list[EngineSlotState]:
        """Return the state of the slots of each engine of a service."""
        return self._engines.slot_states(service_name, now)

    @property
    def service_names(self) -> tuple[str, ...]:
        """Names of the services with a scheduling state."""
        return tuple(self._services)

    def _service(self, name: str) -> ServiceTurns:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = ServiceTurns(name)
        return service

    def _assign_all(self, now: float) -> list[TurnDecision]:
        decisions: list[TurnDecision] = []
        for service in self._services.values():
            decisions += self._slot_assigner.assign_free_slots(service, now)
        return decisions

    def _assign_free_slots(self, name: str, now: float) -> list[TurnDecision]:
        service = self._services.get(name)
        return (
            list(self._slot_assigner.assign_free_slots(service, now)) if service is not None else []
        )


def _node_choice(attempt_id: str, waited_s: float) -> TurnPlaced:
    """Return a placement that lets the turn's node choose the engine."""
    return TurnPlaced(attempt_id=attempt_id, engine="", waited_s=waited_s)
