"""Runs many scenarios with many seeds, one after another or spread over processes."""

import multiprocessing
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from passlane.simulation.defects.catalog import DEFECTS
from passlane.simulation.execution import RunResult, run_scenario
from passlane.simulation.scenarios.catalog import SCENARIOS


@dataclass(frozen=True)
class RunRequest:
    """One run to be made; names, so that it can be sent to another process."""

    scenario: str
    seed: int
    defect: str | None = None


def run_one(request: RunRequest) -> RunResult:
    """Make one run."""
    defect = None if request.defect is None else DEFECTS[request.defect]
    return run_scenario(SCENARIOS[request.scenario], request.seed, defect)


def run_all(requests: Sequence[RunRequest], jobs: int) -> Iterator[RunResult]:
    """Make all runs and yield their results in the order of the requests.

    Parameters
    ----------
    requests
        The runs.
    jobs
        Processes to spread them over; with 1 they are made in this process. A run gives
        the same result in either way.
    """
    if jobs == 1:
        yield from map(run_one, requests)
        return
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(max_workers=jobs, mp_context=context) as pool:
        yield from pool.map(run_one, requests)
