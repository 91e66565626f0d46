"""Logs the decisions of the turn scheduler on the replica that leads the store group.

The lines show operators why a turn went to an engine, waited, or was refused; the docstring of
each function names the rules behind its line. In the names of events and fields, a place
(``places``, ``place_wait_s``) is a slot of an engine, and ``told_to_return`` counts refused
programs that are to retry. The module owns no state. Times are in seconds.
"""

from collections.abc import Sequence

import msgspec

from passlane.decisions.backends.engine_table import EngineSlotState
from passlane.decisions.inputs.turn_events import (
    TurnDecision,
    TurnNotPlaced,
    TurnPlaced,
    TurnRequested,
    TurnWithdrawn,
)
from passlane.decisions.scheduling.turn_scheduler import SchedulerStats
from passlane.observability.logging import get_logger

MAX_UNUSED_ENGINES_LOGGED = 10
MAX_OLDEST_ENGINES_LOGGED = 3
"""Bounds on the engines listed in one log line ``engine_slots``."""

_log = get_logger(__name__)


def log_decision(turn_event: TurnRequested, decision: TurnDecision) -> None:
    """Log a decision on a turn that waited, was refused or was withdrawn.

    The turn's node logs all other decisions.
    """
    if isinstance(decision, TurnPlaced) and decision.waited_s > 0:
        _log_placed(turn_event, decision)
    elif isinstance(decision, TurnNotPlaced):
        _log_refused(turn_event, decision)
    elif isinstance(decision, TurnWithdrawn):
        _log.info(
            "turn_withdrawn", request_id=turn_event.attempt_id, program_id=turn_event.program_id
        )


def log_slot_usage(service: str, stats: SchedulerStats) -> None:
    """Log the slot usage of a service while a turn waits or a refused program is to retry.

    ``running`` of ``slots`` turns run; ``decisions.order.turn_precedence`` explains why the others
    wait.
    """
    if stats.has_waiting:
        _log.info("places", service=service, **msgspec.structs.asdict(stats))


def log_slots(service: str, states: Sequence[EngineSlotState]) -> None:
    """Log the engines whose free slots are unusable, and those with the oldest turns.

    ``EngineTable.usable`` explains why an engine gets no turns.
    """
    unused = [state for state in states if state.running < state.slots and not state.is_usable]
    busy = [state for state in states if state.oldest_attempt]
    oldest = sorted(busy, key=lambda state: -state.oldest_s)
    _log.info(
        "engine_slots",
        service=service,
        unused=[msgspec.structs.asdict(state) for state in unused[:MAX_UNUSED_ENGINES_LOGGED]],
        oldest=[msgspec.structs.asdict(state) for state in oldest[:MAX_OLDEST_ENGINES_LOGGED]],
    )


def _log_placed(turn_event: TurnRequested, decision: TurnPlaced) -> None:
    """Log the placement of a turn that waited.

    The turn waited because of ``decisions.order.turn_precedence`` if slots were free when it
    requested one, else because of ``decisions.order.turn_queue``. The engine was chosen by
    ``decisions.placement.turn_placement``, whose ``EndEstimate.end_s`` is ``expected_s``.
    """
    demand = turn_event.demand
    _log.info(
        "turn_placed",
        request_id=turn_event.attempt_id,
        program_id=turn_event.program_id,
        tenant=demand.tenant,
        urgency=demand.urgency,
        is_first=turn_event.is_first,
        instance=decision.engine,
        used_last=turn_event.used_last,
        waited_s=round(decision.waited_s, 4),
        expected_s=round(decision.expected_s, 4),
        running=decision.running,
        waiting=decision.waiting,
    )


def _log_refused(turn_event: TurnRequested, decision: TurnNotPlaced) -> None:
    """Log a refusal for lack of capacity.

    If ``waited_s`` is 0, the turn could not have begun soon (``TurnAdmission``); otherwise it
    waited for the maximum time (``program_admission``). ``waiting`` and ``retry_after_s`` are those
    of ``program_admission.ExpectedStart``.
    """
    demand = turn_event.demand
    _log.info(
        "program_refused",
        request_id=turn_event.attempt_id,
        program_id=turn_event.program_id,
        tenant=demand.tenant,
        urgency=demand.urgency,
        waiting=decision.waiting,
        busy_share=round(decision.busy_share, 3),
        waited_s=round(decision.waited_s, 4),
        retry_after_s=round(decision.retry_after_s, 3),
        program_time_left_s=demand.program_time_left_s,
    )
