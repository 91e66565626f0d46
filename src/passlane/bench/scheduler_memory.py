"""Memory of the scheduler per engine watched, program and tenant.

Sizes are of Python objects as ``tracemalloc`` counts them, after everything that was
only needed on the way has been freed.
"""

import gc
import tracemalloc
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path

from passlane.bench.report_files import write_report
from passlane.bench.scheduler_load import (
    arriving_call,
    build_scheduler,
    cache_events,
    ended_call,
    load_report,
    started_calls,
)
from passlane.bench.straight_line import Line, measure_line
from passlane.configuration.documents import TenantBody
from passlane.decisions.scheduling.call_scheduler import Scheduler
from passlane.identifiers import TenantId
from passlane.node.admission import Admission

ENGINE_POINTS = (16, 128, 528)
PROGRAM_POINTS = (500, 2_000, 8_000)
TENANT_POINTS = (1_000, 10_000, 39_000)
CACHED_PROGRAMS_PER_ENGINE = 20
CALLS_PER_TENANT_S = 2.0
KIB = 1024
REPORT_FILE = "scheduler-memory.json"


def run(report: Path | None) -> int:
    """Measure all series, print them and write ``scheduler-memory.json``."""
    lines = [
        _measure("engines watched, 20 cached programs each", "engines", ENGINE_POINTS, _engines),
        _measure("programs remembered", "programs", PROGRAM_POINTS, _programs),
        _measure("tenants with a call each, then idle", "tenants", TENANT_POINTS, _idle_tenants),
        _measure("tenants that use up their rate", "tenants", TENANT_POINTS, _busy_tenants),
    ]
    for line in lines:
        for point in line.points:
            print(f"{line.name}: x={point.x:.0f} {point.y:.1f} KiB")
        print(line.to_text())
    write_report(report, REPORT_FILE, lines)
    return 0


def _measure(name: str, x_unit: str, sizes: Iterable[int], build: Callable[[int], object]) -> Line:
    return measure_line(name, x_unit, "KiB", sizes, partial(_kept_kib, build))


def _kept_kib(build: Callable[[int], object], size: int) -> float:
    gc.collect()
    tracemalloc.start()
    try:
        kept = build(size)
        gc.collect()
        current, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return current / KIB


def _engines(count: int) -> Scheduler:
    scheduler = build_scheduler(count, max_batch=16)
    for engine in range(count):
        scheduler.handle(load_report(engine), 0.0)
        scheduler.handle(cache_events(engine, 1, CACHED_PROGRAMS_PER_ENGINE), 0.0)
    return scheduler


def _programs(count: int) -> Scheduler:
    scheduler = build_scheduler(16, max_batch=16)
    for number in range(count):
        now = number * 0.1
        output = scheduler.handle(arriving_call(number, count), now)
        for call_id in started_calls(output):
            scheduler.handle(ended_call(call_id), now)
    return scheduler


def _idle_tenants(count: int) -> Admission:
    return _admission(count, seconds_between=1.0)


def _busy_tenants(count: int) -> Admission:
    return _admission(count, seconds_between=0.0)


def _admission(count: int, seconds_between: float) -> Admission:
    admission = Admission(max_requests=count)
    tenant = TenantBody(service="s", calls_per_second=CALLS_PER_TENANT_S)
    for number in range(count):
        with admission.admit(TenantId(f"t{number}"), tenant, number * seconds_between):
            pass
    return admission
