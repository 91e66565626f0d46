"""The parts of a daemon, one for each role; each is a child of the daemon's supervisor.

For: ``daemon``, which builds a part for each role in the settings.
Owns: the replica, or the node's service and HTTP server, while the part runs.
Relies on: the dependencies in ``PartContext``, shared by all parts of a daemon.

A part restarts as a whole: after any failure it is rebuilt from the data on disk or in the store
group.
"""

from dataclasses import dataclass
from typing import Protocol

import anyio

from passlane.api.callers import build_caller_application
from passlane.control.service import ControlService
from passlane.control.state.machine import ControlStateMachine
from passlane.daemon.shared.in_flight import InFlightRequests
from passlane.daemon.shared.replicas import (
    CONTROL_FOLDER,
    CONTROL_GROUP,
    STORE_FOLDER,
    transfer_leadership,
)
from passlane.decisions.admission.client_budget import ClientGroup
from passlane.node.service import NodeService
from passlane.observability.metrics import Metrics
from passlane.policy.checking import describe_policy_problems
from passlane.replication.client import GroupClient
from passlane.replication.replica_host import ReplicaHost
from passlane.replication.replica_metrics import expose_replica
from passlane.runtime.interfaces import Environment, HttpLimits
from passlane.settings.model import Settings
from passlane.store.machine import StoreStateMachine
from passlane.store.service import StoreService
from passlane.transport.client import ConnectionPool
from passlane.transport.router import MessageRouter


def store_group_name(region: str) -> str:
    """Return the name of a region's store group."""
    return f"store-{region}"


@dataclass(frozen=True)
class PartContext:
    """Dependencies shared by all parts of one daemon."""

    settings: Settings
    environment: Environment
    pool: ConnectionPool
    router: MessageRouter
    metrics: Metrics


class Part(Protocol):
    """One role of a daemon."""

    name: str

    async def run(self) -> None:
        """Run the part until cancelled; may be called again after a failure."""
        ...

    def is_ready(self) -> bool:
        """Whether the part accepts work."""
        ...

    def is_leader(self) -> bool:
        """Whether the part leads its group; false for a part without a group."""
        ...

    async def drain(self) -> None:
        """Refuse new work and return when the work in flight has finished."""
        ...


class _Service(Protocol):
    """Service that runs on top of a replica."""

    async def run(self) -> None:
        """Run the service until cancelled."""
        ...


class _ReplicaPart:
    """Base of the parts that run a replica of a group."""

    def __init__(self, context: PartContext) -> None:
        self._context = context
        self._host: ReplicaHost | None = None

    async def _run_replica(self, group: str, host: ReplicaHost, service: _Service) -> None:
        """Expose the replica's metrics; run it and its service until cancelled."""
        self._host = host
        expose_replica(self._context.metrics, group, host)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(host.run)
            tasks.start_soon(service.run)

    def is_ready(self) -> bool:
        """Whether this replica votes and knows the group's leader."""
        return self._host is not None and self._host.is_ready

    def is_leader(self) -> bool:
        """Whether this replica leads the group."""
        return self._host is not None and self._host.is_leader

    async def drain(self) -> None:
        """Transfer leadership to another replica if this one leads."""
        if self._host is not None:
            await transfer_leadership(self._host)


class ControlPart(_ReplicaPart):
    """A replica of the control group and the service on top of it."""

    name = "control"

    async def run(self) -> None:
        """Run the replica and its service."""
        context = self._context
        settings = context.settings
        machine = ControlStateMachine()
        host = ReplicaHost(
            CONTROL_GROUP,
            settings.process.name,
            settings.control_group,
            machine,
            context.environment,
            context.pool,
            context.router,
            CONTROL_FOLDER,
        )
        service = ControlService(
            host,
            machine,
            context.router,
            regions=settings.control.regions or (settings.process.region,),
            check_policy=describe_policy_problems,
        )
        await self._run_replica(CONTROL_GROUP, host, service)


class StorePart(_ReplicaPart):
    """A replica of the region's store group and the service on top of it."""

    name = "store"

    async def run(self) -> None:
        """Run the replica and its service."""
        context = self._context
        settings = context.settings
        machine = StoreStateMachine()
        group = store_group_name(settings.process.region)
        host = ReplicaHost(
            group,
            settings.process.name,
            settings.store_group,
            machine,
            context.environment,
            context.pool,
            context.router,
            STORE_FOLDER,
        )
        control = GroupClient(context.pool, settings.control_addresses, context.environment.random)
        service = StoreService(
            host, machine, settings, context.environment, context.router, control
        )
        await self._run_replica(group, host, service)


class NodePart:
    """The node's service and the HTTP server for callers."""

    name = "node"

    def __init__(self, context: PartContext) -> None:
        self._context = context
        self._service: NodeService | None = None
        self._requests: InFlightRequests | None = None

    async def run(self) -> None:
        """Run the service and the callers' HTTP server."""
        context = self._context
        settings = context.settings
        callers_address = settings.addresses.callers
        if callers_address is None:
            raise ValueError("addresses.callers is not set; a node requires it")
        store = GroupClient(context.pool, settings.store_addresses, context.environment.random)
        service = NodeService(
            settings,
            context.environment,
            context.pool,
            context.router,
            store,
            metrics=context.metrics,
        )
        requests = InFlightRequests(build_caller_application(service, settings))
        self._service = service
        self._requests = requests
        limits = HttpLimits(
            max_body_bytes=settings.node.max_body_bytes, clients=ClientGroup.CALLERS
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(service.run)
            tasks.start_soon(
                context.environment.http_server.serve, callers_address, requests, limits
            )

    def is_ready(self) -> bool:
        """Whether the node holds a lease and accepts calls."""
        return self._service is not None and self._service.is_ready

    def is_leader(self) -> bool:
        """Return ``False``: a node belongs to no group."""
        return False

    async def drain(self) -> None:
        """Refuse new calls; wait until those in flight are finished and answered."""
        if self._service is not None:
            await self._service.drain()
        if self._requests is not None:
            await self._requests.wait_until_idle()
