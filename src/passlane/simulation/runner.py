"""Runs a coroutine on trio with a virtual clock and a seeded run queue."""

import math
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import trio
import trio._core._run as trio_run

ResultType = TypeVar("ResultType")


class VirtualClock(trio.abc.Clock):
    """A clock that stands still while a task can run, and jumps to the next deadline else.

    Trio asks how long to sleep only when no task is ready; that is when this clock jumps.
    ``trio.testing.MockClock`` does the same by a second turn of the loop for each jump,
    and also waits for real I/O, of which a simulation has none.
    """

    def __init__(self) -> None:
        self._now = 0.0

    def start_clock(self) -> None:
        """Do nothing; time begins at zero."""

    def current_time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Jump to ``deadline`` and return that there is no need to sleep.

        Without a deadline only a wake-up from outside the loop can go on, such as the
        closing of a collected generator at the end of a run.
        """
        if math.isinf(deadline):
            return deadline
        self._now = max(self._now, deadline)
        return 0.0


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
    return anyio.run(main, backend="trio", backend_options={"clock": VirtualClock()})
