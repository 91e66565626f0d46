"""Drives the state machine of one call and records the instructions it returns."""

from dataclasses import dataclass, field

from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import CallId, Epoch
from passlane.messages.common import Amounts
from passlane.messages.node import CallAnswered, CallRefused
from passlane.messages.store import CallKind, CallOutcome, CallRecord, CallState
from passlane.programs.call_events import (
    AttemptFailed,
    AttemptFinished,
    CallMachineEvent,
    IntentRecorded,
    OutcomeRecorded,
    PlacementGranted,
    TokenReceived,
)
from passlane.programs.call_instructions import (
    CallInstruction,
    CancelAttempt,
    RecordOutcome,
    SendAnswer,
    SendToken,
    StartAttempt,
)
from passlane.programs.call_machine import CallMachine
from passlane.programs.call_plan import CallPlan

MAX_ENDED_BACKENDS = 3
CALL_ID = CallId("p/k1")
PRICE_MICROS = 5


def call_plan(
    kind: CallKind = CallKind.MODEL,
    *,
    repeatable: bool | None = None,
    max_tokens: int = 4,
    offers_status: bool = True,
    is_named: bool = True,
    resume_texts: tuple[str, ...] = (),
    resume_version: str = "",
) -> CallPlan:
    """Return the plan of a model call, or of a charge that by default must not be repeated."""
    is_model = kind is CallKind.MODEL
    return CallPlan(
        call_id=CALL_ID,
        kind=kind,
        target="m" if is_model else "charge",
        repeatable=is_model if repeatable is None else repeatable,
        max_tokens=max_tokens if is_model else 0,
        reserve=Amounts(tokens=20, calls=1) if is_model else Amounts(0, 1, PRICE_MICROS),
        new_prompt_tokens=3 if is_model else 0,
        price_micros=0 if is_model else PRICE_MICROS,
        offers_status=offers_status and not is_model,
        is_named=is_named,
        resume_texts=resume_texts,
        resume_version=resume_version,
    )


def call_record(plan: CallPlan, outcome: CallOutcome | None = None) -> CallRecord:
    """Return the call as the store records it."""
    return CallRecord(
        call_id=plan.call_id,
        sequence=0,
        kind=plan.kind,
        target=plan.target,
        repeatable=plan.repeatable,
        request_digest="d",
        reserved=plan.reserve,
        epoch=Epoch(1),
        state=CallState.BEGUN if outcome is None else CallState.FINISHED,
        outcome=outcome,
    )


@dataclass
class CallDriver:
    """Runs one request for a call, from its start to its answer.

    Attributes
    ----------
    started, cancelled, tokens, outcomes, answers
        Instructions returned so far, by type.
    """

    plan: CallPlan
    prefix: str = "a"
    may_have_run: bool = False
    started: list[StartAttempt] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    tokens: list[SendToken] = field(default_factory=list)
    outcomes: list[RecordOutcome] = field(default_factory=list)
    answers: list[SendAnswer] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.machine = CallMachine(
            self.plan,
            self.prefix,
            max_ended_backends=MAX_ENDED_BACKENDS,
            may_have_run=self.may_have_run,
        )
        self.machine.start()

    def post(self, event: CallMachineEvent) -> list[CallInstruction]:
        """Pass the machine an event and record its instructions."""
        instructions = self.machine.handle(event, 0.0)
        for instruction in instructions:
            match instruction:
                case StartAttempt():
                    self.started.append(instruction)
                case CancelAttempt(attempt_id):
                    self.cancelled.append(attempt_id)
                case SendToken():
                    self.tokens.append(instruction)
                case RecordOutcome():
                    self.outcomes.append(instruction)
                case SendAnswer():
                    self.answers.append(instruction)
        return instructions

    # Common steps.

    def begin(
        self,
        *,
        already_recorded: bool = False,
        proved_not_run: bool = False,
        ended_backends: int = 0,
    ) -> None:
        """Report that the intent is recorded."""
        record = call_record(self.plan)
        self.post(IntentRecorded(record, already_recorded, proved_not_run, ended_backends))

    def dispatch(self, backend: str = "engine-1") -> str:
        """Report that the call is placed; return the attempt's id."""
        self.post(PlacementGranted(backend))
        return self.started[-1].attempt_id

    def token(
        self, position: int, attempt_id: str | None = None, version: str = ""
    ) -> list[CallInstruction]:
        """Report a token of an attempt, by default of the last one."""
        attempt_id = attempt_id or self._last()
        return self.post(TokenReceived(attempt_id, position, f"t{position}", version))

    def finish(self, answer_tokens: int | None = None, body: str = "") -> list[CallInstruction]:
        """Report that the last attempt completed."""
        return self.post(AttemptFinished(self._last(), body=body, answer_tokens=answer_tokens))

    def fail(
        self,
        verdict: Verdict,
        *,
        is_final: bool = False,
        retry_allowed: bool = True,
        retry_after_s: float | None = None,
        is_other_version: bool = False,
        backend_ended: bool = False,
    ) -> list[CallInstruction]:
        """Report that the last attempt failed."""
        return self.post(
            AttemptFailed(
                self._last(),
                verdict,
                ErrorCode.BACKEND_FAILED,
                "failed",
                is_final=is_final,
                retry_allowed=retry_allowed,
                retry_after_s=retry_after_s,
                is_other_version=is_other_version,
                backend_ended=backend_ended,
            )
        )

    def record_outcome(self) -> None:
        """Report that the outcome is recorded."""
        self.post(OutcomeRecorded())

    def _last(self) -> str:
        return self.started[-1].attempt_id

    # Events sent to the caller.

    @property
    def texts(self) -> list[str]:
        """Tokens sent to the caller."""
        return [token.text for token in self.tokens]

    @property
    def answered(self) -> CallAnswered:
        """The answer."""
        answer = self.answers[0].answer
        assert isinstance(answer, CallAnswered), answer
        return answer

    @property
    def refused(self) -> CallRefused:
        """The refusal."""
        answer = self.answers[0].answer
        assert isinstance(answer, CallRefused), answer
        return answer
