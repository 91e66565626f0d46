"""Bounds what a node holds of all answers that are not complete; without I/O or clock.

A back end may send bytes without end: in a head, in a line of it, in an event, or in a body that is
buffered. Each answer has a bound of its own, and many at once must not take a machine's memory. An
answer that finds no room is passed on early if that is possible, else its attempt is broken off.
"""

from passlane.decisions.admission.client_budget import PROCESS_BYTES

SHARE_OF_MEMORY = 0.05
"""Share of a machine's memory beyond that of an idle process."""
LEAST_BYTES = 2_000_000
DEFAULT_BYTES = 256_000_000
FREE_BYTES = 4_000
"""Bytes of each answer that always fit: more than usual heads, events and bodies have."""


class AnswerRoom:
    """The parts of answers that a node holds.

    Attributes
    ----------
    held_bytes
        Sum of their sizes beyond ``FREE_BYTES`` each.
    refused
        Number of times that a part did not fit.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.refused = 0

    @classmethod
    def of_machine(cls, memory_bytes: int | None) -> "AnswerRoom":
        """Return a share of a machine's memory; a default if it is unknown."""
        if memory_bytes is None:
            return cls(DEFAULT_BYTES)
        return cls(max(LEAST_BYTES, int((memory_bytes - PROCESS_BYTES) * SHARE_OF_MEMORY)))


class HeldPart:
    """What is held of one answer in one place."""

    def __init__(self, room: AnswerRoom) -> None:
        self._room = room
        self._counted_bytes = 0

    def hold(self, size_bytes: int) -> bool:
        """Hold so many bytes in place of those before, if they fit; return whether they do.

        A part that is alone always fits: each answer has a bound of its own.
        """
        counted_bytes = max(0, size_bytes - FREE_BYTES)
        others_bytes = self._room.held_bytes - self._counted_bytes
        grows = counted_bytes > self._counted_bytes
        if grows and others_bytes and others_bytes + counted_bytes > self._room.max_bytes:
            self._room.refused += 1
            return False
        self._counted_bytes = counted_bytes
        self._room.held_bytes = others_bytes + counted_bytes
        return True

    def release(self) -> None:
        """Hold nothing any more."""
        self._room.held_bytes -= self._counted_bytes
        self._counted_bytes = 0
