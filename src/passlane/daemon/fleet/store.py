"""A store replica of a fleet: budgets and histories of programs.

For: the role ``store``.
Owns: a replica of the group ``turns`` and the services on top of it, this process's heartbeats,
and the queue of waiting turns while it leads.
Relies on: the control group for the group's initial members and the list of backends.
"""

from collections.abc import Sequence

import anyio
import msgspec

from passlane.daemon.fleet.context import FleetContext
from passlane.daemon.shared.replicas import STORE_FOLDER, initial_members, transfer_leadership
from passlane.decisions.limits.quota_ledger import QuotaLedger, QuotaRules
from passlane.decisions.limits.turn_storage import large_log_bytes, max_stored_bytes
from passlane.decisions.scheduling.turn_scheduler import TurnScheduler
from passlane.fleet.client import FleetClient
from passlane.messages.common import NotLeaderError
from passlane.messages.fleet import Announce, NamedAddress, RemoveReplica, ReplicaRemoved
from passlane.messages.listing import BackendRecord
from passlane.observability.logging import get_logger
from passlane.replication.replica_host import ReplicaHost
from passlane.replication.replica_metrics import expose_replica
from passlane.settings.fleet import FleetSettings
from passlane.settings.model import LARGE_LOG_BYTES, GroupSettings, PeerSettings
from passlane.storage.identity import IdentityFile, process_name_from_replica_id
from passlane.turns.dispatch import TurnDispatcher
from passlane.turns.service import TurnService
from passlane.turns.slot_metrics import register_slot_metrics
from passlane.turns.state.machine import TurnStateMachine
from passlane.turns.state_metrics import register_state_metrics

TURN_GROUP = "turns"
HEARTBEAT_S = 0.08
"""Interval of the Raft heartbeats within the group (not of those of the fleet)."""
ELECTION_TIMEOUT_S = 0.35
"""Time without a heartbeat after which a follower starts an election."""
FIRST_ELECTION_SHARE = 0.15
"""Share of the election timeout that applies to the first elections after a start."""

_log = get_logger(__name__)


class FleetStore:
    """Runs the parts of a store replica."""

    def __init__(self, context: FleetContext) -> None:
        self._context = context
        self._scope = anyio.CancelScope()
        self._host: ReplicaHost | None = None
        self._may_found = False
        self._backends: Sequence[BackendRecord] = ()
        self._fleet_client = FleetClient(
            self._heartbeat, context.seed_addresses(), context.pool, context.environment.random
        )
        self._dispatcher = TurnDispatcher(TurnScheduler())
        self._fleet_client.backends.on_confirmation(self._apply_backends)
        context.router.add_unary(RemoveReplica, self._remove_replica)

    @property
    def replica(self) -> ReplicaHost | None:
        """The replica of the store group; ``None`` until the group's members are received."""
        return self._host

    async def run(self) -> None:
        """Run until stopped."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._run_replica)
                tasks.start_soon(self._fleet_client.run)

    async def _run_replica(self) -> None:
        """Run the replica; unless the disk records its membership, wait for the members first."""
        context = self._context
        disk = context.environment.disk
        identity_file = IdentityFile(disk, STORE_FOLDER, TURN_GROUP, context.replica_name)
        identity = identity_file.load()
        if identity is None and context.settings.process.is_first_start:
            # Stored before any heartbeat says so: only the first start of a process may tell.
            identity = await identity_file.create(context.environment.random, may_found=True)
        is_member = identity is not None and identity.is_member
        self._may_found = identity is not None and identity.may_found and not is_member
        initial = () if is_member else await self._wait_for_initial_members()
        quotas = QuotaLedger(self._quota_rules())
        machine = TurnStateMachine(
            lambda usages, group_s: quotas.apply_replicated(usages, group_s, anyio.current_time()),
            quotas.history,
        )
        host = self._build_host(machine, initial)
        self._host = host
        context.metrics.define_when_exposed(
            lambda metrics: expose_replica(metrics, TURN_GROUP, host)
        )
        context.metrics.define_when_exposed(
            lambda metrics: register_slot_metrics(metrics, self._dispatcher.scheduler)
        )
        context.metrics.define_when_exposed(
            lambda metrics: register_state_metrics(metrics, machine)
        )
        service = TurnService(
            host,
            machine,
            context.router,
            quotas,
            self._dispatcher,
            max_stored_bytes(context.settings.machine.memory_mb),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(host.run)
            tasks.start_soon(service.run)

    def _apply_backends(self, records: Sequence[BackendRecord], read_at: float) -> None:
        """Apply the list of backends; repeated confirmations of the same list are skipped."""
        if records is not self._backends:
            self._backends = records
            self._dispatcher.replace_backends(records)

    def _quota_rules(self) -> QuotaRules:
        quotas = self._context.settings.quotas
        return QuotaRules(
            window_s=quotas.window_s, overage=quotas.overage, slack=quotas.slack_requests
        )

    async def _wait_for_initial_members(self) -> tuple[NamedAddress, ...]:
        view = self._fleet_client.view
        while not view.initial_stores:
            await view.wait_for_change()
        return view.initial_stores

    def _build_host(
        self, machine: TurnStateMachine, initial: tuple[NamedAddress, ...]
    ) -> ReplicaHost:
        context = self._context
        own = PeerSettings(name=context.replica_name, internal=context.settings.addresses.internal)
        members = [PeerSettings(name=m.name, internal=m.address) for m in initial]
        self._may_found = self._may_found and own in members
        return ReplicaHost(
            TURN_GROUP,
            own.name,
            GroupSettings(
                members=initial_members(own, members),
                heartbeat_s=HEARTBEAT_S,
                election_timeout_s=ELECTION_TIMEOUT_S,
                first_election_share=FIRST_ELECTION_SHARE,
                places=context.settings.fault_tolerance.voters,
                large_log_bytes=large_log_bytes(
                    context.settings.machine.memory_mb, LARGE_LOG_BYTES
                ),
            ),
            machine,
            context.environment,
            context.pool,
            context.router,
            STORE_FOLDER,
            may_found=self._may_found,
            find_members=self._find_members,
            may_join=self._may_join,
            zone=context.settings.process.zone,
        )

    def _find_members(self) -> list[PeerSettings]:
        stores = [
            PeerSettings(name=s.name, internal=s.address) for s in self._fleet_client.view.stores
        ]
        members = self._host.members if self._host is not None else ()
        return stores + [PeerSettings(name=m.address.host, internal=m.address) for m in members]

    def _may_join(self) -> bool:
        return self._context.replica_name not in self._fleet_client.view.retired_replicas

    def _heartbeat(self) -> Announce:
        host = self._host
        members: tuple[NamedAddress, ...] = ()
        if host is not None and host.is_leader:
            members = tuple(
                sorted(
                    NamedAddress(process_name_from_replica_id(m.replica_id), m.address)
                    for m in host.members
                )
            )
        return msgspec.structs.replace(
            self._context.heartbeat(), may_found=self._may_found, group_members=members
        )

    async def _remove_replica(self, request: RemoveReplica) -> ReplicaRemoved:
        """Replace and remove a retired replica; only the group's leader can."""
        if self._host is None:
            raise NotLeaderError("the replica of the store group is not running", None)
        await self._host.remove_member(request.replica_name)
        _log.info("replica_removal_begun", replica=request.replica_name)
        return ReplicaRemoved(request.replica_name)

    def reload(self, settings: FleetSettings) -> None:
        """Apply those settings that may change while the process runs."""
        self._fleet_client.leader.replace_seeds(self._context.seed_addresses(settings))

    async def drain_and_stop(self) -> None:
        """Transfer leadership to another replica if this one leads, then stop."""
        if self._host is not None:
            await transfer_leadership(self._host)
        self._scope.cancel()
