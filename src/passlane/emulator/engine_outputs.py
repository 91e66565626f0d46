"""What goes into the engine model and what comes out, as typed values.

The model works with numbers of tokens; their text is made by ``answer_text`` where
somebody reads it.
"""

import enum
from dataclasses import dataclass

from passlane.identifiers import ProgramId


@dataclass(frozen=True, slots=True)
class Submission:
    """A request as the model sees it.

    Attributes
    ----------
    prompt_tokens
        Tokens of all messages.
    answer_tokens
        Length of the whole answer; known to the model only.
    resume_from
        Tokens of the answer that the caller has; generation goes on after them.
    epoch
        Fencing token of the program's leader.
    priority
        Lower is served first.
    """

    attempt_id: str
    program_id: ProgramId
    model: str
    prompt_tokens: int
    answer_tokens: int
    epoch: int = 0
    priority: int = 0
    resume_from: int = 0


class RefusalReason(enum.StrEnum):
    """Why the engine takes no request; in each case nothing ran."""

    QUEUE_FULL = "queue_full"
    MODEL_NOT_LOADED = "model_not_loaded"
    STALE_EPOCH = "stale_epoch"
    TOO_LONG = "too_long"
    DUPLICATE_ATTEMPT = "duplicate_attempt"
    OTHER_VERSION = "other_version"


class FinishReason(enum.StrEnum):
    """How a request left the engine."""

    STOP = "stop"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class GeneratedTokens:
    """Tokens ``first_position`` up to, not including, ``end_position`` of one answer."""

    attempt_id: str
    first_position: int
    end_position: int


@dataclass(frozen=True, slots=True)
class FinishedRequest:
    """The end of a request with its usage; ``generated_tokens`` is of this attempt only."""

    attempt_id: str
    program_id: ProgramId
    reason: FinishReason
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int


@dataclass(frozen=True, slots=True)
class StepOutput:
    """All that one step of the engine gave; ``time`` is when the step ended."""

    time: float
    tokens: tuple[GeneratedTokens, ...]
    finished: tuple[FinishedRequest, ...]
