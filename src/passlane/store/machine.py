"""The replicated state machine of the store group.

Deterministic: the state depends only on the commands. Programs are stored in a mutable
form, so that the cost of a command does not depend on the length of a program's history.
Immutable records are built only for reads and snapshots.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from passlane.configuration.ledger import ConfigurationLedger
from passlane.errors import ErrorCode
from passlane.identifiers import Partition, ProgramId
from passlane.messages.base import Message, encode_message, message_decoder
from passlane.messages.store import (
    Assignments,
    AssignPartitions,
    BeginCall,
    CreateProgram,
    EndProgram,
    EndProgramResult,
    FinishCall,
    ListPrograms,
    ProgramList,
    ProgramResult,
    ReadAssignments,
    ReadProgram,
    RecordConfiguration,
    RecordHold,
    RecordRelease,
    RemoveEndedPrograms,
    StoreCommand,
    StoreDone,
    StoreQuery,
    StoreRefusal,
)
from passlane.store.accounts import AccountChain
from passlane.store.assignments import AssignmentTable
from passlane.store.calls import begin_call, finish_call
from passlane.store.program import StoredProgram
from passlane.store.program_table import ProgramTable
from passlane.store.refusal import CommandRefusedError
from passlane.store.snapshot import RestoredState, encode_parts, header_of

DONE = StoreDone()

ProgramCommand = BeginCall | FinishCall | EndProgram | RecordHold | RecordRelease


class StoreStateMachine:
    """Program records, the partition table and the region's configuration.

    Implements ``passlane.replication.interfaces.StateMachine``.
    """

    def __init__(self) -> None:
        self.programs = ProgramTable()
        self.assignments = AssignmentTable()
        self.configuration = ConfigurationLedger()
        self._decoder = message_decoder(StoreCommand)
        self._handlers: dict[type[Any], Callable[[Any], Message]] = {
            CreateProgram: self._create_program,
            BeginCall: self._begin_call,
            FinishCall: self._finish_call,
            EndProgram: self._end_program,
            RecordHold: self._record_hold,
            RecordRelease: self._record_release,
            RemoveEndedPrograms: self._remove_ended_programs,
            AssignPartitions: self._assign_partitions,
            RecordConfiguration: self._record_configuration,
        }

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command; return its encoded ``StoreResult``."""
        try:
            decoded = self._decoder.decode(command)
        except msgspec.DecodeError:
            refusal = StoreRefusal(
                code=ErrorCode.BAD_REQUEST, message="the command cannot be decoded"
            )
            return encode_message(refusal)
        return encode_message(self.execute(decoded))

    def execute(self, command: StoreCommand) -> Message:
        """Apply a decoded command and return its result."""
        try:
            return self._handlers[type(command)](command)
        except CommandRefusedError as error:
            return error.to_result()

    def query(self, query: StoreQuery) -> Message:
        """Answer a query from the current state."""
        match query:
            case ReadProgram():
                return self._read_program(query.program_id)
            case ListPrograms():
                return self._list_programs(query)
            case ReadAssignments():
                return Assignments(assignments=self.assignments.all())

    def snapshot_parts(self) -> Iterator[bytes]:
        """Return the encoded state as of this call, in parts.

        Commands may be applied between two parts. Only one snapshot runs at a time.
        """
        header = header_of(self.assignments, self.configuration)
        accepted, pending = self.configuration.dump()
        ended_backends = {
            program.program_id: program.ended_backends
            for program in self.programs
            if program.ended_backends
        }
        capture = self.programs.start_capture()
        return encode_parts(header, accepted, pending, capture, ended_backends)

    def restore_parts(self, parts: Iterable[bytes]) -> Iterator[None]:
        """Replace the state with that of a snapshot; yield after each decoded part.

        Raises
        ------
        ValueError
            When the bytes are not a snapshot of a known format. The state is replaced only
            after the last part, so it is unchanged then.
        """
        restored = RestoredState()
        for part in parts:
            restored.add(part)
            yield
        header = restored.header()
        self.programs = restored.programs
        self.assignments.restore(header.assignments, header.table_version)
        header.configuration.load_into(self.configuration, restored.accepted, restored.pending)

    def _program_of(self, command: ProgramCommand) -> StoredProgram:
        """Return the program of a command after checking the command's epoch."""
        self.assignments.require_current(command.partition, command.epoch)
        return self.programs.get(command.program_id, command.partition)

    def _accounts_of(self, program: StoredProgram) -> AccountChain:
        return self.programs.accounts_of(program)

    def _create_program(self, command: CreateProgram) -> Message:
        self.assignments.require_current(command.partition, command.epoch)
        return ProgramResult(record=self.programs.create(command).to_record())

    def _begin_call(self, command: BeginCall) -> Message:
        program = self._program_of(command)
        return begin_call(program, self._accounts_of(program), command)

    def _finish_call(self, command: FinishCall) -> Message:
        program = self._program_of(command)
        finish_call(program, self._accounts_of(program), command)
        return DONE

    def _end_program(self, command: EndProgram) -> Message:
        program = self._program_of(command)
        ended_children = self.programs.end(program)
        return EndProgramResult(holds=program.engine_holds(), ended_children=ended_children)

    def _record_hold(self, command: RecordHold) -> Message:
        program = self._program_of(command)
        if program.is_ended:
            raise CommandRefusedError(ErrorCode.PROGRAM_ENDED, "the program has ended")
        program.record_hold(command.hold)
        return DONE

    def _record_release(self, command: RecordRelease) -> Message:
        self._program_of(command).record_release(command.hold)
        return DONE

    def _remove_ended_programs(self, command: RemoveEndedPrograms) -> Message:
        for program_id in command.program_ids:
            self.programs.remove(program_id)
        return DONE

    def _assign_partitions(self, command: AssignPartitions) -> Message:
        self.assignments.assign(command)
        return DONE

    def _record_configuration(self, command: RecordConfiguration) -> Message:
        self.configuration.apply_delta(command.delta)
        return DONE

    def _read_program(self, program_id: ProgramId) -> Message:
        program = self.programs.find(program_id)
        if program is None:
            return StoreRefusal(code=ErrorCode.UNKNOWN_PROGRAM, message="there is no such program")
        return ProgramResult(record=program.to_record())

    def _list_programs(self, query: ListPrograms) -> Message:
        summaries = [
            program.to_summary()
            for program in self._programs_in(query.partition)
            if not query.unsettled_only or not program.is_settled
        ]
        return ProgramList(programs=tuple(summaries))

    def _programs_in(self, partition: Partition | None) -> list[StoredProgram]:
        if partition is None:
            return list(self.programs)
        return list(self.programs.in_partition(partition))
