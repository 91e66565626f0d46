"""What configuration costs: bytes, processor time and memory, as slopes over documents.

``passlane bench run configuration`` builds control replicas, store leaders and nodes with
up to 39,000 tenants and measures what one change, one report and one document cost.
Replication itself is measured elsewhere.
"""

import gc
import time
import tracemalloc
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import anyio
import msgspec

from passlane.bench.configuration_state import (
    FIXED_DOCUMENTS,
    REGIONS,
    MeasuredState,
    build_state,
    copy_ledger,
    copy_view,
    region_report,
    whole_deltas,
)
from passlane.bench.report_files import write_report
from passlane.bench.straight_line import Line, Point, fit_line
from passlane.configuration.ledger import ConfigurationLedger
from passlane.control.state.machine import ControlStateMachine
from passlane.identifiers import Revision
from passlane.messages.base import encode_message
from passlane.messages.control import ConfigurationDelta

TENANT_POINTS = (1_000, 5_000, 10_000, 20_000, 39_000)
CHANGES_MEASURED = 300
REPORTS_MEASURED = 3_000
CHANGES_PER_DAY = 9_500
ALLOWED_BYTES_PER_SECOND = 6_000
"""What a node may spend on control."""
SECONDS_PER_DAY = 86_400
MICROSECONDS = 1e6
MILLISECONDS = 1e3

ResultType = TypeVar("ResultType")


class MessageSizes(msgspec.Struct, frozen=True):
    """Encoded sizes in bytes, without the frame around them."""

    put_command: int
    quiet_region_report: int
    quiet_delta: int
    delta_with_one_change: int


class FirstLoad(msgspec.Struct, frozen=True):
    """What a node that holds nothing fetches, with the largest number of tenants.

    ``store_milliseconds`` is what its store leader spends on all parts,
    ``deflated_bytes`` what they would take if each were compressed (level 1), and
    ``seconds_at_allowance`` the time for ``bytes`` at a node's allowance for control.
    """

    tenants: int
    documents: int
    parts: int
    bytes: int
    deflated_bytes: int
    seconds_at_allowance: float
    store_milliseconds: float
    node_milliseconds: float


class ConfigurationReport(msgspec.Struct, frozen=True):
    """All results of the experiment."""

    sizes: MessageSizes
    first_load: FirstLoad
    lines: tuple[Line, ...]
    control_memory_bytes: float
    store_memory_bytes: float
    node_memory_bytes: float
    change_bytes_per_node_second: float
    change_core_fraction_per_node: float


class _Measured(msgspec.Struct):
    """Points of every series; ``x`` is the number of documents."""

    points: dict[str, list[Point]] = {}

    def add(self, series: str, documents: int, value: float) -> None:
        self.points.setdefault(series, []).append(Point(documents, value))


_UNITS = {
    "control memory": "bytes",
    "store memory": "bytes",
    "node memory": "bytes",
    "control change": "us",
    "store change": "us",
    "node change": "us",
    "region report": "us",
    "snapshot size": "bytes",
    "snapshot taking": "ms",
    "snapshot restoring": "ms",
}


def run(report: Path | None) -> int:
    """Measure, print, and write ``configuration.json``."""
    measured = _Measured()
    sizes: MessageSizes | None = None
    first_load: FirstLoad | None = None
    for tenants in TENANT_POINTS:
        state = _measure_memory(measured, tenants)
        _measure_snapshot(measured, state, tenants)
        first_load = _measure_first_load(state, tenants)
        sizes = _measure_changes(measured, state, tenants)
        _measure_reports(measured, state, tenants)
    assert sizes is not None and first_load is not None
    result = _conclude(measured, sizes, first_load)
    _print(result)
    write_report(report, "configuration.json", result)
    return 0


def _measure_memory(measured: _Measured, tenants: int) -> MeasuredState:
    documents = tenants + FIXED_DOCUMENTS
    state, size = _with_memory(lambda: build_state(tenants))
    measured.add("control memory", documents, size)
    ledger, size = _with_memory(lambda: _decoded_ledger(state.machine.ledger))
    measured.add("store memory", documents, size)
    del ledger
    _, size = _with_memory(lambda: copy_view(whole_deltas(state.machine.ledger)))
    measured.add("node memory", documents, size)
    return state


def _decoded_ledger(source: ConfigurationLedger) -> ConfigurationLedger:
    """Return a copy that shares no text with the original."""
    copy = ConfigurationLedger()
    decoder = msgspec.msgpack.Decoder(ConfigurationDelta)
    for delta in whole_deltas(source):
        copy.apply_delta(decoder.decode(encode_message(delta)))
    return copy


def _with_memory(build: Callable[[], ResultType]) -> tuple[ResultType, int]:
    """Return what ``build`` returns and the bytes of memory that it keeps."""
    gc.collect()
    tracemalloc.start()
    try:
        result = build()
        gc.collect()
        return result, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def _measure_snapshot(measured: _Measured, state: MeasuredState, tenants: int) -> None:
    documents = tenants + FIXED_DOCUMENTS
    started = time.process_time()
    data = state.machine.take_snapshot()
    taken = time.process_time()
    ControlStateMachine().restore_snapshot(data)
    restored = time.process_time()
    measured.add("snapshot size", documents, len(data))
    measured.add("snapshot taking", documents, (taken - started) * MILLISECONDS)
    measured.add("snapshot restoring", documents, (restored - taken) * MILLISECONDS)


def _measure_first_load(state: MeasuredState, tenants: int) -> FirstLoad:
    started = time.process_time()
    parts = whole_deltas(state.machine.ledger)
    encoded = [encode_message(part) for part in parts]
    served = time.process_time()
    copy_view(parts)
    loaded = time.process_time()
    size = sum(map(len, encoded))
    return FirstLoad(
        tenants=tenants,
        documents=tenants + FIXED_DOCUMENTS,
        parts=len(parts),
        bytes=size,
        deflated_bytes=sum(len(zlib.compress(part, 1)) for part in encoded),
        seconds_at_allowance=size / ALLOWED_BYTES_PER_SECOND,
        store_milliseconds=(served - started) * MILLISECONDS,
        node_milliseconds=(loaded - served) * MILLISECONDS,
    )


def _measure_changes(measured: _Measured, state: MeasuredState, tenants: int) -> MessageSizes:
    """Send changes one by one through a control replica, a store leader and a node."""
    documents = tenants + FIXED_DOCUMENTS
    source = state.machine.ledger
    store = copy_ledger(source)
    view = copy_view(whole_deltas(source))
    used = {"control change": 0.0, "store change": 0.0, "node change": 0.0}
    command = state.change_tenant()
    delta = source.delta_since(source.held_revision)
    for number in range(CHANGES_MEASURED):
        started = time.process_time()
        state.machine.apply(number, encode_message(command))
        state.accept_all()
        delta = source.delta_since(store.held_revision)
        changed = time.process_time()
        store.apply_delta(delta)
        for_node = store.delta_since(view.held_revision)
        relayed = time.process_time()
        view = view.apply_delta(for_node)
        ended = time.process_time()
        used["control change"] += changed - started
        used["store change"] += relayed - changed
        used["node change"] += ended - relayed
        if number + 1 < CHANGES_MEASURED:
            command = state.change_tenant()
    for series, used_s in used.items():
        measured.add(series, documents, used_s / CHANGES_MEASURED * MICROSECONDS)
    quiet = source.delta_since(source.held_revision)
    return MessageSizes(
        put_command=len(encode_message(command)),
        quiet_region_report=len(encode_message(region_report("north", source.held_revision))),
        quiet_delta=len(encode_message(quiet)),
        delta_with_one_change=len(encode_message(delta)),
    )


def _measure_reports(measured: _Measured, state: MeasuredState, tenants: int) -> None:
    revision = state.machine.ledger.held_revision

    async def report_all(revision: Revision) -> float:
        started = time.process_time()
        for number in range(REPORTS_MEASURED):
            report = region_report(REGIONS[number % len(REGIONS)], revision)
            delta = await state.service.receive_report(report)
            encode_message(delta)
        return time.process_time() - started

    used_s = anyio.run(report_all, revision)
    measured.add(
        "region report", tenants + FIXED_DOCUMENTS, used_s / REPORTS_MEASURED * MICROSECONDS
    )


def _conclude(
    measured: _Measured, sizes: MessageSizes, first_load: FirstLoad
) -> ConfigurationReport:
    lines = tuple(
        fit_line(series, "documents", unit, measured.points[series])
        for series, unit in _UNITS.items()
    )
    values = {line.name: line.at(first_load.documents) for line in lines}
    changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY
    return ConfigurationReport(
        sizes=sizes,
        first_load=first_load,
        lines=lines,
        control_memory_bytes=values["control memory"],
        store_memory_bytes=values["store memory"],
        node_memory_bytes=values["node memory"],
        change_bytes_per_node_second=changes_per_second * sizes.delta_with_one_change,
        change_core_fraction_per_node=changes_per_second * values["node change"] / MICROSECONDS,
    )


def _print(result: ConfigurationReport) -> None:
    for field, value in msgspec.structs.asdict(result.sizes).items():
        print(f"{field}: {value} bytes")
    load = result.first_load
    print(
        f"first load of {load.documents} documents: {load.parts} parts, {load.bytes} bytes "
        f"({load.deflated_bytes} if compressed), {load.store_milliseconds:.0f} ms on the store "
        f"leader, {load.node_milliseconds:.0f} ms on the node; "
        f"at {ALLOWED_BYTES_PER_SECOND} bytes/s it would take {load.seconds_at_allowance:.0f} s"
    )
    print(
        f"memory at {load.documents} documents: "
        f"control {result.control_memory_bytes / 1e6:.1f} MB, "
        f"store {result.store_memory_bytes / 1e6:.1f} MB, "
        f"node {result.node_memory_bytes / 1e6:.1f} MB"
    )
    for line in result.lines:
        print(line.to_text())
    print(
        f"at {CHANGES_PER_DAY} changes a day and {load.documents} documents, a node takes in "
        f"{result.change_bytes_per_node_second:.1f} bytes/s of changes and spends "
        f"{result.change_core_fraction_per_node * 100:.4f}% of a core on them"
    )
