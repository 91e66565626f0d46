"""Partitions that another node is handing to this one, and calls that wait for them."""

import anyio

from passlane.identifiers import Epoch, Partition
from passlane.messages.node import CallRequest, HandoverNotice, HandoverStage

MAX_HELD_BYTES = 4_000_000
"""Bytes of calls held at a time, over all partitions; others are sent away at once."""

CALL_OVERHEAD_BYTES = 4_000
"""Counted for each held call besides its text, for its task and its connection."""

HOLD_S = 5.0
"""Longest time that a call is held before its sender is told to look for the leader."""

ANNOUNCED_S = 60.0
"""Seconds after which a handover that was announced is no longer waited for."""


class _Incoming:
    """A partition on its way to this node; ``is_over`` is set when the wait for it ends."""

    __slots__ = ("announced_at", "epoch", "is_over")

    def __init__(self, epoch: Epoch, announced_at: float) -> None:
        self.epoch = epoch
        self.announced_at = announced_at
        self.is_over = anyio.Event()


class IncomingPartitions:
    """Holds calls for partitions that this node is about to lead.

    A held call waits here and not at the old leader or at the node that the caller asked,
    which would have to ask again and again. What is held is bounded in bytes and in time.

    Attributes
    ----------
    held_bytes, most_held_bytes
        Bytes of the calls that wait now, and the most that ever waited at a time.
    """

    def __init__(self) -> None:
        self._incoming: dict[Partition, _Incoming] = {}
        self.held_bytes = 0
        self.most_held_bytes = 0

    def take_notice(self, notice: HandoverNotice, now: float) -> None:
        """Begin or end to wait for a partition."""
        if notice.stage is HandoverStage.CANCELLED:
            self.end_wait(notice.partition)
            return
        known = self._incoming.get(notice.partition)
        if known is None or known.epoch < notice.epoch:
            self.end_wait(notice.partition)
            self._incoming[notice.partition] = _Incoming(notice.epoch, now)

    def end_wait(self, partition: Partition) -> None:
        """Let the calls of a partition go on: it has arrived, or will not come."""
        incoming = self._incoming.pop(partition, None)
        if incoming is not None:
            incoming.is_over.set()

    async def hold(self, partition: Partition, request: CallRequest) -> None:
        """Wait while a partition is on its way; return at once for any other.

        Returns without the partition too, when the wait is too long or too much is held:
        the caller of this method checks whether this node leads.
        """
        incoming = self._incoming.get(partition)
        if incoming is None:
            return
        if anyio.current_time() - incoming.announced_at > ANNOUNCED_S:
            self.end_wait(partition)
            return
        size = _size_of(request)
        if self.held_bytes + size > MAX_HELD_BYTES:
            return
        self.held_bytes += size
        self.most_held_bytes = max(self.most_held_bytes, self.held_bytes)
        try:
            with anyio.move_on_after(min(HOLD_S, request.timeout_s)):
                await incoming.is_over.wait()
        finally:
            self.held_bytes -= size


def _size_of(request: CallRequest) -> int:
    """Return about the memory that a waiting request takes."""
    turns = sum(len(turn.content) for turn in request.turns)
    return CALL_OVERHEAD_BYTES + turns + len(request.arguments) + len(request.resume_text)
