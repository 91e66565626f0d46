"""Events that the state machine of one call is told of."""

from dataclasses import dataclass

from passlane.errors import ErrorCode, Verdict
from passlane.messages.backends import OperationState
from passlane.messages.store import CallRecord


@dataclass(frozen=True, slots=True)
class IntentRecorded:
    """The store holds the call; ``already_recorded`` when it was begun before.

    ``proved_not_run`` is set when this leader itself saw every earlier attempt refused.
    """

    call: CallRecord
    already_recorded: bool
    proved_not_run: bool = False


@dataclass(frozen=True, slots=True)
class IntentRefused:
    """The store refused the call or could not be reached; nothing ran."""

    code: ErrorCode
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class StartOrdered:
    """The scheduler found a place: ``backend`` is an engine or an application."""

    backend: str
    priority: int = 0


@dataclass(frozen=True, slots=True)
class StartRefused:
    """The scheduler gave the call up before it was started anywhere."""

    code: ErrorCode
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class TokenReceived:
    """A token of an answer; ``position`` counts the answer's tokens from 0."""

    attempt_id: str
    position: int
    text: str


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt brought its whole answer.

    ``body`` is the tool's answer; a model's answer is made of its tokens. ``answer_tokens``
    is the length of the whole answer, resumed part included; ``None`` for a tool.
    """

    attempt_id: str
    body: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    answer_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without its answer.

    Attributes
    ----------
    verdict
        Whether the back end may have run it.
    is_final
        The back end rejected the request itself; sending it again would not help.
    retry_allowed
        Whether the back end's retry budget has room for one more attempt.
    """

    attempt_id: str
    verdict: Verdict
    code: ErrorCode
    message: str
    is_final: bool = False
    retry_allowed: bool = True
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class StatusReceived:
    """An application's answer about an operation; ``state`` is ``None`` if it gave none."""

    state: OperationState | None
    result: str = ""


@dataclass(frozen=True, slots=True)
class RetryDue:
    """The pause before the next attempt or status query is over."""


@dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """The store holds the outcome."""


@dataclass(frozen=True, slots=True)
class OutcomeRefused:
    """The store would not take the outcome: leadership was lost, or it stayed away."""

    code: ErrorCode
    message: str


@dataclass(frozen=True, slots=True)
class CallerGone:
    """Nobody waits for this answer any more."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller's time is up."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The program is to end, or has used up its time; ``code`` tells the caller why."""

    code: ErrorCode
    message: str


CallEventIn = (
    IntentRecorded
    | IntentRefused
    | StartOrdered
    | StartRefused
    | TokenReceived
    | AttemptFinished
    | AttemptFailed
    | StatusReceived
    | RetryDue
    | OutcomeRecorded
    | OutcomeRefused
    | CallerGone
    | DeadlinePassed
    | StopRequested
)
