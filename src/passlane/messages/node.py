"""Messages between nodes: requests forwarded to a program's leader, events and notices."""

import enum

from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import Epoch, NodeId, Partition, ProgramId, TenantId
from passlane.messages.base import Message
from passlane.messages.common import Amounts
from passlane.messages.store import CallKind, Turn


class CallRequest(Message, frozen=True):
    """A call as a caller requested it; forwarded to the leader of its program.

    Attributes
    ----------
    sequence
        Number of the call in its program, from 0; ``None`` if the caller did not give it.
    idempotency_key
        The caller's key for this call; a repeat gets the recorded outcome.
    turns
        New messages of a model call, without the history that passlane stores.
    arguments
        JSON arguments of a tool call.
    timeout_s
        Maximum time that the caller waits, from now.
    resume_from, resume_text
        Number of tokens of this answer that the caller has received, and their text; set
        when the request is sent again after its leader was lost.
    resume_version
        Software version of the engine that generated them; empty if unknown.
    is_named
        Whether the caller identified the call by a key or a sequence number, so that it can
        request the outcome again. Any other call is cancelled when its caller disconnects.
    is_resent
        Whether the request is sent again after an earlier attempt that may have run.
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
    resume_version: str = ""
    is_named: bool = False
    is_resent: bool = False


class CreateProgramRequest(Message, frozen=True):
    """A caller's request to start a program; answered by ``store.ProgramResult``.

    An empty ``budget`` selects the tenant's default, or for a sub-agent its parent's budget.
    """

    request_id: str
    tenant_id: TenantId
    program_id: ProgramId
    budget: Amounts
    parent_id: ProgramId | None = None
    deadline_s: float | None = None


class EndProgramRequest(Message, frozen=True):
    """A caller's request to end a program; answered by ``store.StoreDone``."""

    request_id: str
    tenant_id: TenantId
    program_id: ProgramId


class ReadProgramRequest(Message, frozen=True):
    """A caller's request to read a program; answered by ``store.ProgramResult``."""

    request_id: str
    tenant_id: TenantId
    program_id: ProgramId


class TextChunk(Message, frozen=True):
    """Part of a generated answer: ``tokens`` tokens, the first of them at ``position``.

    Positions count from 0. ``software_version`` is that of the answer's engines; empty if unknown.
    """

    position: int
    text: str
    tokens: int = 1
    software_version: str = ""


class CallAnswered(Message, frozen=True):
    """Last event of a call that has an outcome; the outcome is already durable."""

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
    """Stage of the handover of a partition to its next leader."""

    BEGUN = "begun"
    RELEASED = "released"
    CANCELLED = "cancelled"


class HandoverNotice(Message, frozen=True):
    """Sent by the leader of a partition to the next leader, with the stage of the handover.

    The next leader starts to lead only when the partition table names it, so a lost notice
    only makes calls wait longer. ``epoch`` is that of the current leader.
    """

    partition: Partition
    epoch: Epoch
    stage: HandoverStage


class ProgramEndedNotice(Message, frozen=True):
    """Tells the leader of a sub-agent's partition that the sub-agent ended with its parent."""

    program_id: ProgramId


class ExplainProgram(Message, frozen=True):
    """Query for the reason why a program's last call ran where and when it did."""

    program_id: ProgramId


class ProgramExplanation(Message, frozen=True):
    """Answer to ``ExplainProgram``.

    ``placement`` is the scheduler's reason for the last model call, empty if this leader has
    run none. ``policy`` names the policy that applies to the program and its decisions.
    """

    program_id: ProgramId
    leader: NodeId
    placement: str
    policy: str
