"""Serves the programs that this node leads."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import NodeId, Partition, ProgramId, TenantId
from passlane.messages.common import Address, Amounts, NotLeaderError, error_with_verdict
from passlane.messages.node import (
    CallEvent,
    CallRefused,
    CallRequest,
    CreateProgramRequest,
    EndProgramRequest,
    ExplainProgram,
    ProgramEndedNotice,
    ProgramExplanation,
    ReadProgramRequest,
)
from passlane.messages.store import (
    CallKind,
    CreateProgram,
    EndProgram,
    ProgramRecord,
    ProgramResult,
    ProgramState,
    StoreDone,
)
from passlane.node.admission import Admission
from passlane.node.call_planning import plan_call
from passlane.node.call_services import CallServices
from passlane.node.incoming_partitions import IncomingPartitions
from passlane.node.led_program import LedProgram
from passlane.node.policy_facts import call_facts, program_facts
from passlane.node.program_directory import ProgramDirectory
from passlane.node.program_host import ProgramHost
from passlane.node.refusal_verdicts import RefusalJudge, refusal_with_verdict
from passlane.node.release_loop import ReleaseLoop
from passlane.node.subscription import Subscription
from passlane.observability.logging import get_logger
from passlane.policy.governor import BudgetDecision
from passlane.programs.call_identity import call_id_of
from passlane.transport.interfaces import Caller

_log = get_logger(__name__)

STORE_TIMEOUT_S = 10.0
LOADING_RETRY_AFTER_S = 1.0
UNKNOWN_TENANT_RETRY_AFTER_S = 5.0
"""When a caller should try again whose tenant the configuration does not name (yet)."""
PROGRAM_LIMIT_RETRY_AFTER_S = 10.0
"""When a tenant that has as many programs as it may should try to begin another."""


class LeaderService:
    """Creates, serves, reads and ends programs of the partitions that this node leads."""

    def __init__(
        self,
        services: CallServices,
        directory: ProgramDirectory,
        admission: Admission,
        releases: ReleaseLoop,
        caller: Caller,
        own_name: NodeId,
        incoming: IncomingPartitions,
    ) -> None:
        self._services = services
        self._directory = directory
        self._admission = admission
        self._releases = releases
        self._caller = caller
        self._own_name = own_name
        self._incoming = incoming
        self._successors: dict[Partition, Address] = {}

    # Calls.

    async def serve_call(self, request: CallRequest) -> AsyncIterator[CallEvent]:
        """Run a call, or join one that runs, and yield its events.

        Raises
        ------
        PasslaneError
            When it was refused at once, or must go to another node.
        """
        judge = RefusalJudge(request)
        known = self._directory.host_in_memory(request.program_id)
        if known is not None:
            is_under_way = known.is_under_way(call_id_of(request))
            judge.note_record(known.program, is_under_way=is_under_way)
        try:
            async with self._subscribe(request, judge) as subscription:
                async for event in subscription:
                    if isinstance(event, CallRefused):
                        event = refusal_with_verdict(event, self._verdict(judge, request))
                    yield event
        except PasslaneError as error:
            raise error_with_verdict(error, self._verdict(judge, request)) from error

    def _verdict(self, judge: RefusalJudge, request: CallRequest) -> Verdict:
        return judge.verdict(self._directory.program_in_memory(request.program_id))

    def limit_requests(self, max_requests: int) -> None:
        """Change how many calls are admitted at a time."""
        self._admission.limit_requests(max_requests)

    @asynccontextmanager
    async def _subscribe(
        self, request: CallRequest, judge: RefusalJudge
    ) -> AsyncIterator[Subscription]:
        """Hold a place for the call and give the flow of its events."""
        deadline = anyio.current_time() + request.timeout_s
        self._require_staying(request.program_id)
        await self._incoming.hold(self._directory.partition_of(request.program_id), request)
        # Only a leader is sure to hold the configuration that knows the tenant.
        self._directory.require_epoch(self._directory.partition_of(request.program_id))
        now = anyio.current_time()
        tenant = self._services.configuration().tenants.get(request.tenant_id)
        with self._admission.admit(request.tenant_id, tenant, now):
            host = await self._host_in_time(request, deadline)
            self._require_staying(request.program_id)
            is_under_way = host.is_under_way(call_id_of(request))
            judge.note_record(host.program, is_under_way=is_under_way)
            subscription = self._submit(host, request, deadline)
            judge.note_joined(host.program)
            try:
                yield subscription
            finally:
                host.release(call_id_of(request), subscription)

    async def _host_in_time(self, request: CallRequest, deadline: float) -> ProgramHost:
        """Return the call's program; refuse at the caller's deadline if it is not loaded."""
        with anyio.move_on_after(deadline - anyio.current_time()):
            return await self._host(request.program_id, request.tenant_id)
        raise PasslaneError(
            ErrorCode.DEADLINE_EXCEEDED,
            "the program was not loaded within the call's time",
            retry_after_s=LOADING_RETRY_AFTER_S,
        )

    def _submit(self, host: ProgramHost, request: CallRequest, deadline: float) -> Subscription:
        recorded = host.program.calls.get(call_id_of(request))
        application_id = None if recorded is None else recorded.application_id
        planned = plan_call(request, self._services.configuration(), application_id)
        return host.submit(request, planned, deadline)

    def _require_staying(self, program_id: ProgramId) -> None:
        """Refuse work for a partition that is about to be given up."""
        partition = self._directory.partition_of(program_id)
        if partition in self._successors:
            raise NotLeaderError(
                "the program is moving to another node", self._successors[partition]
            )

    async def _host(self, program_id: ProgramId, tenant_id: TenantId) -> ProgramHost:
        """Return a program of this tenant; another tenant's is as unknown as none."""
        host = await self._directory.host(program_id)
        if host.program.tenant_id != tenant_id:
            raise PasslaneError(ErrorCode.UNKNOWN_PROGRAM, "there is no such program")
        return host

    # Programs.

    async def create(self, request: CreateProgramRequest) -> ProgramResult:
        """Record a new program; the same request again gives the same program."""
        self._require_staying(request.program_id)
        partition = self._directory.partition_of(request.program_id)
        epoch = self._directory.require_epoch(partition)
        limits = self._limits_of(request)
        command = CreateProgram(
            program_id=request.program_id,
            tenant_id=request.tenant_id,
            partition=partition,
            epoch=epoch,
            budget=limits.budget,
            parent_id=request.parent_id,
            deadline_s=limits.deadline_s,
            max_programs=self._services.configuration().tenants[request.tenant_id].max_programs,
        )
        record = await self._record_new(command)
        self._directory.adopt(record, epoch)
        self._services.reports.publish_created(request)
        return ProgramResult(record)

    async def _record_new(self, command: CreateProgram) -> ProgramRecord:
        try:
            return await self._services.store.create(command, STORE_TIMEOUT_S)
        except PasslaneError as error:
            if error.code is ErrorCode.LIMIT_EXCEEDED and command.parent_id is None:
                error.retry_after_s = PROGRAM_LIMIT_RETRY_AFTER_S
            raise

    def _limits_of(self, request: CreateProgramRequest) -> BudgetDecision:
        """Return the budget and life that the tenant and its policy allow the program.

        A sub-agent that asks for no budget spends from its parent's.
        """
        if request.tenant_id not in self._services.configuration().tenants:
            raise PasslaneError(
                ErrorCode.FORBIDDEN,
                "the tenant is not configured",
                retry_after_s=UNKNOWN_TENANT_RETRY_AFTER_S,
            )
        is_sub_agent = request.parent_id is not None
        facts = program_facts(
            request.tenant_id, request.program_id, request.budget, is_sub_agent=is_sub_agent
        )
        asked = None if request.budget == Amounts() else request.budget
        decision = self._services.policies.budget(facts, asked)
        budget = Amounts() if asked is None and is_sub_agent else decision.budget
        lives = [one for one in (request.deadline_s, decision.deadline_s) if one is not None]
        return BudgetDecision(budget, min(lives, default=None), decision.tool_pause_s)

    async def explain(self, request: ExplainProgram) -> ProgramExplanation:
        """Say why the program's last model call ran where and when it did."""
        host = await self._directory.host(request.program_id)
        program = host.program
        facts = call_facts(program, "", program.next_sequence, 0)
        return ProgramExplanation(
            program_id=program.program_id,
            leader=self._own_name,
            placement=self._services.models.reason_of(program.program_id),
            policy=self._services.policies.explain(facts),
        )

    async def read(self, request: ReadProgramRequest) -> ProgramResult:
        """Return the program's record."""
        self._directory.require_epoch(self._directory.partition_of(request.program_id))
        record = await self._services.store.read(request.program_id)
        if record.tenant_id != request.tenant_id:
            raise PasslaneError(ErrorCode.UNKNOWN_PROGRAM, "there is no such program")
        return ProgramResult(record)

    async def end(self, request: EndProgramRequest) -> StoreDone:
        """End a program: stop its calls, record the end, release what engines hold."""
        host = await self._host(request.program_id, request.tenant_id)
        await self.end_host(host, ErrorCode.PROGRAM_ENDED, "the program is ending")
        return StoreDone()

    async def end_host(self, host: ProgramHost, code: ErrorCode, message: str) -> None:
        """End a program that is in memory; callers that wait get ``code``."""
        program = host.program
        if program.is_ended:
            return
        command = EndProgram(
            program_id=program.program_id, partition=program.partition, epoch=program.epoch
        )
        try:
            await host.stop(code, message)
            result = await self._services.store.end(command, STORE_TIMEOUT_S)
        except PasslaneError:
            host.resume()
            raise
        program.is_ended = True
        self._services.reports.publish_ended(program.program_id)
        self._services.models.note_program_ended(program.program_id)
        self._releases.add_holds(program.program_id, program.partition, program.epoch, result.holds)
        for child_id in result.ended_children:
            await self._tell_ended(child_id)

    async def _tell_ended(self, program_id: ProgramId) -> None:
        """Tell the leader of a sub-agent that it ended; what is missed, the sweep finds."""
        notice = ProgramEndedNotice(program_id)
        partition = self._directory.partition_of(program_id)
        if self._services.leadership.epoch_of(partition) is not None:
            await self.note_ended(notice)
            return
        leader = self._services.leadership.leader_of(partition)
        if leader is not None:
            await self._caller.send(leader, notice)

    async def note_ended(self, notice: ProgramEndedNotice) -> None:
        """Release what engines hold for a sub-agent that ended with its parent."""
        try:
            await self.look_after(notice.program_id)
        except PasslaneError as error:
            # The sweep of unsettled programs comes back to it.
            _log.info(
                "ended_program_not_settled", program_id=notice.program_id, code=error.code.value
            )

    async def look_after(self, program_id: ProgramId) -> None:
        """Settle what an earlier leader left: doubtful operations and held memory.

        Raises
        ------
        PasslaneError
            When the store could not be asked; to be tried again.
        """
        partition = self._directory.partition_of(program_id)
        epoch = self._directory.require_epoch(partition)
        record = await self._services.store.read(program_id)
        if record.state is ProgramState.ENDED:
            host = self._directory.adopt(record, epoch)
            if not host.program.is_ended:
                await host.stop(ErrorCode.PROGRAM_ENDED, "the program has ended")
                host.program.is_ended = True
                self._services.models.note_program_ended(program_id)
            await host.settle()
            holds = (await self._services.store.read(program_id)).holds
            self._releases.add_holds(program_id, partition, epoch, holds)
            return
        host = await self._directory.host(program_id)
        if host.is_idle and _has_doubtful_operation(host.program):
            await host.settle()

    # Handover.

    def redirect(self, partition: Partition, successor: Address) -> None:
        """Take no new calls for a partition; send them to its next leader."""
        self._successors[partition] = successor

    async def wait_quiet(self, partition: Partition, timeout_s: float) -> None:
        """Wait for a moment at which no call of a partition runs, but not for long."""
        with anyio.move_on_after(timeout_s):
            while busy := self._busy_hosts(partition):
                await busy[0].wait_idle()

    def _busy_hosts(self, partition: Partition) -> list[ProgramHost]:
        return [host for host in self._directory.hosts_of(partition) if not host.is_idle]

    def forget_partition(self, partition: Partition) -> None:
        """Drop what is in memory of a partition that is led elsewhere now."""
        self._directory.drop_partition(partition)

    def keep_partition(self, partition: Partition) -> None:
        """Take calls for a partition (again)."""
        self._successors.pop(partition, None)

    def successor_of(self, partition: Partition) -> Address | None:
        """Return where the calls of a partition are sent while it is handed over."""
        return self._successors.get(partition)

    def forget_arrived(self) -> None:
        """Drop the successors that the own partition table names by now; call now and then."""
        leadership = self._services.leadership
        for partition, successor in list(self._successors.items()):
            if leadership.leader_of(partition) == successor:
                del self._successors[partition]


def _has_doubtful_operation(program: LedProgram) -> bool:
    open_call = program.open_call
    if open_call is None or open_call.proved_not_run:
        return False
    return open_call.call.kind is CallKind.TOOL and not open_call.call.repeatable
