"""Records the results of one request's attempts at backends.

Owns the verdict (whether the request may have run), the tried instances and the result of each
attempt. It makes no decisions.
"""

import anyio

from passlane.decisions.placement.stream_versions import origin_at
from passlane.errors import Verdict
from passlane.messages.listing import BackendRecord
from passlane.messages.placement import TurnOutcome
from passlane.messages.streams import StreamOrigin


class AttemptHistory:
    """The attempts of one request so far.

    Attributes
    ----------
    verdict
        Whether the request may have run so far.
    runs
        Number of attempts that may have run and broke off.
    is_sent
        Whether an attempt may be running, or was answered with anything but a refusal.
    tried
        Instances that were tried, in order; for the log.
    excluded
        Instances that refused or failed the request, and are not chosen again in this round.
    served_by
        The instance whose answer was forwarded last; empty without one.
    sent_at
        Local time at which the last attempt started.
    is_answer_final
        Whether the caller has received a part that no other answer can continue; set by the
        delivery.
    last_event_id
        The event after which a stream resumes; set by the delivery.
    origin
        Where the caller's stream began, at this request or at the one that it resumes; ``None``
        before it has begun.
    """

    def __init__(self, last_event_id: str | None, origin: StreamOrigin | None = None) -> None:
        self._first_event_id = last_event_id
        self._failed_at: list[str] = []
        self._full_at: list[str] = []
        self.sent_at = 0.0
        self._first_part_s = 0.0
        self.last_event_id = last_event_id
        self.is_answer_final = False
        self.verdict = Verdict.NOT_RUN
        self.runs = 0
        self.is_sent = False
        self.tried: list[str] = []
        self.excluded: set[str] = set()
        self.served_by = ""
        self.origin = origin
        self._answering: BackendRecord | None = None

    @property
    def has_forwarded_events(self) -> bool:
        """Whether the caller has received an event of the stream."""
        return self.last_event_id != self._first_event_id

    @property
    def possible_runs(self) -> int:
        """Number of runs that engines may have started, including a complete one."""
        return self.runs + int(self.is_sent)

    def record_attempt(self, instance_id: str, now: float) -> None:
        """Record that an attempt starts; if it is cancelled, the request may have run."""
        self.is_sent = True
        self.tried.append(instance_id)
        self.sent_at = now
        self.verdict = Verdict.MAY_HAVE_RUN

    def record_refused(self, instance_id: str) -> None:
        """Record that the backend proved that it did not run the request."""
        self.is_sent = False
        self.excluded.add(instance_id)
        self._full_at.append(instance_id)

    def record_broken(self, instance_id: str) -> None:
        """Record that an attempt broke off."""
        self.is_sent = False
        self.excluded.add(instance_id)
        self._failed_at.append(instance_id)

    def record_rejected(self) -> None:
        """Record that the backend rejected the request as invalid; it generated nothing."""
        self.is_sent = False

    def record_answer_started(self, backend: BackendRecord, now: float) -> None:
        """Record that an answer is about to be forwarded."""
        self.served_by = backend.incarnation
        self._answering = backend
        self._first_part_s = now - self.sent_at

    def record_stream_began(self, stream_id: str) -> None:
        """Record that the answer that is about to be forwarded begins the caller's stream.

        A stream that has begun keeps its origin.
        """
        if self.origin is None and self._answering is not None:
            self.origin = origin_at(self._answering, stream_id)

    def outcome(self, *, is_whole: bool, events: int) -> TurnOutcome:
        """Return the outcome of the request so far, for the placement of later turns."""
        engine_s = anyio.current_time() - self.sent_at if is_whole else 0.0
        return TurnOutcome(
            engine_s=engine_s,
            first_part_s=self._first_part_s,
            events=events,
            failed_at=tuple(self._failed_at),
            full_at=tuple(self._full_at),
        )
