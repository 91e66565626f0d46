"""Lines of a recorded trace: actions of callers, injected faults and expected outcomes.

A trace is a file of JSON lines. Times are seconds from the start of the trace. A call starts
at its time or when the previous call of its program has its outcome, whichever is later.
"""

import enum

import msgspec

from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import ProgramId, TenantId
from passlane.messages.common import Amounts
from passlane.messages.store import CallKind, Turn

TRACE_FORMAT = 1


class _Line(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, tag=True):
    """Base of the lines of a trace: ``type`` holds the class name; unknown keys are errors."""


class TraceStart(_Line, frozen=True):
    """First line: the version of the format and the deployment that the trace is for."""

    format: int
    name: str
    deployment: str
    description: str = ""


class ProgramCreated(_Line, frozen=True):
    """A caller started a program, possibly as a sub-agent of another one."""

    at_s: float
    tenant: TenantId
    program: ProgramId
    parent: ProgramId | None = None
    budget: Amounts | None = None


class CallMade(_Line, frozen=True):
    """A caller made a call; a redacted recording preserves only the length of contents.

    ``repeats`` tells whether the caller retries when the answer asks it to. For a caller
    that does not retry, the first refusal is the outcome.
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
    """How an application processes one request.

    ``SLOW`` answers with a delay. ``HANG`` neither runs the operation nor answers;
    ``HANG_AFTER`` runs it and does not answer. ``REFUSE`` answers that the operation did not
    run. ``FAIL_BEFORE`` and ``FAIL_AFTER`` break the connection before or after the operation
    runs. ``ANSWER_TWICE`` sends the answer twice.
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
    """Kinds of faults in a trace."""

    KILL_LEADER = "kill_leader"
    RESTART_ENGINES = "restart_engines"
    DISTURB_TOOL = "disturb_tool"
    ENGINE_LEAVES = "engine_leaves"


class FaultInjected(_Line, frozen=True):
    """A fault to inject.

    ``KILL_LEADER`` kills the node that leads ``program`` and starts it again after
    ``restart_after_s``. ``RESTART_ENGINES`` ends the streams of all engines and clears their
    memory. ``DISTURB_TOOL`` applies ``behaviour`` to the next request for the tool ``target``
    (of ``program``, if given). ``ENGINE_LEAVES`` makes the platform list the engine
    ``target`` as leaving.

    With ``during_call``, the time of the fault is relative to the program's call of that
    sequence number: a replay that makes the call later also delays the fault.
    """

    at_s: float
    kind: FaultKind
    program: ProgramId | None = None
    restart_after_s: float = 5.0
    during_call: int | None = None
    target: str = ""
    behaviour: ToolBehaviour = ToolBehaviour.NORMAL


class CallOutcomeStated(_Line, frozen=True):
    """The expected outcome of a call; an attribute that is ``None`` is not checked.

    ``idempotency_key`` distinguishes calls with the same sequence number, for example a
    refused call from the one that replaced it.
    """

    program: ProgramId
    sequence: int
    verdict: Verdict
    idempotency_key: str | None = None
    error_code: ErrorCode | None = None
    answer: str | None = None


class LedgerStated(_Line, frozen=True):
    """The expected number of runs of the operation with this tool and these arguments."""

    tool: str
    arguments: str
    runs: int


class HistoryStated(_Line, frozen=True):
    """The expected history of a program.

    ``roles`` are the roles of its turns, in order. The history must include the texts in
    ``contains`` and none of those in ``lacks``.
    """

    program: ProgramId
    roles: tuple[str, ...]
    contains: tuple[str, ...] = ()
    lacks: tuple[str, ...] = ()


class MemoryStated(_Line, frozen=True):
    """The number of programs for which engines may hold memory after the last call."""

    held_programs: int


class EngineQuietStated(_Line, frozen=True):
    """An engine must not get requests later than ``within_s`` after it is listed as leaving.

    It must have had requests before; otherwise the check would pass without any traffic.
    """

    engine: str
    within_s: float


class SpentStated(_Line, frozen=True):
    """The expected final spending of a program, which must be within its budget."""

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
