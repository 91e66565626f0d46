"""State machine of one call, from its intent to its answer.

The path of a call: intent recorded, placed, dispatched as an attempt, streaming, outcome
recorded, answered. Whether a failed attempt is repeated depends on its verdict alone: what
did not run may be sent again, a model call may be resumed elsewhere, and a tool call that
must not be repeated is never sent again once it may have run.
"""

from passlane.errors import ErrorCode, Verdict
from passlane.messages.backends import OperationState
from passlane.messages.node import CallAnswered, CallRefused
from passlane.messages.store import CallKind, CallOutcome, CallState
from passlane.programs.call_events import (
    AttemptFailed,
    AttemptFinished,
    CallerGone,
    CallEventIn,
    DeadlinePassed,
    IntentRecorded,
    IntentRefused,
    OutcomeRecorded,
    OutcomeRefused,
    RetryDue,
    StartOrdered,
    StartRefused,
    StatusReceived,
    StopRequested,
    TokenReceived,
)
from passlane.programs.call_instructions import (
    AskStatus,
    CallInstruction,
    CancelAttempt,
    RecordIntent,
    RecordOutcome,
    RequestPlacement,
    SendAnswer,
    SendToken,
    StartAttempt,
    WaitBeforeRetry,
    WithdrawPlacement,
)
from passlane.programs.call_outcomes import answer_turns, failed_outcome, ran_outcome
from passlane.programs.call_plan import CallPhase, CallPlan
from passlane.programs.recorded_answer import recorded_answer

MAX_ATTEMPTS = 4
"""Most attempts at one call within one request."""

MAX_STATUS_QUERIES = 6
"""Most status queries before a doubtful operation is answered as such."""

FIRST_RETRY_DELAY_S = 0.05
"""Pause before the first repeat; doubled for each further one."""

COME_BACK_AFTER_S = 1.0
"""Advice to callers when a back end failed and gave none of its own."""


class CallMachine:
    """Decides what happens next to one call; see the module's text.

    Parameters
    ----------
    attempt_prefix
        Begins the ids of its attempts; never used before.
    may_have_run
        Whether an earlier request for the same call may have run it.
    """

    def __init__(self, plan: CallPlan, attempt_prefix: str, *, may_have_run: bool = False) -> None:
        self.plan = plan
        self.phase = CallPhase.CREATED
        self.attempts = 0
        self.texts: list[str] = list(plan.resume_texts)
        self.sequence = -1
        self._attempt_prefix = attempt_prefix
        self._attempt_id: str | None = None
        self._backend = ""
        self._failed_backends: set[str] = set()
        self._status_queries = 0
        self._may_have_run = may_have_run
        self._caller_gone = False
        self._outcome: CallOutcome | None = None
        self._usage = AttemptFinished(attempt_id="")
        self._resumed_from = 0
        self._broken_tokens = 0
        self._last_failure: AttemptFailed | None = None

    @property
    def attempt_id(self) -> str | None:
        """Attempt whose answer counts; any other is late and is dropped."""
        return self._attempt_id

    @property
    def verdict_if_cut_off(self) -> Verdict:
        """What may be said of the call when its leader stops all work on it at this moment."""
        may_have_run = self._may_have_run or self._attempt_id is not None
        return Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN

    def start(self) -> list[CallInstruction]:
        """Return the first instruction of the call."""
        self.phase = CallPhase.RECORDING_INTENT
        return [RecordIntent()]

    def handle(self, event: CallEventIn, now: float) -> list[CallInstruction]:
        """Take one event at local time ``now`` (seconds) and return what to do."""
        del now
        if self.phase is CallPhase.ANSWERED:
            return []
        match event:
            case TokenReceived():
                return self._on_token(event)
            case IntentRecorded():
                return self._on_intent_recorded(event)
            case IntentRefused():
                return self._refuse(event.code, event.message, event.retry_after_s)
            case StartOrdered():
                return self._on_start_ordered(event)
            case StartRefused():
                return self._on_start_refused(event)
            case AttemptFinished():
                return self._on_attempt_finished(event)
            case AttemptFailed():
                return self._on_attempt_failed(event)
            case StatusReceived():
                return self._on_status(event)
            case RetryDue():
                return self._on_retry_due()
            case OutcomeRecorded():
                return self._on_outcome_recorded()
            case OutcomeRefused():
                return self._on_outcome_refused(event)
            case CallerGone():
                return self._on_caller_gone()
            case DeadlinePassed():
                return self._on_deadline()
            case StopRequested():
                return self._on_stop(event)

    # Intent.

    def _on_intent_recorded(self, event: IntentRecorded) -> list[CallInstruction]:
        if self.phase is not CallPhase.RECORDING_INTENT:
            return []
        self.sequence = event.call.sequence
        if event.call.state is CallState.FINISHED:
            self.phase = CallPhase.ANSWERED
            return [SendAnswer(recorded_answer(event.call))]
        if self._caller_gone and not self.plan.is_named:
            return self._give_up_unnamed()
        if event.already_recorded and not event.proved_not_run:
            # An earlier leader or an earlier request may have sent it already.
            self._may_have_run = True
            if not self._may_repeat_after_doubt:
                return self._resolve_doubt()
            self._broken_tokens += self.plan.max_tokens
        return self._place()

    # Placement and attempts.

    @property
    def _may_repeat_after_doubt(self) -> bool:
        return self.plan.kind is CallKind.MODEL or self.plan.repeatable

    def _place(self) -> list[CallInstruction]:
        self.phase = CallPhase.PLACING
        excluded = frozenset(self._failed_backends)
        return [RequestPlacement(excluded=excluded, resume_from=len(self.texts))]

    def _on_start_ordered(self, event: StartOrdered) -> list[CallInstruction]:
        if self.phase is not CallPhase.PLACING:
            return []
        self.phase = CallPhase.RUNNING
        self.attempts += 1
        self._backend = event.backend
        self._resumed_from = len(self.texts)
        self._attempt_id = f"{self._attempt_prefix}.{self.attempts}"
        return [
            StartAttempt(
                attempt_id=self._attempt_id,
                backend=event.backend,
                priority=event.priority,
                resume_from=len(self.texts),
                resume_text="".join(self.texts),
            )
        ]

    def _on_start_refused(self, event: StartRefused) -> list[CallInstruction]:
        if self.phase is not CallPhase.PLACING:
            return []
        return self._refuse(event.code, event.message, event.retry_after_s)

    def _on_token(self, event: TokenReceived) -> list[CallInstruction]:
        if self.phase is not CallPhase.RUNNING or event.attempt_id != self._attempt_id:
            return []
        if event.position < len(self.texts):
            return []
        if event.position > len(self.texts):
            return self._fail_on_gap(event)
        if len(self.texts) >= self.plan.max_tokens:
            return []
        self._may_have_run = True
        self.texts.append(event.text)
        return [SendToken(position=event.position, text=event.text)]

    def _fail_on_gap(self, event: TokenReceived) -> list[CallInstruction]:
        """Give up an attempt that lost a token: what follows would not be the answer."""
        failure = AttemptFailed(
            attempt_id=event.attempt_id,
            verdict=Verdict.MAY_HAVE_RUN,
            code=ErrorCode.BACKEND_FAILED,
            message=f"token {len(self.texts)} of the answer is missing",
        )
        return [CancelAttempt(event.attempt_id), *self._on_attempt_failed(failure)]

    def _on_attempt_finished(self, event: AttemptFinished) -> list[CallInstruction]:
        if self.phase is not CallPhase.RUNNING or event.attempt_id != self._attempt_id:
            return []
        if self.plan.kind is CallKind.MODEL and event.answer_tokens != len(self.texts):
            failure = AttemptFailed(
                attempt_id=event.attempt_id,
                verdict=Verdict.MAY_HAVE_RUN,
                code=ErrorCode.BACKEND_FAILED,
                message="the answer ended before its last token",
            )
            return self._on_attempt_failed(failure)
        self._usage = event
        body = event.body if self.plan.kind is CallKind.TOOL else "".join(self.texts)
        return self._record(self._ran(body))

    def _ran(self, body: str) -> CallOutcome:
        return ran_outcome(self.plan, body, self._most_generated())

    def _most_generated(self) -> int:
        """Return the tokens that engines may have generated, those of broken attempts included."""
        if not self._broken_tokens:
            return len(self.texts)
        return self._broken_tokens + len(self.texts) - self._resumed_from

    def _failed(self, verdict: Verdict, code: ErrorCode, message: str) -> CallOutcome:
        return failed_outcome(self.plan, verdict, code, message)

    def _on_attempt_failed(self, event: AttemptFailed) -> list[CallInstruction]:
        if self.phase is not CallPhase.RUNNING or event.attempt_id != self._attempt_id:
            return []
        self._attempt_id = None
        self._last_failure = event
        self._failed_backends.add(self._backend)
        if event.verdict is not Verdict.NOT_RUN:
            self._may_have_run = True
            self._broken_tokens += self.plan.max_tokens - self._resumed_from
            if not self._may_repeat_after_doubt:
                return self._resolve_doubt()
        if event.is_final:
            # The rejection speaks for its own attempt only.
            verdict = Verdict.MAY_HAVE_RUN if self._may_have_run else event.verdict
            return self._record(self._failed(verdict, event.code, event.message))
        if self.attempts >= MAX_ATTEMPTS or not event.retry_allowed:
            retry_after_s = event.retry_after_s or COME_BACK_AFTER_S
            return self._refuse(event.code, event.message, retry_after_s)
        if self.plan.kind is CallKind.MODEL:
            # Another engine is asked at once; the pause is for the only place there is.
            return self._place()
        self.phase = CallPhase.PAUSED_BEFORE_RETRY
        return [WaitBeforeRetry(self._retry_delay(self.attempts))]

    def _retry_delay(self, tries: int) -> float:
        return FIRST_RETRY_DELAY_S * float(2 ** max(0, tries - 1))

    def _on_retry_due(self) -> list[CallInstruction]:
        if self.phase is CallPhase.PAUSED_BEFORE_RETRY:
            return self._place()
        if self.phase is CallPhase.PAUSED_BEFORE_STATUS:
            self.phase = CallPhase.ASKING_STATUS
            return [AskStatus()]
        return []

    # Doubtful operations.

    def _resolve_doubt(self) -> list[CallInstruction]:
        """Find out what became of an operation that must not be sent again."""
        if not self.plan.offers_status or self._status_queries >= MAX_STATUS_QUERIES:
            return self._record_doubt()
        self._status_queries += 1
        if self._status_queries == 1:
            self.phase = CallPhase.ASKING_STATUS
            return [AskStatus()]
        self.phase = CallPhase.PAUSED_BEFORE_STATUS
        return [WaitBeforeRetry(self._retry_delay(self._status_queries))]

    def _record_doubt(self) -> list[CallInstruction]:
        code = self._last_failure.code if self._last_failure else ErrorCode.BACKEND_FAILED
        message = "the operation may have run and is not sent again"
        return self._record(self._failed(Verdict.MAY_HAVE_RUN, code, message))

    def _on_status(self, event: StatusReceived) -> list[CallInstruction]:
        if self.phase is not CallPhase.ASKING_STATUS:
            return []
        match event.state:
            case OperationState.DONE:
                return self._record(self._ran(event.result))
            case OperationState.REJECTED:
                message = event.result or "the application rejected the operation"
                outcome = self._failed(Verdict.NOT_RUN, ErrorCode.BACKEND_REFUSED, message)
                return self._record(outcome)
            case OperationState.UNKNOWN:
                message = "the application never ran the operation and no longer will"
                outcome = self._failed(Verdict.NOT_RUN, ErrorCode.BACKEND_FAILED, message)
                return self._record(outcome)
            case _:
                return self._resolve_doubt()

    # Outcome and answer.

    def _record(self, outcome: CallOutcome) -> list[CallInstruction]:
        self.phase = CallPhase.RECORDING_OUTCOME
        self._outcome = outcome
        return [RecordOutcome(outcome=outcome, turns=answer_turns(self.plan, outcome))]

    def _on_outcome_recorded(self) -> list[CallInstruction]:
        outcome = self._outcome
        if outcome is None:
            return []
        self.phase = CallPhase.ANSWERED
        if outcome.error_code is not None:
            refused = CallRefused(outcome.error_code, outcome.error_message, outcome.verdict)
            return [SendAnswer(refused)]
        answered = CallAnswered(
            sequence=self.sequence,
            verdict=outcome.verdict,
            body=outcome.body,
            prompt_tokens=self._usage.prompt_tokens,
            cached_tokens=self._usage.cached_tokens,
            generated_tokens=len(self.texts),
            attempts=self.attempts,
        )
        return [SendAnswer(answered)]

    def _on_outcome_refused(self, event: OutcomeRefused) -> list[CallInstruction]:
        if self.phase is not CallPhase.RECORDING_OUTCOME or self._outcome is None:
            return []
        self.phase = CallPhase.ANSWERED
        # The outcome may be recorded by a later leader, which the same request finds.
        verdict = self._outcome.verdict
        if verdict is Verdict.RAN:
            verdict = Verdict.MAY_HAVE_RUN
        refused = CallRefused(event.code, event.message, verdict, COME_BACK_AFTER_S)
        return [SendAnswer(refused, left_open=True)]

    def _refuse(
        self, code: ErrorCode, message: str, retry_after_s: float | None
    ) -> list[CallInstruction]:
        """Answer at once and leave the call open, so that the same call can be repeated."""
        self.phase = CallPhase.ANSWERED
        verdict = Verdict.MAY_HAVE_RUN if self._may_have_run else Verdict.NOT_RUN
        refused = CallRefused(code, message, verdict, retry_after_s)
        proved_not_run = not self._may_have_run
        return [SendAnswer(refused, left_open=True, proved_not_run=proved_not_run)]

    # The caller.

    def _on_caller_gone(self) -> list[CallInstruction]:
        self._caller_gone = True
        if self.plan.is_named or self.plan.kind is CallKind.TOOL:
            # The caller can ask again and then gets the outcome; let it come about.
            return []
        return self._give_up_unnamed()

    def _give_up_unnamed(self) -> list[CallInstruction]:
        """Leave the call open: its caller's node may have lost only the connection to here."""
        if self.phase is CallPhase.RECORDING_OUTCOME:
            return []
        if self.phase is CallPhase.RECORDING_INTENT and self.sequence < 0:
            return []
        message = "the caller left before the answer was complete"
        return self._stop_work() + self._refuse(ErrorCode.CONNECTION_LOST, message, None)

    def _stop_work(self) -> list[CallInstruction]:
        if self.phase is CallPhase.PLACING:
            return [WithdrawPlacement()]
        if self.phase is CallPhase.RUNNING and self._attempt_id is not None:
            attempt_id, self._attempt_id = self._attempt_id, None
            self._may_have_run = True
            return [CancelAttempt(attempt_id)]
        return []

    def _on_deadline(self) -> list[CallInstruction]:
        if self.phase is CallPhase.RECORDING_OUTCOME:
            return self._on_outcome_refused(
                OutcomeRefused(ErrorCode.DEADLINE_EXCEEDED, "the outcome was not recorded in time")
            )
        # A doubtful operation stays open: a repeat of the request, the program's next call
        # or the sweep finds out what became of it, while this caller is answered now.
        instructions = self._stop_work()
        message = "the call did not end within its time"
        refused = self._refuse(ErrorCode.DEADLINE_EXCEEDED, message, COME_BACK_AFTER_S)
        return instructions + refused

    def _on_stop(self, event: StopRequested) -> list[CallInstruction]:
        """Stop a model call; a tool call that is under way ends by itself, to be recorded."""
        is_tool_under_way = self.plan.kind is CallKind.TOOL and self.phase is not CallPhase.PLACING
        if self.phase is CallPhase.RECORDING_OUTCOME or is_tool_under_way:
            return []
        instructions = self._stop_work()
        return instructions + self._refuse(event.code, event.message, None)
