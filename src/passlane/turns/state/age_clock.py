"""The leader's clock for the age of the state of turns; without I/O.

The state machine has no clock, so its age is advanced by commands, and replicas know how much time
has passed since the last one only by their own clocks. Each replica notes when it has applied an
age; one that begins to lead goes on from there. It noted that time later than the leader before it
had proposed the age, so the age never runs faster than real time, whatever leaders are lost, and
what is kept for a time is never removed early. What a new leader can't know is not counted: the
time between the last advance and the restart of a replica that leads next.

Commands name the age to reach, so one of unknown outcome may be proposed again. Older builds add
the command's ``seconds`` instead, which are those since the age that was proposed before.

Times are local monotonic seconds; ages are seconds of the state.
"""

from passlane.messages.turns import AdvanceAge

NO_TERM = -1


class AgeClock:
    """Tells a leader which age to propose."""

    def __init__(self) -> None:
        self._applied_age_s = 0.0
        self._applied_at: float | None = None
        self._term = NO_TERM
        self._term_age_s = 0.0
        self._term_began_at = 0.0
        self._proposed_age_s = 0.0
        self._proposed_at: float | None = None

    def record_applied(self, age_s: float, now: float) -> None:
        """Record an age that this replica has applied or restored."""
        self._applied_age_s = age_s
        self._applied_at = now

    def overdue_s(self, term: int, now: float) -> float:
        """Return the time since the leader of ``term`` has proposed an age; infinite before."""
        if term != self._term or self._proposed_at is None:
            return float("inf")
        return now - self._proposed_at

    def advance(self, term: int, now: float) -> AdvanceAge:
        """Return the command that advances the age to the present.

        Call it only as the leader of ``term``, after all entries of earlier terms were applied.
        """
        if term != self._term:
            self._begin_term(term, now)
        age_s = self._term_age_s + now - self._term_began_at
        command = AdvanceAge(seconds=age_s - self._proposed_age_s, target_age_s=age_s)
        self._proposed_age_s = age_s
        self._proposed_at = now
        return command

    def record_rejected(self, term: int, command: AdvanceAge) -> None:
        """Record that a command of ``term`` was not appended, so its seconds are due again."""
        if term == self._term:
            self._proposed_age_s -= command.seconds
            self._proposed_at = None

    def _begin_term(self, term: int, now: float) -> None:
        """Go on from the age that was applied last."""
        since_applied_s = now - self._applied_at if self._applied_at is not None else 0.0
        self._term = term
        self._term_age_s = self._applied_age_s + since_applied_s
        self._term_began_at = now
        self._proposed_age_s = self._applied_age_s
