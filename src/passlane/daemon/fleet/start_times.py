"""Times from the start of a node's process to the milestones of its startup, as one log line.

For: finding the step that dominates the recovery after a loss of all processes.
Owns: the times of one startup.
Relies on: the entry point for the time at which the process started.
"""

import enum
from collections.abc import Awaitable, Callable

import anyio

from passlane.observability.logging import get_logger

_log = get_logger(__name__)


class StartupMilestone(enum.StrEnum):
    """A milestone of a node's startup."""

    RUNNING = "running"
    """The code is imported and the event loop runs."""
    CONFIGURATION = "configuration"
    """The node has received a configuration."""
    STORE_LEADER = "store_leader"
    """The node has found the leader of the store group."""
    FIRST_ANSWER = "first_answer"
    """The node has relayed an answer of a backend."""


class StartupTimes:
    """Records when the milestones of a startup are reached and logs them together.

    Parameters
    ----------
    started_at
        Local time, in seconds, at which the process started.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._seconds: dict[StartupMilestone, float] = {}

    def record(self, milestone: StartupMilestone) -> None:
        """Record that a milestone is reached now."""
        self._seconds[milestone] = round(anyio.current_time() - self._started_at, 3)

    async def record_after(
        self, milestone: StartupMilestone, wait: Callable[[], Awaitable[object]]
    ) -> None:
        """Record a milestone once ``wait`` returns."""
        await wait()
        self.record(milestone)

    def log(self) -> None:
        """Log the seconds from the start of the process to each milestone."""
        _log.info(
            "start_completed", **{f"{milestone}_s": s for milestone, s in self._seconds.items()}
        )
