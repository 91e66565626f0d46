"""Wasted cache: what was computed twice, and what was held for programs that are gone."""

from collections import defaultdict
from collections.abc import Iterable

from passlane.bench.event_heap import EventHeap
from passlane.bench.virtual_engine import VirtualEngine
from passlane.bench.virtual_node import CallResult
from passlane.identifiers import EngineId, ProgramId

SAMPLE_S = 0.5


class CacheWaste:
    """Counts both kinds of waste from outside the scheduler.

    Attributes
    ----------
    recomputed_tokens
        Prompt tokens that had been computed or generated before for the same program
        and were computed again.
    needed_tokens
        Prompt tokens that had to be computed because they were new.
    idle_token_seconds
        Tokens times seconds held by engines for programs whose last call was over,
        from samples every half second.
    unused_token_seconds
        Tokens times seconds of entries that no later call used at their engine: those
        of gone programs, and copies of programs that went on elsewhere.
    """

    def __init__(self, heap: EventHeap, engines: Iterable[VirtualEngine]) -> None:
        self.recomputed_tokens = 0
        self.needed_tokens = 0
        self.idle_token_seconds = 0.0
        self._held: dict[tuple[EngineId, ProgramId], float] = defaultdict(float)
        self._used_token_seconds = 0.0
        self._held_token_seconds = 0.0
        self._heap = heap
        self._engines = list(engines)
        self._known: dict[ProgramId, int] = {}
        self._gone: set[ProgramId] = set()

    @property
    def unused_token_seconds(self) -> float:
        """Token-seconds held so far by entries that no later call used."""
        return self._held_token_seconds - self._used_token_seconds

    def start(self) -> None:
        """Begin to take samples."""
        self._heap.after(SAMPLE_S, self._sample)

    def record_call(self, program_id: ProgramId, result: CallResult) -> None:
        """Count a call that ran."""
        if result.engine_id is not None:
            held = self._held.pop((result.engine_id, program_id), 0.0)
            if result.cached_tokens > 0:
                self._used_token_seconds += held
        known = min(self._known.get(program_id, 0), result.prompt_tokens)
        # An engine always computes the last prompt token, which no cache can save.
        again = max(known - result.cached_tokens - 1, 0)
        self.recomputed_tokens += again
        self.needed_tokens += max(result.prompt_tokens - result.cached_tokens - again, 0)
        self._known[program_id] = result.prompt_tokens + result.generated_tokens

    def record_last_call(self, program_id: ProgramId) -> None:
        """Note that a program will make no more calls, told to the scheduler or not."""
        self._gone.add(program_id)

    def _sample(self) -> None:
        for engine in self._engines:
            for program_id, tokens in engine.model.cache.tokens_by_program().items():
                self._held[engine.engine_id, program_id] += tokens * SAMPLE_S
                self._held_token_seconds += tokens * SAMPLE_S
                if program_id in self._gone:
                    self.idle_token_seconds += tokens * SAMPLE_S
        self._heap.after(SAMPLE_S, self._sample)
