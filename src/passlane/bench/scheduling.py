"""Scheduling experiments: program latency and wasted cache against three baselines."""

from collections.abc import Iterable
from pathlib import Path

from passlane.bench.baselines import Strategy
from passlane.bench.report_files import write_report
from passlane.bench.results import HEADER, RunResult, format_row, latency_of
from passlane.bench.virtual_fleet import FLOOD_TENANT, RunPlan, Scenario, VirtualFleet
from passlane.bench.workloads import MUSIC_HOUSE, TOP_UP, Deployment

SEEDS = (1, 2, 3)
LOADS = {TOP_UP.name: 9.0, MUSIC_HOUSE.name: 0.8}
"""Programs that start in a second; docs/design/placement-and-cache.md says why these."""
DURATIONS_S = {TOP_UP.name: 180.0, MUSIC_HOUSE.name: 900.0}
"""Long enough for several lives of a program."""
WARM_UP_SHARE = 1 / 6
SWEEP_LOADS = {
    TOP_UP.name: (4.0, 7.0, 9.0, 12.0, 16.0),
    MUSIC_HOUSE.name: (0.4, 0.8, 1.2),
}


def run_one(plan: RunPlan) -> RunResult:
    """Run one plan and return what it measured."""
    fleet = VirtualFleet(plan)
    fleet.run()
    measured = [item for item in fleet.results if item.plan.starts_at >= plan.warm_up_s]
    completed = [item for item in measured if item.completed]
    victims = [
        item
        for item in completed
        if item.plan.tenant != FLOOD_TENANT
        and not item.plan.has_hung_tool
        and item.plan.starts_at >= plan.duration_s / 3
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
        unused_token_seconds=fleet.waste.unused_token_seconds,
        unfinished=fleet.unfinished,
        failed=len(measured) - len(completed),
        refusals=sum(item.refusals for item in fleet.results),
        busy_fraction=busy_s / (len(engines) * fleet.heap.now),
    )


def run_many(
    plans: Iterable[RunPlan], report: Path | None = None, name: str = ""
) -> list[RunResult]:
    """Run all plans, print a line for each and return the results.

    The report is written after each run, so that one that is cut short leaves a part.
    """
    print(HEADER)
    results = []
    for plan in plans:
        results.append(run_one(plan))
        print(format_row(results[-1]), flush=True)
        write_report(report, f"{name}.json", results)
    return results


def run_quick(report: Path | None) -> int:
    """Steady load, one seed."""
    plans = [
        _plan(deployment, Scenario.STEADY, strategy, 1)
        for deployment in (TOP_UP, MUSIC_HOUSE)
        for strategy in Strategy
    ]
    run_many(plans, report, "scheduling-quick")
    return 0


def run_all(report: Path | None) -> int:
    """All scenarios, both deployments, the stated seeds."""
    run_top_up(report)
    return run_music_house(report)


def run_top_up(report: Path | None) -> int:
    """All scenarios and the stated seeds for the top-up association."""
    return _run_deployment(TOP_UP, report)


def run_music_house(report: Path | None) -> int:
    """All scenarios and the stated seeds for the music house."""
    return _run_deployment(MUSIC_HOUSE, report)


def _run_deployment(deployment: Deployment, report: Path | None) -> int:
    plans = [
        _plan(deployment, scenario, strategy, seed)
        for seed in SEEDS
        for scenario in Scenario
        for strategy in Strategy
    ]
    results = run_many(plans, report, f"scheduling-{deployment.name}")
    if report is not None:
        from passlane.bench.plots import plot_results

        plot_results(results, report)
    return 0


def run_sweep(report: Path | None) -> int:
    """Steady load at several rates, one seed."""
    plans = [
        _plan(deployment, Scenario.STEADY, strategy, SEEDS[0], programs_per_s)
        for deployment in (TOP_UP, MUSIC_HOUSE)
        for programs_per_s in SWEEP_LOADS[deployment.name]
        for strategy in Strategy
    ]
    results = run_many(plans, report, "scheduling-sweep")
    if report is not None:
        from passlane.bench.plots import plot_sweep

        plot_sweep(results, report)
    return 0


def _plan(
    deployment: Deployment,
    scenario: Scenario,
    strategy: Strategy,
    seed: int,
    programs_per_s: float | None = None,
) -> RunPlan:
    duration_s = DURATIONS_S[deployment.name]
    return RunPlan(
        deployment=deployment,
        strategy=strategy,
        scenario=scenario,
        programs_per_s=programs_per_s or LOADS[deployment.name],
        seed=seed,
        duration_s=duration_s,
        warm_up_s=duration_s * WARM_UP_SHARE,
    )
