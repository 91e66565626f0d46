"""The replicated state machine of the store group.

Deterministic: its state depends on the commands alone. Programs are held in a mutable
form, so that a command costs the same whether a history has one turn or hundreds;
records are built only when they are read.
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
from passlane.store.snapshot import RestoredState, encode_parts, head_of

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
        """Answer a query from the state as it is."""
        match query:
            case ReadProgram():
                return self._read_program(query.program_id)
            case ListPrograms():
                return self._list_programs(query)
            case ReadAssignments():
                return Assignments(assignments=self.assignments.all())

    def snapshot_parts(self) -> Iterator[bytes]:
        """Return the whole state as of this call, encoded, in parts.

        Commands may be applied between two parts. There is one snapshot at a time.
        """
        head = head_of(self.assignments, self.configuration)
        accepted, pending = self.configuration.dump()
        return encode_parts(head, accepted, pending, self.programs.start_capture())

    def restore_parts(self, parts: Iterable[bytes]) -> Iterator[None]:
        """Replace the state by that of a snapshot, at the end; yields after each part.

        Raises
        ------
        ValueError
            When the bytes are no snapshot of a known format; the state stays as it was.
        """
        restored = RestoredState()
        for part in parts:
            restored.add(part)
            yield
        head = restored.head()
        self.programs = restored.programs
        self.assignments.restore(head.assignments, head.table_version)
        head.configuration.load_into(self.configuration, restored.accepted, restored.pending)

    def _program_of(self, command: ProgramCommand) -> StoredProgram:
        """Return the program of a command, once its epoch proved current."""
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
        chosen = [
            program.to_summary()
            for program in self._programs_in(query.partition)
            if not query.unsettled_only or not program.is_settled
        ]
        return ProgramList(programs=tuple(chosen))

    def _programs_in(self, partition: Partition | None) -> list[StoredProgram]:
        if partition is None:
            return list(self.programs)
        return list(self.programs.in_partition(partition))
