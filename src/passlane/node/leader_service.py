"""Serves the programs that this node leads."""

from collections.abc import AsyncIterator

import anyio

from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import Partition, ProgramId, TenantId
from passlane.messages.common import Address, Amounts, NotLeaderError
from passlane.messages.node import (
    CallEvent,
    CallRequest,
    CreateProgramRequest,
    EndProgramRequest,
    ProgramEndedNotice,
    ReadProgramRequest,
)
from passlane.messages.store import (
    CallKind,
    CreateProgram,
    EndProgram,
    ProgramResult,
    ProgramState,
    StoreDone,
)
from passlane.node.admission import Admission
from passlane.node.call_planning import plan_call
from passlane.node.call_services import CallServices
from passlane.node.led_program import LedProgram
from passlane.node.program_directory import ProgramDirectory
from passlane.node.program_host import ProgramHost
from passlane.node.release_loop import ReleaseLoop
from passlane.node.subscription import Subscription
from passlane.programs.call_identity import call_id_of
from passlane.transport.interfaces import Caller

STORE_TIMEOUT_S = 10.0
TOOL_PAUSE_S = 5.0
"""Usual pause of a program at a tool, until the policy says otherwise."""


class LeaderService:
    """Creates, serves, reads and ends programs of the partitions that this node leads."""

    def __init__(
        self,
        services: CallServices,
        directory: ProgramDirectory,
        admission: Admission,
        releases: ReleaseLoop,
        caller: Caller,
    ) -> None:
        self._services = services
        self._directory = directory
        self._admission = admission
        self._releases = releases
        self._caller = caller
        self._successors: dict[Partition, Address] = {}

    # Calls.

    async def serve_call(self, request: CallRequest) -> AsyncIterator[CallEvent]:
        """Run a call, or join one that runs, and yield its events.

        Raises
        ------
        PasslaneError
            When it was refused at once, or must go to another node.
        """
        self._require_staying(request.program_id)
        now = anyio.current_time()
        tenant = self._services.configuration().tenants.get(request.tenant_id)
        with self._admission.admit(request.tenant_id, tenant, now):
            host = await self._host(request.program_id, request.tenant_id)
            self._require_staying(request.program_id)
            subscription = self._submit(host, request, now + request.timeout_s)
            try:
                async for event in subscription.events():
                    yield event
            finally:
                host.release(call_id_of(request), subscription)

    def _submit(self, host: ProgramHost, request: CallRequest, deadline: float) -> Subscription:
        recorded = host.program.calls.get(call_id_of(request))
        application_id = None if recorded is None else recorded.application_id
        planned = plan_call(request, self._services.configuration(), application_id)
        subscription = host.submit(request, planned, deadline)
        if request.kind is CallKind.TOOL:
            self._services.models.note_program_paused(request.program_id, TOOL_PAUSE_S)
        return subscription

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
        command = CreateProgram(
            program_id=request.program_id,
            tenant_id=request.tenant_id,
            partition=partition,
            epoch=epoch,
            budget=self._checked_budget(request),
            parent_id=request.parent_id,
            deadline_s=request.deadline_s,
        )
        record = await self._services.store.create(command, STORE_TIMEOUT_S)
        self._directory.adopt(record, epoch)
        return ProgramResult(record)

    def _checked_budget(self, request: CreateProgramRequest) -> Amounts:
        tenant = self._services.configuration().tenants.get(request.tenant_id)
        if tenant is None:
            raise PasslaneError(
                ErrorCode.FORBIDDEN, "the tenant is not configured", retry_after_s=5.0
            )
        if not request.budget.fits_within(tenant.max_budget):
            raise PasslaneError(
                ErrorCode.BUDGET_EXCEEDED, "the budget is larger than the tenant may give"
            )
        return request.budget

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
        await host.stop(code, message)
        command = EndProgram(
            program_id=program.program_id, partition=program.partition, epoch=program.epoch
        )
        try:
            result = await self._services.store.end(command, STORE_TIMEOUT_S)
        except PasslaneError:
            host.resume()
            raise
        program.is_ended = True
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
        except PasslaneError:
            return

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

    async def finish_partition(
        self, partition: Partition, successor: Address, timeout_s: float
    ) -> None:
        """Take no new calls for a partition and wait until its calls have ended."""
        self._successors[partition] = successor
        with anyio.move_on_after(timeout_s):
            for host in self._directory.hosts_of(partition):
                await host.wait_idle()

    def forget_partition(self, partition: Partition) -> None:
        """Drop what is in memory of a partition that is led elsewhere now."""
        self._directory.drop_partition(partition)

    def keep_partition(self, partition: Partition) -> None:
        """Take calls for a partition (again)."""
        self._successors.pop(partition, None)

    def is_leaving(self, partition: Partition) -> bool:
        """Return whether a partition is being handed over."""
        return partition in self._successors


def _has_doubtful_operation(program: LedProgram) -> bool:
    open_call = program.open_call
    if open_call is None or open_call.proved_not_run:
        return False
    return open_call.call.kind is CallKind.TOOL and not open_call.call.repeatable
