"""Instructions of the state machine of one call (``CallMachine``), executed by its runner."""

from dataclasses import dataclass

from passlane.messages.node import CallAnswered, CallRefused
from passlane.messages.store import CallOutcome, Turn


@dataclass(frozen=True, slots=True)
class RecordIntent:
    """Send ``BeginCall`` to the store and report ``IntentRecorded`` or ``IntentRefused``."""


@dataclass(frozen=True, slots=True)
class RecordEndedBackend:
    """Record how many back ends have ended under the call; report ``EndedBackendRecorded``."""

    ended_backends: int


@dataclass(frozen=True, slots=True)
class RequestPlacement:
    """Ask the scheduler for a back end; ``excluded`` ones have failed this call."""

    excluded: frozenset[str]
    resume_from: int


@dataclass(frozen=True, slots=True)
class WithdrawPlacement:
    """Withdraw a placement request that is still pending."""


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the call to a back end; the answer resumes after ``resume_from`` received tokens.

    ``resume_version`` is the software version that generated them; empty if unknown.
    """

    attempt_id: str
    backend: str
    priority: int
    resume_from: int
    resume_text: str
    resume_version: str = ""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Abandon an attempt: close its connection, which tells the back end to stop."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class QueryStatus:
    """Query the application for the status of the operation; report ``StatusReceived``."""


@dataclass(frozen=True, slots=True)
class WaitBeforeRetry:
    """Report ``RetryDue`` after ``delay_s`` seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Send ``FinishCall`` to the store; report ``OutcomeRecorded`` or ``OutcomeRefused``."""

    outcome: CallOutcome
    turns: tuple[Turn, ...]


@dataclass(frozen=True, slots=True)
class SendToken:
    """Forward a token of the answer to the callers."""

    position: int
    text: str


@dataclass(frozen=True, slots=True)
class SendAnswer:
    """Send the callers their last event, which ends this request.

    Attributes
    ----------
    left_open
        Whether no outcome was recorded, so that a repeat of the call may run it.
    proved_not_run
        Whether nothing of the call has run so far.
    """

    answer: CallAnswered | CallRefused
    left_open: bool = False
    proved_not_run: bool = False


CallInstruction = (
    RecordIntent
    | RecordEndedBackend
    | RequestPlacement
    | WithdrawPlacement
    | StartAttempt
    | CancelAttempt
    | QueryStatus
    | WaitBeforeRetry
    | RecordOutcome
    | SendToken
    | SendAnswer
)
