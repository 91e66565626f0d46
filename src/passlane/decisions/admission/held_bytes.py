"""Decides about readers that take what is held for them slowly, or not at all.

A reader is whoever is to read bytes that this process holds meanwhile. No I/O is done here:
who holds the bytes tells what was taken and passed on, and does as it is told.
"""

import enum
from collections.abc import Hashable, Sequence

import msgspec

BYTES_FOR_ONE = 65_536
"""What may be held for one reader before more waits: some hundred events of a stream."""
SHARE_OF_MEMORY = 1 / 16
"""What may be held for all readers, of the machine's memory: enough for a hundred readers with
full buffers on a small machine, and too little to be what ends the process."""
LONGEST_STALL_S = 2.0
"""A caller that has had nothing of a stream for so long has given it up itself."""
SHORTEST_STALL_S = 0.5
"""A reader that has not moved for less is never ended: its link may have lost a packet."""


class HeldBytesBounds(msgspec.Struct, frozen=True):
    """Bounds on what is held for readers.

    Attributes
    ----------
    for_one
        Bytes for one reader, beyond which more waits.
    for_all
        Bytes for all readers together; ``None`` for no bound.
    longest_stall_s
        A reader that has taken nothing for so long is ended.
    """

    for_one: int = BYTES_FOR_ONE
    for_all: int | None = None
    longest_stall_s: float = LONGEST_STALL_S


class Instruction(enum.Enum):
    """Whether more may be taken for a reader."""

    GO_ON = "go_on"
    WAIT = "wait"


class EndReason(enum.StrEnum):
    """Why what is held for a reader is dropped."""

    READER_STOPPED = "reader_stopped"
    """It has taken nothing for too long."""
    HELD_BYTES_BOUND = "held_bytes_bound"
    """Too much is held for all, and this reader has not moved for longest."""


class Ending(msgspec.Struct, frozen=True):
    """A reader to be ended.

    Attributes
    ----------
    held_bytes
        What was held for it.
    stalled_s
        How long it had taken nothing.
    """

    reader: Hashable
    reason: EndReason
    held_bytes: int
    stalled_s: float


class _Reader(msgspec.Struct):
    """What is held for a reader, and since when nothing of it was passed on."""

    held: int
    stalled_since: float


class HeldBytes:
    """Bytes held for readers; local times.

    Attributes
    ----------
    total
        Bytes held for all readers.
    """

    def __init__(self, bounds: HeldBytesBounds) -> None:
        self._bounds = bounds
        self._readers: dict[Hashable, _Reader] = {}
        self.total = 0

    @property
    def is_over(self) -> bool:
        """Whether as much is held for all as may be."""
        for_all = self._bounds.for_all
        return for_all is not None and self.total >= for_all

    def replace_bounds(self, bounds: HeldBytesBounds) -> None:
        """Decide by other bounds from now on."""
        self._bounds = bounds

    def taken(self, reader: Hashable, size: int, now: float) -> Instruction:
        """Note that ``size`` bytes more are held for a reader."""
        state = self._readers.get(reader)
        if state is None:
            state = self._readers[reader] = _Reader(0, now)
        state.held += size
        self.total += size
        return self._instruct(state)

    def passed_on(self, reader: Hashable, size: int, now: float) -> Instruction:
        """Note that a reader has taken ``size`` bytes of what is held for it."""
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
        """Note that nothing is held for a reader any more."""
        state = self._readers.pop(reader, None)
        if state is not None:
            self.total -= state.held

    def skip(self, seconds: float) -> None:
        """Leave a span out of all stalls, such as one in which this process didn't run."""
        for state in self._readers.values():
            state.stalled_since += seconds

    def check(self, now: float) -> Sequence[Ending]:
        """Return the readers to be ended by now; they are forgotten here."""
        endings = [
            self._end(reader, EndReason.READER_STOPPED, now)
            for reader, state in list(self._readers.items())
            if now - state.stalled_since >= self._bounds.longest_stall_s
        ]
        return endings + self._shed(now)

    def _shed(self, now: float) -> list[Ending]:
        """End those that have not moved for longest until the rest is within the bound."""
        endings: list[Ending] = []
        if not self.is_over:
            return endings
        for reader in sorted(self._readers, key=lambda each: self._readers[each].stalled_since):
            is_moving = now - self._readers[reader].stalled_since < SHORTEST_STALL_S
            if is_moving or not self.is_over:
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
