"""Events that a node's scheduler is told of.

The scheduler is a plain state machine: ``Scheduler.handle(event, now)`` takes one event
and the local monotonic time in seconds and returns instructions. It does no I/O,
reads no clock and draws no random numbers of its own (it is given a seeded
``random.Random``).
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
        Most tokens that may be generated.
    deadline
        Local monotonic time in seconds by which the caller gives up.
    service_class
        Class that the policy gave: 0 is served first.
    weight
        Share of the tenant among others of the same class; more is more.
    excluded
        Engines that must not be chosen (already failed for this call).
    is_sub_agent
        Whether the program was started by another, which waits for it.
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

    ``succeeded`` is false when the engine failed, which counts against its breaker.
    ``prompt_tokens``, ``cached_tokens`` and ``generated_tokens`` are the engine's figures.
    """

    call_id: CallId
    succeeded: bool
    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0


@dataclass(frozen=True, slots=True)
class CallWithdrawn:
    """The caller gave up before the call ended; queued or running."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class ProgramPaused:
    """A program went to a tool; ``expected_s`` is the usual time until it returns."""

    program_id: ProgramId
    expected_s: float


@dataclass(frozen=True, slots=True)
class ProgramEnded:
    """A program ended; the scheduler forgets it."""

    program_id: ProgramId


@dataclass(frozen=True, slots=True)
class EnginesChanged:
    """The engines in the configuration in force; those missing are gone."""

    engines: dict[EngineId, EngineBody]


@dataclass(frozen=True, slots=True)
class EnginesLeaving:
    """Engines that are leaving or drained: they get no new work from now on."""

    engine_ids: frozenset[EngineId]


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A load report, which lags by ``load.age_s``."""

    load: EngineLoad


@dataclass(frozen=True, slots=True)
class CacheEventsReported:
    """Cache events of an engine; late and perhaps with gaps."""

    engine_id: EngineId
    events: CacheEvents


@dataclass(frozen=True, slots=True)
class CacheSnapshotReported:
    """The whole cache of an engine, as asked for after a gap."""

    engine_id: EngineId
    snapshot: CacheSnapshot


@dataclass(frozen=True, slots=True)
class EngineUnreachable:
    """A poll of an engine failed."""

    engine_id: EngineId


@dataclass(frozen=True, slots=True)
class TimeAdvanced:
    """Time went on; queued calls may have passed their deadline."""


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
