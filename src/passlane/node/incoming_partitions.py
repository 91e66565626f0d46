"""Partitions that another node is handing over to this node, and calls that wait for them.

The next leader of a partition delays calls until the partition arrives, so that senders need
not retry. The waiting calls are bounded in bytes and in time.
"""

import anyio

from passlane.identifiers import Epoch, Partition
from passlane.messages.node import CallRequest, HandoverNotice, HandoverStage

MAX_WAITING_BYTES = 4_000_000
"""Bytes of waiting calls, over all partitions; calls beyond this do not wait."""

WAITING_CALL_OVERHEAD_BYTES = 4_000
"""Bytes counted for each waiting call besides its text, for its task and its connection."""

MAX_CALL_WAIT_S = 5.0
"""Maximum wait of a call in seconds; after that its sender must search for the leader."""

ANNOUNCEMENT_TTL_S = 60.0
"""Seconds after which calls no longer wait for an announced handover."""


class _IncomingPartition:
    """A partition that is being handed over; ``wait_ended`` is set when calls stop waiting."""

    __slots__ = ("announced_at", "epoch", "wait_ended")

    def __init__(self, epoch: Epoch, announced_at: float) -> None:
        self.epoch = epoch
        self.announced_at = announced_at
        self.wait_ended = anyio.Event()


class IncomingPartitions:
    """Delays calls of partitions that this node is about to lead.

    Attributes
    ----------
    waiting_bytes, peak_waiting_bytes
        Estimated bytes of the calls that wait now, and the maximum since the start.
    """

    def __init__(self) -> None:
        self._incoming: dict[Partition, _IncomingPartition] = {}
        self.waiting_bytes = 0
        self.peak_waiting_bytes = 0

    def handle_notice(self, notice: HandoverNotice, now: float) -> None:
        """Start or stop waiting for a partition."""
        if notice.stage is HandoverStage.CANCELLED:
            self.end_wait(notice.partition)
            return
        announced = self._incoming.get(notice.partition)
        if announced is None or announced.epoch < notice.epoch:
            self.end_wait(notice.partition)
            self._incoming[notice.partition] = _IncomingPartition(notice.epoch, now)

    def end_wait(self, partition: Partition) -> None:
        """Let the waiting calls of a partition continue: it has arrived or will not come."""
        incoming = self._incoming.pop(partition, None)
        if incoming is not None:
            incoming.wait_ended.set()

    async def wait_for_partition(self, partition: Partition, request: CallRequest) -> None:
        """Wait until an announced partition arrives; return at once for any other.

        Also returns when the time or the memory for waiting calls is used up, so the caller
        must check whether this node leads the partition.
        """
        incoming = self._incoming.get(partition)
        if incoming is None:
            return
        if anyio.current_time() - incoming.announced_at > ANNOUNCEMENT_TTL_S:
            self.end_wait(partition)
            return
        size = _estimate_bytes(request)
        if self.waiting_bytes + size > MAX_WAITING_BYTES:
            return
        self.waiting_bytes += size
        self.peak_waiting_bytes = max(self.peak_waiting_bytes, self.waiting_bytes)
        try:
            with anyio.move_on_after(min(MAX_CALL_WAIT_S, request.timeout_s)):
                await incoming.wait_ended.wait()
        finally:
            self.waiting_bytes -= size


def _estimate_bytes(request: CallRequest) -> int:
    """Return the estimated memory of a waiting request in bytes."""
    turns = sum(len(turn.content) for turn in request.turns)
    return WAITING_CALL_OVERHEAD_BYTES + turns + len(request.arguments) + len(request.resume_text)
