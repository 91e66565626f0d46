"""Hands partitions over to their next leaders, and prepares to receive those of other nodes.

The store leader requests a handover. The old leader finishes the partition's calls and
releases it; the next leader delays new calls until the partition table names it.
"""

import anyio

from passlane.errors import PasslaneError
from passlane.identifiers import Epoch, Partition
from passlane.membership.events import HandoverRequested
from passlane.messages.common import Address
from passlane.messages.node import HandoverNotice, HandoverStage
from passlane.node.heartbeat import HeartbeatLoop
from passlane.node.incoming_partitions import IncomingPartitions
from passlane.node.leader_service import LeaderService
from passlane.observability.logging import get_logger
from passlane.transport.interfaces import Caller, Router

IDLE_WAIT_S = 2.0
"""Seconds for which new calls are still accepted while waiting for the partition to be idle."""

_log = get_logger(__name__)


class PartitionHandover:
    """Runs handovers as the old leader, and handles notices as the next one.

    Parameters
    ----------
    timeout_s
        Maximum time in seconds for the calls of a partition to finish.
    """

    def __init__(
        self,
        leader: LeaderService,
        incoming: IncomingPartitions,
        heartbeat: HeartbeatLoop,
        caller: Caller,
        timeout_s: float,
    ) -> None:
        self._leader = leader
        self._incoming = incoming
        self._heartbeat = heartbeat
        self._caller = caller
        self._timeout_s = timeout_s

    def register(self, router: Router) -> None:
        """Receive the order notices of other nodes."""
        router.add_one_way(HandoverNotice, self._handle_notice)

    async def hand_over(self, order: HandoverRequested) -> None:
        """Release a partition to its next leader when none of its calls is running.

        1. Accept new calls until the partition is idle, for at most ``IDLE_WAIT_S``.
        2. Redirect new calls to the next leader, where they wait for the partition.
        3. Wait until the calls that run here have finished, or for at most ``timeout_s``.
        4. Release the partition.

        Stops after step 1 or 3 if the store leader no longer requests this handover.
        """
        partition, successor = order.partition, order.to_address
        await self._notify(successor, partition, order.epoch, HandoverStage.BEGUN)
        await self._leader.wait_partition_idle(partition, IDLE_WAIT_S)
        if not self._is_current(order):
            return
        self._leader.redirect_calls(partition, successor)
        await self._leader.wait_partition_idle(partition, self._timeout_s)
        if not self._is_current(order):
            return
        self._heartbeat.release(partition)
        # Nodes without the new partition table still send calls here.
        self._leader.redirect_calls(partition, successor)
        await self._notify(successor, partition, order.epoch, HandoverStage.RELEASED)

    def _is_current(self, order: HandoverRequested) -> bool:
        """Return whether this is still the handover that the store leader requests."""
        current = self._heartbeat.lease.handover_of(order.partition)
        return (
            current is not None
            and current.epoch == order.epoch
            and current.to_address == order.to_address
        )

    async def cancel(self, partition: Partition, epoch: Epoch) -> None:
        """Cancel the handover of a partition and accept its calls again."""
        successor = self._leader.successor_of(partition)
        self._leader.accept_calls(partition)
        if successor is not None:
            await self._notify(successor, partition, epoch, HandoverStage.CANCELLED)

    async def _notify(
        self, successor: Address, partition: Partition, epoch: Epoch, stage: HandoverStage
    ) -> None:
        notice = HandoverNotice(partition=partition, epoch=epoch, stage=stage)
        try:
            await self._caller.send(successor, notice)
        except PasslaneError as error:
            # The notice only shortens the wait; the partition table decides who leads.
            _log.info("handover_notice_lost", stage=stage.value, code=error.code.value)

    async def _handle_notice(self, notice: HandoverNotice) -> None:
        self._incoming.handle_notice(notice, anyio.current_time())
        if notice.stage is HandoverStage.RELEASED:
            self._heartbeat.expect_assignment(notice.partition)
