"""Hands partitions to their next leaders, and prepares to take over those of others."""

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

QUIET_WAIT_S = 2.0
"""New calls are still taken for so long, in the hope for a moment without any."""

_log = get_logger(__name__)


class PartitionHandover:
    """Both sides of a handover.

    Parameters
    ----------
    timeout_s
        Longest time in seconds that calls of a partition may take to finish.
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
        """Let other nodes announce what they hand over."""
        router.add_one_way(HandoverNotice, self._take_notice)

    async def hand_over(self, order: HandoverRequested) -> None:
        """Release a partition to its next leader at a moment when none of its calls runs.

        Calls that come are taken until there is such a moment, or for ``QUIET_WAIT_S``.
        After that they are sent to the next leader, which holds them until the last call
        that runs here has ended.
        """
        partition, successor = order.partition, order.to_address
        await self._notify(successor, partition, order.epoch, HandoverStage.BEGUN)
        await self._leader.wait_quiet(partition, QUIET_WAIT_S)
        if not self._stands(order):
            return
        self._leader.redirect(partition, successor)
        await self._leader.wait_quiet(partition, self._timeout_s)
        if not self._stands(order):
            return
        self._heartbeat.release(partition)
        # Nodes that do not know of the change yet are still shown the way.
        self._leader.redirect(partition, successor)
        await self._notify(successor, partition, order.epoch, HandoverStage.RELEASED)

    def _stands(self, order: HandoverRequested) -> bool:
        """Return whether the store leader still wants this handover."""
        current = self._heartbeat.lease.handover_of(order.partition)
        return (
            current is not None
            and current.epoch == order.epoch
            and current.to_address == order.to_address
        )

    async def cancel(self, partition: Partition, epoch: Epoch) -> None:
        """Keep a partition that was to be handed over."""
        successor = self._leader.successor_of(partition)
        self._leader.keep_partition(partition)
        if successor is not None:
            await self._notify(successor, partition, epoch, HandoverStage.CANCELLED)

    async def _notify(
        self, successor: Address, partition: Partition, epoch: Epoch, stage: HandoverStage
    ) -> None:
        notice = HandoverNotice(partition=partition, epoch=epoch, stage=stage)
        try:
            await self._caller.send(successor, notice)
        except PasslaneError as error:
            # It only saves time; the partition table decides.
            _log.info("handover_notice_lost", stage=stage.value, code=error.code.value)

    async def _take_notice(self, notice: HandoverNotice) -> None:
        self._incoming.take_notice(notice, anyio.current_time())
        if notice.stage is HandoverStage.RELEASED:
            self._heartbeat.expect(notice.partition)
