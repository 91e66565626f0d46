"""Imports of the recorded machines, their events and their instructions.

Moving a module or renaming a class requires changes only to the imports and tables here. Markers
identify the classes in the digests and must not change.
"""

from passlane.configuration.documents import EngineBody
from passlane.decisions.admission.node_load import LoadChange, NodeCapacity, NodeLoad, NodeReading
from passlane.decisions.admission.program_admission import ProgramAdmission
from passlane.decisions.admission.program_admission import retry_after as promise_retry_after
from passlane.decisions.backends.engine_slots import EngineSlots, PlacedTurn
from passlane.decisions.backends.health import AttemptWatch, congestion_level, stall_limit_s
from passlane.decisions.backends.registry import BackendLoad, BackendRegistry, ServiceHealth
from passlane.decisions.backends.speed import FleetSpeed
from passlane.decisions.failure.client_timeout import first_part_due_at
from passlane.decisions.failure.retry_after import retry_after_outage_s as outage_retry_after_s
from passlane.decisions.inputs.call_events import (
    CacheEventsReported,
    CacheSnapshotReported,
    CallArrived,
    CallEnded,
    CallFirstToken,
    CallWithdrawn,
    EnginesChanged,
    EnginesLeaving,
    EngineUnreachable,
    LoadReported,
    ProgramEnded,
    ProgramPaused,
    TimeAdvanced,
)
from passlane.decisions.inputs.call_instructions import (
    MoveCache,
    RefuseCall,
    ReleaseCache,
    RequestCacheSnapshot,
    StartCall,
    WakeAt,
    WatchEngines,
)
from passlane.decisions.inputs.call_scheduler_config import (
    CrowdingConfig,
    Ordering,
    QueueConfig,
    RetentionConfig,
    SchedulerConfig,
)
from passlane.decisions.inputs.turn_events import (
    TurnEnded,
    TurnNotPlaced,
    TurnPlaced,
    TurnRequested,
    TurnWithdrawn,
)
from passlane.decisions.limits.quota_ledger import QuotaLedger, QuotaRules
from passlane.decisions.order.capacity_queue import PauseRange, WaitingCall
from passlane.decisions.order.capacity_queue import RetryPermit as RoomTurn
from passlane.decisions.order.service_capacity import ServiceCapacity
from passlane.decisions.placement.plain_placement import PlainCall, PlainChoice, PlainView
from passlane.decisions.placement.request_placement import (
    NodeLocation,
    PlacementChoice,
    PlacementKey,
    choose_backend,
    record_failure,
    record_success,
)
from passlane.decisions.placement.turn_placement import EngineChoice, TurnDurations, choose_engine
from passlane.decisions.scheduling.call_scheduler import Scheduler
from passlane.decisions.scheduling.turn_scheduler import SchedulerStats, TurnScheduler
from passlane.identifiers import CallId, EngineId, ProgramId, TenantId
from passlane.messages.backends import (
    CacheEntry,
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    CacheSnapshot,
    EngineLoad,
)
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.placement import TurnDemand, TurnOutcome
from passlane.messages.quotas import (
    QuotaGranted,
    QuotaLimit,
    QuotaPurpose,
    QuotaRefused,
    QuotaRequest,
    TenantUsage,
)
from passlane.messages.routes import Route, RouteKind

__all__ = [
    "Address",
    "AttemptWatch",
    "BackendLoad",
    "BackendRecord",
    "BackendRegistry",
    "BackendState",
    "CacheEntry",
    "CacheEvent",
    "CacheEventKind",
    "CacheEvents",
    "CacheEventsReported",
    "CacheSnapshot",
    "CacheSnapshotReported",
    "CallArrived",
    "CallEnded",
    "CallFirstToken",
    "CallId",
    "CallWithdrawn",
    "CrowdingConfig",
    "EngineBody",
    "EngineChoice",
    "EngineId",
    "EngineLoad",
    "EngineSlots",
    "EngineUnreachable",
    "EnginesChanged",
    "EnginesLeaving",
    "FleetSpeed",
    "LoadChange",
    "LoadReported",
    "MoveCache",
    "NodeCapacity",
    "NodeLoad",
    "NodeLocation",
    "NodeReading",
    "Ordering",
    "PauseRange",
    "PlacedTurn",
    "PlacementChoice",
    "PlacementKey",
    "PlainCall",
    "PlainChoice",
    "PlainView",
    "ProgramAdmission",
    "ProgramEnded",
    "ProgramId",
    "ProgramPaused",
    "QueueConfig",
    "QuotaGranted",
    "QuotaLedger",
    "QuotaLimit",
    "QuotaPurpose",
    "QuotaRefused",
    "QuotaRequest",
    "QuotaRules",
    "RefuseCall",
    "ReleaseCache",
    "RequestCacheSnapshot",
    "RetentionConfig",
    "RoomTurn",
    "Route",
    "RouteKind",
    "Scheduler",
    "SchedulerConfig",
    "SchedulerStats",
    "ServiceCapacity",
    "ServiceHealth",
    "StartCall",
    "TenantId",
    "TenantUsage",
    "TimeAdvanced",
    "TurnDemand",
    "TurnDurations",
    "TurnEnded",
    "TurnNotPlaced",
    "TurnOutcome",
    "TurnPlaced",
    "TurnRequested",
    "TurnScheduler",
    "TurnWithdrawn",
    "WaitingCall",
    "WakeAt",
    "WatchEngines",
    "choose_backend",
    "choose_engine",
    "congestion_level",
    "first_part_due_at",
    "outage_retry_after_s",
    "promise_retry_after",
    "record_failure",
    "record_success",
    "stall_limit_s",
]

MARKERS: dict[type, str] = {
    EngineChoice: "engine choice",
    MoveCache: "move cache",
    RefuseCall: "refuse call",
    ReleaseCache: "release cache",
    RequestCacheSnapshot: "request snapshot",
    StartCall: "start call",
    WakeAt: "wake at",
    WatchEngines: "watch engines",
    LoadChange: "load change",
    PauseRange: "pauses",
    PlacementChoice: "choice",
    PlainChoice: "plain choice",
    QuotaGranted: "granted",
    QuotaRefused: "refused",
    RoomTurn: "turn",
    SchedulerStats: "figures",
    ServiceHealth: "judgement",
    TenantUsage: "usage",
    TurnNotPlaced: "not placed",
    TurnPlaced: "placed",
    TurnWithdrawn: "withdrawn",
}
"""Marker of the class of an instruction, or of a part of one, in the digests."""

SHORTENED: dict[type, str] = {
    BackendLoad: "record.instance_id",
    BackendRecord: "instance_id",
    EngineSlots: "incarnation",
    WaitingCall: "request_id",
}
"""Stateful objects, which are represented in the digests by the given attribute path."""
