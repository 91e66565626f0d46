"""Instructions that a node's call scheduler returns for the node to carry out."""

from dataclasses import dataclass

from passlane.errors import ErrorCode
from passlane.identifiers import CallId, EngineId, ProgramId


@dataclass(frozen=True, slots=True)
class StartCall:
    """Send the call to an engine now.

    ``priority`` is passed to the engine (lower is more urgent). ``reason`` states briefly why
    the call starts now and at this engine, for ``passlane policy explain``.
    """

    call_id: CallId
    engine_id: EngineId
    priority: int
    reason: str


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Refuse the call; it has not run."""

    call_id: CallId
    code: ErrorCode
    message: str
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class ReleaseCache:
    """Order an engine to drop the cache of a program."""

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
    """The engines whose load and cache events the node should poll."""

    engine_ids: frozenset[EngineId]


@dataclass(frozen=True, slots=True)
class RequestCacheSnapshot:
    """Fetch the engine's whole cache, because cache events were missed."""

    engine_id: EngineId


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Send ``TimeAdvanced`` no later than this local monotonic time in seconds."""

    time: float


Instruction = (
    StartCall | RefuseCall | ReleaseCache | MoveCache | WatchEngines | RequestCacheSnapshot | WakeAt
)
