"""Decides whether a new turn must wait behind others even if an engine has free capacity.

The turn scheduler looks for an engine only if there is no reason to wait. The module owns no
state; the waiting turns and the bounds of their waits belong to ``turn_queue``.
"""

import enum
from collections.abc import Callable

from passlane.decisions.order.turn_queue import (
    MAX_OVERDUE_WAIT_S,
    MAX_PASSED_OVER_S,
    TurnQueue,
    WaitingTurn,
)


class WaitReason(enum.Enum):
    """Why a new turn must wait."""

    ANY_OTHER = "its program loops: it gets slots that nobody else wants"
    NEW_PROGRAM = "it begins a program, and other new programs wait"
    UNDER_WAY = "it begins a program, and one under way that is at least as urgent waits"
    MORE_URGENT = "a more urgent turn has waited for long"
    MEMORY = "a large turn as urgent has waited for an engine's memory for long"


def find_wait_reason(
    turn: WaitingTurn, queue: TurnQueue, has_free_slot: Callable[[], bool], now: float
) -> WaitReason | None:
    """Return why a turn must wait; ``None`` if it may use an engine with free capacity.

    1. A turn of a looping program waits if any other turn waits.
    2. A new program waits if another new program waits.
    3. A new program waits if a turn under way of at least its urgency waits.
    4. Any turn waits if a more urgent one has waited for more than ``MAX_PASSED_OVER_S``.
    5. Any turn waits if a turn under way of its urgency has waited for ``MAX_OVERDUE_WAIT_S``
       although a slot is free, as that turn lacks memory.

    Parameters
    ----------
    turn
        The new turn.
    queue
        Turns of the service that already wait.
    has_free_slot
        Returns whether an available engine of the service has a free slot; called only if needed.
    now
        Current time.
    """
    if turn.is_looping and len(queue) > 0:
        return WaitReason.ANY_OTHER
    if turn.is_new_program and queue.new_programs:
        return WaitReason.NEW_PROGRAM
    if turn.is_new_program and queue.has_turn_before_new_program(turn.urgency):
        return WaitReason.UNDER_WAY
    if queue.max_more_urgent_wait_s(turn.urgency, now) > MAX_PASSED_OVER_S:
        return WaitReason.MORE_URGENT
    if _must_wait_for_memory(turn, queue, has_free_slot, now):
        return WaitReason.MEMORY
    return None


def _must_wait_for_memory(
    turn: WaitingTurn, queue: TurnQueue, has_free_slot: Callable[[], bool], now: float
) -> bool:
    """Return whether a large turn of the same urgency has waited too long for memory.

    Smaller turns that used the free slots would prevent the memory from becoming available.
    """
    waited_s = queue.max_under_way_wait_s(turn.urgency, now)
    return waited_s >= MAX_OVERDUE_WAIT_S and has_free_slot()
