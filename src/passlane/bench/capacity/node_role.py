"""What a node needs at the size that is designed for."""

from passlane.bench.capacity.estimate import Constant, Estimate, estimate_sum
from passlane.bench.capacity.reports import Reports
from passlane.bench.capacity.sizes import SECONDS_PER_DAY, Bounds, DesignSize
from passlane.settings.model import NodeSettings

ROLE = "Node"
MICROSECONDS = 1e6
MILLISECONDS = 1e3
BYTES_PER_KIBIBYTE = 1_024


def node_estimates(reports: Reports, size: DesignSize, bounds: Bounds) -> list[Estimate]:
    """Return what one node spends on control, and what its calls take."""
    return [
        _control_core(reports, size, bounds),
        _control_bytes(reports, size, bounds),
        _control_memory(reports, size, bounds),
        _call_core(reports, size),
        _program_memory(reports, size),
        _restart_bytes(reports, size),
    ]


def _watched_engines(size: DesignSize) -> int:
    """Return the engines that a node watches when it leads programs of every model."""
    return NodeSettings().watched_engines_per_model * size.models


def _control_core(reports: Reports, size: DesignSize, bounds: Bounds) -> Estimate:
    polls = NodeSettings().max_engine_polls_per_s
    changes = f"{size.changes_per_s:.2g} changes/s"
    return estimate_sum(
        ROLE,
        "processor time for control",
        "core",
        (
            reports.term("membership", "core of a node", size.nodes_per_region),
            reports.term("engine-polling", "core of polling", polls),
            reports.term(
                "scheduler-cost",
                "a load report with 4 cache events",
                _watched_engines(size),
                polls / MICROSECONDS,
                f"{polls:g} reports/s",
            ),
            reports.term(
                "configuration",
                "node change",
                size.documents,
                size.changes_per_s / MICROSECONDS,
                changes,
            ),
        ),
        "one heartbeat flow to the region's store leader; bounded polls (design/engine-polling.md)",
        bounds.control_core,
    )


def _control_bytes(reports: Reports, size: DesignSize, bounds: Bounds) -> Estimate:
    delta = reports.configuration.sizes.delta_with_one_change
    return estimate_sum(
        ROLE,
        "bytes for control, both directions",
        "bytes/s",
        (
            reports.term("membership", "bytes of a node", size.nodes_per_region),
            reports.term(
                "engine-polling", "bytes of polling", NodeSettings().max_engine_polls_per_s
            ),
            Constant(
                size.changes_per_s * delta, f"{size.changes_per_s:.2g} changes/s of {delta} bytes"
            ),
            _restarts(reports, size),
        ),
        "deltas of configuration in heartbeat replies; bounded polls",
        bounds.control_bytes_per_s,
    )


def _restarts(reports: Reports, size: DesignSize) -> Constant:
    """Return the first loads of configuration after restarts, spread over the day."""
    load = reports.configuration.first_load.bytes
    per_node_s = size.restarts_per_day / size.nodes / SECONDS_PER_DAY
    return Constant(
        load * per_node_s,
        f"{size.restarts_per_day:,.0f} restarts a day of {size.nodes} nodes, {load:,} bytes each",
    )


def _control_memory(reports: Reports, size: DesignSize, bounds: Bounds) -> Estimate:
    idle = reports.idle.role("node").resident_bytes
    return estimate_sum(
        ROLE,
        "memory without programs",
        "bytes",
        (
            Constant(idle, "idle daemon, resident"),
            reports.term("configuration", "node memory", size.documents),
            reports.term(
                "scheduler-memory",
                "engines watched, 20 cached programs each",
                _watched_engines(size),
                BYTES_PER_KIBIBYTE,
                "1,024 bytes",
            ),
        ),
        "every node holds the whole configuration, parsed",
        bounds.control_memory_bytes,
    )


def _call_core(reports: Reports, size: DesignSize) -> Estimate:
    tokens_per_call = size.tokens_per_s / size.requests_per_s
    return estimate_sum(
        ROLE,
        "processor time for calls (not control)",
        "core",
        (
            reports.term(
                "node-cost",
                "processor time per call through another node",
                tokens_per_call,
                size.requests_per_node_s / MILLISECONDS,
                f"{size.requests_per_node_s:.3g} calls/s",
            ),
        ),
        "each call passes two nodes: the one that was asked and the leader of its program",
        1.0,
    )


def _program_memory(reports: Reports, size: DesignSize) -> Estimate:
    count = size.programs_per_node
    tokens = reports.slopes.find_prefix("node-cost", "memory of a program by tokens")
    turns = reports.slopes.find_prefix("node-cost", "memory of a program by turns")
    longest = tokens.line.at(size.tokens_per_program)
    longest += turns.line.slope * size.turns_per_program
    return Estimate(
        ROLE,
        "memory of programs, if all were the longest",
        count * longest,
        "bytes",
        f"{count:g} programs of {longest / 1e6:.3g} MB: ({tokens.line.intercept:.3g} + "
        f"{tokens.line.slope:.3g} * {size.tokens_per_program:,} tokens) + "
        f"{turns.line.slope:.3g} * {size.turns_per_program} turns [node-cost]",
        "histories in memory only while the node leads the program's partition",
    )


def _restart_bytes(reports: Reports, size: DesignSize) -> Estimate:
    load = reports.configuration.first_load
    return Estimate(
        ROLE,
        "first load of the configuration after a restart",
        float(load.bytes),
        "bytes",
        f"{load.documents:,} documents in {load.parts} parts, "
        f"{load.node_milliseconds:.0f} ms of processor time [configuration]",
        "parts in heartbeat replies, so that no message is large",
    )
