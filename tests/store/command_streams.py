"""Seeded random streams of store commands, with a model of the expected state.

Also helpers that build single commands.
"""

import random
from dataclasses import dataclass, field

from passlane.errors import Verdict
from passlane.identifiers import CallId, EngineId, Epoch, NodeId, Partition, ProgramId, TenantId
from passlane.messages.common import Address, Amounts
from passlane.messages.store import (
    AssignPartitions,
    BeginCall,
    BeginCallResult,
    CallKind,
    CallOutcome,
    CallState,
    CreateProgram,
    EndProgram,
    EngineHold,
    FinishCall,
    PartitionAssignment,
    RecordHold,
    RecordRelease,
    RemoveEndedPrograms,
    StoreCommand,
    StoreDone,
    Turn,
)
from passlane.store.machine import StoreStateMachine

PARTITIONS = 3
BUDGET = Amounts(tokens=400, calls=12, money_micros=50)
ADDRESS = Address("127.0.0.1", 1)
TENANT = TenantId("tenant")


def snapshot_of(machine: StoreStateMachine) -> list[bytes]:
    """Return all parts of a snapshot, with no commands applied between them."""
    return list(machine.snapshot_parts())


def restore(machine: StoreStateMachine, parts: list[bytes]) -> None:
    for _ in machine.restore_parts(parts):
        pass


def assign(partition: int, epoch: int, node: str = "n1") -> AssignPartitions:
    assignment = PartitionAssignment(
        partition=Partition(partition), node_id=NodeId(node), address=ADDRESS, epoch=Epoch(epoch)
    )
    return AssignPartitions(assignments=(assignment,))


def create(program: str, partition: int = 0, epoch: int = 1, **fields: object) -> CreateProgram:
    values: dict[str, object] = {"tenant_id": TENANT, "budget": BUDGET, **fields}
    return CreateProgram(
        program_id=ProgramId(program),
        partition=Partition(partition),
        epoch=Epoch(epoch),
        **values,  # type: ignore[arg-type]
    )


def begin(
    program: str, sequence: int, partition: int = 0, epoch: int = 1, **fields: object
) -> BeginCall:
    values: dict[str, object] = {
        "call_id": CallId(f"{program}/{sequence}"),
        "kind": CallKind.MODEL,
        "target": "m",
        "repeatable": True,
        "request_digest": f"digest {sequence}",
        "reserve": Amounts(tokens=10, calls=1),
        "turns": (Turn(role="user", content=f"{program} asks {sequence}"),),
        **fields,
    }
    return BeginCall(
        program_id=ProgramId(program),
        partition=Partition(partition),
        epoch=Epoch(epoch),
        sequence=sequence,
        **values,  # type: ignore[arg-type]
    )


def finish(
    program: str,
    sequence: int,
    partition: int = 0,
    epoch: int = 1,
    spent: Amounts = Amounts(tokens=5, calls=1),  # noqa: B008 - immutable
) -> FinishCall:
    text = f"{program} is told {sequence}"
    return FinishCall(
        program_id=ProgramId(program),
        partition=Partition(partition),
        epoch=Epoch(epoch),
        call_id=CallId(f"{program}/{sequence}"),
        outcome=CallOutcome(verdict=Verdict.RAN, body=text, spent=spent),
        turns=(Turn(role="assistant", content=text),),
    )


@dataclass
class Stream:
    """Draws commands of leaders with current, stale and unassigned epochs.

    ``max_spent`` is the maximum cost, by root program, of the runs that the machine
    allowed; ``histories`` contains the turns that it confirmed.
    """

    machine: StoreStateMachine
    random: random.Random
    epochs: list[int] = field(default_factory=lambda: [0] * PARTITIONS)
    programs: list[str] = field(default_factory=list)
    parents: dict[str, str] = field(default_factory=dict)
    partition: dict[str, int] = field(default_factory=dict)
    max_spent: dict[str, Amounts] = field(default_factory=dict)
    running: dict[tuple[str, int], Amounts] = field(default_factory=dict)
    runs: set[tuple[str, int, int]] = field(default_factory=set)
    histories: dict[str, list[Turn]] = field(default_factory=dict)
    sent: list[StoreCommand] = field(default_factory=list)

    def root(self, program: str) -> str:
        while program in self.parents:
            program = self.parents[program]
        return program

    def draw(self) -> StoreCommand:
        if self.sent and self.random.random() < 0.15:
            return self.random.choice(self.sent)
        command = self._draw_new()
        self.sent.append(command)
        return command

    def _draw_new(self) -> StoreCommand:
        kind = self.random.random()
        if kind < 0.05 or 0 in self.epochs:
            number = self.random.randrange(PARTITIONS)
            return assign(number, self.epochs[number] + 1, f"n{self.random.randrange(3)}")
        if kind < 0.09 or not self.programs:
            return self._draw_create()
        program = self.random.choice(self.programs)
        number = self.partition[program]
        epoch = self._draw_epoch(number)
        found = self.machine.programs.find(ProgramId(program))
        next_sequence = found.next_sequence if found else 0
        sequence = max(0, next_sequence - self.random.choice((0, 0, 0, 1)))
        hold = EngineHold(EngineId(f"e{self.random.randrange(3)}"), self.random.randrange(3))
        names = (ProgramId(program), Partition(number), Epoch(epoch))
        if kind < 0.45:
            reserve = Amounts(tokens=self.random.randrange(20, 60), calls=1, money_micros=sequence)
            return begin(program, sequence, number, epoch, reserve=reserve)
        if kind < 0.85:
            spent = Amounts(tokens=self.random.randrange(25), calls=1)
            return finish(program, max(0, next_sequence - 1), number, epoch, spent)
        if kind < 0.90:
            return RecordHold(*names, hold)
        if kind < 0.95:
            return RecordRelease(*names, hold)
        if kind < 0.96:
            return EndProgram(*names)
        return RemoveEndedPrograms(program_ids=(ProgramId(program),))

    def _draw_epoch(self, number: int) -> int:
        return self.epochs[number] + self.random.choice((0, 0, 0, 0, -1, 1))

    def _draw_create(self) -> StoreCommand:
        program = f"p{len(self.programs)}"
        number = self.random.randrange(PARTITIONS)
        parent = self.random.choice(self.programs) if len(self.programs) % 3 == 2 else None
        self.programs.append(program)
        self.partition[program] = number
        if parent is not None:
            self.parents[program] = parent
        budget = Amounts() if parent and self.random.random() < 0.5 else BUDGET
        epoch = self._draw_epoch(number)
        return create(program, number, epoch, parent_id=parent, budget=budget)

    def record_result(self, command: StoreCommand, result: object) -> None:
        """Update the expected state from the result of a command."""
        match command, result:
            case AssignPartitions(), StoreDone():
                for assignment in command.assignments:
                    number = assignment.partition
                    self.epochs[number] = max(self.epochs[number], assignment.epoch)
            case BeginCall(), BeginCallResult():
                self._record_begun(command, result)
            case FinishCall(), StoreDone():
                self._record_finished(command)

    def _record_begun(self, command: BeginCall, result: BeginCallResult) -> None:
        key = (command.program_id, command.sequence)
        if result.call.state is CallState.FINISHED or (*key, command.epoch) in self.runs:
            return
        if result.call.epoch != command.epoch:
            return
        self.runs.add((*key, command.epoch))
        if not result.already_recorded:
            self.histories.setdefault(command.program_id, []).extend(command.turns)
        earlier = self.running.get(key)
        if earlier is not None:
            self._add_spent(command.program_id, earlier)
        self.running[key] = command.reserve

    def _record_finished(self, command: FinishCall) -> None:
        sequence = int(command.call_id.rpartition("/")[2])
        if self.running.pop((command.program_id, sequence), None) is None:
            return
        self._add_spent(command.program_id, command.outcome.spent)
        self.histories[command.program_id].extend(command.turns)

    def _add_spent(self, program: str, amounts: Amounts) -> None:
        root = self.root(program)
        self.max_spent[root] = self.max_spent.get(root, Amounts()).plus(amounts)
