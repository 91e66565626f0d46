"""Entry point of ``passlane bench run`` and ``passlane bench list``."""

import sys
from pathlib import Path

from passlane.bench.registry import EXPERIMENTS, find_experiment

EXIT_UNKNOWN_EXPERIMENT = 2


def run(experiment: str, report_dir: str | None) -> int:
    """Run one experiment and return the exit code.

    Parameters
    ----------
    experiment
        Name of the experiment; see ``list_experiments``.
    report_dir
        Folder for JSON; made if there is none. ``None`` only prints.
    """
    found = find_experiment(experiment)
    if found is None:
        names = ", ".join(item.name for item in EXPERIMENTS)
        print(f"unknown experiment {experiment!r}; known are: {names}", file=sys.stderr)
        return EXIT_UNKNOWN_EXPERIMENT
    folder = None
    if report_dir is not None:
        folder = Path(report_dir)
        folder.mkdir(parents=True, exist_ok=True)
    return found.load()(folder)


def list_experiments() -> int:
    """Print the names of the experiments and what they measure; return 0."""
    for item in EXPERIMENTS:
        print(f"{item.name:20} {item.summary}")
    return 0
