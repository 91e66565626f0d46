"""What is fixed about a call, and where it is on its path."""

import enum
from dataclasses import dataclass

from passlane.identifiers import CallId
from passlane.messages.common import Amounts
from passlane.messages.store import CallKind


class CallPhase(enum.Enum):
    """Where a call is on its path."""

    CREATED = enum.auto()
    RECORDING_INTENT = enum.auto()
    PLACING = enum.auto()
    RUNNING = enum.auto()
    PAUSED_BEFORE_RETRY = enum.auto()
    ASKING_STATUS = enum.auto()
    PAUSED_BEFORE_STATUS = enum.auto()
    RECORDING_OUTCOME = enum.auto()
    ANSWERED = enum.auto()


@dataclass(frozen=True, slots=True)
class CallPlan:
    """What is fixed about a call.

    Attributes
    ----------
    new_prompt_tokens
        Estimated tokens of the caller's new messages, which are charged to the budget.
    reserve
        Reserved from the budget; the call never spends more.
    price_micros
        Price of a tool call that ran.
    offers_status
        Whether the application tells what became of an operation.
    is_named
        Whether the caller can ask for the outcome again.
    resume_texts
        Texts of tokens that the caller already has.
    """

    call_id: CallId
    kind: CallKind
    target: str
    repeatable: bool
    max_tokens: int
    reserve: Amounts
    new_prompt_tokens: int = 0
    price_micros: int = 0
    offers_status: bool = False
    is_named: bool = False
    resume_texts: tuple[str, ...] = ()
