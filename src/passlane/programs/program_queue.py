"""Queue of the calls of one program, which run one at a time.

1. A call with a sequence number runs once all lower numbers are finished.
2. A call that arrives before its predecessor waits up to ``MAX_PREDECESSOR_WAIT_S`` for it and
   is then refused.
3. Calls without a sequence number run in the order of their arrival.
"""

from dataclasses import dataclass

from passlane.errors import ErrorCode
from passlane.identifiers import CallId

MAX_PREDECESSOR_WAIT_S = 2.0
"""Time that a call waits for its predecessor while no call of the program runs."""

MAX_QUEUED_CALLS = 64
"""Queued calls of one program."""

DEFAULT_RETRY_AFTER_S = 0.5
"""Retry-after of a call whose predecessor did not arrive or that found the queue full."""


@dataclass(frozen=True, slots=True)
class QueuedCall:
    """A queued call; ``sequence`` is ``None`` if the caller gave none."""

    call_id: CallId
    sequence: int | None
    arrived_at: float


@dataclass(frozen=True, slots=True)
class BeginQueuedCall:
    """Start this call under this sequence number."""

    call_id: CallId
    sequence: int


@dataclass(frozen=True, slots=True)
class RefuseQueuedCall:
    """Refuse this call without running it."""

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
        Sequence number of the program's next call.
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
        """The running call, if any."""
        return self._running

    @property
    def is_empty(self) -> bool:
        """Whether no call is running or queued."""
        return self._running is None and not self._waiting

    def add(self, call: QueuedCall, now: float) -> list[QueueInstruction]:
        """Queue a new call, which must not be in the program's record yet."""
        if call.sequence is not None and call.sequence < self.next_sequence:
            return [self._wrong_sequence(call, "is already used", None)]
        if len(self._waiting) >= MAX_QUEUED_CALLS:
            message = f"the program already has {MAX_QUEUED_CALLS} queued calls"
            return [
                RefuseQueuedCall(call.call_id, ErrorCode.QUEUE_FULL, message, DEFAULT_RETRY_AFTER_S)
            ]
        self._waiting.append(call)
        return self.advance(now)

    def resume(self, call_id: CallId) -> bool:
        """Mark an already recorded call as running; return ``False`` if another call runs."""
        if self._running is not None:
            return False
        self._running = call_id
        return True

    def finish(self, call_id: CallId, next_sequence: int, now: float) -> list[QueueInstruction]:
        """Remove the running call from the queue and start the next one."""
        if self._running != call_id:
            return []
        self._running = None
        self._idle_since = now
        self.next_sequence = next_sequence
        return self.advance(now)

    def withdraw(self, call_id: CallId) -> None:
        """Remove a queued call."""
        self._waiting = [call for call in self._waiting if call.call_id != call_id]

    def advance(self, now: float) -> list[QueueInstruction]:
        """Start the next call if none is running, and refuse calls that waited too long."""
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
        """Return the time at which ``advance`` must be called again, if any."""
        if self._running is not None:
            return None
        return min((self._expiry(call) for call in self._waiting), default=None)

    def _expiry(self, call: QueuedCall) -> float:
        return max(call.arrived_at, self._idle_since) + MAX_PREDECESSOR_WAIT_S

    def _refuse_expired(self, now: float) -> list[QueueInstruction]:
        kept: list[QueuedCall] = []
        refused: list[QueueInstruction] = []
        for call in self._waiting:
            if call.sequence is None or call.sequence == self.next_sequence:
                kept.append(call)
            elif call.sequence < self.next_sequence:
                refused.append(self._wrong_sequence(call, "is already used", None))
            elif now >= self._expiry(call):
                refused.append(
                    self._wrong_sequence(
                        call, "arrived before its predecessor", DEFAULT_RETRY_AFTER_S
                    )
                )
            else:
                kept.append(call)
        self._waiting = kept
        return refused

    def _wrong_sequence(
        self, call: QueuedCall, reason: str, retry_after_s: float | None
    ) -> RefuseQueuedCall:
        message = f"sequence {call.sequence} {reason}; expected {self.next_sequence}"
        return RefuseQueuedCall(call.call_id, ErrorCode.WRONG_SEQUENCE, message, retry_after_s)
