"""What became of one request's attempts at back ends.

Owns the verdict (whether the request may have run), what was tried and what each attempt
showed. Decides nothing.
"""

import anyio

from passlane.errors import Verdict
from passlane.messages.placement import TurnOutcome


class AttemptHistory:
    """The attempts of one request so far.

    Attributes
    ----------
    verdict
        Whether the request may have run so far.
    runs
        Attempts that may have run and broke off.
    is_sent
        Whether an attempt may be running, or has answered with more than a refusal.
    tried
        Instances that were tried, in order; for the log.
    passed_over
        Instances that refused or failed it, and are not chosen again in this round.
    served_by
        The instance that answered last; empty if none did.
    is_answer_final
        Set by whoever delivers: the caller has got a part that no other answer can go on with.
    last_event_id
        The event after which a stream is to go on; set by whoever delivers.
    """

    def __init__(self, last_event_id: str | None) -> None:
        self._first_event_id = last_event_id
        self._failed_at: list[str] = []
        self._full_at: list[str] = []
        self._sent_at = 0.0
        self._first_part_s = 0.0
        self.last_event_id = last_event_id
        self.is_answer_final = False
        self.verdict = Verdict.NOT_RUN
        self.runs = 0
        self.is_sent = False
        self.tried: list[str] = []
        self.passed_over: set[str] = set()
        self.served_by = ""

    @property
    def has_passed_on_events(self) -> bool:
        """Whether the caller has got an event of the stream."""
        return self.last_event_id != self._first_event_id

    @property
    def possible_runs(self) -> int:
        """Runs that engines may have begun, a whole one included."""
        return self.runs + int(self.is_sent)

    def begin(self, instance_id: str, now: float) -> None:
        """Note an attempt; from here on a cancellation must not be taken for "not run"."""
        self.is_sent = True
        self.tried.append(instance_id)
        self._sent_at = now
        self.verdict = Verdict.MAY_HAVE_RUN

    def note_refused(self, instance_id: str) -> None:
        """Note that the back end proved that it did not run the request."""
        self.is_sent = False
        self.passed_over.add(instance_id)
        self._full_at.append(instance_id)

    def note_broken(self, instance_id: str) -> None:
        """Note that an attempt broke off."""
        self.is_sent = False
        self.passed_over.add(instance_id)
        self._failed_at.append(instance_id)

    def note_rejected(self) -> None:
        """Note that the back end found the request itself wrong: nothing was generated for it."""
        self.is_sent = False

    def note_answering(self, instance_id: str, now: float) -> None:
        """Note that an answer that is passed on has begun."""
        self.served_by = instance_id
        self._first_part_s = now - self._sent_at

    def outcome(self, *, is_whole: bool, events: int) -> TurnOutcome:
        """Return how the request went so far, for whoever places turns."""
        engine_s = anyio.current_time() - self._sent_at if is_whole else 0.0
        return TurnOutcome(
            engine_s=engine_s,
            first_part_s=self._first_part_s,
            events=events,
            failed_at=tuple(self._failed_at),
            full_at=tuple(self._full_at),
        )
