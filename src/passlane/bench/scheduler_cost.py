"""Processor time of the scheduler per call, report and change of the fleet.

Measured at a node's share of 820 calls a second and its subset of 2,200 engines with 33
models.
"""

import time
from collections.abc import Callable, Iterable
from pathlib import Path

from passlane.bench.report_files import write_report
from passlane.bench.scheduler_load import (
    arriving_call,
    build_scheduler,
    cache_events,
    ended_call,
    engine_bodies,
    load_report,
    started_calls,
)
from passlane.bench.straight_line import Line, measure_line
from passlane.decisions.inputs import call_events as events
from passlane.identifiers import CallId

QUEUED_POINTS = (0, 100, 300, 1_000)
WATCHED_POINTS = (4, 8, 16, 32, 64)
TENANT_POINTS = (5, 20, 100, 300)
FLEET_POINTS = (16, 300, 1_000, 2_200)
CALLS_MEASURED = 2_000
REPORTS_MEASURED = 2_000
EVENTS_PER_REPORT = 4
DEFAULT_WATCHED = 16
DEFAULT_TENANTS = 20
MODELS = 33
MICROSECONDS = 1e6
REPORT_FILE = "scheduler-cost.json"


def run(report: Path | None) -> int:
    """Measure all series, print them and write ``scheduler-cost.json``."""
    lines = [
        _measure("a call, others waiting", "calls waiting", QUEUED_POINTS, _cost_by_queued),
        _measure("a call, by engines", "engines watched", WATCHED_POINTS, _cost_by_watched),
        _measure("a call, by tenants", "active tenants", TENANT_POINTS, _cost_by_tenants),
        _measure("a load report with 4 cache events", "engines watched", WATCHED_POINTS, _report),
        _measure("a change of engines, 33 models", "engines in the fleet", FLEET_POINTS, _change),
    ]
    for line in lines:
        for point in line.points:
            print(f"{line.name}: x={point.x:.0f} {point.y:.1f} us")
        print(line.to_text())
    write_report(report, REPORT_FILE, lines)
    return 0


def _measure(name: str, x_unit: str, sizes: Iterable[int], cost: Callable[[int], float]) -> Line:
    return measure_line(name, x_unit, "microseconds", sizes, cost)


def _cost_by_queued(queued: int) -> float:
    return _call_cost(queued, DEFAULT_WATCHED, DEFAULT_TENANTS)


def _cost_by_watched(watched: int) -> float:
    return _call_cost(0, watched, DEFAULT_TENANTS)


def _cost_by_tenants(tenants: int) -> float:
    return _call_cost(0, DEFAULT_WATCHED, tenants)


def _call_cost(queued: int, watched: int, tenants: int) -> float:
    """Return the cost of a call: its arrival, start and end, with others waiting."""
    scheduler = build_scheduler(watched, max_batch=1)
    now, number = 0.0, 0
    running: list[CallId] = []
    # Fill the engines, which take two calls more than their batch; then queue others.
    while len(running) < watched * 3:
        running += started_calls(scheduler.handle(arriving_call(number, tenants), now))
        number += 1
    for _ in range(queued):
        running += started_calls(scheduler.handle(arriving_call(number, tenants), now))
        number += 1
    start = time.process_time()
    for _ in range(CALLS_MEASURED):
        now += 0.01
        running += started_calls(scheduler.handle(arriving_call(number, tenants), now))
        number += 1
        running += started_calls(scheduler.handle(ended_call(running.pop(0)), now))
    return (time.process_time() - start) / CALLS_MEASURED * MICROSECONDS


def _report(watched: int) -> float:
    """Return the cost of one load report with the cache events since the last."""
    scheduler = build_scheduler(watched, max_batch=16)
    reports = [
        (
            load_report(number % watched),
            cache_events(
                number % watched, number // watched * EVENTS_PER_REPORT + 1, EVENTS_PER_REPORT
            ),
        )
        for number in range(REPORTS_MEASURED)
    ]
    start = time.process_time()
    for number, (load, stored) in enumerate(reports):
        now = number * 0.25 / watched
        scheduler.handle(load, now)
        scheduler.handle(stored, now)
    return (time.process_time() - start) / REPORTS_MEASURED * MICROSECONDS


def _change(fleet: int) -> float:
    """Return the cost of taking in a changed list of engines of the whole fleet."""
    scheduler = build_scheduler(DEFAULT_WATCHED, max_batch=16)
    changes = 5
    bodies = engine_bodies(fleet, 16, MODELS)
    start = time.process_time()
    for _ in range(changes):
        scheduler.handle(events.EnginesChanged(bodies), 0.0)
    return (time.process_time() - start) / changes * MICROSECONDS
