"""Recorded runs of the store's machine; the digests go once its shape has settled."""

import random
import unittest
from collections.abc import Iterator
from typing import Any, get_args

from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import (
    ApplicationId,
    CallId,
    EngineId,
    Epoch,
    NodeId,
    Partition,
    ProgramId,
    Revision,
    TenantId,
)
from passlane.messages.base import encode_message, message_decoder
from passlane.messages.common import Address, Amounts
from passlane.messages.control import ConfigurationDelta, Document
from passlane.messages.store import (
    AssignPartitions,
    BeginCall,
    CallKind,
    CallOutcome,
    CallRecord,
    CallState,
    CreateProgram,
    EndProgram,
    EngineHold,
    FinishCall,
    ListPrograms,
    PartitionAssignment,
    ProgramRecord,
    ProgramState,
    ProgramSummary,
    ReadAssignments,
    ReadProgram,
    RecordConfiguration,
    RecordHold,
    RecordRelease,
    RemoveEndedPrograms,
    StoreCommand,
    StoreQuery,
    StoreResult,
    Turn,
)
from passlane.store.machine import StoreStateMachine
from recorded_machines.recording import Recording

KINDS: dict[type[Any], str] = {
    Address: "address",
    Amounts: "amounts",
    CallOutcome: "outcome",
    CallRecord: "call",
    Document: "document",
    EngineHold: "hold",
    PartitionAssignment: "assignment",
    ProgramRecord: "program",
    ProgramSummary: "summary",
    Turn: "turn",
}
REFUSALS = (
    ErrorCode.BAD_REQUEST,
    ErrorCode.BUDGET_EXCEEDED,
    ErrorCode.IDEMPOTENCY_MISMATCH,
    ErrorCode.LIMIT_EXCEEDED,
    ErrorCode.NOT_FOUND,
    ErrorCode.PROGRAM_ENDED,
    ErrorCode.STALE_EPOCH,
    ErrorCode.UNKNOWN_PROGRAM,
    ErrorCode.WRONG_SEQUENCE,
)
COMMANDS = 5_000
PARTITIONS = 3
LIVE_PROGRAMS = 12
SNAPSHOT_EVERY = 200
DEEPEST = 20
_results = message_decoder(StoreResult)


class Load:
    """Commands of leaders that mostly know what they do; now and then one repeats or errs."""

    def __init__(self, seed: int, machine: StoreStateMachine) -> None:
        self.random = random.Random(seed)
        self.machine = machine
        self.sent: list[StoreCommand] = []
        self.programs: list[CreateProgram] = []

    def draw(self) -> StoreCommand:
        if self.sent and self._is_drawn(0.08):
            return self.random.choice(self.sent[-40:])
        command = self._draw_new()
        self.sent.append(command)
        return command

    def _is_drawn(self, share: float) -> bool:
        return self.random.random() < share

    def _draw_new(self) -> StoreCommand:
        kind = self.random.random()
        if kind < 0.03 or len(self.sent) < PARTITIONS:
            return self._assign()
        if kind < 0.08 or not self.programs:
            return self._create()
        if kind < 0.10:
            return self._configuration()
        if kind < 0.15:
            chosen = self.random.sample(self.programs, k=min(3, len(self.programs)))
            return RemoveEndedPrograms(tuple(program.program_id for program in chosen))
        return self._of_program(kind)

    def _of_program(self, kind: float) -> StoreCommand:
        program = self.random.choice(self.programs[-LIVE_PROGRAMS:])
        partition = Partition(self.random.randrange(4)) if self._is_drawn(0.02) else None
        partition = program.partition if partition is None else partition
        names = (program.program_id, partition, self._epoch(partition))
        hold = EngineHold(EngineId(f"e{self.random.randrange(2)}"), self.random.randrange(3))
        if kind < 0.50:
            return self._begin(*names)
        if kind < 0.88:
            return self._finish(*names, hold)
        if kind < 0.92:
            return RecordHold(*names, hold)
        if kind < 0.97:
            return RecordRelease(*names, hold)
        return EndProgram(*names)

    def _epoch(self, partition: Partition) -> Epoch:
        recorded = self.machine.assignments.epoch_of(partition)
        return Epoch(recorded + (self.random.choice((-1, 1)) if self._is_drawn(0.05) else 0))

    def _assign(self) -> AssignPartitions:
        chosen = [Partition(self.random.randrange(PARTITIONS)) for _ in range(2)]
        return AssignPartitions(
            tuple(
                PartitionAssignment(
                    partition=partition,
                    node_id=NodeId(f"n{self.random.randrange(4)}"),
                    address=Address("h", partition),
                    epoch=Epoch(self._epoch(partition) + 1),
                    incarnation=self.random.randrange(3),
                )
                for partition in chosen[: self.random.randrange(1, 3)]
            )
        )

    def _create(self) -> CreateProgram:
        number = len(self.programs)
        parent = self.random.choice(self.programs[-2:]) if number and self._is_drawn(0.6) else None
        partition = Partition(self.random.randrange(PARTITIONS))
        is_known = number > 0 and self._is_drawn(0.1)
        tenant = parent.tenant_id if parent and self._is_drawn(0.95) else self._tenant()
        command = CreateProgram(
            program_id=ProgramId(f"p{number - 1 if is_known else number}"),
            tenant_id=tenant,
            partition=partition,
            epoch=self._epoch(partition),
            budget=self._budget(is_child=parent is not None),
            parent_id=parent.program_id if parent else None,
            deadline_s=self.random.choice((None, 30.0)),
            max_programs=self.random.choice((None, 2, 10)),
        )
        if not is_known:
            self.programs.append(command)
        return command

    def _tenant(self) -> TenantId:
        return TenantId(f"tenant{self.random.randrange(3)}")

    def _budget(self, *, is_child: bool) -> Amounts:
        if is_child and self._is_drawn(0.7):
            return Amounts()
        return Amounts(
            tokens=-1 if self._is_drawn(0.05) else 60,
            calls=self.random.choice((3, 9)),
            money_micros=25,
        )

    def _call_of(self, program_id: ProgramId) -> tuple[int, CallId]:
        """Return the sequence and id of the call to begin next, mostly."""
        program = self.machine.programs.find(program_id)
        sequence = program.next_sequence if program else 0
        sequence += self.random.choice((-1, 1)) if self._is_drawn(0.15) else 0
        return sequence, CallId(f"{program_id}/{sequence}")

    def _begin(self, program_id: ProgramId, partition: Partition, epoch: Epoch) -> BeginCall:
        sequence, call_id = self._call_of(program_id)
        kind = self.random.choice(list(CallKind))
        return BeginCall(
            program_id=program_id,
            partition=partition,
            epoch=epoch,
            call_id=call_id,
            sequence=sequence,
            kind=kind,
            target="target",
            repeatable=self._is_drawn(0.7),
            request_digest="other" if self._is_drawn(0.1) else "digest",
            reserve=Amounts(
                tokens=10 * self.random.randrange(-1 if self._is_drawn(0.05) else 0, 4),
                calls=1,
                money_micros=5 * self.random.randrange(3),
            ),
            turns=(Turn(role="user", content=f"asks {sequence}"),) * self.random.randrange(3),
            application_id=ApplicationId("a") if kind is CallKind.TOOL else None,
            want_history=self._is_drawn(0.3),
        )

    def _finish(
        self, program_id: ProgramId, partition: Partition, epoch: Epoch, hold: EngineHold
    ) -> FinishCall:
        program = self.machine.programs.find(program_id)
        open_call = program.open_call if program else None
        spent = Amounts(tokens=self.random.choice((0, 0, 10, 20, -1)), calls=1)
        code = ErrorCode.BACKEND_FAILED if self._is_drawn(0.2) else None
        body = f"told {self.random.randrange(9)}"
        return FinishCall(
            program_id=program_id,
            partition=partition,
            epoch=epoch,
            call_id=open_call or CallId("never"),
            outcome=CallOutcome(self.random.choice(list(Verdict)), body, code, "", spent),
            turns=(Turn(role="assistant", content=body), Turn("tool", "text", "name")),
            hold=hold if self._is_drawn(0.3) else None,
        )

    def _configuration(self) -> RecordConfiguration:
        ledger = self.machine.configuration
        held = ledger.held_revision
        start = max(0, held + self.random.choice((-1, 0, 0, 0, 1)))
        documents = tuple(
            Document("policy", f"d{r % 5}", r, Revision(r), "{}" if self._is_drawn(0.8) else None)
            for r in range(start + 1, start + 1 + self.random.randrange(4))
        )
        end = documents[-1].revision if documents else Revision(start)
        floor = ledger.floor_revision
        is_snapshot = self._is_drawn(0.1)
        return RecordConfiguration(
            ConfigurationDelta(
                from_revision=Revision(0 if is_snapshot else start),
                to_revision=end,
                accepted_revision=Revision(self.random.randrange(end + 1)),
                documents=documents,
                is_snapshot=is_snapshot,
                floor_revision=Revision(end + 1 if is_snapshot else floor),
            )
        )

    def query(self) -> StoreQuery:
        kind = self.random.randrange(4)
        if kind == 0:
            partition = self.random.choice((None, Partition(0), Partition(1)))
            return ListPrograms(partition, self._is_drawn(0.5))
        if kind == 1:
            return ReadAssignments()
        number = max(0, len(self.programs) - self.random.randrange(LIVE_PROGRAMS))
        return ReadProgram(ProgramId(f"p{number}"))


def nested_programs(epoch: Epoch) -> Iterator[CreateProgram]:
    """Yield programs each of which is a sub-agent of the one before, beyond what may be."""
    for level in range(DEEPEST):
        yield CreateProgram(
            program_id=ProgramId(f"level{level}"),
            tenant_id=TenantId("nested"),
            partition=Partition(0),
            epoch=epoch,
            budget=Amounts(tokens=9),
            parent_id=ProgramId(f"level{level - 1}") if level else None,
        )


def run(recording: Recording) -> None:
    """Apply commands and queries; take a snapshot in between and go on from it."""
    machine = StoreStateMachine()
    load = Load(1, machine)
    taken: list[bytes] = []
    parts: Iterator[bytes] = iter(())
    for number in range(COMMANDS):
        command = load.draw()
        result = machine.apply(number, encode_message(command))
        query = load.query()
        version = load.random.randrange(machine.assignments.version + 1)
        changed = machine.assignments.changed_since(version)
        answer = machine.query(query)
        recording.note([command, query], [_results.decode(result), result, answer, changed])
        part = next(parts, None)
        if part is not None:
            taken.append(part)
            recording.note("snapshot", part)
        if number % SNAPSHOT_EVERY == 0:
            parts, taken = machine.snapshot_parts(), []
        if number % (5 * SNAPSHOT_EVERY) == 5 * SNAPSHOT_EVERY - 1:
            recording.note("restored", len(list(machine.restore_parts(taken))))
    for command in nested_programs(machine.assignments.epoch_of(Partition(0))):
        recording.note(command, machine.apply(COMMANDS, encode_message(command)))
    refused = machine.apply(COMMANDS, b"none")
    recording.note(b"none", [_results.decode(refused), refused])


class RecordedStoreTest(unittest.TestCase):
    def test_programs_under_way(self) -> None:
        recording = Recording("store", KINDS)
        recording.check(self, lambda: run(recording))
        recording.require_reached(self, *get_args(StoreCommand), *get_args(StoreQuery))
        recording.require_reached(self, *get_args(StoreResult), *REFUSALS)
        recording.require_reached(self, *ProgramState, *CallState, *CallKind)


if __name__ == "__main__":
    unittest.main()
