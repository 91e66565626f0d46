"""Scheduling experiments: program latency and wasted cache against three baselines."""

from collections.abc import Iterable
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from passlane.bench.baselines import Strategy
from passlane.bench.virtual_client import ProgramResult
from passlane.bench.virtual_fleet import FLOOD_TENANT, RunPlan, Scenario, VirtualFleet
from passlane.bench.workloads import MUSIC_HOUSE, TOP_UP, Deployment
from passlane.scheduling.config import SchedulerConfig

MICROSECONDS = 1_000_000
MAX_LATENCY_MICROSECONDS = 3_600 * MICROSECONDS
SIGNIFICANT_DIGITS = 3
SEEDS = (1, 2, 3)
LOADS = {TOP_UP.name: 9.0, MUSIC_HOUSE.name: 0.8}
"""Programs that start in a second; see docs/design/placement.md for how it was chosen."""
DURATIONS_S = {TOP_UP.name: 180.0, MUSIC_HOUSE.name: 900.0}
"""Long enough for several lives of a program."""
WARM_UP_SHARE = 1 / 6


class Latency(msgspec.Struct, frozen=True):
    """Percentiles of program latency in seconds."""

    count: int
    p50_s: float
    p95_s: float
    p99_s: float


class RunResult(msgspec.Struct, frozen=True):
    """What one run measured.

    Attributes
    ----------
    program, victims
        Latency of all measured programs, and of those that are not the flooding
        tenant's and began after the scenario's disturbance.
    recomputed_tokens, needed_tokens, idle_token_seconds
        Wasted cache; see ``cache_waste``.
    unfinished, failed, refusals
        Programs that had not ended at the limit, programs given up, refusals answered.
    busy_fraction
        Share of the run that engines spent computing.
    """

    deployment: str
    strategy: Strategy
    scenario: Scenario
    programs_per_s: float
    seed: int
    program: Latency
    victims: Latency
    recomputed_tokens: int
    needed_tokens: int
    idle_token_seconds: float
    unfinished: int
    failed: int
    refusals: int
    busy_fraction: float


def latency_of(results: Iterable[ProgramResult]) -> Latency:
    """Return percentiles of the programs' latencies, by an HDR histogram."""
    histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    for result in results:
        histogram.record_value(max(int(result.latency_s * MICROSECONDS), 1))

    def at(percentile: float) -> float:
        return float(histogram.get_value_at_percentile(percentile)) / MICROSECONDS

    return Latency(histogram.get_total_count(), at(50), at(95), at(99))


def run_one(plan: RunPlan) -> RunResult:
    """Run one plan and return what it measured."""
    fleet = VirtualFleet(plan)
    fleet.run()
    measured = [item for item in fleet.results if item.plan.starts_at >= plan.warm_up_s]
    completed = [item for item in measured if item.completed]
    victims = [
        item
        for item in completed
        if item.plan.tenant != FLOOD_TENANT and item.plan.starts_at >= plan.duration_s / 3
    ]
    engines = fleet.engines.values()
    busy_s = sum(engine.model.totals.busy_s for engine in engines)
    return RunResult(
        deployment=plan.deployment.name,
        strategy=plan.strategy,
        scenario=plan.scenario,
        programs_per_s=plan.programs_per_s,
        seed=plan.seed,
        program=latency_of(completed),
        victims=latency_of(victims),
        recomputed_tokens=fleet.waste.recomputed_tokens,
        needed_tokens=fleet.waste.needed_tokens,
        idle_token_seconds=fleet.waste.idle_token_seconds,
        unfinished=fleet.unfinished,
        failed=len(measured) - len(completed),
        refusals=sum(item.refusals for item in fleet.results),
        busy_fraction=busy_s / (len(engines) * fleet.heap.now),
    )


HEADER = (
    f"{'deployment':12}{'scenario':15}{'strategy':14}{'seed':>5}{'p50 s':>8}{'p95 s':>8}"
    f"{'p99 s':>8}{'victim95':>9}{'recomp k':>10}{'idle kts':>10}{'busy':>6}{'refus':>7}"
    f"{'unfin':>6}{'fail':>6}"
)


def format_row(result: RunResult) -> str:
    """Return one line of the printed table."""
    return (
        f"{result.deployment:12}{result.scenario:15}{result.strategy:14}{result.seed:5}"
        f"{result.program.p50_s:8.2f}{result.program.p95_s:8.2f}{result.program.p99_s:8.2f}"
        f"{result.victims.p95_s:9.2f}{result.recomputed_tokens / 1e3:10.0f}"
        f"{result.idle_token_seconds / 1e3:10.0f}{result.busy_fraction:6.2f}"
        f"{result.refusals:7}{result.unfinished:6}{result.failed:6}"
    )


def run_many(
    deployments: Iterable[Deployment],
    scenarios: Iterable[Scenario],
    strategies: Iterable[Strategy],
    seeds: Iterable[int],
    config: SchedulerConfig,
) -> list[RunResult]:
    """Run all combinations, print a line for each and return the results."""
    print(HEADER)
    results = []
    for deployment in deployments:
        for scenario in scenarios:
            for strategy in strategies:
                for seed in seeds:
                    duration_s = DURATIONS_S[deployment.name]
                    plan = RunPlan(
                        deployment=deployment,
                        strategy=strategy,
                        scenario=scenario,
                        programs_per_s=LOADS[deployment.name],
                        seed=seed,
                        duration_s=duration_s,
                        warm_up_s=duration_s * WARM_UP_SHARE,
                        config=config,
                    )
                    result = run_one(plan)
                    print(format_row(result), flush=True)
                    results.append(result)
    return results


def run_quick(report: Path | None) -> int:
    """Steady load, one seed."""
    results = run_many((TOP_UP, MUSIC_HOUSE), (Scenario.STEADY,), Strategy, (1,), SchedulerConfig())
    _write(report, "scheduling-quick", results)
    return 0


def run_all(report: Path | None) -> int:
    """All scenarios, both deployments, the stated seeds."""
    results = run_many((TOP_UP, MUSIC_HOUSE), Scenario, Strategy, SEEDS, SchedulerConfig())
    _write(report, "scheduling", results)
    return 0


def _write(report: Path | None, name: str, results: list[RunResult]) -> None:
    if report is not None:
        (report / f"{name}.json").write_bytes(
            msgspec.json.format(msgspec.json.encode(results), indent=1)
        )
