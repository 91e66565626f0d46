"""The background tasks and heartbeat replies of a store leader in one term.

Owns the lease table, which is rebuilt in each term.
"""

import anyio

from passlane.membership.lease_table import LeaseTable
from passlane.messages.membership import HeartbeatReply, NodeHeartbeat
from passlane.messages.store import AssignPartitions
from passlane.observability.logging import get_logger
from passlane.replication.client import GroupClient
from passlane.replication.interfaces import ReplicatedGroup
from passlane.runtime.interfaces import Environment
from passlane.settings.model import Settings
from passlane.store.configuration_relay import ConfigurationRelay
from passlane.store.drains import DrainedNodes
from passlane.store.engine_reconciler import EngineReconciler
from passlane.store.machine import StoreStateMachine
from passlane.store.platform_watch import PlatformWatch
from passlane.store.proposals import propose_until_decided

PLANS_PER_HEARTBEAT = 5
"""Number of partition planning rounds per heartbeat interval."""

logger = get_logger(__name__)


class LeaderTerm:
    """Runs leases, assignments, configuration and engines during one term.

    Parameters
    ----------
    number
        Term of the group in which this replica leads.
    started_at
        Time at which leadership was confirmed, in seconds on the event loop's clock.
    """

    def __init__(
        self,
        *,
        number: int,
        group: ReplicatedGroup,
        machine: StoreStateMachine,
        settings: Settings,
        environment: Environment,
        control: GroupClient | None,
        started_at: float,
    ) -> None:
        self.number = number
        self._group = group
        self._machine = machine
        self._plan_interval_s = settings.membership.heartbeat_s / PLANS_PER_HEARTBEAT
        self.lease_table = LeaseTable(settings.membership, machine.assignments.all(), started_at)
        self._drained = DrainedNodes(machine.configuration)
        self._platform = PlatformWatch(environment.http_client, settings.node.platform_list)
        self._engines = EngineReconciler(
            machine.configuration, self.lease_table, environment.http_client
        )
        self._plan_requested = anyio.Event()
        self._relay: ConfigurationRelay | None = None
        if control is not None:
            self._relay = ConfigurationRelay(
                region=settings.process.region,
                interval_s=settings.membership.heartbeat_s,
                group=group,
                machine=machine,
                lease_table=self.lease_table,
                control=control,
            )

    async def run(self) -> None:
        """Run the background tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._assign_partitions)
            tasks.start_soon(self._platform.run)
            tasks.start_soon(self._engines.run)
            if self._relay is not None:
                tasks.start_soon(self._relay.run)

    def answer(self, heartbeat: NodeHeartbeat) -> HeartbeatReply:
        """Return the reply to a heartbeat; call only after a read barrier."""
        configuration = self._machine.configuration
        table = self._machine.assignments
        decision = self.lease_table.answer_heartbeat(
            heartbeat, configuration.held_revision, anyio.current_time()
        )
        if heartbeat.released:
            self._plan_requested.set()
        is_table_outdated = heartbeat.table_version != table.version
        is_configuration_outdated = heartbeat.prepared_revision < configuration.held_revision
        return HeartbeatReply(
            lease_s=decision.lease_s,
            table_version=table.version,
            accepted_revision=configuration.accepted_revision,
            table=table.changed_since(heartbeat.table_version) if is_table_outdated else None,
            configuration=configuration.delta_since(
                heartbeat.prepared_revision, heartbeat.configuration_floor
            )
            if is_configuration_outdated
            else None,
            leaving_engines=self._platform.leaving_engines,
            handovers=decision.handovers,
        )

    async def _assign_partitions(self) -> None:
        while True:
            self._plan_requested = anyio.Event()
            self.lease_table.set_leaving(self._drained.nodes() | self._platform.leaving_nodes)
            planned = self.lease_table.plan_assignments(anyio.current_time())
            if planned:
                await propose_until_decided(self._group, AssignPartitions(assignments=planned))
                self.lease_table.record_assignments(self._machine.assignments.all())
                logger.info("partitions_assigned", partitions=len(planned))
            # A released partition has no leader, so plan at once.
            with anyio.move_on_after(self._plan_interval_s):
                await self._plan_requested.wait()
