"""Sends a node's heartbeats to its region's store leader and carries out the replies."""

import random as random_module
from collections.abc import Sequence
from typing import Protocol

import anyio

from passlane.errors import PasslaneError
from passlane.identifiers import EngineId, NodeId, Partition, Revision
from passlane.membership.events import MembershipChange
from passlane.membership.node_lease import NodeLease
from passlane.messages.common import Address
from passlane.messages.control import ConfigurationDelta, TargetInFlight
from passlane.messages.membership import HeartbeatReply, NodeHeartbeat
from passlane.observability.logging import get_logger
from passlane.replication.client import GroupClient
from passlane.settings.model import Settings

JITTER_FRACTION = 0.2
"""Intervals vary by so much of their length, so that nodes do not fall into step."""

JOINING_FRACTION = 0.25
"""A node without a lease asks again after this part of the heartbeat interval."""

AWAITING_FRACTION = 0.05
"""A node that has released a partition, or waits for one that another has released, asks
again after this part of the interval."""

logger = get_logger(__name__)


def longest_pause_s(heartbeat_s: float) -> float:
    """Return the longest time in seconds between two heartbeats of a node."""
    return heartbeat_s * (1.0 + JITTER_FRACTION)


class ConfigurationPosition(Protocol):
    """How far a node is with the configuration."""

    @property
    def held_revision(self) -> Revision:
        """Newest revision held, pending or accepted."""
        ...

    @property
    def revision_in_force(self) -> Revision:
        """Revision acted on."""
        ...

    @property
    def floor_revision(self) -> Revision:
        """Floor of the snapshot that the configuration began with."""
        ...


class HeartbeatListener(Protocol):
    """The node's part that acts on what heartbeats bring."""

    @property
    def configuration(self) -> ConfigurationPosition:
        """The configuration held now."""
        ...

    @property
    def is_draining(self) -> bool:
        """Whether the node wants to give up what it leads and get nothing new."""
        ...

    @property
    def in_flight_at_drained(self) -> tuple[TargetInFlight, ...]:
        """Calls in flight at what is being drained."""
        ...

    def take_configuration(
        self, delta: ConfigurationDelta | None, accepted_revision: Revision
    ) -> None:
        """Take in changes, and act on what is accepted and held."""
        ...

    def take_leaving_engines(self, names: Sequence[EngineId]) -> None:
        """Send no new work to machines of these names."""
        ...

    def take_membership_change(self, change: MembershipChange) -> None:
        """Begin or stop to lead a partition, or begin to hand it over."""
        ...


class HeartbeatLoop:
    """The node's side of membership.

    Parameters
    ----------
    incarnation
        Differs for each start of the process, for example 63 random bits; not 0.
    """

    def __init__(
        self,
        settings: Settings,
        store: GroupClient,
        listener: HeartbeatListener,
        random: random_module.Random,
        incarnation: int,
    ) -> None:
        self._settings = settings
        self._store = store
        self._listener = listener
        self._random = random
        self._wanted = anyio.Event()
        self._awaited: dict[Partition, float] = {}
        self._replied = anyio.Event()
        self.lease = NodeLease(
            NodeId(settings.process.name),
            incarnation,
            settings.membership.clock_drift_fraction,
        )

    @property
    def has_lease(self) -> bool:
        """Whether the node may act as a leader right now."""
        return self.lease.is_valid(anyio.current_time())

    def beat_soon(self) -> None:
        """Send the next heartbeat at once, because something has changed here."""
        self._wanted.set()

    def release(self, partition: Partition) -> None:
        """Stop leading a partition; call once its last call has finished."""
        self._tell(self.lease.release(partition))
        self._await_table(partition)

    async def wait_released(self) -> None:
        """Return once the partition table gives away all that this node has released.

        Returns too when the lease ends: then others take over without the releases.
        """
        while self.lease.releases and self.has_lease:
            with anyio.move_on_after(self.lease.valid_until - anyio.current_time()):
                await self._replied.wait()

    def expect(self, partition: Partition) -> None:
        """Ask often for a while: a partition was released that this node is to lead."""
        self._await_table(partition)

    def _await_table(self, partition: Partition) -> None:
        self._awaited[partition] = anyio.current_time() + self._settings.membership.lease_s
        self.beat_soon()

    def _forget_awaited(self, reply: HeartbeatReply) -> None:
        """Stop to ask often for partitions that the table has just given to someone."""
        now = anyio.current_time()
        news = {assignment.partition for assignment in reply.table or ()}
        self._awaited = {
            partition: until
            for partition, until in self._awaited.items()
            if until > now and partition not in news
        }

    async def run(self) -> None:
        """Send heartbeats and watch the lease until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_lease)
            while True:
                self._wanted = anyio.Event()
                await self._beat()
                with anyio.move_on_after(self._pause_s()):
                    await self._wanted.wait()

    def _pause_s(self) -> float:
        pause_s = self._settings.membership.heartbeat_s
        if not self.has_lease:
            pause_s *= JOINING_FRACTION
        elif self._awaited:
            pause_s *= AWAITING_FRACTION
        return pause_s * self._random.uniform(1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION)

    async def _beat(self) -> None:
        sent_at = anyio.current_time()
        try:
            reply = await self._store.execute(
                self._heartbeat(),
                HeartbeatReply,
                timeout_s=self._settings.membership.lease_s / 2,
            )
        except PasslaneError as error:
            logger.warning("heartbeat_failed", code=error.code.value)
            return
        self._take_reply(reply, sent_at)

    def _heartbeat(self) -> NodeHeartbeat:
        configuration = self._listener.configuration
        return NodeHeartbeat(
            node_id=self.lease.node_id,
            incarnation=self.lease.incarnation,
            address=self._own_address(),
            zone=self._settings.process.zone,
            prepared_revision=configuration.held_revision,
            revision_in_force=configuration.revision_in_force,
            table_version=self.lease.table_version,
            draining=self._listener.is_draining,
            released=self.lease.releases,
            configuration_floor=configuration.floor_revision,
            in_flight=self._listener.in_flight_at_drained,
        )

    def _own_address(self) -> Address:
        return self._settings.addresses.internal

    def _take_reply(self, reply: HeartbeatReply, sent_at: float) -> None:
        # Configuration first: a node acts on the newest accepted one before it leads.
        held_before = self._listener.configuration.held_revision
        self._listener.take_configuration(reply.configuration, reply.accepted_revision)
        self._listener.take_leaving_engines(reply.leaving_engines)
        self._forget_awaited(reply)
        had_lease = self.has_lease
        self._tell(self.lease.handle_reply(reply, sent_at, anyio.current_time()))
        if self._listener.configuration.held_revision > held_before:
            # The store leader waits to hear that the change is held, or has more of it.
            self.beat_soon()
        self._replied.set()
        self._replied = anyio.Event()
        if self.has_lease != had_lease:
            logger.info("lease_gained", partitions=len(self.lease.led_partitions))

    async def _watch_lease(self) -> None:
        """Notice the end of the lease at the moment it ends, whatever the heartbeats do."""
        while True:
            now = anyio.current_time()
            lost = self.lease.handle_time(now)
            if lost:
                logger.warning("lease_lost", partitions=len(lost))
                self._tell(lost)
            remaining_s = self.lease.valid_until - now
            longest_s = self._settings.membership.heartbeat_s
            await anyio.sleep(min(remaining_s, longest_s) if remaining_s > 0 else longest_s)

    def _tell(self, changes: Sequence[MembershipChange]) -> None:
        for change in changes:
            self._listener.take_membership_change(change)
