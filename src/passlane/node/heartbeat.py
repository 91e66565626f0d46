"""Sends a node's heartbeats to the store leader of its region and applies the replies.

A reply brings the node's lease, the partition table, configuration changes and handovers.
``HeartbeatLoop`` owns the lease; the node implements ``HeartbeatListener``.
"""

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
"""Random variation of an interval, as a fraction, so that nodes do not synchronize."""

NO_LEASE_INTERVAL_FRACTION = 0.25
"""Interval of a node without a lease, as a fraction of the heartbeat interval."""

AWAITED_INTERVAL_FRACTION = 0.05
"""Interval of a node that waits for a partition to be assigned, as a fraction of the heartbeat
interval: it has released the partition, or is to lead one that another node has released."""

logger = get_logger(__name__)


def max_heartbeat_interval_s(heartbeat_s: float) -> float:
    """Return the maximum time in seconds between two heartbeats of a node with a lease."""
    return heartbeat_s * (1.0 + JITTER_FRACTION)


class ConfigurationPosition(Protocol):
    """Revisions of the configuration that a node has."""

    @property
    def held_revision(self) -> Revision:
        """Newest revision received, pending or accepted."""
        ...

    @property
    def revision_in_force(self) -> Revision:
        """Revision that the node applies."""
        ...

    @property
    def floor_revision(self) -> Revision:
        """Floor of the snapshot that the configuration started from."""
        ...


class HeartbeatListener(Protocol):
    """The part of the node that applies the replies to heartbeats."""

    @property
    def configuration(self) -> ConfigurationPosition:
        """The configuration that the node has now."""
        ...

    @property
    def is_draining(self) -> bool:
        """Whether the node hands over its partitions and gets no new ones."""
        ...

    @property
    def in_flight_at_drained(self) -> tuple[TargetInFlight, ...]:
        """Number of calls in flight at each drained target."""
        ...

    def apply_configuration(
        self, delta: ConfigurationDelta | None, accepted_revision: Revision
    ) -> None:
        """Add changes, then apply the newest revision that is both accepted and received."""
        ...

    def set_leaving_engines(self, names: Sequence[EngineId]) -> None:
        """Send no new work to the engines of these names."""
        ...

    def apply_membership_change(self, change: MembershipChange) -> None:
        """Start or stop leading a partition, or start or cancel its handover."""
        ...


class HeartbeatLoop:
    """Sends heartbeats, maintains the node's lease and notifies the listener of changes.

    Parameters
    ----------
    incarnation
        Different for each start of the process, for example 63 random bits; not 0.
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
        self._send_requested = anyio.Event()
        self._awaited_until: dict[Partition, float] = {}
        self._reply_received = anyio.Event()
        self.lease = NodeLease(
            NodeId(settings.process.name),
            incarnation,
            settings.membership.clock_drift_fraction,
        )

    @property
    def has_lease(self) -> bool:
        """Whether the node may act as a leader now."""
        return self.lease.is_valid(anyio.current_time())

    def request_heartbeat(self) -> None:
        """Send the next heartbeat immediately, because the node's state has changed."""
        self._send_requested.set()

    def release(self, partition: Partition) -> None:
        """Stop leading a partition; to be called after its last call has finished."""
        self._notify_listener(self.lease.release(partition))
        self._await_assignment(partition)

    async def wait_released(self) -> None:
        """Wait until the partition table has reassigned every partition that this node released.

        Returns also when the lease ends: then other nodes may lead without the releases.
        """
        while self.lease.releases and self.has_lease:
            with anyio.move_on_after(self.lease.valid_until - anyio.current_time()):
                await self._reply_received.wait()

    def expect_assignment(self, partition: Partition) -> None:
        """Send heartbeats often until a released partition is assigned, for at most ``lease_s``."""
        self._await_assignment(partition)

    def _await_assignment(self, partition: Partition) -> None:
        self._awaited_until[partition] = anyio.current_time() + self._settings.membership.lease_s
        self.request_heartbeat()

    def _drop_assigned(self, reply: HeartbeatReply) -> None:
        """Stop waiting for partitions that the reply assigns, or whose waiting time is over."""
        now = anyio.current_time()
        assigned = {assignment.partition for assignment in reply.table or ()}
        self._awaited_until = {
            partition: until
            for partition, until in self._awaited_until.items()
            if until > now and partition not in assigned
        }

    async def run(self) -> None:
        """Send heartbeats and monitor the lease until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_lease)
            while True:
                self._send_requested = anyio.Event()
                await self._send_heartbeat()
                with anyio.move_on_after(self._interval_s()):
                    await self._send_requested.wait()

    def _interval_s(self) -> float:
        interval_s = self._settings.membership.heartbeat_s
        if not self.has_lease:
            interval_s *= NO_LEASE_INTERVAL_FRACTION
        elif self._awaited_until:
            interval_s *= AWAITED_INTERVAL_FRACTION
        return interval_s * self._random.uniform(1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION)

    async def _send_heartbeat(self) -> None:
        sent_at = anyio.current_time()
        try:
            reply = await self._store.execute(
                self._build_heartbeat(),
                HeartbeatReply,
                timeout_s=self._settings.membership.lease_s / 2,
            )
        except PasslaneError as error:
            logger.warning("heartbeat_failed", code=error.code.value)
            return
        self._handle_reply(reply, sent_at)

    def _build_heartbeat(self) -> NodeHeartbeat:
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

    def _handle_reply(self, reply: HeartbeatReply, sent_at: float) -> None:
        # Configuration first: a node applies the newest accepted revision before it leads.
        revision_before = self._listener.configuration.held_revision
        self._listener.apply_configuration(reply.configuration, reply.accepted_revision)
        self._listener.set_leaving_engines(reply.leaving_engines)
        self._drop_assigned(reply)
        had_lease = self.has_lease
        self._notify_listener(self.lease.handle_reply(reply, sent_at, anyio.current_time()))
        if self._listener.configuration.held_revision > revision_before:
            # The store leader waits for this acknowledgement, or has more changes to send.
            self.request_heartbeat()
        self._reply_received.set()
        self._reply_received = anyio.Event()
        if self.has_lease != had_lease:
            logger.info("lease_gained", partitions=len(self.lease.led_partitions))

    async def _watch_lease(self) -> None:
        """Handle the end of the lease when it expires, also while no heartbeat is answered."""
        while True:
            now = anyio.current_time()
            lost = self.lease.check_expiry(now)
            if lost:
                logger.warning("lease_lost", partitions=len(lost))
                self._notify_listener(lost)
            remaining_s = self.lease.valid_until - now
            max_sleep_s = self._settings.membership.heartbeat_s
            await anyio.sleep(min(remaining_s, max_sleep_s) if remaining_s > 0 else max_sleep_s)

    def _notify_listener(self, changes: Sequence[MembershipChange]) -> None:
        for change in changes:
            self._listener.apply_membership_change(change)
