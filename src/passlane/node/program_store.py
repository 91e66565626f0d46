"""Typed client for the program records in the store group."""

from typing import Any, Protocol, TypeVar

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import Partition, ProgramId
from passlane.messages.base import Message
from passlane.messages.store import (
    BeginCall,
    BeginCallResult,
    CreateProgram,
    EndProgram,
    EndProgramResult,
    FinishCall,
    ListPrograms,
    ProgramList,
    ProgramRecord,
    ProgramResult,
    ProgramSummary,
    ReadProgram,
    RecordHold,
    RecordRelease,
    StoreDone,
    StoreRefusal,
)

ResultType = TypeVar("ResultType", bound=Message)

READ_TIMEOUT_S = 5.0
"""Timeout of a read or a small command, including changes of the store's leader."""


class GroupExecutor(Protocol):
    """Sends a request to the leader of a replicated group (``replication.client``)."""

    async def execute(self, request: Message, reply: Any, *, timeout_s: float) -> Any:
        """Return the reply; raise ``PasslaneError``."""
        ...


class ProgramStore:
    """Sends commands and queries to the store; raises its refusals as ``PasslaneError``."""

    def __init__(self, group: GroupExecutor) -> None:
        self._group = group

    async def create(self, command: CreateProgram, timeout_s: float) -> ProgramRecord:
        """Record a program and return its record."""
        return (await self._execute(command, ProgramResult, timeout_s)).record

    async def begin_call(self, command: BeginCall, timeout_s: float) -> BeginCallResult:
        """Record the intent of a call."""
        return await self._execute(command, BeginCallResult, timeout_s)

    async def finish_call(self, command: FinishCall, timeout_s: float) -> None:
        """Record the outcome of a call."""
        await self._execute(command, StoreDone, timeout_s)

    async def end(self, command: EndProgram, timeout_s: float) -> EndProgramResult:
        """Record the end of a program and return the engines that may have cache for it."""
        return await self._execute(command, EndProgramResult, timeout_s)

    async def record_hold(self, command: RecordHold, timeout_s: float) -> None:
        """Record that an engine may have cache for a program from now on."""
        await self._execute(command, StoreDone, timeout_s)

    async def record_release(self, command: RecordRelease) -> None:
        """Record that an engine has no cache for a program any more."""
        await self._execute(command, StoreDone, READ_TIMEOUT_S)

    async def read(self, program_id: ProgramId) -> ProgramRecord:
        """Return a program's record; raise ``UNKNOWN_PROGRAM`` if there is none."""
        return (await self._execute(ReadProgram(program_id), ProgramResult, READ_TIMEOUT_S)).record

    async def list_unsettled(self, partition: Partition | None) -> tuple[ProgramSummary, ...]:
        """Return the programs that a new leader must recover."""
        query = ListPrograms(partition=partition, unsettled_only=True)
        return (await self._execute(query, ProgramList, READ_TIMEOUT_S)).programs

    async def _execute(
        self, request: Message, result_type: type[ResultType], timeout_s: float
    ) -> ResultType:
        union = result_type | StoreRefusal
        result = await self._group.execute(request, union, timeout_s=timeout_s)
        if isinstance(result, StoreRefusal):
            raise PasslaneError(result.code, result.message, verdict=Verdict.NOT_RUN)
        if not isinstance(result, result_type):
            raise PasslaneError(
                ErrorCode.PROTOCOL_ERROR,
                f"the store answered {type(request).__name__} with {type(result).__name__}",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        return result
