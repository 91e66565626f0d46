"""Instructions that a node's scheduler gives to its shell."""

from dataclasses import dataclass

from passlane.errors import ErrorCode
from passlane.identifiers import CallId, EngineId, ProgramId


@dataclass(frozen=True, slots=True)
class StartCall:
    """Send the call to an engine now.

    ``priority`` is passed to the engine (lower is more urgent). ``reason`` says in a few
    words why this engine and this moment, for ``passlane policy explain``.
    """

    call_id: CallId
    engine_id: EngineId
    priority: int
    reason: str


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Answer the call at once; it has not run."""

    call_id: CallId
    code: ErrorCode
    message: str
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class ReleaseCache:
    """Order an engine to drop what it holds for a program."""

    program_id: ProgramId
    engine_id: EngineId


@dataclass(frozen=True, slots=True)
class MoveCache:
    """Order an engine to import a program's cache from another that is leaving."""

    program_id: ProgramId
    source: EngineId
    destination: EngineId


@dataclass(frozen=True, slots=True)
class WatchEngines:
    """The engines whose load and cache events the node should poll from now on."""

    engine_ids: frozenset[EngineId]


@dataclass(frozen=True, slots=True)
class RequestCacheSnapshot:
    """Cache events were missed; fetch the engine's whole cache."""

    engine_id: EngineId


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Send ``TimeAdvanced`` at this local monotonic time in seconds, or earlier."""

    time: float


Instruction = (
    StartCall | RefuseCall | ReleaseCache | MoveCache | WatchEngines | RequestCacheSnapshot | WakeAt
)
