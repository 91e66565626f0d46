"""How long the parts of a start took, as one log line.

For: ``docs/design/start-after-loss.md`` tells which part binds after a loss of all processes.
Owns: the times of one start.
Relies on: who starts the process for its time.
"""

import enum
from collections.abc import Awaitable, Callable

import anyio

from passlane.observability.logging import get_logger

_log = get_logger(__name__)


class StartPhase(enum.StrEnum):
    """What a process that starts arrives at."""

    RUNNING = "running"
    """Its code is imported and its event loop runs."""
    CONFIGURATION = "configuration"
    """It has a configuration."""
    STORE_LEADER = "store_leader"
    """It has found the leader of the store group."""
    FIRST_ANSWER = "first_answer"
    """It has given an answer of a back end."""


class StartTimes:
    """Notes when the phases of a start are reached, and logs them together.

    Parameters
    ----------
    started_at
        Local time, in seconds, at which the process started.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._seconds: dict[StartPhase, float] = {}

    def reached(self, phase: StartPhase) -> None:
        """Note that a phase is reached now."""
        self._seconds[phase] = round(anyio.current_time() - self._started_at, 3)

    async def note_when(self, phase: StartPhase, wait: Callable[[], Awaitable[object]]) -> None:
        """Note a phase once ``wait`` returns."""
        await wait()
        self.reached(phase)

    def log(self) -> None:
        """Log the seconds from the start of the process to each phase."""
        _log.info("start_completed", **{f"{phase}_s": s for phase, s in self._seconds.items()})
