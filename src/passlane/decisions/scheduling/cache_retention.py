"""Which caches of paused programs are released, or moved off a leaving engine."""

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
    """A program's cache that is better imported elsewhere than computed again."""

    program_id: ProgramId
    destination: EngineId


class CacheRetention:
    """Weighs the return of paused programs against the pressure on an engine's cache.

    Each pause gets a time at which the program is overdue: a margin above the longest
    usual pause of its kind, without the margin if its engine's cache is nearly full.
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
        """Note that a program went to a tool or that its caller went away."""
        if not self._config.retention.enabled or progress.paused_at is None:
            return
        under_pressure = (
            engine is not None and engine.cache_pressure() >= self._config.retention.pressure
        )
        wait_s = self._pauses.overdue_after_s(progress.expected_s, under_pressure=under_pressure)
        entry = (progress.paused_at + wait_s, progress.paused_at, program_id)
        heapq.heappush(self._overdue_at, entry)

    def resume(self, progress: ProgramProgress, now: float) -> None:
        """Note that a paused program made its next call."""
        if progress.paused_at is not None:
            self._pauses.learn(progress.expected_s, now - progress.paused_at)

    def next_overdue(self) -> float | None:
        """Return when the next paused program may be overdue."""
        return self._overdue_at[0][0] if self._overdue_at else None

    def take_overdue(self, programs: AttainedService, now: float) -> list[ProgramId]:
        """Return the programs that are overdue since the last time."""
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
        """Return where the caches of a leaving engine should be imported.

        A cache is moved when the import takes less time than computing it again, the
        program is expected back, and another engine of the model has room for it.
        """
        if not self._config.retention.enabled:
            return []
        rooms = {
            engine.engine_id: engine.body.cache_tokens - engine.cached_tokens()
            for engine in others
            if not engine.leaving
            and set(engine.body.models) & set(leaving.body.models)
            and engine.breaker.allows(now)
        }
        moves = []
        for program_id in self._soonest_first(leaving, programs, now):
            tokens = leaving.cache.tokens_of(program_id)
            if not rooms or not self._is_import_faster(tokens):
                continue
            destination = max(rooms, key=lambda engine_id: rooms[engine_id])
            if rooms[destination] < tokens:
                continue
            rooms[destination] -= tokens
            moves.append(CacheMove(program_id, destination))
        return moves

    def _soonest_first(
        self, leaving: EngineView, programs: AttainedService, now: float
    ) -> list[ProgramId]:
        returning: list[tuple[float, ProgramId]] = []
        for program_id in leaving.cache.programs():
            progress = programs.get(program_id)
            if progress is None:
                continue
            back_at = now if progress.paused_at is None else progress.paused_at
            returning.append((back_at + progress.expected_s, program_id))
        return [program_id for _, program_id in sorted(returning)]

    def _is_import_faster(self, tokens: int) -> bool:
        engine = self._config.engine
        return tokens > 0 and engine.import_tokens_per_s > engine.prefill_tokens_per_s
