"""The waiting turns and duration estimates of one service.

The turn scheduler uses it. It owns the queue, the admission of new programs and the durations of
turns, and ensures that a turn that leaves the queue for any reason is no longer counted ahead of
new programs.

Times are local monotonic seconds.
"""

import msgspec

from passlane.decisions.admission.program_admission import ProgramAdmission
from passlane.decisions.order.turn_queue import TurnQueue, WaitingTurn
from passlane.decisions.placement.turn_placement import TurnDurations


class ServiceTurns(msgspec.Struct):
    """The waiting turns and duration estimates of one service.

    Attributes
    ----------
    name
        Name of the service in the configuration.
    """

    name: str
    queue: TurnQueue = msgspec.field(default_factory=TurnQueue)
    admission: ProgramAdmission = msgspec.field(default_factory=ProgramAdmission)
    durations: TurnDurations = msgspec.field(default_factory=TurnDurations)

    def enqueue(self, turn: WaitingTurn) -> None:
        """Add a turn to the queue for a slot."""
        self.queue.add(turn)
        if turn.is_new_program:
            self.admission.note_waits(turn.asked, turn.asked_at)

    def dequeue(self, attempt_id: str) -> bool:
        """Remove a turn from the queue; return whether it was queued."""
        turn = self.queue.remove(attempt_id)
        if turn is not None:
            self.record_dequeued(turn)
        return turn is not None

    def dequeue_all(self, now: float) -> list[WaitingTurn]:
        """Remove and return all waiting turns, in order."""
        turns = list(self.queue.in_order(now))
        for turn in turns:
            self.dequeue(turn.attempt_id)
        return turns

    def record_dequeued(self, turn: WaitingTurn) -> None:
        """Stop counting a turn that was removed from the queue."""
        if turn.is_new_program:
            self.admission.note_waits_no_longer(turn.asked.program_id)
