"""Answers whether a turn that has just asked must wait behind others, though there may be room.

It is for the scheduler of turns, which looks for an engine only if this names nobody to wait for.
It owns no state, and relies on ``turn_queue`` for the turns that wait and on its two bounds of
waiting.
"""

import enum
from collections.abc import Callable

from passlane.decisions.order.turn_queue import (
    LONGEST_LATE_WAIT_S,
    LONGEST_PASSED_OVER_S,
    TurnQueue,
    WaitingTurn,
)


class WaitsFor(enum.Enum):
    """Whom a turn that has just asked waits for."""

    ANY_OTHER = "its program loops: it gets slots that nobody else wants"
    NEW_PROGRAM = "it begins a program, and other new programs wait"
    UNDER_WAY = "it begins a program, and one under way that is as urgent waits"
    MORE_URGENT = "a more urgent turn has waited for long"
    MEMORY = "a large turn as urgent has waited for an engine's memory for long"


def waits_for(
    turn: WaitingTurn, queue: TurnQueue, has_free_slot: Callable[[], bool], now: float
) -> WaitsFor | None:
    """Return whom a turn must wait for; ``None`` if it may go to an engine that has room.

    Parameters
    ----------
    has_free_slot
        Whether an engine of the service that takes turns has a free slot; asked only if needed.
    """
    if turn.is_looping and len(queue) > 0:
        return WaitsFor.ANY_OTHER
    if turn.is_new_program and queue.new_programs:
        return WaitsFor.NEW_PROGRAM
    if turn.is_new_program and queue.is_before_new(turn.urgency):
        return WaitsFor.UNDER_WAY
    if queue.longest_more_urgent_wait_s(turn.urgency, now) > LONGEST_PASSED_OVER_S:
        return WaitsFor.MORE_URGENT
    if _is_memory_awaited(turn, queue, has_free_slot, now):
        return WaitsFor.MEMORY
    return None


def _is_memory_awaited(
    turn: WaitingTurn, queue: TurnQueue, has_free_slot: Callable[[], bool], now: float
) -> bool:
    """Whether a large turn that is as urgent has waited too long for memory.

    Slots are free then that it can't use; smaller turns that took them would keep the memory
    from it.
    """
    waited_s = queue.longest_wait_under_way_s(turn.urgency, now)
    return waited_s >= LONGEST_LATE_WAIT_S and has_free_slot()
