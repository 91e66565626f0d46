"""Runs a coroutine on trio with a virtual clock and a seeded run queue."""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import trio
import trio._core._run as trio_run
import trio.testing

ResultType = TypeVar("ResultType")


def run_simulation(main: Callable[[], Awaitable[ResultType]], seed: int) -> ResultType:
    """Run ``main`` on a virtual clock that jumps to the next deadline when all wait.

    Trio shuffles the tasks that are ready by a module-wide random generator. Its
    state is set from ``seed`` here, as hypothesis' support for trio does, so that the same
    seed gives the same order.

    Parameters
    ----------
    main
        The coroutine function to run.
    seed
        Decides the order of ready tasks.
    """
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    trio_run._r.seed(seed)
    random.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})
