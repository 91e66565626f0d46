"""Instructions that the state machine of one call gives to its shell."""

from dataclasses import dataclass

from passlane.messages.node import CallAnswered, CallRefused
from passlane.messages.store import CallOutcome, Turn


@dataclass(frozen=True, slots=True)
class RecordIntent:
    """Send ``BeginCall`` to the store and report ``IntentRecorded`` or ``IntentRefused``."""


@dataclass(frozen=True, slots=True)
class RequestPlacement:
    """Ask for a place to run; ``excluded`` back ends have failed this call."""

    excluded: frozenset[str]
    resume_from: int


@dataclass(frozen=True, slots=True)
class WithdrawPlacement:
    """Take back a request for a place that was not answered yet."""


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the call to a back end; ``resume_from`` tokens of the answer are there already."""

    attempt_id: str
    backend: str
    priority: int
    resume_from: int
    resume_text: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Abandon an attempt: close its connection and tell the engine."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class AskStatus:
    """Ask the application what became of the operation; report ``StatusReceived``."""


@dataclass(frozen=True, slots=True)
class WaitBeforeRetry:
    """Report ``RetryDue`` after ``delay_s`` seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Send ``FinishCall`` to the store and report the result."""

    outcome: CallOutcome
    turns: tuple[Turn, ...]


@dataclass(frozen=True, slots=True)
class SendToken:
    """Pass a token of the answer on to the caller."""

    position: int
    text: str


@dataclass(frozen=True, slots=True)
class SendAnswer:
    """Give the caller its last event; the call is over.

    ``left_open`` says that no outcome was recorded, so that the same call can be run when
    its caller repeats it; ``proved_not_run`` that nothing of it has run so far.
    """

    answer: CallAnswered | CallRefused
    left_open: bool = False
    proved_not_run: bool = False


CallInstruction = (
    RecordIntent
    | RequestPlacement
    | WithdrawPlacement
    | StartAttempt
    | CancelAttempt
    | AskStatus
    | WaitBeforeRetry
    | RecordOutcome
    | SendToken
    | SendAnswer
)
