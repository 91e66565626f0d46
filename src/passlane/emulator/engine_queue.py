"""Requests inside the engine model, and the queue of those that wait."""

import heapq
import itertools
from dataclasses import dataclass
from typing import Self

from passlane.emulator.engine_outputs import FinishedRequest, FinishReason, Submission


@dataclass(slots=True)
class EngineRequest:
    """A request with its progress.

    Attributes
    ----------
    cached_tokens
        Prompt tokens that the prefix cache saved.
    computed_tokens
        Tokens of prompt and resumed text that need no more prefill.
    position
        Next token of the answer to generate.
    fails_at
        Position at which the stream breaks off, as drawn; ``None`` when it doesn't.
    """

    submission: Submission
    cached_tokens: int = 0
    computed_tokens: int = 0
    position: int = 0
    is_running: bool = False
    fails_at: int | None = None

    @classmethod
    def create(cls, submission: Submission, fails_at: int | None) -> Self:
        """Return the request as it enters the queue."""
        return cls(submission=submission, position=submission.resume_from, fails_at=fails_at)

    @property
    def context_tokens(self) -> int:
        """Tokens to compute before generation starts: prompt and resumed text."""
        return self.submission.prompt_tokens + self.submission.resume_from

    @property
    def needed_tokens(self) -> int:
        """Memory for prompt and whole answer."""
        return self.submission.prompt_tokens + self.submission.answer_tokens

    @property
    def prefill_left(self) -> int:
        """Tokens still to prefill; 0 while decoding."""
        return max(0, self.context_tokens - self.computed_tokens)

    @property
    def end_position(self) -> int:
        """Position at which generation stops, at the end or at the drawn failure."""
        if self.fails_at is None:
            return self.submission.answer_tokens
        return self.fails_at

    @property
    def valid_tokens(self) -> int:
        """Tokens whose cache entries are computed."""
        generated = self.position - self.submission.resume_from
        return min(self.computed_tokens, self.context_tokens) + generated

    def finished(self, reason: FinishReason) -> FinishedRequest:
        """Return the output that tells the request's end."""
        return FinishedRequest(
            attempt_id=self.submission.attempt_id,
            program_id=self.submission.program_id,
            reason=reason,
            prompt_tokens=self.submission.prompt_tokens,
            cached_tokens=self.cached_tokens,
            generated_tokens=self.position - self.submission.resume_from,
        )


class WaitingQueue:
    """Requests in the order of priority, then of arrival."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, EngineRequest]] = []
        self._arrivals = itertools.count()
        self._withdrawn: set[str] = set()

    def __len__(self) -> int:
        return len(self._heap) - len(self._withdrawn)

    def add(self, request: EngineRequest) -> None:
        """Put a request in its place."""
        entry = (request.submission.priority, next(self._arrivals), request)
        heapq.heappush(self._heap, entry)

    def first(self) -> EngineRequest | None:
        """Return the request that is next, without taking it; ``None`` if none waits."""
        while self._heap:
            request = self._heap[0][2]
            attempt_id = request.submission.attempt_id
            if attempt_id not in self._withdrawn:
                return request
            self._withdrawn.discard(attempt_id)
            heapq.heappop(self._heap)
        return None

    def take_first(self) -> None:
        """Remove the request that ``first`` gave."""
        heapq.heappop(self._heap)

    def withdraw(self, attempt_id: str) -> None:
        """Remove a waiting request."""
        self._withdrawn.add(attempt_id)
