"""Plots of the scheduling experiments."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot
from matplotlib.axes import Axes

from passlane.bench.baselines import Strategy
from passlane.bench.results import Measure, RunResult
from passlane.bench.virtual_fleet import Scenario

FIGURE_INCHES = (10.0, 7.5)
DOTS_PER_INCH = 110


def plot_results(results: Sequence[RunResult], folder: Path) -> None:
    """Draw one picture for each deployment: a panel for each measure, a bar for each run.

    Bars are means over the seeds; the lines on them reach from the least to the most.
    """
    for deployment in sorted({result.deployment for result in results}):
        chosen = [result for result in results if result.deployment == deployment]
        figure, panels = pyplot.subplots(2, 2, figsize=FIGURE_INCHES)
        measures: tuple[tuple[str, Measure], ...] = (
            ("program latency p95, s", lambda r: r.program.p95_s),
            ("program latency p99, s", lambda r: r.program.p99_s),
            ("recomputed tokens, millions", lambda r: r.recomputed_tokens / 1e6),
            ("held for gone programs, million token-s", lambda r: r.idle_token_seconds / 1e6),
        )
        for panel, (title, measure) in zip(panels.flat, measures, strict=True):
            _draw_panel(panel, chosen, title, measure)
        panels[0][0].legend(fontsize=8)
        figure.suptitle(deployment)
        figure.tight_layout()
        figure.savefig(folder / f"scheduling-{deployment}.png", dpi=DOTS_PER_INCH)
        pyplot.close(figure)


def plot_sweep(results: Sequence[RunResult], folder: Path) -> None:
    """Draw p95 program latency against the load, a line for each strategy."""
    for deployment in sorted({result.deployment for result in results}):
        figure, panel = pyplot.subplots(figsize=(7.0, 4.5))
        for strategy in Strategy:
            points = sorted(
                (result.programs_per_s, result.program.p95_s)
                for result in results
                if result.deployment == deployment and result.strategy is strategy
            )
            panel.plot(
                [load for load, _ in points],
                [latency for _, latency in points],
                marker="o",
                label=strategy.value,
            )
        panel.set_xlabel("programs started in a second")
        panel.set_ylabel("program latency p95, s")
        panel.set_yscale("log")
        panel.set_title(deployment)
        panel.legend()
        figure.tight_layout()
        figure.savefig(folder / f"sweep-{deployment}.png", dpi=DOTS_PER_INCH)
        pyplot.close(figure)


def _draw_panel(panel: Axes, results: Sequence[RunResult], title: str, measure: Measure) -> None:
    scenarios = [item for item in Scenario if any(result.scenario is item for result in results)]
    width = 0.8 / len(Strategy)
    for position, strategy in enumerate(Strategy):
        heights, below, above = [], [], []
        for scenario in scenarios:
            values = [
                measure(result)
                for result in results
                if result.scenario is scenario and result.strategy is strategy
            ]
            mean_value = sum(values) / max(len(values), 1)
            heights.append(mean_value)
            below.append(mean_value - min(values, default=0.0))
            above.append(max(values, default=0.0) - mean_value)
        places = [index + position * width for index in range(len(scenarios))]
        panel.bar(places, heights, width, yerr=[below, above], capsize=2, label=strategy.value)
    panel.set_xticks([index + 0.4 for index in range(len(scenarios))])
    panel.set_xticklabels([item.value for item in scenarios], rotation=30, ha="right", fontsize=8)
    panel.set_title(title, fontsize=10)
