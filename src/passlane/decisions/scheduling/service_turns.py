"""The turns of one service that wait, and what is learnt of the service.

It is for the scheduler of turns and owns the three parts that it keeps for each service: the
queue, the admission of new programs and the durations of turns. A turn that leaves the queue,
for whatever reason, is no longer counted before new programs; that is held here.

Times are local monotonic seconds.
"""

import msgspec

from passlane.decisions.admission.program_admission import ProgramAdmission
from passlane.decisions.order.turn_queue import TurnQueue, WaitingTurn
from passlane.decisions.placement.turn_placement import TurnDurations


class ServiceTurns(msgspec.Struct):
    """The waiting turns and learnt figures of one service.

    Attributes
    ----------
    name
        Of the service, in the configuration.
    """

    name: str
    queue: TurnQueue = msgspec.field(default_factory=TurnQueue)
    admission: ProgramAdmission = msgspec.field(default_factory=ProgramAdmission)
    durations: TurnDurations = msgspec.field(default_factory=TurnDurations)

    def hold(self, turn: WaitingTurn) -> None:
        """Let a turn wait for a slot."""
        self.queue.add(turn)
        if turn.is_new_program:
            self.admission.note_waits(turn.asked, turn.asked_at)

    def withdraw(self, attempt_id: str) -> bool:
        """Take a turn out of the queue; return whether it was there."""
        turn = self.queue.remove(attempt_id)
        if turn is not None:
            self.note_left(turn)
        return turn is not None

    def take_all(self, now: float) -> list[WaitingTurn]:
        """Take out and return all turns that wait, in order."""
        turns = list(self.queue.in_order(now))
        for turn in turns:
            self.withdraw(turn.attempt_id)
        return turns

    def note_left(self, turn: WaitingTurn) -> None:
        """Count a turn that was taken out of the queue no longer."""
        if turn.is_new_program:
            self.admission.note_waits_no_longer(turn.asked.program_id)
