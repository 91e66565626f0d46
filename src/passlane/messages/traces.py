"""Lines of a recorded trace: what callers did, what failed, and the outcomes stated.

A trace is a file of JSON lines (see docs/design/traces.md). Times are seconds from the
trace's start. A call starts at its time or when its program's earlier call has its
outcome, whichever is later.
"""

import enum

import msgspec

from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import ProgramId, TenantId
from passlane.messages.common import Amounts
from passlane.messages.store import CallKind, Turn

TRACE_FORMAT = 1


class _Line(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, tag=True):
    """Base of a trace's lines: ``type`` holds the class name, unknown keys are errors."""


class TraceStart(_Line, frozen=True):
    """First line: the format's version and the deployment that the trace belongs to."""

    format: int
    name: str
    deployment: str
    description: str = ""


class ProgramCreated(_Line, frozen=True):
    """A caller started a program, perhaps as a sub-agent of another."""

    at_s: float
    tenant: TenantId
    program: ProgramId
    parent: ProgramId | None = None
    budget: Amounts | None = None


class CallMade(_Line, frozen=True):
    """A caller made a call; a redacted recording keeps the length of contents only.

    ``repeats`` says whether the caller comes back when it is told to; one that does not
    takes the first refusal as its outcome.
    """

    at_s: float
    program: ProgramId
    sequence: int
    kind: CallKind
    target: str
    turns: tuple[Turn, ...] = ()
    arguments: str = ""
    max_tokens: int = 256
    idempotency_key: str | None = None
    repeats: bool = True


class ProgramEndAsked(_Line, frozen=True):
    """A caller ended a program."""

    at_s: float
    program: ProgramId


class ToolBehaviour(enum.StrEnum):
    """What an application does with one request.

    ``SLOW`` is late; ``HANG`` never runs nor answers, ``HANG_AFTER`` runs and never
    answers; ``REFUSE`` proves that nothing ran; ``FAIL_BEFORE`` and ``FAIL_AFTER`` break
    the connection before or after the operation ran; ``ANSWER_TWICE`` sends the answer
    two times.
    """

    NORMAL = "normal"
    SLOW = "slow"
    HANG = "hang"
    HANG_AFTER = "hang_after"
    REFUSE = "refuse"
    FAIL_BEFORE = "fail_before"
    FAIL_AFTER = "fail_after"
    ANSWER_TWICE = "answer_twice"


class FaultKind(enum.StrEnum):
    """Failures that a trace may hold."""

    KILL_LEADER = "kill_leader"
    RESTART_ENGINES = "restart_engines"
    DISTURB_TOOL = "disturb_tool"
    ENGINE_LEAVES = "engine_leaves"


class FaultInjected(_Line, frozen=True):
    """Something failed.

    ``KILL_LEADER`` ends the node that leads ``program`` and starts it again after
    ``restart_after_s``; ``RESTART_ENGINES`` ends all engines' streams and lets them lose
    their memory. ``DISTURB_TOOL`` lets the next request for the tool ``target`` (of
    ``program``, if given) go wrong as ``behaviour`` says. ``ENGINE_LEAVES`` lets the
    platform list the engine ``target`` as leaving.

    With ``during_call`` it happens as long after the program's call of that sequence number
    was made as the recorded times say, however late that call is in a replay.
    """

    at_s: float
    kind: FaultKind
    program: ProgramId | None = None
    restart_after_s: float = 5.0
    during_call: int | None = None
    target: str = ""
    behaviour: ToolBehaviour = ToolBehaviour.NORMAL


class CallOutcomeStated(_Line, frozen=True):
    """The outcome that a call must have; ``None`` leaves a point open.

    ``idempotency_key`` tells calls of one sequence number apart, for example one that was
    refused from the one that took its place.
    """

    program: ProgramId
    sequence: int
    verdict: Verdict
    idempotency_key: str | None = None
    error_code: ErrorCode | None = None
    answer: str | None = None


class LedgerStated(_Line, frozen=True):
    """How often an operation must have run, found by its tool and arguments."""

    tool: str
    arguments: str
    runs: int


class HistoryStated(_Line, frozen=True):
    """The roles of a program's turns, in order, and texts that they must hold or must not."""

    program: ProgramId
    roles: tuple[str, ...]
    contains: tuple[str, ...] = ()
    lacks: tuple[str, ...] = ()


class MemoryStated(_Line, frozen=True):
    """For how many programs the engines may hold memory after the last call."""

    held_programs: int


class EngineQuietStated(_Line, frozen=True):
    """An engine must get no request later than ``within_s`` after it was listed as leaving.

    It must have had requests before, so that the statement says something.
    """

    engine: str
    within_s: float


class SpentStated(_Line, frozen=True):
    """What a program must have spent in the end; never above its budget."""

    program: ProgramId
    calls: int
    money_micros: int


TraceAction = ProgramCreated | CallMade | ProgramEndAsked | FaultInjected
TraceOutcome = (
    CallOutcomeStated
    | LedgerStated
    | HistoryStated
    | MemoryStated
    | SpentStated
    | EngineQuietStated
)
TraceLine = (
    TraceStart
    | ProgramCreated
    | CallMade
    | ProgramEndAsked
    | FaultInjected
    | CallOutcomeStated
    | LedgerStated
    | HistoryStated
    | MemoryStated
    | SpentStated
    | EngineQuietStated
)
