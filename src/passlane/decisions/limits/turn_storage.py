"""Decides whether a turn can be stored, before it runs; without I/O or clock.

It is for the leader of the store group, and for nodes, which end an answer that outgrows its turn's
bound. Two bounds:

1. A chain with its newest turn must fit one answer of the store group to a node, with which the
   chain is served when a turn goes on from it. Otherwise it could be stored and never served.
2. All stored turns must fit the memory of a storage machine. They are counted together with the
   turns that were admitted and are not stored yet.

Times are local monotonic seconds.
"""

import msgspec

MAX_CHAIN_BYTES = 15_500_000
"""Contents of a chain of turns; below the largest frame (``transport.frames``) and the largest
command (``replication.replica_host``) by what is sent beside them."""
OUTPUT_ROOM_BYTES = 500_000
"""Room for a turn's output, which is unknown when the turn is admitted."""
MAX_INPUT_BYTES = MAX_CHAIN_BYTES - OUTPUT_ROOM_BYTES
"""A chain with the input of its newest turn."""

TURN_OVERHEAD_BYTES = 1_000
"""About the memory of a stored turn and its program beside its content."""
MEMORY_OF_PROCESS_MB = 56.0
"""Memory of a store process that stores nothing."""
STORED_SHARE = 0.5
"""Share of the remaining memory for stored turns; the log in memory, messages and snapshots need
the rest."""
LOG_SHARE = 0.1
"""Share of it for the log before and after a snapshot, each."""
UNSENT_SHARE = 0.15
"""Share of it for large replies that were built and are not sent."""
BYTES_PER_MEGABYTE = 1_000_000
PENDING_TIMEOUT_S = 60.0
"""Time after which an admitted turn that was never settled is not expected any more."""


def max_stored_bytes(memory_mb: float | None) -> int | None:
    """Return the bytes of turns that a machine of this memory can store; ``None`` if unknown."""
    return int(_spare_bytes(memory_mb) * STORED_SHARE) if memory_mb is not None else None


def large_log_bytes(memory_mb: float | None, default_bytes: int) -> int:
    """Return the bytes from which a log is large on a machine of this memory."""
    if memory_mb is None:
        return default_bytes
    return min(default_bytes, int(_spare_bytes(memory_mb) * LOG_SHARE))


def max_unsent_reply_bytes(memory_mb: float | None, default_bytes: int) -> int:
    """Return the bound on built replies that are not sent, on a machine of this memory."""
    if memory_mb is None:
        return default_bytes
    return int(_spare_bytes(memory_mb) * UNSENT_SHARE)


def _spare_bytes(memory_mb: float) -> float:
    """Return the memory beyond that of a process that stores nothing."""
    return max(0.0, memory_mb - MEMORY_OF_PROCESS_MB) * BYTES_PER_MEGABYTE


def fits_chain(history_bytes: int, input_bytes: int) -> bool:
    """Return whether a turn with this input can be stored behind a chain of ``history_bytes``."""
    return history_bytes + input_bytes <= MAX_INPUT_BYTES


def max_output_bytes(prompt_bytes: int) -> int:
    """Return the most output with which a turn can be stored; the prompt is history and input."""
    return MAX_CHAIN_BYTES - prompt_bytes


class _PendingTurn(msgspec.Struct, frozen=True):
    """An admitted turn that is not stored yet."""

    size_bytes: int
    expires_at: float


class TurnStorage:
    """Counts the admitted turns of a leader against the bound on stored bytes.

    Parameters
    ----------
    max_bytes
        Bound on the stored bytes; ``None`` for none.
    """

    def __init__(self, max_bytes: int | None) -> None:
        self.max_bytes = max_bytes
        self._pending: dict[str, _PendingTurn] = {}
        self._pending_bytes = 0

    @property
    def pending_bytes(self) -> int:
        """Bytes of admitted turns that are not settled."""
        return self._pending_bytes

    def missing_bytes(self, attempt_id: str, input_bytes: int, stored_bytes: int) -> int:
        """Return by how many bytes a turn exceeds what can be stored; 0 if it fits."""
        if self.max_bytes is None or attempt_id in self._pending:
            return 0
        required = stored_bytes + self._pending_bytes + input_bytes + TURN_OVERHEAD_BYTES
        return max(0, required - self.max_bytes)

    def admit(self, attempt_id: str, input_bytes: int, now: float) -> None:
        """Count an admitted turn until it is settled."""
        self._expire(now)
        self.release(attempt_id)
        size_bytes = input_bytes + TURN_OVERHEAD_BYTES
        self._pending[attempt_id] = _PendingTurn(size_bytes, now + PENDING_TIMEOUT_S)
        self._pending_bytes += size_bytes

    def release(self, attempt_id: str) -> None:
        """Count a turn no longer: it is stored, or it will not be."""
        pending = self._pending.pop(attempt_id, None)
        if pending is not None:
            self._pending_bytes -= pending.size_bytes

    def _expire(self, now: float) -> None:
        """Forget turns that were never settled; they are in the order of their admission."""
        while self._pending:
            attempt_id, oldest = next(iter(self._pending.items()))
            if oldest.expires_at > now:
                return
            self.release(attempt_id)
