"""Commands, queries and results of the store group (program records).

Every command is idempotent by its identifiers: when it is sent again after a lost answer, it
returns the first result and changes nothing. Commands that write for a partition carry the
leader's epoch, and are refused if the recorded epoch is newer.
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
    """Kind of a call: a model's completion or a tool."""

    MODEL = "model"
    TOOL = "tool"


class ProgramState(enum.StrEnum):
    """State of a program record."""

    RUNNING = "running"
    ENDED = "ended"


class CallState(enum.StrEnum):
    """State of a call record: ``BEGUN`` once its intent is durable, ``FINISHED`` its outcome."""

    BEGUN = "begun"
    FINISHED = "finished"


class Turn(msgspec.Struct, frozen=True, gc=False):
    """One message of a program's history, in the chat-completions format.

    It refers to strings only, so the garbage collector need not track it.
    """

    role: str
    content: str
    name: str | None = None


class EngineHold(msgspec.Struct, frozen=True, gc=False):
    """An engine's reservation of memory for a program, valid for one incarnation."""

    engine_id: EngineId
    incarnation: int


class CallOutcome(msgspec.Struct, frozen=True, gc=False):
    """Outcome of a call.

    Attributes
    ----------
    verdict
        Whether the call ran.
    body
        The answer to the caller: generated text, or the tool's JSON answer.
    error_code
        Set if the caller was answered with an error.
    spent
        Amounts that the call used; at most its reservation.
    """

    verdict: Verdict
    body: str = ""
    error_code: ErrorCode | None = None
    error_message: str = ""
    spent: Amounts = Amounts()


class CallRecord(msgspec.Struct, frozen=True, gc=False):
    """The record of a call; ``outcome`` is set once ``state`` is ``FINISHED``.

    Stores have very many call records. They cannot be part of a reference cycle, so the
    garbage collector need not track them.
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
    """The record of a program.

    ``next_sequence`` is the sequence number, from 0, that the next call must have.
    ``budget_owner`` is the program whose budget is spent: for a sub-agent, its root program.
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
    """Records a new program; a sub-agent names its parent and spends the parent's budget.

    ``deadline_s`` is the maximum duration of the program, from its creation. A program that
    is not a sub-agent is refused if its tenant already has ``max_programs`` such programs
    running.
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
    """Records the intent of a call and reserves its budget, before the call is dispatched.

    ``sequence`` must equal the program's ``next_sequence``. ``turns`` are the caller's new
    messages, which are appended to the history at once. ``want_history`` requests the history
    in the result, ``turns`` included; a leader that has the history in memory does not
    request it.

    When it is sent again in the same epoch, it changes nothing. When a later leader sends it
    again for a repeatable call without an outcome, the call is about to run a second time:
    the earlier reservation is counted as spent and a new one is made. ``ended_backends``
    have ended while they ran the call; the highest number is kept, in any epoch.
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
    ended_backends: int = 0


class FinishCall(Message, frozen=True):
    """Records the outcome of a call, settles its reservation and appends its turns."""

    program_id: ProgramId
    partition: Partition
    epoch: Epoch
    call_id: CallId
    outcome: CallOutcome
    turns: tuple[Turn, ...] = ()
    hold: EngineHold | None = None


class EndProgram(Message, frozen=True):
    """Records the end of a program and of its sub-agents; their holds must be released.

    A call in flight may still record its outcome afterwards. New calls are refused.
    """

    program_id: ProgramId
    partition: Partition
    epoch: Epoch


class RecordHold(Message, frozen=True):
    """Records that an engine is about to hold memory for a program."""

    program_id: ProgramId
    partition: Partition
    epoch: Epoch
    hold: EngineHold


class RecordRelease(Message, frozen=True):
    """Records that an engine no longer holds memory for a program."""

    program_id: ProgramId
    partition: Partition
    epoch: Epoch
    hold: EngineHold


class RemoveEndedPrograms(Message, frozen=True):
    """Removes the records of ended programs whose retention time has passed."""

    program_ids: tuple[ProgramId, ...]


class PartitionAssignment(msgspec.Struct, frozen=True):
    """The node that leads a partition, and the epoch.

    The assignment applies only to the ``incarnation`` of the node's process: after a restart
    the process has another one and no longer leads the partition.
    """

    partition: Partition
    node_id: NodeId
    address: Address
    epoch: Epoch
    incarnation: int = 0


class AssignPartitions(Message, frozen=True):
    """Assigns partitions to nodes; each epoch must be the recorded one plus 1."""

    assignments: tuple[PartitionAssignment, ...]


class RecordConfiguration(Message, frozen=True):
    """Stores configuration from the control group for the nodes of this region.

    It is replicated so that the region can start nodes and change its store leader while the
    control group is unreachable. A delta that leaves a gap to the stored configuration
    changes nothing.
    """

    delta: ConfigurationDelta


class StoreDone(Message, frozen=True):
    """The command took effect, now or when it was first sent."""


class ProgramResult(Message, frozen=True):
    """The program's record, as created or as read."""

    record: ProgramRecord


class BeginCallResult(Message, frozen=True):
    """The call's record; ``already_recorded`` tells that the same call was begun before.

    ``ended_backends`` is the number of back ends that ended while they ran the call, or an equal
    one directly before it.
    """

    call: CallRecord
    already_recorded: bool
    history: tuple[Turn, ...] = ()
    ended_backends: int = 0


class EndProgramResult(Message, frozen=True):
    """The holds that engines still have for the ended program.

    ``ended_children`` are the sub-agents, at any depth, that this command ended as well. The
    leaders of their partitions release their holds.
    """

    holds: tuple[EngineHold, ...]
    ended_children: tuple[ProgramId, ...] = ()


class StoreRefusal(Message, frozen=True):
    """The command was refused and changed nothing."""

    code: ErrorCode
    message: str


class ReadProgram(Message, frozen=True):
    """Query for the record of one program; answered by ``ProgramResult``."""

    program_id: ProgramId


class ListPrograms(Message, frozen=True):
    """Query for the programs of a partition (``None``: all); answered by ``ProgramList``.

    ``unsettled_only`` selects the programs that a new leader must process: those with
    unfinished calls, and ended ones with holds.
    """

    partition: Partition | None = None
    unsettled_only: bool = False


class ProgramSummary(msgspec.Struct, frozen=True):
    """Summary of a program in a list."""

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
    """Query for the partition table; answered by ``Assignments``."""


class Assignments(Message, frozen=True):
    """The recorded partition table."""

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
