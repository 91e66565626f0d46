"""Events of a node's call scheduler.

The scheduler is a plain state machine: ``Scheduler.handle(event, now)`` takes one event
and the local monotonic time in seconds and returns instructions. It does no I/O,
reads no clock and uses only the seeded ``random.Random`` that it was created with.
"""

from dataclasses import dataclass

from passlane.configuration.documents import EngineBody
from passlane.identifiers import CallId, EngineId, ProgramId, TenantId
from passlane.messages.backends import CacheEvents, CacheSnapshot, EngineLoad


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A model call is ready: its intent is durable and its predecessors are done.

    Attributes
    ----------
    prompt_tokens
        Estimated length of history and new messages together, in tokens.
    max_tokens
        Maximum tokens that may be generated.
    deadline
        Local monotonic time in seconds at which the caller times out.
    service_class
        Class assigned by the policy; 0 is served first.
    weight
        Relative share of the tenant among others of the same class.
    excluded
        Engines that must not be chosen, because they failed for this call.
    is_sub_agent
        Whether the program was started by another program that waits for it.
    """

    call_id: CallId
    program_id: ProgramId
    tenant_id: TenantId
    model: str
    prompt_tokens: int
    max_tokens: int
    deadline: float
    service_class: int = 1
    weight: float = 1.0
    excluded: frozenset[EngineId] = frozenset()
    is_sub_agent: bool = False


@dataclass(frozen=True, slots=True)
class CallFirstToken:
    """The first token of a started call arrived."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A started call ended at its engine.

    ``succeeded`` is false when the engine failed, which its circuit breaker counts.
    ``prompt_tokens``, ``cached_tokens`` and ``generated_tokens`` are reported by the engine.
    """

    call_id: CallId
    succeeded: bool
    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0


@dataclass(frozen=True, slots=True)
class CallWithdrawn:
    """The caller abandoned a queued or running call."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class ProgramPaused:
    """A program started a tool call; ``expected_s`` is the usual time until it returns."""

    program_id: ProgramId
    expected_s: float


@dataclass(frozen=True, slots=True)
class ProgramEnded:
    """A program ended; the scheduler removes its state."""

    program_id: ProgramId


@dataclass(frozen=True, slots=True)
class EnginesChanged:
    """The engines of the current configuration; those missing were removed."""

    engines: dict[EngineId, EngineBody]


@dataclass(frozen=True, slots=True)
class EnginesLeaving:
    """Engines that are leaving or draining; they get no new work."""

    engine_ids: frozenset[EngineId]


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A load report that is ``load.age_s`` old."""

    load: EngineLoad


@dataclass(frozen=True, slots=True)
class CacheEventsReported:
    """Cache events of an engine; they may be delayed and have gaps."""

    engine_id: EngineId
    events: CacheEvents


@dataclass(frozen=True, slots=True)
class CacheSnapshotReported:
    """The whole cache of an engine, requested after a gap in its events."""

    engine_id: EngineId
    snapshot: CacheSnapshot


@dataclass(frozen=True, slots=True)
class EngineUnreachable:
    """A poll of an engine failed."""

    engine_id: EngineId


@dataclass(frozen=True, slots=True)
class TimeAdvanced:
    """Time has advanced; queued calls may have reached their deadline."""


Event = (
    CallArrived
    | CallFirstToken
    | CallEnded
    | CallWithdrawn
    | ProgramPaused
    | ProgramEnded
    | EnginesChanged
    | EnginesLeaving
    | LoadReported
    | CacheEventsReported
    | CacheSnapshotReported
    | EngineUnreachable
    | TimeAdvanced
)
