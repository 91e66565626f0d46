"""The node of a fleet: relays clients' requests to back ends.

For: the role ``node``.
Owns: requests under way and what they showed of back ends; the servers for clients and for
the platform's question whether the node is ready; how a planned stop goes.
Relies on: the control group for configuration, addresses and the list of back ends, and on
the store group for budgets, histories and places.
"""

import anyio
from anyio.abc import TaskGroup

from passlane.daemon.fleet.context import FleetContext
from passlane.daemon.fleet.node_bounds import NodeBounds
from passlane.daemon.fleet.start_times import StartPhase, StartTimes
from passlane.daemon.fleet.stop_times import StopTimes
from passlane.daemon.shared.in_flight import InFlightRequests
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
            write_buffer_bytes=self._bounds.caller_bytes, watch=self._bounds.unread
        )
        self._is_draining = False
        self._stop_times = StopTimes.within(context.settings.timing.grace_s)
        self._scope = anyio.CancelScope()
        self._relay: RelayService | None = None
        self._requests: InFlightRequests | None = None
        self._follower = FleetClient(
            context.heartbeat, context.seed_addresses(), context.pool, random
        )
        self._follower.configuration.on_change(self._take_configuration)
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
            lambda: self._follower.view.node_count,
            lambda: self._follower.view.reads_backends,
            self._follower.reporter.report,
            context.environment.random,
        )
        self._follower.backends.on_confirmation(reader.apply)
        async with anyio.create_task_group() as tasks:
            self._relay = self._build_relay(tasks)
            tasks.start_soon(self._follower.run)
            tasks.start_soon(reader.run)
            tasks.start_soon(self._store.run)
            tasks.start_soon(self._bounds.run)
            tasks.start_soon(self._serve_readiness)
            tasks.start_soon(self._log_start, self._relay)
            with self._scope:
                await self._serve_clients(self._relay)
            await self._finish_settling()
            tasks.cancel_scope.cancel()

    async def _log_start(self, relay: RelayService) -> None:
        """Log once how long the start took."""
        times = StartTimes(self._context.started_at)
        times.reached(StartPhase.RUNNING)
        async with anyio.create_task_group() as tasks:
            for phase, wait in (
                (StartPhase.CONFIGURATION, self._follower.configuration.wait_until_known),
                (StartPhase.STORE_LEADER, self._store.wait_for_leader),
                (StartPhase.FIRST_ANSWER, relay.wait_for_answer),
            ):
                tasks.start_soon(times.note_when, phase, wait)
        times.log()

    async def _finish_settling(self) -> None:
        """Let settlements that were just begun reach the store."""
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
        configuration = self._follower.configuration.newest
        if configuration is not None:
            relay.replace_configuration(configuration)
        return relay

    async def _serve_clients(self, relay: RelayService) -> None:
        address = self._context.settings.addresses.callers
        assert address is not None
        # Clients of a node that is not ready are told to connect anew, elsewhere.
        ingress = ClientIngress(relay, lambda: not self.is_ready())
        self._requests = InFlightRequests(ingress)
        await self._context.environment.http_server.serve(address, self._requests, self._limits)

    async def _serve_readiness(self) -> None:
        address = self._context.settings.addresses.readiness
        assert address is not None
        application = ReadinessApplication(self.is_ready)
        await self._context.environment.http_server.serve(address, application)

    def is_ready(self) -> bool:
        """Whether this node can serve: it knows routes, back ends and the store group.

        One that is cut off from the machines that count is not ready, so that clients
        are led to others.
        """
        configuration, view = self._follower.configuration, self._follower.view
        knows_fleet = configuration.newest is not None and view.has_seen_store_leader
        is_lost = view.is_stale or self._store.is_unavailable
        has_list = self._registry.updated_at is not None
        return knows_fleet and has_list and not is_lost and not self._is_draining

    def _store_addresses(self) -> list[Address]:
        view = self._follower.view
        return [store.address for store in (*view.stores, *view.initial_stores)]

    def _take_configuration(self, configuration: RouteConfiguration) -> None:
        limits = configuration.limits
        self._limits.max_header_bytes = limits.max_header_bytes
        self._limits.header_timeout_s = limits.header_timeout_s
        self._limits.idle_timeout_s = limits.idle_timeout_s
        self._bounds.take_configuration(configuration)
        if self._relay is not None:
            self._relay.replace_configuration(configuration)

    def reload(self, settings: FleetSettings) -> None:
        """Take over what may change while the process runs."""
        self._follower.leader.replace_seeds(self._context.seed_addresses(settings))
        self._stop_times = StopTimes.within(settings.timing.grace_s)

    async def drain_and_stop(self) -> None:
        """Be no longer ready, serve what still comes, then close and finish."""
        self._is_draining = True
        _log.info("draining")
        times = self._stop_times
        self._limits.finish_s = times.finish_s
        await anyio.sleep(times.unready_s)
        self._scope.cancel()
