"""The node of a fleet: relays clients' requests to backends.

For: the role ``node``.
Owns: the requests in flight, the observed state of backends, the HTTP servers for clients and for
the platform's readiness probe, and the planned stop.
Relies on: the control group for the configuration, addresses and the list of backends; the store
group for budgets, histories and slots.
"""

import anyio
from anyio.abc import TaskGroup

from passlane.daemon.fleet.context import FleetContext
from passlane.daemon.fleet.node_bounds import NodeBounds
from passlane.daemon.fleet.start_times import StartupMilestone, StartupTimes
from passlane.daemon.fleet.stop_times import StopTimes
from passlane.daemon.shared.in_flight import InFlightRequests
from passlane.decisions.admission.client_budget import ClientGroup
from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.placement.request_placement import NodeLocation
from passlane.fleet.client import FleetClient
from passlane.messages.common import Address
from passlane.messages.routes import RouteConfiguration
from passlane.observability.logging import get_logger
from passlane.platform.client_ingress import ClientIngress
from passlane.platform.engine_client import EngineClient
from passlane.platform.instance_list import InstanceList
from passlane.platform.readiness import ReadinessApplication
from passlane.relay.list_reader import BackendListReader
from passlane.relay.service import RelayService
from passlane.runtime.interfaces import HttpLimits
from passlane.settings.fleet import FleetSettings
from passlane.supervision.specification import ChildSpecification
from passlane.supervision.supervisor import Supervisor
from passlane.turns.client import TurnStoreClient

_log = get_logger(__name__)


class FleetNode:
    """Runs the parts of a node."""

    def __init__(self, context: FleetContext) -> None:
        self._context = context
        random = context.environment.random
        self._registry = BackendRegistry()
        self._bounds = NodeBounds(context.settings, context.metrics)
        self._limits = HttpLimits(
            write_buffer_bytes=self._bounds.max_caller_bytes,
            watch=self._bounds.unread_answers,
            clients=ClientGroup.CALLERS,
        )
        self._is_draining = False
        self._stop_times = StopTimes.within(context.settings.timing.grace_s)
        self._scope = anyio.CancelScope()
        self._relay: RelayService | None = None
        self._requests: InFlightRequests | None = None
        self._fleet_client = FleetClient(
            context.heartbeat, context.seed_addresses(), context.pool, random
        )
        self._fleet_client.configuration.on_change(self._apply_configuration)
        self._store = TurnStoreClient(context.pool, self._store_addresses, random)

    async def run(self) -> None:
        """Run until stopped."""
        context = self._context
        settings = context.settings
        reader = BackendListReader(
            InstanceList(
                context.environment.http_client, settings.backend_list.address, context.metrics
            ),
            self._registry,
            settings.backend_list.rate_per_s,
            lambda: self._fleet_client.view.node_count,
            lambda: self._fleet_client.view.reads_backends,
            self._fleet_client.reporter.report,
            context.environment.random,
        )
        context.metrics.define_when_exposed(reader.define_metrics)
        self._fleet_client.backends.on_confirmation(reader.apply)
        # A node serves with the last list while the reader fails.
        supervisor = Supervisor(
            "node", [ChildSpecification("backend_list", reader.run, max_restarts=None)]
        )
        async with anyio.create_task_group() as tasks:
            self._relay = self._build_relay(tasks)
            tasks.start_soon(self._fleet_client.run)
            tasks.start_soon(self._relay.run)
            tasks.start_soon(supervisor.run)
            tasks.start_soon(self._store.run)
            tasks.start_soon(self._bounds.run)
            tasks.start_soon(self._serve_readiness)
            tasks.start_soon(self._log_start, self._relay)
            with self._scope:
                await self._serve_clients(self._relay)
            await self._wait_for_settlements()
            tasks.cancel_scope.cancel()

    async def _log_start(self, relay: RelayService) -> None:
        """Log the times of the startup milestones once all have been reached."""
        times = StartupTimes(self._context.started_at)
        times.record(StartupMilestone.RUNNING)
        async with anyio.create_task_group() as tasks:
            for milestone, wait in (
                (StartupMilestone.CONFIGURATION, self._fleet_client.configuration.wait_until_known),
                (StartupMilestone.STORE_LEADER, self._store.wait_for_leader),
                (StartupMilestone.FIRST_ANSWER, relay.wait_for_answer),
            ):
                tasks.start_soon(times.record_after, milestone, wait)
        times.log()

    async def _wait_for_settlements(self) -> None:
        """Give settlements in flight time to reach the store group."""
        await anyio.sleep(self._stop_times.settling_s)

    def _build_relay(self, tasks: TaskGroup) -> RelayService:
        context = self._context
        relay = RelayService(
            NodeLocation(context.settings.process.name, context.settings.process.zone),
            self._registry,
            EngineClient(context.environment.http_client),
            self._store,
            tasks,
            context.metrics,
            context.environment.random,
            self._bounds.admission,
            requests_placement=context.settings.turns.are_placed_by_store,
        )
        configuration = self._fleet_client.configuration.newest
        if configuration is not None:
            relay.replace_configuration(configuration)
        return relay

    async def _serve_clients(self, relay: RelayService) -> None:
        address = self._context.settings.addresses.callers
        assert address is not None
        # A node that isn't ready closes connections after each answer, so that clients reconnect
        # to another node.
        ingress = ClientIngress(relay, lambda: not self.is_ready())
        self._requests = InFlightRequests(ingress)
        await self._context.environment.http_server.serve(address, self._requests, self._limits)

    async def _serve_readiness(self) -> None:
        address = self._context.settings.addresses.readiness
        assert address is not None
        application = ReadinessApplication(self.is_ready)
        limits = HttpLimits(clients=ClientGroup.PROBES)
        await self._context.environment.http_server.serve(address, application, limits)

    def is_ready(self) -> bool:
        """Whether this node can serve: it has a configuration, backends and a store group.

        A node that is partitioned from the control or store group isn't ready, so that the
        platform routes clients to other nodes.
        """
        configuration, view = self._fleet_client.configuration, self._fleet_client.view
        has_fleet_state = configuration.newest is not None and view.has_seen_store_leader
        is_partitioned = view.is_stale or self._store.is_unavailable
        has_list = self._registry.updated_at is not None
        return has_fleet_state and has_list and not is_partitioned and not self._is_draining

    def _store_addresses(self) -> list[Address]:
        view = self._fleet_client.view
        return [store.address for store in (*view.stores, *view.initial_stores)]

    def _apply_configuration(self, configuration: RouteConfiguration) -> None:
        limits = configuration.limits
        self._limits.max_header_bytes = limits.max_header_bytes
        self._limits.max_body_bytes = limits.max_body_bytes
        self._limits.header_timeout_s = limits.header_timeout_s
        self._limits.idle_timeout_s = limits.idle_timeout_s
        self._bounds.apply_configuration(configuration)
        if self._relay is not None:
            self._relay.replace_configuration(configuration)

    def reload(self, settings: FleetSettings) -> None:
        """Apply those settings that may change while the process runs."""
        self._fleet_client.leader.replace_seeds(self._context.seed_addresses(settings))
        self._stop_times = StopTimes.within(settings.timing.grace_s)

    async def drain_and_stop(self) -> None:
        """Report not ready but keep serving; then close the server and finish the requests."""
        self._is_draining = True
        _log.info("draining")
        times = self._stop_times
        finish_at = anyio.current_time() + times.unready_s
        await anyio.sleep_until(finish_at)
        # A busy event loop may wake the task late; the requests in flight end no later for it.
        late_s = anyio.current_time() - finish_at
        self._limits.finish_s = max(0.0, times.finish_s - late_s)
        self._scope.cancel()
