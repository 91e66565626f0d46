"""A control replica of a fleet: configuration, directory, operators' requests.

For: the role ``control``.
Owns: a replica of the group ``control`` and the services on top of it, this process's heartbeats,
and the HTTP server for operators.
Relies on: the seeds, which are the initial members of the group.
"""

import anyio

from passlane.daemon.fleet.context import FleetContext
from passlane.daemon.shared.replicas import (
    CONTROL_FOLDER,
    CONTROL_GROUP,
    initial_members,
    transfer_leadership,
)
from passlane.fleet.client import FleetClient
from passlane.fleet.operator import FleetOperator
from passlane.fleet.service import FleetService
from passlane.fleet.state.machine import FleetStateMachine
from passlane.messages.common import Address
from passlane.platform.operator_api import OperatorApi
from passlane.replication.replica_host import ReplicaHost
from passlane.replication.replica_metrics import expose_replica
from passlane.settings.fleet import FleetSettings
from passlane.settings.model import GroupSettings, PeerSettings

HEARTBEAT_S = 0.15
"""Interval of the Raft heartbeats within the group (not of those of the fleet); longer than in the
store group, because control replicas have slower processors."""
ELECTION_TIMEOUT_S = 0.5
"""Time without a heartbeat after which a follower starts an election."""
FIRST_ELECTION_SHARE = 0.1
"""Share of the election timeout that applies to the first elections after a start."""
SNAPSHOT_EVERY_ENTRIES = 500
"""Log entries between two snapshots; low, because the state is small."""
SEGMENT_BYTES = 2_000_000
"""Size of one segment file of the log."""


class FleetControl:
    """Runs the parts of a control replica."""

    def __init__(self, context: FleetContext) -> None:
        self._context = context
        self._scope = anyio.CancelScope()
        random = context.environment.random
        self._fleet_client = FleetClient(
            context.heartbeat, context.seed_addresses(), context.pool, random
        )
        machine = FleetStateMachine()
        self._host = self._build_host(machine)
        context.metrics.define_when_exposed(
            lambda metrics: expose_replica(metrics, CONTROL_GROUP, self._host)
        )
        self._service = FleetService(
            self._host,
            machine,
            context.router,
            context.pool,
            context.settings.fault_tolerance.voters,
        )
        self._operator = FleetOperator(context.pool, self._control_addresses, random)

    def _build_host(self, machine: FleetStateMachine) -> ReplicaHost:
        context = self._context
        own = PeerSettings(name=context.replica_name, internal=context.settings.addresses.internal)
        seeds = [PeerSettings(name=a.host, internal=a) for a in context.seed_addresses()]
        is_seed = own in seeds
        return ReplicaHost(
            CONTROL_GROUP,
            own.name,
            GroupSettings(
                members=initial_members(own, seeds),
                heartbeat_s=HEARTBEAT_S,
                election_timeout_s=ELECTION_TIMEOUT_S,
                first_election_share=FIRST_ELECTION_SHARE,
                snapshot_every_entries=SNAPSHOT_EVERY_ENTRIES,
                segment_bytes=SEGMENT_BYTES,
            ),
            machine,
            context.environment,
            context.pool,
            context.router,
            CONTROL_FOLDER,
            may_found=is_seed and context.settings.process.is_first_start,
            find_members=self._find_members,
        )

    def _find_members(self) -> list[PeerSettings]:
        controls = [
            PeerSettings(name=a.host, internal=a) for a in self._fleet_client.leader.controls
        ]
        members = [
            PeerSettings(name=m.address.host, internal=m.address) for m in self._host.members
        ]
        return controls + members

    def _control_addresses(self) -> tuple[Address, ...]:
        return self._fleet_client.leader.controls

    async def run(self) -> None:
        """Run until stopped."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._host.run)
                tasks.start_soon(self._service.run)
                tasks.start_soon(self._fleet_client.run)
                tasks.start_soon(self._serve_operators)

    async def _serve_operators(self) -> None:
        address = self._context.settings.addresses.operators
        assert address is not None
        application = OperatorApi(self._operator)
        await self._context.environment.http_server.serve(address, application)

    def reload(self, settings: FleetSettings) -> None:
        """Apply those settings that may change while the process runs."""
        self._fleet_client.leader.replace_seeds(self._context.seed_addresses(settings))

    async def drain_and_stop(self) -> None:
        """Transfer leadership to another replica if this one leads, then stop."""
        await transfer_leadership(self._host)
        self._scope.cancel()
