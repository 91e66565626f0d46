"""The immutable plan of a call and the phases of its state machine."""

import enum
from dataclasses import dataclass

from passlane.identifiers import CallId
from passlane.messages.common import Amounts
from passlane.messages.store import CallKind


class CallPhase(enum.Enum):
    """Phase of a call's state machine."""

    CREATED = enum.auto()
    RECORDING_INTENT = enum.auto()
    PLACING = enum.auto()
    RUNNING = enum.auto()
    RECORDING_ENDED_BACKEND = enum.auto()
    PAUSED_BEFORE_RETRY = enum.auto()
    QUERYING_STATUS = enum.auto()
    PAUSED_BEFORE_STATUS = enum.auto()
    RECORDING_OUTCOME = enum.auto()
    ANSWERED = enum.auto()


@dataclass(frozen=True, slots=True)
class CallPlan:
    """Parameters of a call that do not change while it runs.

    Attributes
    ----------
    new_prompt_tokens
        Estimated tokens of the caller's new messages, which are charged to the budget.
    reserve
        Amounts reserved from the budget; the recorded spending never exceeds them.
    price_micros
        Price of a tool call that ran, in millionths of the currency unit.
    offers_status
        Whether the application answers status queries about an operation.
    is_named
        Whether the caller can repeat the call to get its outcome again.
    resume_texts
        Texts of the tokens that the caller has already received.
    resume_version
        Software version of the engine that generated them; empty if unknown.
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
    resume_version: str = ""
