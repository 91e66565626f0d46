"""Names of the experiments and where each one's code is.

The modules are imported only when their experiment is run, so that listing them is fast.
"""

import importlib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

ExperimentFunction = Callable[[Path | None], int]
"""Runs an experiment, writes its report below the folder if one is given, and returns
the exit code: 0 if it ran to its end."""


@dataclass(frozen=True)
class Experiment:
    """An experiment that ``passlane bench run`` knows.

    Attributes
    ----------
    module, function
        Where its ``ExperimentFunction`` is.
    summary
        One line that says what it measures.
    """

    name: str
    module: str
    function: str
    summary: str

    def load(self) -> ExperimentFunction:
        """Import the experiment's module and return its function."""
        loaded: ExperimentFunction = getattr(importlib.import_module(self.module), self.function)
        return loaded


EXPERIMENTS: tuple[Experiment, ...] = (
    Experiment(
        "fleet-amre",
        "passlane.bench.fleet_run",
        "run_top_up",
        "the top-up association's processes under load, kills, freezes and restarts",
    ),
    Experiment(
        "fleet-music",
        "passlane.bench.fleet_run",
        "run_music_house",
        "the music house's processes under load, kills, freezes and restarts",
    ),
    Experiment(
        "turn-cost",
        "passlane.bench.turn_cost",
        "run",
        "processor time of a turn at the store group's leader by step, latency by rate",
    ),
)


def find_experiment(name: str) -> Experiment | None:
    """Return the experiment of that name, or ``None``."""
    return next((item for item in EXPERIMENTS if item.name == name), None)
