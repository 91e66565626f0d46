"""Decides which caches of paused programs are released, or moved from a leaving engine.

It owns the times at which paused programs become overdue and the statistics of their pauses.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from passlane.decisions.backends.engine_view import EngineView
from passlane.decisions.inputs.call_scheduler_config import SchedulerConfig
from passlane.decisions.order.attained_service import AttainedService, ProgramProgress
from passlane.decisions.order.pauses import PauseStatistics
from passlane.identifiers import EngineId, ProgramId


@dataclass(frozen=True, slots=True)
class CacheMove:
    """Import of a program's cache by another engine."""

    program_id: ProgramId
    destination: EngineId


class CacheRetention:
    """Weighs the return of paused programs against the pressure on an engine's cache.

    Each pause has a time at which the program becomes overdue: a high quantile of the pauses
    of its kind plus a margin, without the margin if its engine's cache is nearly full.
    """

    def __init__(self, config: SchedulerConfig) -> None:
        self._config = config
        self._pauses = PauseStatistics(config.retention)
        self._overdue_at: list[tuple[float, float, ProgramId]] = []

    def pause(
        self,
        program_id: ProgramId,
        progress: ProgramProgress,
        engine: EngineView | None,
    ) -> None:
        """Record that a program started a tool call or that its caller disconnected."""
        if not self._config.retention.enabled or progress.paused_at is None:
            return
        under_pressure = (
            engine is not None and engine.cache_pressure() >= self._config.retention.pressure
        )
        wait_s = self._pauses.overdue_after_s(progress.expected_s, under_pressure=under_pressure)
        entry = (progress.paused_at + wait_s, progress.paused_at, program_id)
        heapq.heappush(self._overdue_at, entry)

    def resume(self, progress: ProgramProgress, now: float) -> None:
        """Record that a paused program made its next call."""
        if progress.paused_at is not None:
            self._pauses.learn(progress.expected_s, now - progress.paused_at)

    def next_overdue(self) -> float | None:
        """Return the earliest time at which a paused program may become overdue."""
        return self._overdue_at[0][0] if self._overdue_at else None

    def take_overdue(self, programs: AttainedService, now: float) -> list[ProgramId]:
        """Remove and return the programs that have become overdue."""
        overdue = []
        while self._overdue_at and self._overdue_at[0][0] <= now:
            _, paused_at, program_id = heapq.heappop(self._overdue_at)
            progress = programs.get(program_id)
            if progress is not None and progress.paused_at == paused_at:
                overdue.append(program_id)
        return overdue

    def moves_from(
        self,
        leaving: EngineView,
        others: Iterable[EngineView],
        programs: AttainedService,
        now: float,
    ) -> list[CacheMove]:
        """Return the caches of a leaving engine to move, with their destinations.

        A cache is moved when the import takes less time than computing it again, the
        program is expected to return, and another engine of the model has free capacity.
        """
        if not self._config.retention.enabled:
            return []
        free_tokens = {
            engine.engine_id: engine.body.cache_tokens - engine.cached_tokens()
            for engine in others
            if not engine.leaving
            and set(engine.body.models) & set(leaving.body.models)
            and engine.breaker.allows(now)
        }
        moves = []
        for program_id in self._by_expected_return(leaving, programs, now):
            tokens = leaving.cache.tokens_of(program_id)
            if not free_tokens or not self._is_import_faster(tokens):
                continue
            destination = max(free_tokens, key=lambda engine_id: free_tokens[engine_id])
            if free_tokens[destination] < tokens:
                continue
            free_tokens[destination] -= tokens
            moves.append(CacheMove(program_id, destination))
        return moves

    def _by_expected_return(
        self, leaving: EngineView, programs: AttainedService, now: float
    ) -> list[ProgramId]:
        returning: list[tuple[float, ProgramId]] = []
        for program_id in leaving.cache.programs():
            progress = programs.get(program_id)
            if progress is None:
                continue
            idle_since = now if progress.paused_at is None else progress.paused_at
            returning.append((idle_since + progress.expected_s, program_id))
        return [program_id for _, program_id in sorted(returning)]

    def _is_import_faster(self, tokens: int) -> bool:
        engine = self._config.engine
        return tokens > 0 and engine.import_tokens_per_s > engine.prefill_tokens_per_s
