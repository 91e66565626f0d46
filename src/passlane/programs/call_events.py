"""Input events of the state machine of one call (``CallMachine``)."""

from dataclasses import dataclass

from passlane.errors import ErrorCode, Verdict
from passlane.messages.backends import OperationState
from passlane.messages.store import CallRecord


@dataclass(frozen=True, slots=True)
class IntentRecorded:
    """The store recorded the call's intent.

    Attributes
    ----------
    call
        The call as recorded.
    already_recorded
        Whether the intent was already recorded before this request.
    proved_not_run
        Whether this leader knows that no earlier attempt ran.
    ended_backends
        Back ends that ended while they ran the call, at earlier requests for it.
    """

    call: CallRecord
    already_recorded: bool
    proved_not_run: bool = False
    ended_backends: int = 0


@dataclass(frozen=True, slots=True)
class IntentRefused:
    """The store refused the intent or could not be reached; this request ran nothing."""

    code: ErrorCode
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class PlacementGranted:
    """The scheduler placed the call on ``backend``, an engine or an application."""

    backend: str
    priority: int = 0


@dataclass(frozen=True, slots=True)
class PlacementRefused:
    """The scheduler refused the call before any attempt was started."""

    code: ErrorCode
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class TokenReceived:
    """A token of an attempt's answer; ``position`` is its zero-based index in the answer.

    ``software_version`` is that of the engine; empty if it tells none.
    """

    attempt_id: str
    position: int
    text: str
    software_version: str = ""


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt completed.

    Attributes
    ----------
    body
        Answer of a tool; empty for a model, whose answer consists of its tokens.
    answer_tokens
        Length of the whole answer in tokens, including the part before ``resume_from``;
        ``None`` for a tool.
    """

    attempt_id: str
    body: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    answer_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without a complete answer.

    Attributes
    ----------
    verdict
        Whether the back end may have run the attempt.
    is_final
        The back end rejected the request; a retry would be rejected too.
    retry_allowed
        Whether the back end's retry budget allows another attempt.
    is_other_version
        Whether the engine refused to continue an answer that another software version began.
    backend_ended
        Whether the back end's process ended while it ran the attempt.
    """

    attempt_id: str
    verdict: Verdict
    code: ErrorCode
    message: str
    is_final: bool = False
    retry_allowed: bool = True
    retry_after_s: float | None = None
    is_other_version: bool = False
    backend_ended: bool = False


@dataclass(frozen=True, slots=True)
class EndedBackendRecorded:
    """The store recorded that a back end ended, or could not be reached."""


@dataclass(frozen=True, slots=True)
class StatusReceived:
    """Result of a status query; ``state`` is ``None`` if the application gave no answer."""

    state: OperationState | None
    result: str = ""


@dataclass(frozen=True, slots=True)
class RetryDue:
    """The delay before the next attempt or status query has elapsed."""


@dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """The store recorded the outcome."""


@dataclass(frozen=True, slots=True)
class OutcomeRefused:
    """The store did not confirm the outcome: leadership was lost, or it was unreachable."""

    code: ErrorCode
    message: str


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The last caller waiting for this answer disconnected."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller's deadline passed."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The program is being ended or passed its deadline; ``code`` is returned to the caller."""

    code: ErrorCode
    message: str


CallMachineEvent = (
    IntentRecorded
    | IntentRefused
    | PlacementGranted
    | PlacementRefused
    | TokenReceived
    | AttemptFinished
    | AttemptFailed
    | EndedBackendRecorded
    | StatusReceived
    | RetryDue
    | OutcomeRecorded
    | OutcomeRefused
    | CallerDisconnected
    | DeadlinePassed
    | StopRequested
)
