"""The parts of a running node and how they are connected.

``build_core`` creates a new ``NodeCore`` for each run of the service; ``register_handlers``
makes it reachable for other nodes.
"""

from collections.abc import Callable
from dataclasses import dataclass

from anyio.abc import TaskGroup

from passlane.configuration.documents import DrainKind
from passlane.configuration.view import ConfigurationView
from passlane.decisions.inputs.call_scheduler_config import QueueConfig, SchedulerConfig
from passlane.decisions.scheduling.call_scheduler import Scheduler
from passlane.errors import PasslaneError
from passlane.identifiers import EngineId, NodeId, ProgramId
from passlane.messages.backends import EngineOrder, OrderKind
from passlane.messages.node import (
    CallRequest,
    CreateProgramRequest,
    EndProgramRequest,
    ExplainProgram,
    ProgramEndedNotice,
    ReadProgramRequest,
)
from passlane.node.admission import Admission
from passlane.node.call_reports import CallReports
from passlane.node.call_services import CallServices
from passlane.node.engine_poller import EnginePoller
from passlane.node.engine_registry import EngineRegistry
from passlane.node.fencing import chat_token, program_scope
from passlane.node.forwarder import Forwarder
from passlane.node.incoming_partitions import IncomingPartitions
from passlane.node.leader_service import LeaderService
from passlane.node.leadership import Leadership
from passlane.node.memory_sweep import MemorySweep
from passlane.node.model_dispatcher import ModelDispatcher
from passlane.node.poll_intervals import PollIntervals
from passlane.node.program_directory import ProgramDirectory
from passlane.node.program_store import ProgramStore
from passlane.node.release_loop import PendingRelease, ReleaseLoop
from passlane.node.tool_dispatcher import ToolDispatcher
from passlane.observability.logging import get_logger
from passlane.policy.active_policies import ActivePolicies
from passlane.runtime.interfaces import Environment
from passlane.settings.model import Settings
from passlane.transport.interfaces import Caller, Router

_log = get_logger(__name__)


@dataclass(frozen=True)
class NodeCore:
    """The parts that exist for one run of the node."""

    services: CallServices
    directory: ProgramDirectory
    admission: Admission
    releases: ReleaseLoop
    leader: LeaderService
    forwarder: Forwarder
    incoming: IncomingPartitions
    sweep: MemorySweep


class CacheOrderExecutor:
    """Executes the scheduler's orders about caches on engines; implements ``EngineCommands``."""

    def __init__(
        self,
        services: CallServices,
        directory: ProgramDirectory,
        releases: ReleaseLoop,
        poller: EnginePoller,
    ) -> None:
        self._services = services
        self._directory = directory
        self._releases = releases
        self._poller = poller

    def release_cache(self, program_id: ProgramId, engine_id: EngineId) -> None:
        """Release the cache of a paused program; an ended program is released separately."""
        program = self._directory.program_in_memory(program_id)
        if program is None or program.is_ended:
            return
        program.remove_hold(engine_id)
        self._releases.add(
            PendingRelease(program_id, program.partition, program.epoch, engine_id, False)
        )

    def move_cache(self, program_id: ProgramId, source: EngineId, destination: EngineId) -> None:
        """Order ``destination`` to import the program's cache from ``source``."""
        if self._directory.program_in_memory(program_id) is not None:
            self._services.tasks.start_soon(self._move, program_id, source, destination)

    async def _move(self, program_id: ProgramId, source: EngineId, destination: EngineId) -> None:
        program = self._directory.program_in_memory(program_id)
        engines = self._services.configuration().engines
        if program is None or source not in engines or destination not in engines:
            return
        order = EngineOrder(
            kind=OrderKind.IMPORT_CACHE,
            scope=program_scope(program_id),
            fencing_token=chat_token(program.epoch),
            program_id=program_id,
            argument=str(engines[source].address),
        )
        try:
            await self._services.record_hold(program, destination)
            await self._services.engines.client(engines[destination].address).order(order)
        except PasslaneError as error:
            # The cache is recomputed where it is missing; nothing else depends on the move.
            _log.info("cache_move_failed", program_id=program_id, code=error.code.value)

    def record_use(self, engine_id: EngineId) -> None:
        """Record that this node uses an engine, so that it is polled often."""
        self._poller.record_use(engine_id)

    def watch(self, engine_ids: frozenset[EngineId]) -> None:
        """Poll these engines from now on."""
        self._poller.watch(engine_ids)

    def fetch_snapshot(self, engine_id: EngineId) -> None:
        """Fetch a full snapshot of an engine's cache."""
        self._poller.fetch_snapshot(engine_id)


def engines_to_avoid(
    configuration: ConfigurationView, leaving: frozenset[EngineId]
) -> frozenset[EngineId]:
    """Return the engines that get no new work: drained by operators, or leaving on their own."""
    drained = {
        engine_id
        for engine_id in configuration.engines
        if configuration.is_draining(DrainKind.ENGINE, engine_id)
    }
    return leaving | drained


def build_core(
    settings: Settings,
    environment: Environment,
    tasks: TaskGroup,
    *,
    store: ProgramStore,
    caller: Caller,
    leadership: Leadership,
    configuration: Callable[[], ConfigurationView],
    reports: CallReports,
    policies: ActivePolicies,
) -> NodeCore:
    """Create and connect the parts of a node; their tasks run in ``tasks``."""
    source = environment.random
    http = environment.http_client
    services = CallServices(
        store=store,
        models=ModelDispatcher(_build_scheduler(settings, environment)),
        tools=ToolDispatcher(),
        engines=EngineRegistry(http),
        http=http,
        leadership=leadership,
        configuration=configuration,
        tasks=tasks,
        reports=reports,
        policies=policies,
    )
    partition_count = settings.membership.partitions
    directory = ProgramDirectory(services, partition_count)
    admission = Admission(settings.node.max_queued_calls)
    releases = ReleaseLoop(services, source)
    incoming = IncomingPartitions()
    poller = EnginePoller(services, tasks, _poll_intervals(settings), source)
    leader = LeaderService(
        services, directory, admission, releases, caller, NodeId(settings.process.name), incoming
    )
    services.models.engine_commands = CacheOrderExecutor(services, directory, releases, poller)
    return NodeCore(
        services=services,
        directory=directory,
        admission=admission,
        releases=releases,
        leader=leader,
        forwarder=Forwarder(caller, leadership, partition_count, source, reports),
        incoming=incoming,
        sweep=MemorySweep(services, directory, leader, releases, poller, source),
    )


def _poll_intervals(settings: Settings) -> PollIntervals:
    node = settings.node
    return PollIntervals(node.engine_poll_s, node.idle_engine_poll_s, node.max_engine_polls_per_s)


def _build_scheduler(settings: Settings, environment: Environment) -> Scheduler:
    node = settings.node
    config = SchedulerConfig(
        queue=QueueConfig(max_calls=node.max_queued_calls),
        watched_engines_per_model=node.watched_engines_per_model,
    )
    process = settings.process
    return Scheduler(process.zone, environment.random, config, node_key=process.name)


def register_handlers(core: NodeCore, router: Router) -> None:
    """Register the handlers through which other nodes use the programs that this node leads."""
    router.add_stream(CallRequest, core.leader.serve_call)
    router.add_unary(CreateProgramRequest, core.leader.create)
    router.add_unary(EndProgramRequest, core.leader.end)
    router.add_unary(ReadProgramRequest, core.leader.read)
    router.add_unary(ExplainProgram, core.leader.explain)
    router.add_one_way(ProgramEndedNotice, core.leader.handle_program_ended)
