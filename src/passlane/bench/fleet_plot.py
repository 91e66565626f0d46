"""Plot of a fleet run: call latencies over time, with the disturbances marked."""

from collections.abc import Iterable, Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from passlane.bench.disturbances import Disturbance
from passlane.emulator.load import ProgramOutcome
from passlane.emulator.load_checks import with_children


def plot_run(
    path: Path, outcomes: Iterable[ProgramOutcome], disturbances: Sequence[Disturbance]
) -> None:
    """Write the plot of a run as PNG."""
    calls = [call for outcome in with_children(outcomes) for call in outcome.calls]
    points = [(call.result.ended_at_s, call.result.latency_s) for call in calls]
    figure, axes = pyplot.subplots(figsize=(10, 4))
    axes.scatter([at for at, _ in points], [latency for _, latency in points], s=4)
    for number, disturbance in enumerate(disturbances):
        axes.axvspan(disturbance.at_s, disturbance.healed_at_s, alpha=0.2, color="red")
        height = 0.97 - 0.06 * (number % 3)
        label = f"{disturbance.kind.value}\n{disturbance.target}"
        axes.text(disturbance.at_s, height, label, fontsize=6, transform=axes.get_xaxis_transform())
    axes.set_yscale("log")
    axes.set_xlabel("end of the call, seconds since the load began")
    axes.set_ylabel("latency of the call, seconds")
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
