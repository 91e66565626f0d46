"""Applies backpressure for slow readers and decides which stalled readers to terminate.

A reader is a connection that receives bytes buffered by this process. The module does no I/O: the
owner of the buffers reports bytes that were buffered or forwarded, and carries out the
instructions.
"""

import enum
from collections.abc import Hashable, Sequence

import msgspec

BYTES_FOR_ONE = 65_536
"""Maximum bytes buffered for one reader before writers wait; about a hundred stream events."""
SHARE_OF_MEMORY = 1 / 16
"""Maximum share of the machine's memory that is buffered for all readers: enough for a hundred
full buffers on a small machine, and too little to exhaust its memory."""
MAX_STALL_S = 2.0
"""Default time without progress after which a reader is terminated. Callers abandon a stream that
has been silent for this long."""
MIN_STALL_S = 0.5
"""A reader stalled for less than this is never terminated, as its link may have lost a packet."""


class ReaderBufferBounds(msgspec.Struct, frozen=True):
    """Bounds on the bytes buffered for readers.

    Attributes
    ----------
    for_one
        Maximum bytes for one reader; its writers wait when it is reached.
    for_all
        Maximum bytes for all readers together; ``None`` for no bound.
    longest_stall_s
        Time without progress after which a reader is terminated, in seconds.
    """

    for_one: int = BYTES_FOR_ONE
    for_all: int | None = None
    longest_stall_s: float = MAX_STALL_S


class Instruction(enum.Enum):
    """Whether more bytes may be buffered for a reader."""

    GO_ON = "go_on"
    WAIT = "wait"


class EndReason(enum.StrEnum):
    """Why a reader is terminated and its buffered bytes are dropped."""

    READER_STOPPED = "reader_stopped"
    """The reader has made no progress for too long."""
    HELD_BYTES_BOUND = "held_bytes_bound"
    """The bound for all readers is reached, and this reader has been stalled for the longest."""


class Ending(msgspec.Struct, frozen=True):
    """A reader to terminate.

    Attributes
    ----------
    reader
        Key of the reader.
    reason
        Why it is terminated.
    held_bytes
        Bytes that were buffered for it.
    stalled_s
        Time since its last progress, in seconds.
    """

    reader: Hashable
    reason: EndReason
    held_bytes: int
    stalled_s: float


class _Reader(msgspec.Struct):
    """Bytes buffered for a reader, and the time since which none of them was forwarded."""

    held: int
    stalled_since: float


class ReaderBuffers:
    """Bytes buffered for each reader; times are local.

    Parameters
    ----------
    bounds
        Limits on bytes and on stalls.

    Attributes
    ----------
    total
        Bytes buffered for all readers.
    """

    def __init__(self, bounds: ReaderBufferBounds) -> None:
        self._bounds = bounds
        self._readers: dict[Hashable, _Reader] = {}
        self.total = 0

    @property
    def is_over(self) -> bool:
        """Whether the bound for all readers is reached."""
        for_all = self._bounds.for_all
        return for_all is not None and self.total >= for_all

    def replace_bounds(self, bounds: ReaderBufferBounds) -> None:
        """Replace the bounds."""
        self._bounds = bounds

    def record_buffered(self, reader: Hashable, size: int, now: float) -> Instruction:
        """Record that another ``size`` bytes are buffered for a reader."""
        state = self._readers.get(reader)
        if state is None:
            state = self._readers[reader] = _Reader(0, now)
        state.held += size
        self.total += size
        return self._instruct(state)

    def record_forwarded(self, reader: Hashable, size: int, now: float) -> Instruction:
        """Record that ``size`` buffered bytes were forwarded to a reader."""
        state = self._readers.get(reader)
        if state is None:
            return Instruction.GO_ON
        size = min(size, state.held)
        state.held -= size
        state.stalled_since = now
        self.total -= size
        if state.held == 0:
            del self._readers[reader]
        return self._instruct(state)

    def closed(self, reader: Hashable) -> None:
        """Remove a reader and its buffered bytes."""
        state = self._readers.pop(reader, None)
        if state is not None:
            self.total -= state.held

    def skip(self, seconds: float) -> None:
        """Exclude an interval from all stalls, such as one in which this process did not run."""
        for state in self._readers.values():
            state.stalled_since += seconds

    def check(self, now: float) -> Sequence[Ending]:
        """Remove and return the readers to terminate.

        1. Readers without progress for ``longest_stall_s``.
        2. While the bound for all readers is reached, the reader stalled for the longest, if it
           has been stalled for at least ``MIN_STALL_S``.
        """
        endings = [
            self._end(reader, EndReason.READER_STOPPED, now)
            for reader, state in list(self._readers.items())
            if now - state.stalled_since >= self._bounds.longest_stall_s
        ]
        return endings + self._end_longest_stalled(now)

    def _end_longest_stalled(self, now: float) -> list[Ending]:
        """Terminate the longest stalled readers until the total is below the bound."""
        endings: list[Ending] = []
        if not self.is_over:
            return endings
        for reader in sorted(self._readers, key=lambda each: self._readers[each].stalled_since):
            is_progressing = now - self._readers[reader].stalled_since < MIN_STALL_S
            if is_progressing or not self.is_over:
                break
            endings.append(self._end(reader, EndReason.HELD_BYTES_BOUND, now))
        return endings

    def _end(self, reader: Hashable, reason: EndReason, now: float) -> Ending:
        state = self._readers.pop(reader)
        self.total -= state.held
        return Ending(reader, reason, state.held, now - state.stalled_since)

    def _instruct(self, state: _Reader) -> Instruction:
        must_wait = state.held >= self._bounds.for_one or (self.is_over and state.held > 0)
        return Instruction.WAIT if must_wait else Instruction.GO_ON
