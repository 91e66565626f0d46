"""All programs, by identifier and by partition."""

from collections import Counter
from collections.abc import Iterator
from weakref import ReferenceType, ref

from passlane.errors import ErrorCode
from passlane.identifiers import Partition, ProgramId, TenantId
from passlane.messages.store import CreateProgram, ProgramState
from passlane.store.accounts import Account, AccountChain, require_not_negative
from passlane.store.program import StoredProgram
from passlane.store.refusal import CommandRefusedError
from passlane.store.snapshot_capture import SnapshotCapture

MAX_DEPTH = 16
"""Most levels of sub-agents below a root program."""


class ProgramTable:
    """Creates, finds, ends and removes programs.

    Iteration is in the order of creation, so that every replica gives the same answers.
    """

    def __init__(self) -> None:
        self._programs: dict[ProgramId, StoredProgram] = {}
        self._by_partition: dict[Partition, dict[ProgramId, StoredProgram]] = {}
        # Programs under way that are no sub-agents.
        self._open_roots: Counter[TenantId] = Counter()
        # Weak, so that a snapshot that is given up half-way ends by itself.
        self._capture: ReferenceType[SnapshotCapture] | None = None

    def __len__(self) -> int:
        return len(self._programs)

    def __iter__(self) -> Iterator[StoredProgram]:
        return iter(self._programs.values())

    def in_partition(self, partition: Partition) -> Iterator[StoredProgram]:
        """Return the programs of one partition, in the order of their creation."""
        return iter(self._by_partition.get(partition, {}).values())

    def start_capture(self) -> SnapshotCapture:
        """Return the programs as they are now, for a snapshot to take one by one.

        There is one at a time: an older capture is no longer told of changes.
        """
        capture = SnapshotCapture(self)
        self._capture = ref(capture)
        return capture

    def _note_change(self, program: StoredProgram) -> None:
        """Tell a snapshot under way that the program is about to change."""
        if self._capture is None:
            return
        capture = self._capture()
        if capture is None:
            self._capture = None
        else:
            capture.note_change(program)

    def find(self, program_id: ProgramId) -> StoredProgram | None:
        """Return the program, or ``None`` if there is no record of it."""
        return self._programs.get(program_id)

    def get(self, program_id: ProgramId, partition: Partition) -> StoredProgram:
        """Return the program of a command, which may change it.

        Raises
        ------
        CommandRefusedError
            ``UNKNOWN_PROGRAM``; ``BAD_REQUEST`` when it is of another partition, whose
            epoch the command has not shown.
        """
        program = self._programs.get(program_id)
        if program is None:
            raise CommandRefusedError(ErrorCode.UNKNOWN_PROGRAM, "there is no such program")
        if program.partition != partition:
            raise CommandRefusedError(
                ErrorCode.BAD_REQUEST, "the program belongs to another partition"
            )
        self._note_change(program)
        return program

    def add(self, program: StoredProgram) -> None:
        """Put a program into the table and under its parent."""
        self._programs[program.program_id] = program
        self._by_partition.setdefault(program.partition, {})[program.program_id] = program
        if program.parent_id is not None:
            self._programs[program.parent_id].children[program.program_id] = None
        elif not program.is_ended:
            self._open_roots[program.tenant_id] += 1

    def create(self, command: CreateProgram) -> StoredProgram:
        """Create the program, or return it if the same command created it before.

        Raises
        ------
        CommandRefusedError
            ``IDEMPOTENCY_MISMATCH`` when the identifier is taken by another program;
            ``LIMIT_EXCEEDED`` when the tenant has as many programs as it may;
            what ``_check_parent`` raises; ``BAD_REQUEST`` for a negative budget.
        """
        existing = self._programs.get(command.program_id)
        if existing is not None:
            _require_same_program(existing, command)
            return existing
        require_not_negative(command.budget)
        if command.parent_id is None:
            parent = None
            self._check_program_count(command)
        else:
            parent = self._check_parent(command)
        program = StoredProgram(
            program_id=command.program_id,
            tenant_id=command.tenant_id,
            partition=command.partition,
            budget=command.budget,
            budget_owner=command.program_id if parent is None else parent.budget_owner,
            parent_id=command.parent_id,
            depth=0 if parent is None else parent.depth + 1,
            deadline_s=command.deadline_s,
        )
        self.add(program)
        return program

    def _check_program_count(self, command: CreateProgram) -> None:
        limit = command.max_programs
        if limit is not None and self._open_roots[command.tenant_id] >= limit:
            raise CommandRefusedError(
                ErrorCode.LIMIT_EXCEEDED, f"the tenant has {limit} programs under way already"
            )

    def _check_parent(self, command: CreateProgram) -> StoredProgram:
        """Return the parent that a new sub-agent names, if it may have sub-agents."""
        assert command.parent_id is not None
        parent = self._programs.get(command.parent_id)
        if parent is None or parent.tenant_id != command.tenant_id:
            raise CommandRefusedError(ErrorCode.UNKNOWN_PROGRAM, "there is no such parent program")
        if parent.is_ended:
            raise CommandRefusedError(ErrorCode.PROGRAM_ENDED, "the parent program has ended")
        if parent.depth >= MAX_DEPTH:
            raise CommandRefusedError(
                ErrorCode.LIMIT_EXCEEDED, f"sub-agents may be {MAX_DEPTH} levels deep"
            )
        return parent

    def accounts_of(self, program: StoredProgram) -> AccountChain:
        """Return the accounts that the program spends from, for a change."""
        accounts: list[Account] = []
        current: StoredProgram | None = program
        while current is not None:
            self._note_change(current)
            accounts.append(current.account)
            parent_id = current.parent_id
            current = None if parent_id is None else self._programs.get(parent_id)
        return AccountChain(tuple(accounts))

    def end(self, program: StoredProgram) -> tuple[ProgramId, ...]:
        """End the program and its sub-agents; return the sub-agents that ended now."""
        self._note_change(program)
        if program.parent_id is None and not program.is_ended:
            self._forget_open_root(program.tenant_id)
        program.state = ProgramState.ENDED
        ended: list[ProgramId] = []
        remaining = list(program.children)
        while remaining:
            child = self._programs[remaining.pop()]
            if not child.is_ended:
                self._note_change(child)
                child.state = ProgramState.ENDED
                ended.append(child.program_id)
            remaining.extend(child.children)
        return tuple(ended)

    def _forget_open_root(self, tenant_id: TenantId) -> None:
        """Count one program less, and keep no zero: tenants come and go."""
        self._open_roots[tenant_id] -= 1
        if not self._open_roots[tenant_id]:
            del self._open_roots[tenant_id]

    def remove(self, program_id: ProgramId) -> bool:
        """Remove an ended program; return whether its record is gone.

        One that still has an open call, holds or sub-agents stays: they need its record.
        """
        program = self._programs.get(program_id)
        if program is None:
            return True
        if not program.is_ended or not program.is_settled or program.children:
            return False
        del self._programs[program_id]
        del self._by_partition[program.partition][program_id]
        if program.parent_id is not None:
            self._programs[program.parent_id].children.pop(program_id, None)
        return True


def _require_same_program(existing: StoredProgram, command: CreateProgram) -> None:
    same = (
        existing.tenant_id == command.tenant_id
        and existing.partition == command.partition
        and existing.budget == command.budget
        and existing.parent_id == command.parent_id
        and existing.deadline_s == command.deadline_s
    )
    if not same:
        raise CommandRefusedError(
            ErrorCode.IDEMPOTENCY_MISMATCH, "the identifier belongs to another program"
        )
