"""Commands, queries and results of the store group (program records).

Every command is idempotent by its identifiers: sent again after a lost answer it
returns the first result and changes nothing. Commands that write for a partition
carry the leader's epoch; an older epoch than the recorded one is refused.
"""

import enum

import msgspec

from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import (
    ApplicationId,
    CallId,
    EngineId,
    Epoch,
    NodeId,
    Partition,
    ProgramId,
    TenantId,
)
from passlane.messages.base import Message
from passlane.messages.common import Address, Amounts
from passlane.messages.control import ConfigurationDelta


class CallKind(enum.StrEnum):
    """What a call asks for."""

    MODEL = "model"
    TOOL = "tool"


class ProgramState(enum.StrEnum):
    """Life of a program record."""

    RUNNING = "running"
    ENDED = "ended"


class CallState(enum.StrEnum):
    """Life of a call record: its intent is durable, then its outcome."""

    BEGUN = "begun"
    FINISHED = "finished"


class Turn(msgspec.Struct, frozen=True, gc=False):
    """One message of a program's history, in the chat-completions sense.

    Holds strings only, so the garbage collector need not look at it.
    """

    role: str
    content: str
    name: str | None = None


class EngineHold(msgspec.Struct, frozen=True, gc=False):
    """Memory that an engine holds for a program, valid for one life of the engine."""

    engine_id: EngineId
    incarnation: int


class CallOutcome(msgspec.Struct, frozen=True, gc=False):
    """How a call ended.

    Attributes
    ----------
    verdict
        Whether it ran.
    body
        The answer given to the caller: generated text, or the tool's JSON answer.
    error_code
        Set when the caller was answered with an error.
    spent
        What the call used; never above its reservation.
    """

    verdict: Verdict
    body: str = ""
    error_code: ErrorCode | None = None
    error_message: str = ""
    spent: Amounts = Amounts()


class CallRecord(msgspec.Struct, frozen=True, gc=False):
    """A call as recorded; ``outcome`` is set once ``state`` is ``FINISHED``.

    Like all that a store keeps by the hundred thousand, it refers to nothing that could
    refer back to it, so the garbage collector need not look at it.
    """

    call_id: CallId
    sequence: int
    kind: CallKind
    target: str
    repeatable: bool
    request_digest: str
    reserved: Amounts
    epoch: Epoch
    state: CallState = CallState.BEGUN
    application_id: ApplicationId | None = None
    outcome: CallOutcome | None = None


class ProgramRecord(msgspec.Struct, frozen=True):
    """All that is recorded of a program.

    ``next_sequence`` is the sequence number that the next call must have (from 0).
    ``budget_owner`` is the program whose budget is spent: a sub-agent's root.
    """

    program_id: ProgramId
    tenant_id: TenantId
    partition: Partition
    budget_owner: ProgramId
    budget: Amounts
    reserved: Amounts = Amounts()
    spent: Amounts = Amounts()
    state: ProgramState = ProgramState.RUNNING
    parent_id: ProgramId | None = None
    next_sequence: int = 0
    turns: tuple[Turn, ...] = ()
    calls: tuple[CallRecord, ...] = ()
    holds: tuple[EngineHold, ...] = ()
    deadline_s: float | None = None


class CreateProgram(Message, frozen=True):
    """Record a new program; a sub-agent names its parent and spends its budget.

    ``deadline_s`` bounds the program's life in seconds from its creation. A program that
    is no sub-agent is refused while its tenant has ``max_programs`` of them under way.
    """

    program_id: ProgramId
    tenant_id: TenantId
    partition: Partition
    epoch: Epoch
    budget: Amounts
    parent_id: ProgramId | None = None
    deadline_s: float | None = None
    max_programs: int | None = None


class BeginCall(Message, frozen=True):
    """Record the intent of a call and reserve its budget, before anything is dispatched.

    ``sequence`` must equal the program's ``next_sequence``; ``turns`` are the caller's
    new messages, appended to the history at once. ``want_history`` asks for the history
    in the result, ``turns`` included; a leader that keeps it in memory does not ask.

    Sent again in the same epoch it changes nothing. Sent again by a later leader for a
    repeatable call that has no outcome, it counts the old reservation as spent and
    reserves anew, because the call is about to run a second time.
    """

    program_id: ProgramId
    partition: Partition
    epoch: Epoch
    call_id: CallId
    sequence: int
    kind: CallKind
    target: str
    repeatable: bool
    request_digest: str
    reserve: Amounts
    turns: tuple[Turn, ...] = ()
    application_id: ApplicationId | None = None
    want_history: bool = False


class FinishCall(Message, frozen=True):
    """Record the outcome of a call, settle its reservation and append its turns."""

    program_id: ProgramId
    partition: Partition
    epoch: Epoch
    call_id: CallId
    outcome: CallOutcome
    turns: tuple[Turn, ...] = ()
    hold: EngineHold | None = None


class EndProgram(Message, frozen=True):
    """Record the end of a program and of its sub-agents; their holds are to be released.

    A call in flight may still record its outcome afterwards; no new call may begin.
    """

    program_id: ProgramId
    partition: Partition
    epoch: Epoch


class RecordHold(Message, frozen=True):
    """Record that an engine is about to hold memory for a program."""

    program_id: ProgramId
    partition: Partition
    epoch: Epoch
    hold: EngineHold


class RecordRelease(Message, frozen=True):
    """Record that an engine no longer holds memory for a program."""

    program_id: ProgramId
    partition: Partition
    epoch: Epoch
    hold: EngineHold


class RemoveEndedPrograms(Message, frozen=True):
    """Remove the records of ended programs whose retention has passed."""

    program_ids: tuple[ProgramId, ...]


class PartitionAssignment(msgspec.Struct, frozen=True):
    """Which node leads a partition, in which epoch.

    ``incarnation`` is the life of the node's process that was meant: a restarted process
    does not lead what an earlier life led, for it has another incarnation.
    """

    partition: Partition
    node_id: NodeId
    address: Address
    epoch: Epoch
    incarnation: int = 0


class AssignPartitions(Message, frozen=True):
    """Give partitions to nodes; each epoch must be the recorded one plus one."""

    assignments: tuple[PartitionAssignment, ...]


class RecordConfiguration(Message, frozen=True):
    """Keep configuration fetched from the control group, for the nodes of this region.

    Replicated so that the region can start nodes and change its store leader while it
    is cut off from the control group. A delta that does not join on to what is held
    changes nothing.
    """

    delta: ConfigurationDelta


class StoreDone(Message, frozen=True):
    """The command took effect (now, or when it was first sent)."""


class ProgramResult(Message, frozen=True):
    """The program's record after a create, or as read."""

    record: ProgramRecord


class BeginCallResult(Message, frozen=True):
    """The call's record; ``already_recorded`` when the same call was begun before."""

    call: CallRecord
    already_recorded: bool
    history: tuple[Turn, ...] = ()


class EndProgramResult(Message, frozen=True):
    """What engines still hold for the ended program.

    ``ended_children`` are the sub-agents, at any depth, that ended with it just now; the
    leaders of their partitions release what they hold.
    """

    holds: tuple[EngineHold, ...]
    ended_children: tuple[ProgramId, ...] = ()


class StoreRefusal(Message, frozen=True):
    """The command was refused and changed nothing."""

    code: ErrorCode
    message: str


class ReadProgram(Message, frozen=True):
    """Query: the record of one program; answered by ``ProgramResult``."""

    program_id: ProgramId


class ListPrograms(Message, frozen=True):
    """Query: identifiers in a partition (or all); answered by ``ProgramList``.

    With ``unsettled_only`` just programs with unfinished calls or with holds left
    after their end, which a new leader must look after.
    """

    partition: Partition | None = None
    unsettled_only: bool = False


class ProgramSummary(msgspec.Struct, frozen=True):
    """A line about a program for lists."""

    program_id: ProgramId
    tenant_id: TenantId
    state: ProgramState
    partition: Partition
    calls: int
    spent: Amounts
    budget: Amounts


class ProgramList(Message, frozen=True):
    """Answer to ``ListPrograms``."""

    programs: tuple[ProgramSummary, ...]


class ReadAssignments(Message, frozen=True):
    """Query: the partition table; answered by ``Assignments``."""


class Assignments(Message, frozen=True):
    """The partition table as recorded."""

    assignments: tuple[PartitionAssignment, ...]


StoreCommand = (
    CreateProgram
    | BeginCall
    | FinishCall
    | EndProgram
    | RecordHold
    | RecordRelease
    | RemoveEndedPrograms
    | AssignPartitions
    | RecordConfiguration
)
StoreQuery = ReadProgram | ListPrograms | ReadAssignments
StoreResult = (
    StoreDone
    | ProgramResult
    | BeginCallResult
    | EndProgramResult
    | StoreRefusal
    | ProgramList
    | Assignments
)
