"""The stored state of one program.

Mutable, so that commands apply without copying the program's history.
"""

from passlane.identifiers import CallId, EngineId, Partition, ProgramId, TenantId
from passlane.messages.common import Amounts
from passlane.messages.store import (
    CallRecord,
    EngineHold,
    ProgramRecord,
    ProgramState,
    ProgramSummary,
    Turn,
)
from passlane.store.accounts import Account


class StoredProgram:
    """A program's history, calls, account and engine holds.

    Attributes
    ----------
    calls
        Call records by id, in the order in which the calls began.
    open_call
        The call that has begun and has no outcome yet, if any.
    holds
        Incarnation of each engine that holds memory for the program, by engine.
    children
        Sub-agents whose records exist, in the order of their creation.
    ended_backends
        Back ends that ended while they ran the newest call, or equal ones directly before it.
    """

    __slots__ = (
        "account",
        "budget",
        "budget_owner",
        "calls",
        "children",
        "deadline_s",
        "depth",
        "ended_backends",
        "holds",
        "next_sequence",
        "open_call",
        "parent_id",
        "partition",
        "program_id",
        "state",
        "tenant_id",
        "turns",
    )

    def __init__(
        self,
        *,
        program_id: ProgramId,
        tenant_id: TenantId,
        partition: Partition,
        budget: Amounts,
        budget_owner: ProgramId,
        parent_id: ProgramId | None,
        depth: int,
        deadline_s: float | None,
    ) -> None:
        self.program_id = program_id
        self.tenant_id = tenant_id
        self.partition = partition
        self.budget = budget
        self.budget_owner = budget_owner
        self.parent_id = parent_id
        self.depth = depth
        self.deadline_s = deadline_s
        is_unlimited_child = parent_id is not None and budget == Amounts()
        self.account = Account(None if is_unlimited_child else budget)
        self.state = ProgramState.RUNNING
        self.next_sequence = 0
        self.turns: list[Turn] = []
        self.calls: dict[CallId, CallRecord] = {}
        self.open_call: CallId | None = None
        self.holds: dict[EngineId, int] = {}
        self.children: dict[ProgramId, None] = {}
        self.ended_backends = 0

    @property
    def is_ended(self) -> bool:
        """Whether the program has ended."""
        return self.state is ProgramState.ENDED

    @property
    def is_settled(self) -> bool:
        """Whether no call is open and, if the program has ended, no engine holds memory for it."""
        return self.open_call is None and not (self.is_ended and self.holds)

    def record_hold(self, hold: EngineHold) -> None:
        """Record that an engine holds memory; a newer incarnation replaces an older one."""
        if self.holds.get(hold.engine_id, -1) < hold.incarnation:
            self.holds[hold.engine_id] = hold.incarnation

    def record_release(self, hold: EngineHold) -> None:
        """Remove the hold of the engine in the incarnation of ``hold`` or an older one."""
        incarnation = self.holds.get(hold.engine_id)
        if incarnation is not None and incarnation <= hold.incarnation:
            del self.holds[hold.engine_id]

    def engine_holds(self) -> tuple[EngineHold, ...]:
        """Return the engines that hold memory for the program, with their incarnations."""
        return tuple(
            EngineHold(engine_id=engine_id, incarnation=incarnation)
            for engine_id, incarnation in self.holds.items()
        )

    def to_record(self) -> ProgramRecord:
        """Return the whole record; takes time proportional to the number of turns and calls."""
        return ProgramRecord(
            program_id=self.program_id,
            tenant_id=self.tenant_id,
            partition=self.partition,
            budget_owner=self.budget_owner,
            budget=self.budget,
            reserved=self.account.reserved,
            spent=self.account.spent,
            state=self.state,
            parent_id=self.parent_id,
            next_sequence=self.next_sequence,
            turns=tuple(self.turns),
            calls=tuple(self.calls.values()),
            holds=self.engine_holds(),
            deadline_s=self.deadline_s,
        )

    def to_summary(self) -> ProgramSummary:
        """Return the summary of the program for lists."""
        return ProgramSummary(
            program_id=self.program_id,
            tenant_id=self.tenant_id,
            state=self.state,
            partition=self.partition,
            calls=len(self.calls),
            spent=self.account.spent,
            budget=self.budget,
        )
