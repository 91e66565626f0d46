"""Decides whether a turn that requests a slot is placed at once, waits, or is refused.

It is a part of the turn scheduler and owns no state: ``ServiceTurns`` has the waiting turns and
the refused programs. The rules:

1. A turn that resumes a stream gets a free slot of its software version at once; without one its
   node chooses. Waiting for a version of which few engines are left, it would delay all others.
2. A turn that need not wait for others (``turn_precedence``) gets a free slot (``slot_assigner``).
3. A new program that can't begin soon is refused (``program_admission``), unless it retried at
   the time that it was given.
4. Any other turn waits. New programs and looping programs are refused after a maximum wait.

Times are local monotonic seconds.
"""

import math

from passlane.decisions.admission.program_admission import ExpectedStart, hold_s
from passlane.decisions.backends.engine_table import EngineTable
from passlane.decisions.inputs.turn_events import (
    TurnDecision,
    TurnNotPlaced,
    TurnPlaced,
    TurnRequested,
)
from passlane.decisions.order.program_progress import ProgramProgress, ProgramTable
from passlane.decisions.order.turn_precedence import find_wait_reason
from passlane.decisions.order.turn_queue import WaitingTurn
from passlane.decisions.placement.turn_placement import EngineChoice
from passlane.decisions.scheduling.service_turns import ServiceTurns
from passlane.decisions.scheduling.slot_assigner import SlotAssigner

MAX_LOOPING_HOLD_S = 1.2
"""Maximum wait in seconds of a looping program's turn; below the 2 s after which callers abandon a
silent stream."""


class TurnAdmission:
    """Admits turns, and refuses those that can't begin soon."""

    def __init__(
        self, engines: EngineTable, programs: ProgramTable, slot_assigner: SlotAssigner
    ) -> None:
        self._engines = engines
        self._programs = programs
        self._slot_assigner = slot_assigner

    def request_slot(
        self, request: TurnRequested, program: ProgramProgress, service: ServiceTurns, now: float
    ) -> list[TurnDecision]:
        """Place, queue or refuse a turn; return no decision if it is queued."""
        turn = self._waiting_turn(request, program, service, now)
        if request.demand.software_version:
            return [self._place_resumed(turn, service, now)]
        choice = self._immediate_choice(turn, service, now)
        if choice is not None:
            return [self._slot_assigner.assign(turn, choice, service, now)]
        refused = self._immediate_refusal(turn, service, now) if turn.is_new_program else None
        if refused is not None:
            return [refused]
        service.enqueue(turn)
        return []

    def _place_resumed(self, turn: WaitingTurn, service: ServiceTurns, now: float) -> TurnDecision:
        """Place a turn that resumes a stream, or let its node choose the engine."""
        choice = self._slot_assigner.choose(turn, service, now)
        if choice is None:
            return TurnPlaced(attempt_id=turn.attempt_id, engine="", waited_s=0.0)
        return self._slot_assigner.assign(turn, choice, service, now)

    def refuse_expired(self, service: ServiceTurns, now: float) -> list[TurnDecision]:
        """Refuse the turns that have reached their maximum wait."""
        service.admission.forget_lapsed(now)
        refused: list[TurnDecision] = []
        for turn in service.queue.take_held_too_long(now):
            # Each turn is refused alone, so that the remaining ones still count as waiting.
            service.record_dequeued(turn)
            expected = self._expected_start(turn, service, now)
            refused.append(self._refuse(turn, expected, service, now))
        return refused

    def _waiting_turn(
        self, request: TurnRequested, program: ProgramProgress, service: ServiceTurns, now: float
    ) -> WaitingTurn:
        is_new = request.is_first and program.turns == 0
        is_looping = self._programs.is_looping(program)
        asked_at, hold_until = now, math.inf
        if is_new:
            admission = service.admission
            asked_at = admission.first_asked_at(request.program_id, now)
            retried_on_time = admission.retried_on_schedule(request.program_id, now)
            hold_until = now + hold_s(retried_on_schedule=retried_on_time)
        elif is_looping:
            hold_until = now + MAX_LOOPING_HOLD_S
        return WaitingTurn(
            asked=request,
            asked_at=asked_at,
            arrived_at=now,
            latest_start=self._programs.latest_start(program),
            hold_until=hold_until,
            is_new_program=is_new,
            is_looping=is_looping,
        )

    def _immediate_choice(
        self, turn: WaitingTurn, service: ServiceTurns, now: float
    ) -> EngineChoice | None:
        """Return the engine for a new request, or ``None`` if it must wait for others."""

        def has_free_slot() -> bool:
            return self._engines.has_free_slot(service.name, now)

        if find_wait_reason(turn, service.queue, has_free_slot, now) is not None:
            return None
        return self._slot_assigner.choose(turn, service, now)

    def _immediate_refusal(
        self, turn: WaitingTurn, service: ServiceTurns, now: float
    ) -> TurnNotPlaced | None:
        """Refuse a new program that can't begin soon; return ``None`` if it may wait.

        A program that retried at the given time may always wait.
        """
        if service.admission.retried_on_schedule(turn.asked.program_id, now):
            return None
        expected = self._expected_start(turn, service, now)
        if expected.wait_s > turn.hold_until - now:
            return self._refuse(turn, expected, service, now)
        return None

    def _refuse(
        self, turn: WaitingTurn, expected: ExpectedStart, service: ServiceTurns, now: float
    ) -> TurnNotPlaced:
        retry_after_s = expected.retry_after_s
        if turn.is_new_program:
            service.admission.note_refused(turn.asked, turn.asked_at, retry_after_s, now)
        return TurnNotPlaced(
            attempt_id=turn.attempt_id,
            retry_after_s=retry_after_s,
            waiting=expected.programs_before,
            busy_share=self._engines.busy_share(service.name),
            waited_s=now - turn.arrived_at,
        )

    def _expected_start(
        self, turn: WaitingTurn, service: ServiceTurns, now: float
    ) -> ExpectedStart:
        """Return when a program that can't begin now is expected to begin."""
        program_s = service.durations.mean_s * self._programs.mean_turns(turn.asked.demand.route)
        all_slots_per_s = self._engines.all_slots(service.name) / program_s
        admission = service.admission
        return admission.expected_start(turn.asked, turn.asked_at, all_slots_per_s, now)
