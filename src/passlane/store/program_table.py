"""All programs, by identifier and by partition.

Part of the replicated state of the store group. Also counts the running root programs of
each tenant, and notifies a running snapshot before a program changes.
"""

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
"""Maximum number of levels of sub-agents below a root program."""


class ProgramTable:
    """Creates, finds, ends and removes programs.

    Iteration is in the order of creation, so that all replicas return the same results.
    """

    def __init__(self) -> None:
        self._programs: dict[ProgramId, StoredProgram] = {}
        self._by_partition: dict[Partition, dict[ProgramId, StoredProgram]] = {}
        # Number of running programs that are not sub-agents.
        self._running_roots: Counter[TenantId] = Counter()
        # A weak reference, so that an abandoned snapshot is garbage-collected.
        self._capture: ReferenceType[SnapshotCapture] | None = None

    def __len__(self) -> int:
        return len(self._programs)

    def __iter__(self) -> Iterator[StoredProgram]:
        return iter(self._programs.values())

    def in_partition(self, partition: Partition) -> Iterator[StoredProgram]:
        """Return the programs of one partition, in the order of their creation."""
        return iter(self._by_partition.get(partition, {}).values())

    def start_capture(self) -> SnapshotCapture:
        """Return a capture of the current programs, which a snapshot encodes one by one.

        Only the newest capture is notified of changes.
        """
        capture = SnapshotCapture(self)
        self._capture = ref(capture)
        return capture

    def _notify_capture(self, program: StoredProgram) -> None:
        """Notify a running snapshot that the program is about to change."""
        if self._capture is None:
            return
        capture = self._capture()
        if capture is None:
            self._capture = None
        else:
            capture.capture_before_change(program)

    def find(self, program_id: ProgramId) -> StoredProgram | None:
        """Return the program, or ``None`` if there is no record of it."""
        return self._programs.get(program_id)

    def get(self, program_id: ProgramId, partition: Partition) -> StoredProgram:
        """Return the program of a command that may change it.

        Raises
        ------
        CommandRefusedError
            ``UNKNOWN_PROGRAM``; ``BAD_REQUEST`` when the program belongs to a partition
            other than the one whose epoch was checked.
        """
        program = self._programs.get(program_id)
        if program is None:
            raise CommandRefusedError(ErrorCode.UNKNOWN_PROGRAM, "there is no such program")
        if program.partition != partition:
            raise CommandRefusedError(
                ErrorCode.BAD_REQUEST, "the program belongs to another partition"
            )
        self._notify_capture(program)
        return program

    def add(self, program: StoredProgram) -> None:
        """Add a program to the table and to the children of its parent."""
        self._programs[program.program_id] = program
        self._by_partition.setdefault(program.partition, {})[program.program_id] = program
        if program.parent_id is not None:
            self._programs[program.parent_id].children[program.program_id] = None
        elif not program.is_ended:
            self._running_roots[program.tenant_id] += 1

    def create(self, command: CreateProgram) -> StoredProgram:
        """Create the program, or return it if the same command created it before.

        Raises
        ------
        CommandRefusedError
            ``IDEMPOTENCY_MISMATCH`` when another program has the identifier;
            ``LIMIT_EXCEEDED`` when the tenant has the maximum number of running programs;
            the errors of ``_check_parent``; ``BAD_REQUEST`` for a negative budget.
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
        if limit is not None and self._running_roots[command.tenant_id] >= limit:
            raise CommandRefusedError(
                ErrorCode.LIMIT_EXCEEDED, f"the tenant has {limit} programs under way already"
            )

    def _check_parent(self, command: CreateProgram) -> StoredProgram:
        """Return the parent of a new sub-agent after checking that it may have sub-agents."""
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
        """Return the accounts charged for the program, which the caller may change."""
        accounts: list[Account] = []
        current: StoredProgram | None = program
        while current is not None:
            self._notify_capture(current)
            accounts.append(current.account)
            parent_id = current.parent_id
            current = None if parent_id is None else self._programs.get(parent_id)
        return AccountChain(tuple(accounts))

    def end(self, program: StoredProgram) -> tuple[ProgramId, ...]:
        """End the program and its sub-agents; return the sub-agents that this call ended."""
        self._notify_capture(program)
        if program.parent_id is None and not program.is_ended:
            self._decrement_running_roots(program.tenant_id)
        program.state = ProgramState.ENDED
        ended: list[ProgramId] = []
        remaining = list(program.children)
        while remaining:
            child = self._programs[remaining.pop()]
            if not child.is_ended:
                self._notify_capture(child)
                child.state = ProgramState.ENDED
                ended.append(child.program_id)
            remaining.extend(child.children)
        return tuple(ended)

    def _decrement_running_roots(self, tenant_id: TenantId) -> None:
        """Decrement the count of a tenant; remove it at zero, to bound the table."""
        self._running_roots[tenant_id] -= 1
        if not self._running_roots[tenant_id]:
            del self._running_roots[tenant_id]

    def remove(self, program_id: ProgramId) -> bool:
        """Remove an ended program; return whether the table no longer has its record.

        A program with an open call, holds or sub-agents is kept, because these need its
        record.
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
    is_same_program = (
        existing.tenant_id == command.tenant_id
        and existing.partition == command.partition
        and existing.budget == command.budget
        and existing.parent_id == command.parent_id
        and existing.deadline_s == command.deadline_s
    )
    if not is_same_program:
        raise CommandRefusedError(
            ErrorCode.IDEMPOTENCY_MISMATCH, "the identifier belongs to another program"
        )
