"""Order of the calls of one program: one at a time, in the order the program made them.

A call with a sequence number runs when its predecessors are done; one that comes early
waits a short while for its predecessor and is then refused. Calls without a number run in
the order of their arrival.
"""

from dataclasses import dataclass

from passlane.errors import ErrorCode
from passlane.identifiers import CallId

PREDECESSOR_WAIT_S = 2.0
"""How long an early call waits for its predecessor, while nothing else of the program runs."""

MAX_QUEUED_CALLS = 64
"""Most calls of one program that may wait."""

COME_BACK_AFTER_S = 0.5
"""Advice to a caller whose call came too early or found the queue full."""


@dataclass(frozen=True, slots=True)
class QueuedCall:
    """A call that waits for its turn; ``sequence`` is ``None`` if the caller gave none."""

    call_id: CallId
    sequence: int | None
    arrived_at: float


@dataclass(frozen=True, slots=True)
class BeginQueuedCall:
    """It is this call's turn, under this sequence number."""

    call_id: CallId
    sequence: int


@dataclass(frozen=True, slots=True)
class RefuseQueuedCall:
    """Answer this call now: it is not run."""

    call_id: CallId
    code: ErrorCode
    message: str
    retry_after_s: float | None


QueueInstruction = BeginQueuedCall | RefuseQueuedCall


class ProgramQueue:
    """Decides which call of a program runs next.

    Parameters
    ----------
    next_sequence
        Sequence number that the program's next call gets.
    now
        Local monotonic time in seconds.
    """

    def __init__(self, next_sequence: int, now: float) -> None:
        self.next_sequence = next_sequence
        self._running: CallId | None = None
        self._waiting: list[QueuedCall] = []
        self._idle_since = now

    @property
    def running(self) -> CallId | None:
        """The call whose turn it is."""
        return self._running

    @property
    def is_empty(self) -> bool:
        """Whether no call runs or waits."""
        return self._running is None and not self._waiting

    def add(self, call: QueuedCall, now: float) -> list[QueueInstruction]:
        """Take a new call that the program's record does not know."""
        if call.sequence is not None and call.sequence < self.next_sequence:
            return [self._wrong_sequence(call, "is taken", None)]
        if len(self._waiting) >= MAX_QUEUED_CALLS:
            message = f"the program has {MAX_QUEUED_CALLS} calls waiting"
            return [
                RefuseQueuedCall(call.call_id, ErrorCode.QUEUE_FULL, message, COME_BACK_AFTER_S)
            ]
        self._waiting.append(call)
        return self.advance(now)

    def resume(self, call_id: CallId) -> bool:
        """Let a call that is recorded already run again, if nothing else runs."""
        if self._running is not None:
            return False
        self._running = call_id
        return True

    def finish(self, call_id: CallId, next_sequence: int, now: float) -> list[QueueInstruction]:
        """The running call is over; the next one may begin."""
        if self._running != call_id:
            return []
        self._running = None
        self._idle_since = now
        self.next_sequence = next_sequence
        return self.advance(now)

    def withdraw(self, call_id: CallId) -> None:
        """Forget a waiting call whose caller is gone."""
        self._waiting = [call for call in self._waiting if call.call_id != call_id]

    def advance(self, now: float) -> list[QueueInstruction]:
        """Begin a call whose turn it is, and refuse those whose wait is over."""
        if self._running is not None:
            return []
        instructions: list[QueueInstruction] = self._refuse_expired(now)
        for position, call in enumerate(self._waiting):
            if call.sequence is None or call.sequence == self.next_sequence:
                del self._waiting[position]
                self._running = call.call_id
                instructions.append(BeginQueuedCall(call.call_id, self.next_sequence))
                break
        return instructions

    def next_expiry(self) -> float | None:
        """Return when ``advance`` is to be asked again, if it must be."""
        if self._running is not None:
            return None
        return min((self._expiry(call) for call in self._waiting), default=None)

    def _expiry(self, call: QueuedCall) -> float:
        return max(call.arrived_at, self._idle_since) + PREDECESSOR_WAIT_S

    def _refuse_expired(self, now: float) -> list[QueueInstruction]:
        kept: list[QueuedCall] = []
        refused: list[QueueInstruction] = []
        for call in self._waiting:
            if call.sequence is None or call.sequence == self.next_sequence:
                kept.append(call)
            elif call.sequence < self.next_sequence:
                refused.append(self._wrong_sequence(call, "is taken", None))
            elif now >= self._expiry(call):
                refused.append(self._wrong_sequence(call, "came early", COME_BACK_AFTER_S))
            else:
                kept.append(call)
        self._waiting = kept
        return refused

    def _wrong_sequence(
        self, call: QueuedCall, reason: str, retry_after_s: float | None
    ) -> RefuseQueuedCall:
        message = f"sequence {call.sequence} {reason}; the next is {self.next_sequence}"
        return RefuseQueuedCall(call.call_id, ErrorCode.WRONG_SEQUENCE, message, retry_after_s)
