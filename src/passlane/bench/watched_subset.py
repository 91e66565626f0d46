"""Program latency and wasted cache by how many engines of a model each node watches.

A fleet eight times as large as the top-up association's, at the same load per engine.
Each node polls its watched engines at the rate that it is allowed at the size designed
for, so that watching more of them makes each report older.
"""

import dataclasses
from pathlib import Path

import msgspec

from passlane.bench.baselines import Strategy
from passlane.bench.report_files import write_report
from passlane.bench.results import HEADER, RunResult, format_row
from passlane.bench.scheduling import run_one
from passlane.bench.virtual_fleet import RunPlan, Scenario
from passlane.bench.workloads import TOP_UP
from passlane.decisions.inputs.call_scheduler_config import SchedulerConfig

SCALE = 8
NODES = 16
PROGRAMS_PER_S = 9.0 * SCALE
WATCHED_POINTS = (2, 4, 8, 16, 48)
MAX_POLLS_PER_S = 4.0
DURATION_S = 30.0
WARM_UP_S = 6.0
SEED = 1
REPORT_FILE = "watched-subset.json"


class SubsetResult(msgspec.Struct, frozen=True):
    """What one run measured with so many engines watched by each node."""

    watched: int
    result: RunResult


def run(report: Path | None) -> int:
    """Run all points, print them and write ``watched-subset.json``."""
    print(f"{'watched':>8} {HEADER}")
    results = []
    for watched in WATCHED_POINTS:
        results.append(SubsetResult(watched, run_one(_plan(watched))))
        print(f"{watched:8} {format_row(results[-1].result)}", flush=True)
    write_report(report, REPORT_FILE, results)
    return 0


def _plan(watched: int) -> RunPlan:
    deployment = dataclasses.replace(
        TOP_UP, name=f"topup-x{SCALE}", engines=TOP_UP.engines * SCALE, nodes=NODES
    )
    return RunPlan(
        deployment=deployment,
        strategy=Strategy.PASSLANE,
        scenario=Scenario.STEADY,
        programs_per_s=PROGRAMS_PER_S,
        seed=SEED,
        duration_s=DURATION_S,
        warm_up_s=WARM_UP_S,
        config=SchedulerConfig(watched_engines_per_model=watched),
        max_polls_per_s=MAX_POLLS_PER_S,
    )
