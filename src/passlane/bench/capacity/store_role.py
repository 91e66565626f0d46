"""What the leader of a region's store group needs at the size that is designed for."""

from passlane.bench.capacity.estimate import Constant, Estimate, estimate_sum
from passlane.bench.capacity.reports import Reports
from passlane.bench.capacity.sizes import DesignSize
from passlane.store.engine_reconciler import MAX_CHECKS_PER_S

ROLE = "Store leader (one for each region)"
MICROSECONDS = 1e6
APPENDS_PER_CALL = 2.2
"""The intent, the outcome, and now and then memory held at another engine."""

SYNCS_PER_APPEND = 0.5
"""Appends that come together share a sync; two at a time is what the load gives at least."""

TURNS_PER_CALL = 2


def store_estimates(reports: Reports, size: DesignSize) -> list[Estimate]:
    """Return what a store leader spends, keeps and writes."""
    return [
        _core(reports, size),
        _follower_core(reports, size),
        _memory(reports, size),
        _disk_bytes(reports, size),
        _snapshot(reports, size),
        _zone_lost(reports, size),
    ]


def _appends_per_s(size: DesignSize) -> float:
    return size.requests_per_region_s * APPENDS_PER_CALL


def _core(reports: Reports, size: DesignSize) -> Estimate:
    appends = _appends_per_s(size)
    calls = size.requests_per_region_s
    return estimate_sum(
        ROLE,
        "processor time",
        "core",
        (
            reports.term("membership", "core of a store leader", size.nodes_per_region),
            reports.term(
                "storage-costs",
                "leader's loop",
                SYNCS_PER_APPEND,
                appends / MICROSECONDS,
                f"{appends:.4g} appends/s",
                x_unit="syncs per append",
            ),
            reports.term(
                "store-machine",
                "call by turns",
                size.turns_per_program,
                calls / MICROSECONDS,
                f"{calls:.4g} calls/s",
            ),
            reports.term("engine-polling", "core of polling", MAX_CHECKS_PER_S),
        ),
        "one Raft group for each region; group commit; leases by one heartbeat flow",
        1.0,
    )


def _follower_core(reports: Reports, size: DesignSize) -> Estimate:
    appends = _appends_per_s(size)
    return estimate_sum(
        ROLE,
        "processor time of a follower for the same appends",
        "core",
        (
            reports.term(
                "storage-costs",
                "a follower's loop",
                SYNCS_PER_APPEND,
                appends / MICROSECONDS,
                f"{appends:.4g} appends/s",
                x_unit="syncs per append",
            ),
        ),
        "batched and pipelined replication",
        1.0,
    )


def _memory(reports: Reports, size: DesignSize) -> Estimate:
    calls = size.turns_per_program / TURNS_PER_CALL
    idle = reports.idle.role("control+store").resident_bytes
    return estimate_sum(
        ROLE,
        "memory, if all programs were the longest",
        "bytes",
        (
            Constant(idle, "idle daemon, resident"),
            reports.term(
                "store-machine",
                "memory of a program",
                calls,
                size.programs_per_region,
                f"{size.programs_per_region:,.0f} programs",
            ),
            reports.term("configuration", "store memory", size.documents),
        ),
        "ended programs are removed after a stated retention; histories are kept once",
    )


def _disk_bytes(reports: Reports, size: DesignSize) -> Estimate:
    tokens_per_call = size.tokens_per_s / size.requests_per_s
    measured = reports.slopes.find_prefix("node-cost", "bytes from node to store")
    per_call = measured.line.at(tokens_per_call)
    calls = size.requests_per_region_s
    return Estimate(
        ROLE,
        "bytes appended to each replica's log",
        per_call * calls,
        "bytes/s",
        f"({measured.line.intercept:.4g} + {measured.line.slope:.3g} * {tokens_per_call:.4g} "
        f"{measured.line.x_unit}) * {calls:.4g} calls/s [node-cost: {measured.line.name}]",
        "segments that a snapshot covers are removed",
    )


def _snapshot(reports: Reports, size: DesignSize) -> Estimate:
    megabytes = size.programs_per_region * size.longest_history_bytes / 1e6
    return estimate_sum(
        ROLE,
        "processor time of one snapshot, if all programs were the longest",
        "s",
        (reports.term("store-machine", "snapshot", megabytes, 1e-3, "1 s / 1,000 ms"),),
        "taken in parts beside the running loop (design/storage.md)",
    )


def _zone_lost(reports: Reports, size: DesignSize) -> Estimate:
    lost_nodes = size.nodes / size.zones
    programs = lost_nodes * size.programs_per_node
    calls = size.turns_per_program / TURNS_PER_CALL
    line = reports.slopes.find("store-machine", "memory of a program").line
    return Estimate(
        ROLE,
        "records that new leaders read after the loss of a zone, if all were the longest",
        programs * line.at(calls),
        "bytes",
        f"{lost_nodes:.3g} nodes lead {programs:,.0f} programs of {line.at(calls) / 1e6:.3g} MB "
        "[store-machine: memory of a program]",
        "a record is read when its program's next call comes, not all at once",
    )
