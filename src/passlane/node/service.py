"""The service of a node: accepts callers' requests and leads the programs of its partitions.

``NodeService`` owns the node's configuration, its heartbeat loop and, while it runs, the
``NodeCore``. It applies the replies to heartbeats and forwards callers' requests.
"""

from collections.abc import Sequence

import anyio
from anyio.abc import TaskGroup

from passlane.configuration.view import ConfigurationView
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import EngineId, NodeId, Revision
from passlane.membership.events import (
    HandoverCancelled,
    HandoverRequested,
    LeadershipGained,
    LeadershipLost,
    MembershipChange,
)
from passlane.messages.common import error_with_verdict
from passlane.messages.control import ConfigurationDelta, TargetInFlight
from passlane.messages.node import (
    CallRequest,
    CreateProgramRequest,
    EndProgramRequest,
    ReadProgramRequest,
)
from passlane.messages.store import ProgramRecord, ProgramResult, StoreDone
from passlane.node.call_reports import CallReports, ReportSink
from passlane.node.drain_progress import in_flight_at_drained
from passlane.node.forwarder import Emit
from passlane.node.heartbeat import HeartbeatLoop, max_heartbeat_interval_s
from passlane.node.housekeeping import Housekeeping
from passlane.node.lease_leadership import LeaseLeadership
from passlane.node.local_caller import LocalCaller
from passlane.node.node_core import (
    NodeCore,
    build_core,
    engines_to_avoid,
    register_handlers,
)
from passlane.node.node_metrics import NodeMetrics
from passlane.node.partition_handover import PartitionHandover
from passlane.node.program_store import ProgramStore
from passlane.node.refusal_verdicts import verdict_without_record
from passlane.node.trace_recorder import TraceRecorder
from passlane.observability.logging import get_logger
from passlane.observability.metrics import Metrics
from passlane.policy.active_policies import ActivePolicies
from passlane.replication.client import GroupClient
from passlane.runtime.interfaces import Environment
from passlane.settings.model import Settings
from passlane.transport.interfaces import Caller, Router

UNAVAILABLE_RETRY_AFTER_S = 1.0
UNARY_TIMEOUT_S = 15.0
INCARNATION_BITS = 62

_log = get_logger(__name__)


class NodeService:
    """One node. It accepts requests only while ``run`` is running.

    Parameters
    ----------
    settings
        The process's settings.
    environment
        Network, disk and random numbers of the process.
    caller, router
        Sends requests to other processes, and receives requests from them.
    store
        Client of the region's store group.
    metrics
        Registry of the node's counters and gauges; none are registered if ``None``.
    """

    def __init__(
        self,
        settings: Settings,
        environment: Environment,
        caller: Caller,
        router: Router,
        store: GroupClient,
        metrics: Metrics | None = None,
    ) -> None:
        self._settings = settings
        self._environment = environment
        self._local = LocalCaller(settings.addresses.internal, caller, router)
        self._store = store
        self._metrics = None if metrics is None else NodeMetrics(metrics)
        self._recorder = self._new_recorder()
        sinks: list[ReportSink | None] = [self._metrics, self._recorder]
        self._reports = CallReports(
            [sink for sink in sinks if sink is not None],
            [] if self._metrics is None else [self._metrics],
        )
        self._policies = ActivePolicies()
        self._configuration = ConfigurationView()
        self._leaving_engines: frozenset[EngineId] = frozenset()
        self._is_draining = False
        self._requests = 0
        self._load_decreased = anyio.Event()
        self._core: NodeCore | None = None
        self._heartbeat = self._new_heartbeat()

    def _new_heartbeat(self) -> HeartbeatLoop:
        source = self._environment.random
        incarnation = source.getrandbits(INCARNATION_BITS) + 1
        return HeartbeatLoop(self._settings, self._store, self, source, incarnation)

    def _new_recorder(self) -> TraceRecorder | None:
        """Return the recorder if the settings name a trace file; each start has its own file."""
        node = self._settings.node
        if node.trace_file is None:
            return None
        start = f"{self._environment.random.getrandbits(INCARNATION_BITS):016x}"
        return TraceRecorder(
            f"{node.trace_file}-{start}.jsonl",
            self._settings.process.region,
            redacts_content=node.trace_redacts_content,
        )

    # State.

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts callers' requests."""
        return self._core is not None and self._heartbeat.has_lease and not self.is_draining

    @property
    def configuration(self) -> ConfigurationView:
        """The configuration that the node has received and applies."""
        return self._configuration

    @property
    def is_draining(self) -> bool:
        """Whether the node refuses new requests and hands over its partitions."""
        own = NodeId(self._settings.process.name)
        return self._is_draining or own in self._configuration.draining_nodes()

    @property
    def in_flight_at_drained(self) -> tuple[TargetInFlight, ...]:
        """Number of calls in flight at each target that operators are draining."""
        if self._core is None:
            return ()
        services = self._core.services
        own = NodeId(self._settings.process.name)
        return in_flight_at_drained(
            self._configuration, services.models, services.tools, own, self._requests
        )

    # Lifecycle.

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            core = self._build_core(tasks)
            self._core = core
            if self._metrics is not None:
                self._metrics.register_gauges(core)
            register_handlers(core, self._local)
            self._new_handover(core).register(self._local)
            self._update_engines()
            try:
                tasks.start_soon(self._heartbeat.run)
                tasks.start_soon(core.services.models.run)
                tasks.start_soon(core.sweep.run)
                if self._recorder is not None:
                    tasks.start_soon(self._recorder.run, self._environment.disk)
                await Housekeeping(core).run()
            finally:
                self._core = None

    def _build_core(self, tasks: TaskGroup) -> NodeCore:
        return build_core(
            self._settings,
            self._environment,
            tasks,
            store=ProgramStore(self._store),
            caller=self._local,
            leadership=LeaseLeadership(self._heartbeat.lease),
            configuration=lambda: self._configuration,
            reports=self._reports,
            policies=self._policies,
        )

    def _new_handover(self, core: NodeCore) -> PartitionHandover:
        return PartitionHandover(
            core.leader,
            core.incoming,
            self._heartbeat,
            self._local,
            self._settings.node.drain_timeout_s,
        )

    async def drain(self) -> None:
        """Refuse new requests, finish those in flight and hand over all partitions."""
        self._is_draining = True
        self._heartbeat.request_heartbeat()
        with anyio.move_on_after(self._settings.node.drain_timeout_s) as scope:
            while self._requests > 0 or self._heartbeat.lease.led_partitions:
                self._load_decreased = anyio.Event()
                await self._load_decreased.wait()
            await self._heartbeat.wait_released()
            # Nodes without the new partition table still send calls here, which are redirected.
            await anyio.sleep(max_heartbeat_interval_s(self._settings.membership.heartbeat_s))
        if scope.cancelled_caught:
            _log.warning("drain_timed_out", requests=self._requests)

    # Replies to heartbeats.

    def apply_configuration(
        self, delta: ConfigurationDelta | None, accepted_revision: Revision
    ) -> None:
        """Add changes, then apply the newest revision that is both accepted and received."""
        before = self._configuration.revision_in_force
        if delta is not None:
            self._configuration = self._configuration.apply_delta(delta)
        self._configuration = self._configuration.accept(accepted_revision)
        if self._configuration.revision_in_force != before:
            self._policies.update(self._configuration)
            self._update_engines()

    def set_leaving_engines(self, names: Sequence[EngineId]) -> None:
        """Send no new work to the engines of these names."""
        leaving = frozenset(names)
        if leaving != self._leaving_engines:
            self._leaving_engines = leaving
            self._update_engines()

    def _update_engines(self) -> None:
        if self._core is not None:
            configuration = self._configuration
            avoided = engines_to_avoid(configuration, self._leaving_engines)
            self._core.services.models.change_engines(dict(configuration.engines), avoided)

    def apply_membership_change(self, change: MembershipChange) -> None:
        """Start or stop leading a partition, or start or cancel its handover."""
        core = self._core
        if core is None:
            return
        match change:
            case LeadershipGained(partition, _):
                core.leader.accept_calls(partition)
                core.incoming.end_wait(partition)
                core.sweep.schedule_recovery(partition)
            case LeadershipLost(partition, _):
                core.leader.unload_partition(partition)
                core.leader.accept_calls(partition)
                self._load_decreased.set()
            case HandoverRequested():
                core.services.tasks.start_soon(self._new_handover(core).hand_over, change)
            case HandoverCancelled(partition, epoch):
                core.services.tasks.start_soon(self._new_handover(core).cancel, partition, epoch)

    # Requests of callers.

    def new_identifier(self) -> str:
        """Return a new identifier of 128 random bits."""
        return f"{self._environment.random.getrandbits(128):032x}"

    async def run_call(self, request: CallRequest, emit: Emit) -> None:
        """Run a call at the leader of its program and pass its events to ``emit``.

        Raises
        ------
        PasslaneError
            If the call was refused or failed; with its verdict.
        """
        try:
            core = self._require_accepting()
        except PasslaneError as error:
            refusal = error_with_verdict(error, verdict_without_record(request))
            self._reports.publish_refusal(refusal.code, refusal.verdict)
            raise refusal from error
        self._requests += 1
        try:
            await core.forwarder.run_call(request, emit)
        finally:
            self._requests -= 1
            self._load_decreased.set()

    async def create_program(self, request: CreateProgramRequest) -> ProgramRecord:
        """Create a program and return its record; raise ``PasslaneError``."""
        return await self._request_record(request)

    async def read_program(self, request: ReadProgramRequest) -> ProgramRecord:
        """Return a program's record; raise ``PasslaneError``."""
        return await self._request_record(request)

    async def _request_record(
        self, request: CreateProgramRequest | ReadProgramRequest
    ) -> ProgramRecord:
        core = self._require_accepting()
        result = await core.forwarder.send_request(
            request.program_id, request, ProgramResult, UNARY_TIMEOUT_S
        )
        return result.record

    async def end_program(self, request: EndProgramRequest) -> None:
        """End a program; raise ``PasslaneError``."""
        core = self._require_accepting()
        await core.forwarder.send_request(request.program_id, request, StoreDone, UNARY_TIMEOUT_S)

    def _require_accepting(self) -> NodeCore:
        """Return the node's parts; raise ``PasslaneError`` while the node starts or drains."""
        if self._core is None:
            raise PasslaneError(
                ErrorCode.UNAVAILABLE,
                "the node is starting",
                retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
            )
        if self.is_draining:
            raise PasslaneError(
                ErrorCode.DRAINING,
                "the node is draining; send the request to another node",
                retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
            )
        return self._core
