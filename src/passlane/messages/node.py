"""Messages between nodes: a call forwarded to its program's leader, and its events."""

import enum

from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import Epoch, NodeId, Partition, ProgramId, TenantId
from passlane.messages.base import Message
from passlane.messages.common import Amounts
from passlane.messages.store import CallKind, Turn


class CallRequest(Message, frozen=True):
    """A call as a caller asked for it; forwarded to the leader of its program.

    Attributes
    ----------
    sequence
        The caller's own count of the program's calls from 0; ``None`` when not given.
    idempotency_key
        The caller's name for this call; a repeat gets the recorded outcome.
    turns
        New messages of a model call, without the history that passlane keeps.
    arguments
        JSON arguments of a tool call.
    timeout_s
        Seconds the caller is ready to wait from now.
    resume_from, resume_text
        Tokens the caller already has of this answer and their text; set when the
        request is sent again after its leader was lost.
    is_named
        Whether the caller itself named the call (by key or sequence) and so can ask for
        its outcome again; a call that nobody can ask for is cancelled with its caller.
    is_resent
        Whether a node sends the request again after an earlier sending may have run it.
    """

    request_id: str
    tenant_id: TenantId
    program_id: ProgramId
    kind: CallKind
    target: str
    turns: tuple[Turn, ...] = ()
    arguments: str = ""
    max_tokens: int = 256
    sequence: int | None = None
    idempotency_key: str | None = None
    timeout_s: float = 60.0
    resume_from: int = 0
    resume_text: str = ""
    is_named: bool = False
    is_resent: bool = False


class CreateProgramRequest(Message, frozen=True):
    """A caller's wish to start a program; answered by ``store.ProgramResult``.

    An empty ``budget`` leaves it open: the tenant's default, or for a sub-agent its parent's.
    """

    request_id: str
    tenant_id: TenantId
    program_id: ProgramId
    budget: Amounts
    parent_id: ProgramId | None = None
    deadline_s: float | None = None


class EndProgramRequest(Message, frozen=True):
    """A caller's wish to end a program; answered by ``store.StoreDone``."""

    request_id: str
    tenant_id: TenantId
    program_id: ProgramId


class ReadProgramRequest(Message, frozen=True):
    """A caller's wish to see a program; answered by ``store.ProgramResult``."""

    request_id: str
    tenant_id: TenantId
    program_id: ProgramId


class TextChunk(Message, frozen=True):
    """Part of a generated answer: ``tokens`` tokens, the first at ``position`` from 0."""

    position: int
    text: str
    tokens: int = 1


class CallAnswered(Message, frozen=True):
    """Last event of a call that has an outcome, which is durable by then."""

    sequence: int
    verdict: Verdict
    body: str
    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    attempts: int = 1


class CallRefused(Message, frozen=True):
    """Last event of a call that failed or was refused."""

    code: ErrorCode
    message: str
    verdict: Verdict
    retry_after_s: float | None = None


CallEvent = TextChunk | CallAnswered | CallRefused


class HandoverStage(enum.StrEnum):
    """How far a partition is on its way to its next leader."""

    BEGUN = "begun"
    RELEASED = "released"
    CANCELLED = "cancelled"


class HandoverNotice(Message, frozen=True):
    """The leader of a partition tells the next one how far the handover is.

    Nothing depends on its arrival but the time that calls have to wait: the next leader
    leads only once the partition table says so. ``epoch`` is the old leader's.
    """

    partition: Partition
    epoch: Epoch
    stage: HandoverStage


class ProgramEndedNotice(Message, frozen=True):
    """Tells the leader of a sub-agent's partition that it ended with its parent."""

    program_id: ProgramId


class ExplainProgram(Message, frozen=True):
    """An operator's question why a program's last call ran where and when it did."""

    program_id: ProgramId


class ProgramExplanation(Message, frozen=True):
    """Answer to ``ExplainProgram``.

    ``placement`` is the scheduler's reason for the last model call, empty if there was none
    at this leader; ``policy`` says which policy governs the program and what it decides.
    """

    program_id: ProgramId
    leader: NodeId
    placement: str
    policy: str
