"""Processor time of the scheduler per call, by calls queued and by engines watched.

Gives the slopes for the capacity page: a node's share of 820 calls a second and its
subset of 2,200 engines.
"""

import random
import time
from pathlib import Path

import msgspec

from passlane.configuration.documents import EngineBody
from passlane.identifiers import CallId, EngineId, ProgramId, TenantId
from passlane.messages.backends import CacheEvent, CacheEventKind, CacheEvents, EngineLoad
from passlane.messages.common import Address
from passlane.scheduling import events, instructions
from passlane.scheduling.config import QueueConfig, SchedulerConfig
from passlane.scheduling.scheduler import Scheduler

QUEUED_POINTS = (0, 100, 300, 1_000)
WATCHED_POINTS = (4, 8, 16, 32, 64)
FLEET_POINTS = (16, 300, 1_000, 2_200)
CALLS_MEASURED = 2_000
REPORTS_MEASURED = 2_000
DEFAULT_WATCHED = 16
TENANTS = 20
MICROSECONDS = 1e6


class CostPoint(msgspec.Struct, frozen=True):
    """One measured point: ``microseconds`` of processor time for one ``unit``."""

    series: str
    unit: str
    x: int
    microseconds: float


class CostSlope(msgspec.Struct, frozen=True):
    """A straight line by least squares through one series."""

    series: str
    unit: str
    intercept_microseconds: float
    slope_microseconds: float


class CostReport(msgspec.Struct, frozen=True):
    """All points and slopes."""

    points: tuple[CostPoint, ...]
    slopes: tuple[CostSlope, ...]


def run(report: Path | None) -> int:
    """Measure all series, print them and write ``scheduler-cost.json``."""
    points = [
        *(CostPoint("queued", "call", n, _call_cost(n, DEFAULT_WATCHED)) for n in QUEUED_POINTS),
        *(CostPoint("watched", "call", n, _call_cost(0, n)) for n in WATCHED_POINTS),
        *(CostPoint("reports", "report", n, _report_cost(n)) for n in WATCHED_POINTS),
        *(CostPoint("fleet", "change of engines", n, _change_cost(n)) for n in FLEET_POINTS),
    ]
    slopes = [_fit([point for point in points if point.series == series]) for series in _SERIES]
    for point in points:
        print(f"{point.series:8} x={point.x:5} {point.microseconds:9.1f} us per {point.unit}")
    for slope in slopes:
        print(
            f"{slope.series:8} {slope.intercept_microseconds:9.1f} us + "
            f"{slope.slope_microseconds:.3f} us * x, per {slope.unit}"
        )
    if report is not None:
        content = CostReport(tuple(points), tuple(slopes))
        path = report / "scheduler-cost.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(content), indent=1))
    return 0


_SERIES = ("queued", "watched", "reports", "fleet")


def _fit(points: list[CostPoint]) -> CostSlope:
    count = len(points)
    mean_x = sum(point.x for point in points) / count
    mean_y = sum(point.microseconds for point in points) / count
    variance = sum((point.x - mean_x) ** 2 for point in points)
    covariance = sum((point.x - mean_x) * (point.microseconds - mean_y) for point in points)
    slope = covariance / variance
    return CostSlope(points[0].series, points[0].unit, mean_y - slope * mean_x, slope)


def _call_cost(queued: int, watched: int) -> float:
    """Return the cost of a call: its arrival, start and end, with others waiting."""
    scheduler = _scheduler(watched, max_batch=1)
    now, number = 0.0, 0
    running: list[CallId] = []
    # Fill the engines, then queue as many calls as asked for.
    while len(running) < watched * 3:
        running += _started(scheduler.handle(_call(number), now))
        number += 1
    for _ in range(queued):
        running += _started(scheduler.handle(_call(number), now))
        number += 1
    start = time.process_time()
    for _ in range(CALLS_MEASURED):
        now += 0.01
        running += _started(scheduler.handle(_call(number), now))
        number += 1
        call_id = running.pop(0)
        ended = events.CallEnded(call_id, True, 1_000, 500, 64)
        running += _started(scheduler.handle(ended, now))
    return (time.process_time() - start) / CALLS_MEASURED * MICROSECONDS


def _report_cost(watched: int) -> float:
    """Return the cost of one load report with the cache events since the last."""
    scheduler = _scheduler(watched, max_batch=16)
    reports = []
    for number in range(REPORTS_MEASURED):
        engine_id = EngineId(f"e{number % watched}")
        load = EngineLoad(engine_id, 1, 3, 0, 50_000, 20, ("m",), 0.25)
        first = number // watched * 4
        stored = tuple(
            CacheEvent(first + i + 1, CacheEventKind.STORED, ProgramId(f"p{first + i}"), 2_000)
            for i in range(4)
        )
        reports.append((load, events.CacheEventsReported(engine_id, CacheEvents(1, stored))))
    start = time.process_time()
    for number, (load, cache_events) in enumerate(reports):
        now = number * 0.25 / watched
        scheduler.handle(events.LoadReported(load), now)
        scheduler.handle(cache_events, now)
    return (time.process_time() - start) / REPORTS_MEASURED * MICROSECONDS


def _change_cost(fleet: int) -> float:
    """Return the cost of taking in a changed list of engines of the whole fleet."""
    scheduler = _scheduler(DEFAULT_WATCHED, max_batch=16)
    changes = 5
    bodies = _bodies(fleet, max_batch=16)
    start = time.process_time()
    for _ in range(changes):
        scheduler.handle(events.EnginesChanged(bodies), 0.0)
    return (time.process_time() - start) / changes * MICROSECONDS


def _scheduler(watched: int, max_batch: int) -> Scheduler:
    config = SchedulerConfig(
        queue=QueueConfig(max_calls=100_000), watched_engines_per_model=watched
    )
    scheduler = Scheduler("z0", random.Random(1), config, node_key="n1")
    scheduler.handle(events.EnginesChanged(_bodies(watched, max_batch)), 0.0)
    return scheduler


def _bodies(count: int, max_batch: int) -> dict[EngineId, EngineBody]:
    address = Address(host="127.0.0.1", port=1)
    return {
        EngineId(f"e{n}"): EngineBody(
            address=address, zone=f"z{n % 4}", models=("m",), max_batch=max_batch
        )
        for n in range(count)
    }


def _call(number: int) -> events.CallArrived:
    return events.CallArrived(
        call_id=CallId(f"c{number}"),
        program_id=ProgramId(f"p{number % 500}"),
        tenant_id=TenantId(f"t{number % TENANTS}"),
        model="m",
        prompt_tokens=1_000,
        max_tokens=64,
        deadline=1e9,
    )


def _started(output: list[instructions.Instruction]) -> list[CallId]:
    return [item.call_id for item in output if isinstance(item, instructions.StartCall)]
