"""The one place that names the machines under record, their events and their instructions.

A module that moves or a class that is renamed changes the imports and the tables here, and
nothing else of this folder. The markers stand for the classes in the digests and stay.
"""

from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.placement import TurnDemand, TurnOutcome
from passlane.messages.quotas import (
    QuotaDraw,
    QuotaGranted,
    QuotaLimit,
    QuotaRefused,
    QuotaUse,
    TenantUsage,
)
from passlane.quotas.ledger import QuotaLedger, QuotaRules
from passlane.relay.health import AttemptWatch, congestion_level, stall_limit_s
from passlane.relay.placement import (
    NodePlace,
    PlacementChoice,
    PlacementKey,
    choose_backend,
    note_failure,
    note_success,
)
from passlane.relay.registry import BackendLoad, BackendRegistry, ServiceJudgement
from passlane.scheduling.turn_events import (
    TurnAsked,
    TurnEnded,
    TurnNotPlaced,
    TurnPlaced,
    TurnWithdrawn,
)
from passlane.scheduling.turn_scheduler import SchedulerFigures, TurnScheduler

__all__ = [
    "Address",
    "AttemptWatch",
    "BackendLoad",
    "BackendRecord",
    "BackendRegistry",
    "BackendState",
    "NodePlace",
    "PlacementChoice",
    "PlacementKey",
    "QuotaDraw",
    "QuotaGranted",
    "QuotaLedger",
    "QuotaLimit",
    "QuotaRefused",
    "QuotaRules",
    "QuotaUse",
    "SchedulerFigures",
    "ServiceJudgement",
    "TenantUsage",
    "TurnAsked",
    "TurnDemand",
    "TurnEnded",
    "TurnNotPlaced",
    "TurnOutcome",
    "TurnPlaced",
    "TurnScheduler",
    "TurnWithdrawn",
    "choose_backend",
    "congestion_level",
    "note_failure",
    "note_success",
    "stall_limit_s",
]

MARKERS: dict[type, str] = {
    PlacementChoice: "choice",
    QuotaGranted: "granted",
    QuotaRefused: "refused",
    SchedulerFigures: "figures",
    ServiceJudgement: "judgement",
    TenantUsage: "usage",
    TurnNotPlaced: "not placed",
    TurnPlaced: "placed",
    TurnWithdrawn: "withdrawn",
}
"""What stands in a digest for the class of an instruction or of a part of one."""

SHORTENED: dict[type, str] = {
    BackendLoad: "record.instance_id",
    BackendRecord: "instance_id",
}
"""Objects with state of their own, for which the named path of attributes stands in a digest."""
