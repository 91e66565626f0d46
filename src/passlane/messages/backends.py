"""JSON bodies of the protocols that engines, applications and the platform speak.

Engines use the chat-completions format with the extra fields described here.
Applications use a small JSON protocol over HTTP.
"""

import enum

import msgspec

from passlane.identifiers import EngineId, ProgramId
from passlane.messages.number_bounds import ComparedNumber, Count, FiniteNumber
from passlane.messages.store import Turn


class EngineChatRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """``POST /v1/chat/completions`` at an engine; always streamed.

    Attributes
    ----------
    attempt_id
        Identifies this attempt, also for ``POST /v1/cancel``.
    program_id
        Program whose prefix the engine caches.
    epoch
        Fencing token of the program's leader.
    priority
        A lower value is more urgent.
    resume_from, resume_text
        Number of tokens already received of this answer, and their text.
    resume_version
        Software version of the engine that generated them; an engine of another version must
        refuse with status 412. Empty if that engine told none.
    """

    model: str
    messages: tuple[Turn, ...]
    max_tokens: int
    attempt_id: str
    program_id: ProgramId
    epoch: int
    priority: int = 0
    seed: int = 0
    resume_from: int = 0
    resume_text: str = ""
    resume_version: str = ""
    stream: bool = True


class EngineChunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """One server-sent event: a token, or with ``finish_reason`` the end and the usage.

    ``software_version`` is that of the engine, not of the model's weights; empty if the engine
    tells none.
    """

    attempt_id: str
    position: Count = 0
    text: str = ""
    finish_reason: str | None = None
    prompt_tokens: Count = 0
    cached_tokens: Count = 0
    generated_tokens: Count = 0
    incarnation: ComparedNumber = 0
    software_version: str = ""


class EngineCancel(msgspec.Struct, frozen=True):
    """``POST /v1/cancel``: stops an attempt and frees its batch slot."""

    attempt_id: str


class EngineLoad(msgspec.Struct, frozen=True):
    """``GET /v1/load``: the engine's load as of ``age_s`` seconds ago.

    ``last_cache_event`` is the number of the newest published cache event, ``None`` if the
    engine does not report it. A reader that has this event need not request further ones.
    """

    engine_id: EngineId
    incarnation: ComparedNumber
    running: Count
    waiting: Count
    cached_tokens: Count
    held_programs: Count
    models: tuple[str, ...]
    age_s: FiniteNumber = 0.0
    last_cache_event: ComparedNumber | None = None


class CacheEventKind(enum.StrEnum):
    """What happened to a program's prefix in an engine's cache."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True):
    """One cache event.

    ``number`` increases by 1 within an incarnation; a gap means that events were lost.
    """

    number: ComparedNumber
    kind: CacheEventKind
    program_id: ProgramId
    tokens: Count


class CacheEvents(msgspec.Struct, frozen=True):
    """``GET /v1/cache/events?after=N``: the published events with numbers above N."""

    incarnation: ComparedNumber
    events: tuple[CacheEvent, ...]


class CacheEntry(msgspec.Struct, frozen=True):
    """Number of tokens of a program's prefix in an engine's cache."""

    program_id: ProgramId
    tokens: Count


class CacheSnapshot(msgspec.Struct, frozen=True):
    """``GET /v1/cache``: the whole cache by program, as of event ``number``."""

    incarnation: ComparedNumber
    number: ComparedNumber
    entries: tuple[CacheEntry, ...]


class OrderKind(enum.StrEnum):
    """Kinds of orders to engines; each order carries a fencing token."""

    RELEASE_PROGRAM = "release_program"
    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    CHANGE_ROLE = "change_role"
    EXPORT_CACHE = "export_cache"
    IMPORT_CACHE = "import_cache"


class EngineOrder(msgspec.Struct, frozen=True, omit_defaults=True):
    """``POST /v1/orders``: an order with its fencing token.

    The engine keeps the maximum token of each ``scope`` (for example ``program:ID``,
    ``engine``) and refuses an order with a lower one with status 409. ``argument`` is a
    model, a role, or the address to import from.
    """

    kind: OrderKind
    scope: str
    fencing_token: int
    program_id: ProgramId | None = None
    argument: str = ""


class OrderReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to an order; ``highest_token`` is the maximum token received for its scope."""

    done: bool
    incarnation: ComparedNumber
    highest_token: ComparedNumber
    message: str = ""


class ToolRequest(msgspec.Struct, frozen=True):
    """``POST /v1/tools/{tool}`` at an application, with header ``Idempotency-Key``.

    ``operation_id`` equals the idempotency key. It is the call's id and is the same for
    each attempt.
    """

    operation_id: str
    attempt_id: str
    arguments: str


class OperationState(enum.StrEnum):
    """State of an operation at an application (``GET /v1/operations/{id}``)."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"
    REJECTED = "rejected"


class ToolReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to a tool request or to a status query.

    ``UNKNOWN`` proves that the operation has not run: an application answers so only after
    it has made sure that a later request for the same operation is refused.
    """

    operation_id: str
    state: OperationState
    result: str = ""


class LedgerLine(msgspec.Struct, frozen=True):
    """One line of ``GET /v1/ledger``, which has a line for each run of an operation."""

    operation_id: str
    tool: str
    arguments: str


class PlatformMachine(msgspec.Struct, frozen=True):
    """One machine of the platform's list (``GET /v1/machines``), which may be stale."""

    name: str
    state: str
    leaves_in_s: float | None = None


class PlatformList(msgspec.Struct, frozen=True):
    """The platform's list of machines, ``age_s`` seconds old.

    The ``state`` of a machine is ``live`` or ``leaving``.
    """

    machines: tuple[PlatformMachine, ...]
    age_s: float = 0.0
