"""A simulated fleet as a replay sees it: the daemons' own code on a virtual clock."""

import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import anyio
from anyio.abc import TaskGroup

from passlane.cli.client import OperatorClient
from passlane.cli.waiting import is_in_force, wait_for_progress
from passlane.emulator.application_app import build_tool_application
from passlane.emulator.application_model import ApplicationModel
from passlane.emulator.caller import Caller
from passlane.emulator.engine_app import build_engine_application
from passlane.emulator.engine_service import EngineService
from passlane.emulator.example_files import OUTSIDE_ZONE, SimulatedExample
from passlane.emulator.http_server import ByteStreamHttpServer
from passlane.emulator.platform_app import build_platform_application
from passlane.emulator.platform_model import PlatformModel
from passlane.emulator.remote_cache import remote_cache_reader
from passlane.emulator.settings import EmulatorSettings
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import EngineId, ProgramId, TenantId
from passlane.messages.backends import LedgerLine
from passlane.messages.common import Address
from passlane.messages.store import Assignments, ReadAssignments
from passlane.messages.traces import FaultInjected, FaultKind
from passlane.programs.partitions import partition_of
from passlane.replication.client import GroupClient
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.interfaces import AsgiApplication, HttpRequest
from passlane.settings.model import Role
from passlane.simulation.disk import SimulatedDisk
from passlane.simulation.environment import build_simulated_environment
from passlane.simulation.event_log import EventLog
from passlane.simulation.network import DelayModel, SimulatedNetwork
from passlane.simulation.process import SimulatedProcess
from passlane.simulation.readiness import READY_PATH, READY_TIMEOUT_S, wait_for_ready
from passlane.transport.client import ConnectionPool

OUTSIDE_HOST = "10.8.0.1"
IN_FORCE_TIMEOUT_S = 30.0
LEAVES_IN_S = 60.0
QUERY_TIMEOUT_S = 10.0
STATUS_OK = 200


class SimulatedReplayFleet:
    """Implements ``ReplayFleet`` over simulated processes."""

    def __init__(self, example: SimulatedExample, seed: int, tasks: TaskGroup) -> None:
        self._example = example
        self._tasks = tasks
        self._seed = seed
        zones = {**example.zone_of_host, OUTSIDE_HOST: OUTSIDE_ZONE}
        self._event_log = EventLog()
        self._network = SimulatedNetwork(
            random.Random(f"{seed} network"), DelayModel(zones), self._event_log
        )
        self._http_client = SingleConnectionHttpClient(self._network.host(OUTSIDE_HOST))
        self._processes = {
            settings.process.name: SimulatedProcess(
                settings,
                self._network,
                SimulatedDisk(random.Random(f"{seed} disk {settings.process.name}")),
                seed,
                self._event_log,
            )
            for settings in example.daemons
        }
        self._engines = [self._engine(settings) for settings in example.engines]
        self._applications = [
            ApplicationModel(settings.application, self._generator(settings))
            for settings in example.applications
        ]
        self._platforms = [
            PlatformModel(settings.platform.machines, settings.platform.lag_s, 0.0)
            for settings in example.platforms
        ]
        environment = build_simulated_environment(
            self._network.host(OUTSIDE_HOST),
            SimulatedDisk(random.Random(seed)),
            random.Random(f"{seed} outside"),
        )
        self._pool = ConnectionPool(environment)
        self._store = GroupClient(
            self._pool, self._nodes()[0].settings.store_addresses, environment.random
        )

    # What the replay asks for.

    def caller(self, tenant: TenantId) -> Caller:
        """Return a caller of a tenant that knows all nodes."""
        addresses: list[Address] = []
        for process in self._nodes():
            callers = process.settings.addresses.callers
            if callers is not None:
                addresses.append(callers)
        tokens = self._nodes()[0].settings.security.callers
        token = next(entry.token for entry in tokens if entry.tenant == tenant)
        return Caller(self._http_client, addresses, token)

    async def inject(self, fault: FaultInjected, program_id: str | None) -> None:
        """Let something fail; see ``FaultInjected``."""
        match fault.kind:
            case FaultKind.KILL_LEADER:
                await self._kill_leader(program_id, fault.restart_after_s)
            case FaultKind.RESTART_ENGINES:
                for engine in self._engines:
                    engine.restart()
            case FaultKind.DISTURB_TOOL:
                application = self._application_with(fault.target)
                application.force(fault.behaviour, fault.target, program_id)
            case FaultKind.ENGINE_LEAVES:
                for platform in self._platforms:
                    platform.mark_leaving(fault.target, LEAVES_IN_S, anyio.current_time())

    async def ledger(self) -> Sequence[LedgerLine]:
        """Return the ledgers of all applications."""
        return [line for model in self._applications for line in model.ledger()]

    async def held_programs(self) -> int:
        """Return for how many programs the engines hold memory."""
        held: set[ProgramId] = set()
        for engine in self._engines:
            held.update(engine.model.cache.tokens_by_program())
        return len(held)

    async def engine_quiet_s(self, engine: str) -> float | None:
        """Return the seconds since an engine's last request; ``None`` if it got none."""
        return next(service.quiet_s() for service in self._engines if service.engine_id == engine)

    def node_files(self, folder: str) -> dict[str, bytes]:
        """Return what the nodes' disks hold in a folder, by file name."""
        return {
            name: node.disk.read(f"{folder}/{name}")
            for node in self._nodes()
            for name in node.disk.list_files(folder)
        }

    # Life of the fleet.

    async def start(self) -> None:
        """Start everything, wait until it is ready and bring the configuration into force."""
        self._tasks.start_soon(self._pool.run)
        for engine, settings in zip(self._engines, self._example.engines, strict=True):
            self._tasks.start_soon(engine.run)
            reader = remote_cache_reader(
                SingleConnectionHttpClient(self._network.host(settings.listen.host))
            )
            self._serve(settings.listen, build_engine_application(engine, reader))
        for model, settings in zip(self._applications, self._example.applications, strict=True):
            self._serve(settings.listen, build_tool_application(model))
        for platform, settings in zip(self._platforms, self._example.platforms, strict=True):
            self._serve(settings.listen, build_platform_application(platform))
        for process in self._processes.values():
            process.start(self._tasks)
        await self._wait_ready()
        await self._apply_configuration()

    def _engine(self, settings: EmulatorSettings) -> EngineService:
        """Return an emulated engine."""
        return EngineService(settings.engine, EngineId(settings.name), self._generator(settings))

    def _generator(self, settings: EmulatorSettings) -> random.Random:
        """Return a back end's own source of drawn delays and faults."""
        return random.Random(f"{self._seed} {settings.name}")

    def _serve(self, address: Address, application: AsgiApplication) -> None:
        """Serve a back end on its host."""
        server = ByteStreamHttpServer(self._network.host(address.host))
        self._tasks.start_soon(server.serve, address, application)

    def _nodes(self) -> list[SimulatedProcess]:
        """Return the processes with the node role."""
        return [
            process
            for process in self._processes.values()
            if Role.NODE in process.settings.process.roles
        ]

    def _application_with(self, tool: str) -> ApplicationModel:
        """Return the application that offers a tool."""
        for model in self._applications:
            if model.offers(tool):
                return model
        raise PasslaneError(ErrorCode.NOT_FOUND, f"no application offers the tool {tool}")

    async def _kill_leader(self, program_id: str | None, restart_after_s: float) -> None:
        """Kill the node that leads a program, and start it again later."""
        if program_id is None:
            raise PasslaneError(ErrorCode.BAD_REQUEST, "the fault's program is not known yet")
        process = self._processes[await self._leader_of(program_id)]
        process.kill()
        self._tasks.start_soon(self._start_later, process, restart_after_s)

    async def _start_later(self, process: SimulatedProcess, delay_s: float) -> None:
        """Start a killed process again."""
        await anyio.sleep(delay_s)
        process.start(self._tasks)

    async def _leader_of(self, program_id: str) -> str:
        """Return the node that leads a program, as the store records it."""
        answer = await self._store.execute(
            ReadAssignments(), Assignments, timeout_s=QUERY_TIMEOUT_S
        )
        partition = partition_of(ProgramId(program_id), len(answer.assignments))
        return next(
            assignment.node_id
            for assignment in answer.assignments
            if assignment.partition == partition
        )

    async def _wait_ready(self) -> None:
        """Wait until all daemons say that they are ready."""
        waiting = await wait_for_ready(self._processes, self._is_ready)
        if waiting:
            raise TimeoutError(f"not ready within {READY_TIMEOUT_S} s: {waiting}")

    async def _is_ready(self, name: str) -> bool:
        """Ask a daemon whether it is ready."""
        operators = self._processes[name].settings.addresses.operators
        request = HttpRequest("GET", operators, READY_PATH)
        try:
            async with self._http_client.exchange(request) as response:
                return response.status == STATUS_OK
        except OSError:
            return False

    async def _apply_configuration(self) -> None:
        """Submit the example's documents and wait until they are in force everywhere."""
        settings = self._example.daemons[0]
        servers = [
            process.settings.addresses.operators
            for process in self._processes.values()
            if Role.CONTROL in process.settings.process.roles
        ]
        client = OperatorClient(self._http_client, servers, settings.security.operators[0].token)
        for draft in self._example.documents:
            change = await client.put_document(draft.kind, draft.name, draft.body, 0)
        progress = await wait_for_progress(client, change.revision, IN_FORCE_TIMEOUT_S, is_in_force)
        if not is_in_force(progress):
            raise PasslaneError(ErrorCode.TIMEOUT, f"not in force everywhere: {progress}")


@asynccontextmanager
async def simulated_replay_fleet(
    example: SimulatedExample, seed: int
) -> AsyncIterator[SimulatedReplayFleet]:
    """Give a started fleet; end it on leaving."""
    async with anyio.create_task_group() as tasks:
        fleet = SimulatedReplayFleet(example, seed, tasks)
        await fleet.start()
        yield fleet
        tasks.cancel_scope.cancel()
