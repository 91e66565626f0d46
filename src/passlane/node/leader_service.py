"""Serves the programs that this node leads.

``LeaderService`` admits and runs their calls, creates, reads and ends programs, recovers
programs of earlier leaders, and redirects calls while a partition is handed over.
"""

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
from passlane.node.refusal_verdicts import RefusalVerdictResolver, refusal_with_verdict
from passlane.node.release_loop import ReleaseLoop
from passlane.node.subscription import Subscription
from passlane.observability.logging import get_logger
from passlane.policy.active_policies import BudgetDecision
from passlane.programs.call_identity import call_id_of
from passlane.transport.interfaces import Caller

_log = get_logger(__name__)

STORE_TIMEOUT_S = 10.0
LOAD_TIMEOUT_RETRY_AFTER_S = 1.0
UNKNOWN_TENANT_RETRY_AFTER_S = 5.0
"""Retry time for callers of a tenant that the configuration does not contain (yet)."""
PROGRAM_LIMIT_RETRY_AFTER_S = 10.0
"""Retry time for a tenant that has reached its maximum number of programs."""


class LeaderService:
    """Handles requests for programs of the partitions that this node leads."""

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
        """Run a call, or subscribe to the same call if it is in flight, and yield its events.

        Raises
        ------
        PasslaneError
            If the call was refused at once, or must be sent to another node.
        """
        resolver = RefusalVerdictResolver(request)
        in_memory = self._directory.host_in_memory(request.program_id)
        if in_memory is not None:
            is_in_flight = in_memory.is_in_flight(call_id_of(request))
            resolver.apply_record(in_memory.program, is_in_flight=is_in_flight)
        try:
            async with self._subscribe(request, resolver) as subscription:
                async for event in subscription:
                    if isinstance(event, CallRefused):
                        event = refusal_with_verdict(event, self._verdict(resolver, request))
                    yield event
        except PasslaneError as error:
            raise error_with_verdict(error, self._verdict(resolver, request)) from error

    def _verdict(self, resolver: RefusalVerdictResolver, request: CallRequest) -> Verdict:
        return resolver.verdict(self._directory.program_in_memory(request.program_id))

    def set_max_requests(self, max_requests: int) -> None:
        """Change the maximum number of calls in flight."""
        self._admission.set_max_requests(max_requests)

    @asynccontextmanager
    async def _subscribe(
        self, request: CallRequest, resolver: RefusalVerdictResolver
    ) -> AsyncIterator[Subscription]:
        """Admit a call and yield the subscription to its events."""
        deadline = anyio.current_time() + request.timeout_s
        self._require_not_moving(request.program_id)
        await self._incoming.wait_for_partition(
            self._directory.partition_of(request.program_id), request
        )
        # Only a leader is guaranteed to have the configuration that contains the tenant.
        self._directory.require_epoch(self._directory.partition_of(request.program_id))
        now = anyio.current_time()
        tenant = self._services.configuration().tenants.get(request.tenant_id)
        with self._admission.admit(request.tenant_id, tenant, now):
            host = await self._host_before_deadline(request, deadline)
            self._require_not_moving(request.program_id)
            is_in_flight = host.is_in_flight(call_id_of(request))
            resolver.apply_record(host.program, is_in_flight=is_in_flight)
            subscription = self._submit(host, request, deadline)
            resolver.record_join(host.program)
            try:
                yield subscription
            finally:
                host.release(call_id_of(request), subscription)

    async def _host_before_deadline(self, request: CallRequest, deadline: float) -> ProgramHost:
        """Return the call's program; raise if it is not loaded by the call's deadline."""
        with anyio.move_on_after(deadline - anyio.current_time()):
            return await self._host(request.program_id, request.tenant_id)
        raise PasslaneError(
            ErrorCode.DEADLINE_EXCEEDED,
            "the program was not loaded before the call's deadline",
            retry_after_s=LOAD_TIMEOUT_RETRY_AFTER_S,
        )

    def _submit(self, host: ProgramHost, request: CallRequest, deadline: float) -> Subscription:
        recorded = host.program.calls.get(call_id_of(request))
        application_id = None if recorded is None else recorded.application_id
        planned = plan_call(request, self._services.configuration(), application_id)
        return host.submit(request, planned, deadline)

    def _require_not_moving(self, program_id: ProgramId) -> None:
        """Raise ``NotLeaderError`` if the program's partition is being handed over."""
        partition = self._directory.partition_of(program_id)
        if partition in self._successors:
            raise NotLeaderError(
                "the program is moving to another node", self._successors[partition]
            )

    async def _host(self, program_id: ProgramId, tenant_id: TenantId) -> ProgramHost:
        """Return a program of this tenant; raise ``UNKNOWN_PROGRAM`` for one of another tenant."""
        host = await self._directory.host(program_id)
        if host.program.tenant_id != tenant_id:
            raise PasslaneError(ErrorCode.UNKNOWN_PROGRAM, "there is no such program")
        return host

    # Programs.

    async def create(self, request: CreateProgramRequest) -> ProgramResult:
        """Record a new program; a repeated request returns the same program."""
        self._require_not_moving(request.program_id)
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
        self._directory.get_or_add(record, epoch)
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
        """Return the budget and lifetime that the tenant and its policy allow the program.

        A sub-agent without a requested budget spends from its parent's budget.
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
        requested = None if request.budget == Amounts() else request.budget
        decision = self._services.policies.budget(facts, requested)
        budget = Amounts() if requested is None and is_sub_agent else decision.budget
        lifetimes = [one for one in (request.deadline_s, decision.deadline_s) if one is not None]
        return BudgetDecision(budget, min(lifetimes, default=None), decision.tool_pause_s)

    async def explain(self, request: ExplainProgram) -> ProgramExplanation:
        """Return the reason for the placement of the program's last model call, and its policy."""
        host = await self._directory.host(request.program_id)
        program = host.program
        facts = call_facts(program, "", program.next_sequence, 0)
        return ProgramExplanation(
            program_id=program.program_id,
            leader=self._own_name,
            placement=self._services.models.placement_reason(program.program_id),
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
        """End a program: stop its calls, record the end, release its cache on engines."""
        host = await self._host(request.program_id, request.tenant_id)
        await self.end_host(host, ErrorCode.PROGRAM_ENDED, "the program is ending")
        return StoreDone()

    async def end_host(self, host: ProgramHost, code: ErrorCode, message: str) -> None:
        """End a program that is in memory; its waiting callers receive ``code``."""
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
            await self._notify_ended(child_id)

    async def _notify_ended(self, program_id: ProgramId) -> None:
        """Notify the leader of a sub-agent that it ended; the sweep covers lost notices."""
        notice = ProgramEndedNotice(program_id)
        partition = self._directory.partition_of(program_id)
        if self._services.leadership.epoch_of(partition) is not None:
            await self.handle_program_ended(notice)
            return
        leader = self._services.leadership.leader_of(partition)
        if leader is not None:
            await self._caller.send(leader, notice)

    async def handle_program_ended(self, notice: ProgramEndedNotice) -> None:
        """Release the cache on engines of a sub-agent that ended with its parent."""
        try:
            await self.recover_program(notice.program_id)
        except PasslaneError as error:
            # The sweep of unsettled programs retries.
            _log.info(
                "ended_program_not_settled", program_id=notice.program_id, code=error.code.value
            )

    async def recover_program(self, program_id: ProgramId) -> None:
        """Settle what an earlier leader left: operations in doubt and cache on engines.

        Raises
        ------
        PasslaneError
            If the store could not be reached; the caller must retry.
        """
        partition = self._directory.partition_of(program_id)
        epoch = self._directory.require_epoch(partition)
        record = await self._services.store.read(program_id)
        if record.state is ProgramState.ENDED:
            host = self._directory.get_or_add(record, epoch)
            if not host.program.is_ended:
                await host.stop(ErrorCode.PROGRAM_ENDED, "the program has ended")
                host.program.is_ended = True
                self._services.models.note_program_ended(program_id)
            await host.settle()
            holds = (await self._services.store.read(program_id)).holds
            self._releases.add_holds(program_id, partition, epoch, holds)
            return
        host = await self._directory.host(program_id)
        if host.is_idle and _has_operation_in_doubt(host.program):
            await host.settle()

    # Handover.

    def redirect_calls(self, partition: Partition, successor: Address) -> None:
        """Refuse new calls of a partition and redirect them to its next leader."""
        self._successors[partition] = successor

    async def wait_partition_idle(self, partition: Partition, timeout_s: float) -> None:
        """Wait until no call of a partition is in flight, for at most ``timeout_s`` seconds."""
        with anyio.move_on_after(timeout_s):
            while busy := self._busy_hosts(partition):
                await busy[0].wait_idle()

    def _busy_hosts(self, partition: Partition) -> list[ProgramHost]:
        return [host for host in self._directory.hosts_of(partition) if not host.is_idle]

    def unload_partition(self, partition: Partition) -> None:
        """Drop the programs of a partition from memory, because another node leads it now."""
        self._directory.drop_partition(partition)

    def accept_calls(self, partition: Partition) -> None:
        """Accept calls of a partition; stop redirecting them."""
        self._successors.pop(partition, None)

    def successor_of(self, partition: Partition) -> Address | None:
        """Return the node to which calls of a partition are redirected, if any."""
        return self._successors.get(partition)

    def drop_confirmed_successors(self) -> None:
        """Stop redirecting to successors that this node's partition table names as leaders.

        To be called periodically.
        """
        leadership = self._services.leadership
        for partition, successor in list(self._successors.items()):
            if leadership.leader_of(partition) == successor:
                del self._successors[partition]


def _has_operation_in_doubt(program: LedProgram) -> bool:
    open_call = program.open_call
    if open_call is None or open_call.proved_not_run:
        return False
    return open_call.call.kind is CallKind.TOOL and not open_call.call.repeatable
