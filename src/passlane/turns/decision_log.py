"""Log lines of what the scheduler of turns decides, on the replica that leads the store group.

They are for whoever asks why a turn went to an engine, waited, or was refused; the rule behind
each line is named at its function, and docs/design/turn-scheduling.md has them in one table. The
names of events and fields stay as readers know them: in ``places`` and ``place_wait_s`` a place is
a slot of an engine, ``told_to_return`` counts programs that were refused and are to retry.

It owns no state and relies on ``decisions.inputs.turn_events`` for what decided. Times are in
seconds.
"""

from collections.abc import Sequence

import msgspec

from passlane.decisions.backends.engine_table import EngineSlotState
from passlane.decisions.inputs.turn_events import (
    TurnAsked,
    TurnDecision,
    TurnNotPlaced,
    TurnPlaced,
    TurnWithdrawn,
)
from passlane.decisions.scheduling.turn_scheduler import SchedulerFigures
from passlane.observability.logging import get_logger

MOST_ENGINES_LOGGED = 10
MOST_OLDEST_LOGGED = 3
"""Engines in one line ``engine_slots``, a second. Chosen."""

_log = get_logger(__name__)


def log_decision(asked: TurnAsked, decision: TurnDecision) -> None:
    """Log a decision that made a turn wait or refused it; any other is logged by its node."""
    if isinstance(decision, TurnPlaced) and decision.waited_s > 0:
        _log_placed(asked, decision)
    elif isinstance(decision, TurnNotPlaced):
        _log_refused(asked, decision)
    elif isinstance(decision, TurnWithdrawn):
        _log.info("turn_withdrawn", request_id=asked.attempt_id, program_id=asked.program_id)


def log_figures(service: str, figures: SchedulerFigures) -> None:
    """Log how full a service is, while a turn waits or a refused program is to retry.

    ``running`` of ``slots`` turns run; why the others wait: ``decisions.order.turn_precedence``.
    """
    if figures.has_waiting:
        _log.info("places", service=service, **msgspec.structs.asdict(figures))


def log_slots(service: str, states: Sequence[EngineSlotState]) -> None:
    """Log engines that have free slots and get no turns, and those with the oldest turns.

    Why an engine gets none: ``EngineTable.usable``.
    """
    unused = [state for state in states if state.running < state.slots and not state.is_usable]
    busy = [state for state in states if state.oldest_attempt]
    oldest = sorted(busy, key=lambda state: -state.oldest_s)
    _log.info(
        "engine_slots",
        service=service,
        unused=[msgspec.structs.asdict(state) for state in unused[:MOST_ENGINES_LOGGED]],
        oldest=[msgspec.structs.asdict(state) for state in oldest[:MOST_OLDEST_LOGGED]],
    )


def _log_placed(asked: TurnAsked, decision: TurnPlaced) -> None:
    """Log where a turn went that waited.

    Why it waited: ``decisions.order.turn_precedence`` if it asked when slots were free, else
    ``decisions.order.turn_queue``. Why there: ``decisions.placement.turn_placement``, whose
    ``EndEstimate.end_s`` is ``expected_s``.
    """
    demand = asked.demand
    _log.info(
        "turn_placed",
        request_id=asked.attempt_id,
        program_id=asked.program_id,
        tenant=demand.tenant,
        urgency=demand.urgency,
        is_first=asked.is_first,
        instance=decision.engine,
        used_last=asked.used_last,
        waited_s=round(decision.waited_s, 4),
        expected_s=round(decision.expected_s, 4),
        running=decision.running,
        waiting=decision.waiting,
    )


def _log_refused(asked: TurnAsked, decision: TurnNotPlaced) -> None:
    """Log a refusal for want of room.

    ``waited_s`` 0: it could not begin soon (``TurnEntry._refusal_at_once``); more: it waited as
    long as it may (``program_admission.hold_s``, ``LONGEST_LOOPING_HOLD_S``). ``waiting`` and
    ``retry_after_s`` are those of ``program_admission.ExpectedStart``.
    """
    demand = asked.demand
    _log.info(
        "program_refused",
        request_id=asked.attempt_id,
        program_id=asked.program_id,
        tenant=demand.tenant,
        urgency=demand.urgency,
        waiting=decision.waiting,
        busy_share=round(decision.busy_share, 3),
        waited_s=round(decision.waited_s, 4),
        retry_after_s=round(decision.retry_after_s, 3),
        program_time_left_s=demand.program_time_left_s,
    )
