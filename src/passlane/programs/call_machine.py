"""State machine of one call, from its intent to its answer.

A call passes through these steps: intent recorded, placed, attempt running, outcome recorded,
answered. An attempt that did not run may be retried. After one that may have run, a model call
resumes on another engine and a repeatable tool call is sent again, unless too many back ends have
ended while they ran it, over all requests for it. Any other tool call is never sent again; its
outcome is resolved by status queries.
"""

from passlane.errors import ErrorCode, Verdict
from passlane.messages.backends import OperationState
from passlane.messages.node import CallAnswered, CallRefused
from passlane.messages.store import CallKind, CallOutcome, CallState
from passlane.programs.call_events import (
    AttemptFailed,
    AttemptFinished,
    CallerDisconnected,
    CallMachineEvent,
    DeadlinePassed,
    EndedBackendRecorded,
    IntentRecorded,
    IntentRefused,
    OutcomeRecorded,
    OutcomeRefused,
    PlacementGranted,
    PlacementRefused,
    RetryDue,
    StatusReceived,
    StopRequested,
    TokenReceived,
)
from passlane.programs.call_instructions import (
    CallInstruction,
    CancelAttempt,
    QueryStatus,
    RecordEndedBackend,
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
"""Attempts at one call within one request."""

MAX_STATUS_QUERIES = 6
"""Status queries before an operation in doubt is recorded as ``MAY_HAVE_RUN``."""

INITIAL_RETRY_DELAY_S = 0.05
"""Delay before the first retry or repeated status query; doubled for each further one."""

DEFAULT_RETRY_AFTER_S = 1.0
"""Retry-after returned to callers when a back end failed without giving its own."""


class CallMachine:
    """Turns the events of one call into instructions; see the module's docstring.

    Parameters
    ----------
    attempt_prefix
        Prefix of the ids of its attempts; unique to this request.
    may_have_run
        Whether an earlier request for the same call may have run it.
    max_ended_backends
        Back ends that may end while they run the call; after that it fails.

    Attributes
    ----------
    texts
        Tokens of the answer so far.
    software_version
        Version of the engines that generate the answer, as the engine of its first token tells it.
    must_begin_anew
        Whether engines did not continue the answer because of their version, so that a repeat of
        the call has to begin it again.
    """

    def __init__(
        self,
        plan: CallPlan,
        attempt_prefix: str,
        *,
        max_ended_backends: int,
        may_have_run: bool = False,
    ) -> None:
        self.plan = plan
        self.phase = CallPhase.CREATED
        self.attempts = 0
        self.texts: list[str] = list(plan.resume_texts)
        self.software_version = plan.resume_version
        self.must_begin_anew = False
        self.sequence = -1
        self._attempt_prefix = attempt_prefix
        self._attempt_id: str | None = None
        self._backend = ""
        self._failed_backends: set[str] = set()
        self._status_queries = 0
        self._may_have_run = may_have_run
        self._caller_disconnected = False
        self._outcome: CallOutcome | None = None
        self._usage = AttemptFinished(attempt_id="")
        self._resumed_from = 0
        self._failed_attempt_tokens = 0
        self._other_versions: set[str] = set()
        self._last_failure: AttemptFailed | None = None
        self._max_ended_backends = max_ended_backends
        self._ended_backends = 0

    @property
    def attempt_id(self) -> str | None:
        """Current attempt; events of any other attempt are stale and dropped."""
        return self._attempt_id

    @property
    def verdict_if_aborted(self) -> Verdict:
        """Verdict of the call if its leader aborted it now."""
        may_have_run = self._may_have_run or self._attempt_id is not None
        return Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN

    def start(self) -> list[CallInstruction]:
        """Return the first instruction of the call."""
        self.phase = CallPhase.RECORDING_INTENT
        return [RecordIntent()]

    def handle(self, event: CallMachineEvent, now: float) -> list[CallInstruction]:
        """Handle one event at local monotonic time ``now`` (seconds); return the instructions."""
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
            case PlacementGranted():
                return self._on_placement_granted(event)
            case PlacementRefused():
                return self._on_placement_refused(event)
            case AttemptFinished():
                return self._on_attempt_finished(event)
            case AttemptFailed():
                return self._on_attempt_failed(event)
            case EndedBackendRecorded():
                return self._on_ended_backend_recorded()
            case StatusReceived():
                return self._on_status(event)
            case RetryDue():
                return self._on_retry_due()
            case OutcomeRecorded():
                return self._on_outcome_recorded()
            case OutcomeRefused():
                return self._on_outcome_refused(event)
            case CallerDisconnected():
                return self._on_caller_disconnected()
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
        self._ended_backends = max(self._ended_backends, event.ended_backends)
        if self._caller_disconnected and not self.plan.is_named:
            return self._abandon_unnamed()
        if event.already_recorded and not event.proved_not_run:
            # An earlier leader or an earlier request may already have sent the call.
            self._may_have_run = True
            if not self._may_retry_in_doubt:
                return self._resolve_doubt()
            self._failed_attempt_tokens += self.plan.max_tokens
        if self._ended_backends >= self._max_ended_backends:
            return self._record_too_many_ended()
        return self._place()

    # Placement and attempts.

    @property
    def _may_retry_in_doubt(self) -> bool:
        return self.plan.kind is CallKind.MODEL or self.plan.repeatable

    def _place(self) -> list[CallInstruction]:
        self.phase = CallPhase.PLACING
        excluded = frozenset(self._failed_backends)
        return [RequestPlacement(excluded=excluded, resume_from=len(self.texts))]

    def _on_placement_granted(self, event: PlacementGranted) -> list[CallInstruction]:
        if self.phase is not CallPhase.PLACING:
            return []
        self.phase = CallPhase.RUNNING
        self.attempts += 1
        self._backend = event.backend
        self._resumed_from = len(self.texts)
        self._attempt_id = f"{self._attempt_prefix}.{self.attempts + len(self._other_versions)}"
        return [
            StartAttempt(
                attempt_id=self._attempt_id,
                backend=event.backend,
                priority=event.priority,
                resume_from=len(self.texts),
                resume_text="".join(self.texts),
                resume_version=self.software_version,
            )
        ]

    def _on_placement_refused(self, event: PlacementRefused) -> list[CallInstruction]:
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
        if not self.texts:
            self.software_version = event.software_version
        elif event.software_version != self.software_version:
            return self._fail_on_other_version(event)
        self._may_have_run = True
        self.texts.append(event.text)
        return [SendToken(position=event.position, text=event.text)]

    def _fail_on_gap(self, event: TokenReceived) -> list[CallInstruction]:
        """Abandon an attempt whose stream skipped a token."""
        failure = AttemptFailed(
            attempt_id=event.attempt_id,
            verdict=Verdict.MAY_HAVE_RUN,
            code=ErrorCode.BACKEND_FAILED,
            message=f"token {len(self.texts)} of the answer is missing",
        )
        return [CancelAttempt(event.attempt_id), *self._on_attempt_failed(failure)]

    def _fail_on_other_version(self, event: TokenReceived) -> list[CallInstruction]:
        """Abandon an attempt that continues the answer at another software version."""
        self.must_begin_anew = True
        failure = AttemptFailed(
            attempt_id=event.attempt_id,
            verdict=Verdict.MAY_HAVE_RUN,
            code=ErrorCode.BACKEND_FAILED,
            message=f"the engine's software version is {event.software_version!r}, that of the "
            f"answer so far {self.software_version!r}",
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
        return self._record(self._ran_outcome(body))

    def _ran_outcome(self, body: str) -> CallOutcome:
        return ran_outcome(self.plan, body, self._max_generated_tokens())

    def _max_generated_tokens(self) -> int:
        """Return an upper bound of the generated tokens, including those of failed attempts."""
        if not self._failed_attempt_tokens:
            return len(self.texts)
        return self._failed_attempt_tokens + len(self.texts) - self._resumed_from

    def _failed_outcome(self, verdict: Verdict, code: ErrorCode, message: str) -> CallOutcome:
        return failed_outcome(self.plan, verdict, code, message)

    def _on_attempt_failed(self, event: AttemptFailed) -> list[CallInstruction]:
        if self.phase is not CallPhase.RUNNING or event.attempt_id != self._attempt_id:
            return []
        self._attempt_id = None
        self._last_failure = event
        self._failed_backends.add(self._backend)
        if event.verdict is not Verdict.NOT_RUN:
            self._may_have_run = True
            self._failed_attempt_tokens += self.plan.max_tokens - self._resumed_from
        if event.backend_ended:
            self._ended_backends += 1
            self.phase = CallPhase.RECORDING_ENDED_BACKEND
            return [RecordEndedBackend(self._ended_backends)]
        return self._continue_after(event)

    def _on_ended_backend_recorded(self) -> list[CallInstruction]:
        if self.phase is not CallPhase.RECORDING_ENDED_BACKEND or self._last_failure is None:
            return []
        return self._continue_after(self._last_failure)

    def _continue_after(self, event: AttemptFailed) -> list[CallInstruction]:
        """Retry after a failed attempt, or end the call."""
        if event.verdict is not Verdict.NOT_RUN and not self._may_retry_in_doubt:
            return self._resolve_doubt()
        if self._ended_backends >= self._max_ended_backends:
            return self._record_too_many_ended()
        if event.is_other_version:
            return self._place_elsewhere(event)
        if event.is_final:
            # The rejection covers this attempt only; an earlier one may have run.
            verdict = Verdict.MAY_HAVE_RUN if self._may_have_run else event.verdict
            return self._record(self._failed_outcome(verdict, event.code, event.message))
        if self.attempts >= MAX_ATTEMPTS or not event.retry_allowed:
            retry_after_s = event.retry_after_s or DEFAULT_RETRY_AFTER_S
            return self._refuse(event.code, event.message, retry_after_s)
        if self.plan.kind is CallKind.MODEL:
            # Another engine can be tried without a delay; a tool has only its one application.
            return self._place()
        self.phase = CallPhase.PAUSED_BEFORE_RETRY
        return [WaitBeforeRetry(self._retry_delay(self.attempts))]

    def _record_too_many_ended(self) -> list[CallInstruction]:
        """Record that the call failed, so that no repeat of it ends further back ends."""
        verdict = Verdict.MAY_HAVE_RUN if self._may_have_run else Verdict.NOT_RUN
        message = (
            f"{self._ended_backends} back ends ended while they ran this call, "
            "so it is not sent again"
        )
        return self._record(self._failed_outcome(verdict, ErrorCode.BACKEND_FAILED, message))

    def _place_elsewhere(self, event: AttemptFailed) -> list[CallInstruction]:
        """Try an engine of another version than the one that has just refused to continue.

        Such a refusal does not count as an attempt. The second one of an engine shows that no other
        engine is left.
        """
        if self._backend in self._other_versions:
            self.must_begin_anew = True
            message = f"no engine of software version {self.software_version!r} is available"
            return self._refuse(event.code, message, None)
        self._other_versions.add(self._backend)
        self.attempts -= 1
        return self._place()

    def _retry_delay(self, tries: int) -> float:
        return INITIAL_RETRY_DELAY_S * float(2 ** max(0, tries - 1))

    def _on_retry_due(self) -> list[CallInstruction]:
        if self.phase is CallPhase.PAUSED_BEFORE_RETRY:
            return self._place()
        if self.phase is CallPhase.PAUSED_BEFORE_STATUS:
            self.phase = CallPhase.QUERYING_STATUS
            return [QueryStatus()]
        return []

    # Operations in doubt.

    def _resolve_doubt(self) -> list[CallInstruction]:
        """Query the status of an operation in doubt that must not be sent again."""
        if not self.plan.offers_status or self._status_queries >= MAX_STATUS_QUERIES:
            return self._record_in_doubt()
        self._status_queries += 1
        if self._status_queries == 1:
            self.phase = CallPhase.QUERYING_STATUS
            return [QueryStatus()]
        self.phase = CallPhase.PAUSED_BEFORE_STATUS
        return [WaitBeforeRetry(self._retry_delay(self._status_queries))]

    def _record_in_doubt(self) -> list[CallInstruction]:
        code = self._last_failure.code if self._last_failure else ErrorCode.BACKEND_FAILED
        message = "the operation may have run and is not sent again"
        return self._record(self._failed_outcome(Verdict.MAY_HAVE_RUN, code, message))

    def _on_status(self, event: StatusReceived) -> list[CallInstruction]:
        if self.phase is not CallPhase.QUERYING_STATUS:
            return []
        match event.state:
            case OperationState.DONE:
                return self._record(self._ran_outcome(event.result))
            case OperationState.REJECTED:
                message = event.result or "the application rejected the operation"
                outcome = self._failed_outcome(Verdict.NOT_RUN, ErrorCode.BACKEND_REFUSED, message)
                return self._record(outcome)
            case OperationState.UNKNOWN:
                message = "the application never ran the operation and no longer will"
                outcome = self._failed_outcome(Verdict.NOT_RUN, ErrorCode.BACKEND_FAILED, message)
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
        # A later leader may record the outcome; a repeat of the request then finds it.
        verdict = self._outcome.verdict
        if verdict is Verdict.RAN:
            verdict = Verdict.MAY_HAVE_RUN
        refused = CallRefused(event.code, event.message, verdict, DEFAULT_RETRY_AFTER_S)
        return [SendAnswer(refused, left_open=True)]

    def _refuse(
        self, code: ErrorCode, message: str, retry_after_s: float | None
    ) -> list[CallInstruction]:
        """Answer without recording an outcome, so that the same call can be repeated."""
        self.phase = CallPhase.ANSWERED
        verdict = Verdict.MAY_HAVE_RUN if self._may_have_run else Verdict.NOT_RUN
        refused = CallRefused(code, message, verdict, retry_after_s)
        proved_not_run = not self._may_have_run
        return [SendAnswer(refused, left_open=True, proved_not_run=proved_not_run)]

    # The caller.

    def _on_caller_disconnected(self) -> list[CallInstruction]:
        self._caller_disconnected = True
        if self.plan.is_named or self.plan.kind is CallKind.TOOL:
            # A named call can be repeated to get its outcome, and a tool call must be recorded.
            return []
        return self._abandon_unnamed()

    def _abandon_unnamed(self) -> list[CallInstruction]:
        """Cancel the call but leave it open: its caller's node may reconnect and resend it."""
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
        # An operation in doubt stays open: a repeat of the request, the program's next call
        # or the sweep resolves it later.
        instructions = self._stop_work()
        message = "the call did not end within its time"
        refused = self._refuse(ErrorCode.DEADLINE_EXCEEDED, message, DEFAULT_RETRY_AFTER_S)
        return instructions + refused

    def _on_stop(self, event: StopRequested) -> list[CallInstruction]:
        """Stop a model call; a running tool call continues so that its outcome is recorded."""
        is_tool_under_way = self.plan.kind is CallKind.TOOL and self.phase is not CallPhase.PLACING
        if self.phase is CallPhase.RECORDING_OUTCOME or is_tool_under_way:
            return []
        instructions = self._stop_work()
        return instructions + self._refuse(event.code, event.message, None)
