"""Which caches of paused programs are kept, released, or moved off a leaving engine."""

from collections.abc import Iterable
from dataclasses import dataclass

from passlane.identifiers import EngineId, ProgramId
from passlane.scheduling.attained_service import AttainedService, ProgramProgress
from passlane.scheduling.config import SchedulerConfig
from passlane.scheduling.engine_view import EngineView


@dataclass(frozen=True, slots=True)
class CacheMove:
    """A program's cache that is better imported elsewhere than computed again."""

    program_id: ProgramId
    destination: EngineId


class CacheRetention:
    """Weighs the return of paused programs against the pressure on an engine's cache."""

    def __init__(self, config: SchedulerConfig) -> None:
        self._config = config

    def to_release(
        self, engine: EngineView, programs: AttainedService, now: float
    ) -> list[ProgramId]:
        """Return the programs whose cache at a full engine is not worth keeping.

        Programs that are overdue go first, the longest overdue before the others, until
        the engine is below the pressure limit again.
        """
        if not self._config.retention.enabled:
            return []
        limit = self._config.retention.pressure * engine.body.cache_tokens
        excess = engine.cached_tokens() - limit
        if excess <= 0:
            return []
        overdue: list[tuple[float, ProgramId]] = []
        for program_id in engine.cache.programs():
            progress = programs.get(program_id)
            if progress is not None and self._is_overdue(progress, now):
                paused_s = now - (progress.paused_at or 0.0)
                overdue.append((-paused_s / max(progress.expected_s, 0.1), program_id))
        released = []
        for _, program_id in sorted(overdue):
            if excess <= 0:
                break
            excess -= engine.cache.tokens_of(program_id)
            released.append(program_id)
        return released

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
            if progress is None or self._is_overdue(progress, now):
                continue
            back_at = now if progress.paused_at is None else progress.paused_at
            returning.append((back_at + progress.expected_s, program_id))
        return [program_id for _, program_id in sorted(returning)]

    def _is_import_faster(self, tokens: int) -> bool:
        engine = self._config.engine
        return tokens > 0 and engine.import_tokens_per_s > engine.prefill_tokens_per_s

    def _is_overdue(self, progress: ProgramProgress, now: float) -> bool:
        if progress.active_calls > 0 or progress.paused_at is None:
            return False
        retention = self._config.retention
        limit_s = max(retention.overdue_factor * progress.expected_s, retention.min_overdue_s)
        return now - progress.paused_at > limit_s
