"""JSON bodies of the back ends' published protocols (see docs/design/backend-protocols.md).

Engines speak the well-known chat-completions format with extra fields that are
described here; applications speak a small JSON protocol over HTTP.
"""

import enum

import msgspec

from passlane.identifiers import EngineId, ProgramId
from passlane.messages.store import Turn


class EngineChatRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """``POST /v1/chat/completions`` at an engine; always streamed.

    ``attempt_id`` names this try, also for ``POST /v1/cancel``; ``priority`` is lower for
    more urgent; ``resume_from`` is the number of tokens already received of an answer
    whose text so far is ``resume_text``; ``program_id`` keys held cache memory.
    ``epoch`` is the fencing token of the program's leader.
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
    stream: bool = True


class EngineChunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """One server-sent event: a token, or with ``finish_reason`` the end and its usage."""

    attempt_id: str
    position: int = 0
    text: str = ""
    finish_reason: str | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    incarnation: int = 0


class EngineCancel(msgspec.Struct, frozen=True):
    """``POST /v1/cancel``: stop an attempt and free its batch slot."""

    attempt_id: str


class EngineLoad(msgspec.Struct, frozen=True):
    """``GET /v1/load``: load as it was a while ago (``age_s`` seconds).

    ``last_cache_event`` is the number of the newest published cache event, which spares
    readers a request when there is none they lack; ``None`` if the engine does not say.
    """

    engine_id: EngineId
    incarnation: int
    running: int
    waiting: int
    cached_tokens: int
    held_programs: int
    models: tuple[str, ...]
    age_s: float = 0.0
    last_cache_event: int | None = None


class CacheEventKind(enum.StrEnum):
    """What happened to a program's prefix in an engine's cache."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True):
    """One cache event; ``number`` counts by one within an incarnation, gaps mean loss."""

    number: int
    kind: CacheEventKind
    program_id: ProgramId
    tokens: int


class CacheEvents(msgspec.Struct, frozen=True):
    """``GET /v1/cache/events?after=N``: events published so far after number N."""

    incarnation: int
    events: tuple[CacheEvent, ...]


class CacheEntry(msgspec.Struct, frozen=True):
    """Tokens of a program's prefix held in an engine's cache."""

    program_id: ProgramId
    tokens: int


class CacheSnapshot(msgspec.Struct, frozen=True):
    """``GET /v1/cache``: the whole cache by program, as of event ``number``."""

    incarnation: int
    number: int
    entries: tuple[CacheEntry, ...]


class OrderKind(enum.StrEnum):
    """Fenced orders to engines."""

    RELEASE_PROGRAM = "release_program"
    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    CHANGE_ROLE = "change_role"
    EXPORT_CACHE = "export_cache"
    IMPORT_CACHE = "import_cache"


class EngineOrder(msgspec.Struct, frozen=True, omit_defaults=True):
    """``POST /v1/orders``: an order with its fencing token.

    The engine keeps the highest token for each ``scope`` (for example
    ``program:ID``, ``engine``) and refuses lower ones with status 409. ``argument`` is
    a model, a role, or the address to import from.
    """

    kind: OrderKind
    scope: str
    fencing_token: int
    program_id: ProgramId | None = None
    argument: str = ""


class OrderReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to an order; ``highest_token`` is what the engine has seen for the scope."""

    done: bool
    incarnation: int
    highest_token: int
    message: str = ""


class ToolRequest(msgspec.Struct, frozen=True):
    """``POST /v1/tools/{tool}`` at an application, with header ``Idempotency-Key``.

    ``operation_id`` equals the key: the call's id, the same for each attempt.
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
    """Answer of a tool or of a status query; ``UNKNOWN`` proves that it never ran here.

    An application answers ``UNKNOWN`` to a status query only after it has made sure
    that a later arrival of the same operation is refused.
    """

    operation_id: str
    state: OperationState
    result: str = ""


class LedgerLine(msgspec.Struct, frozen=True):
    """``GET /v1/ledger`` lists one line for each time an operation really ran."""

    operation_id: str
    tool: str
    arguments: str


class PlatformMachine(msgspec.Struct, frozen=True):
    """One machine on the platform's lagging list (``GET /v1/machines``)."""

    name: str
    state: str
    leaves_in_s: float | None = None


class PlatformList(msgspec.Struct, frozen=True):
    """The platform's list; ``state`` of a machine is ``live`` or ``leaving``."""

    machines: tuple[PlatformMachine, ...]
    age_s: float = 0.0
