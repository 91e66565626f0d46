"""No order of events leads to a second dispatch of a charge or to a false ``not_run``."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from passlane.errors import ErrorCode, Verdict
from passlane.messages.backends import OperationState
from passlane.messages.store import CallKind, CallOutcome
from passlane.programs.call_events import (
    CallerGone,
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
)
from passlane.programs.call_plan import CallPhase
from programs.call_driver import CallDriver, call_plan, call_record

ANSWER_TOKENS = 3
MODEL = "model"
CHARGE = "charge"
CHARGE_WITHOUT_STATUS = "charge without status"
LOOK_UP = "repeatable tool"


class CallOrders(RuleBasedStateMachine):
    """One call, requested again and again, under any order of events.

    ``unproved`` are attempts that no refusal of the back end has proved harmless.
    ``never_runs`` is set once the application has said that the operation never ran and
    no longer will; ``has_run`` once it has said the opposite.
    """

    @initialize(
        kind=st.sampled_from((MODEL, CHARGE, CHARGE_WITHOUT_STATUS, LOOK_UP)),
        is_named=st.booleans(),
    )
    def begin(self, kind: str, is_named: bool) -> None:
        self.kind = kind
        self.is_named = is_named
        self.requests = 0
        self.is_recorded = False
        self.recorded: CallOutcome | None = None
        self.proved_not_run = False
        self.received: list[str] = []
        self.unproved: set[str] = set()
        self.attempts_seen: list[str] = []
        self.never_runs = False
        self.has_run = False
        self._request()

    def _request(self) -> None:
        self.requests += 1
        plan = call_plan(
            CallKind.MODEL if self.kind == MODEL else CallKind.TOOL,
            repeatable=self.kind in (MODEL, LOOK_UP),
            offers_status=self.kind == CHARGE,
            max_tokens=ANSWER_TOKENS,
            is_named=self.is_named,
            resume_texts=tuple(self.received),
        )
        is_doubtful = self.is_recorded and not self.proved_not_run
        self.driver = CallDriver(plan, f"a{self.requests}", may_have_run=is_doubtful)
        self.checked_outcomes = 0

    @property
    def is_answered(self) -> bool:
        return bool(self.driver.answers)

    @property
    def may_have_run(self) -> bool:
        return self.has_run or bool(self.unproved and not self.never_runs)

    def is_at(self, *phases: CallPhase) -> bool:
        return self.driver.machine.phase in phases

    # The store.

    @precondition(lambda self: self.is_at(CallPhase.RECORDING_INTENT))
    @rule(is_answered=st.sampled_from((True, True, True, False)))
    def the_store_answers_the_intent(self, is_answered: bool) -> None:
        already_recorded = self.is_recorded
        # Applied in any case: this is the harder one, when the answer is lost.
        self.is_recorded = True
        if not is_answered:
            self.driver.post(IntentRefused(ErrorCode.TIMEOUT, "no answer"))
            return
        record = call_record(self.driver.plan, self.recorded)
        self.driver.post(IntentRecorded(record, already_recorded, self.proved_not_run))

    @precondition(lambda self: self.driver.outcomes and self.recorded is None)
    @rule(is_applied=st.booleans(), is_answered=st.booleans())
    def the_store_answers_the_outcome(self, is_applied: bool, is_answered: bool) -> None:
        if is_applied or is_answered:
            self.recorded = self.driver.outcomes[-1].outcome
        if is_answered:
            self.driver.post(OutcomeRecorded())
        else:
            self.driver.post(OutcomeRefused(ErrorCode.TIMEOUT, "no answer"))

    # Places and back ends.

    @precondition(lambda self: self.is_at(CallPhase.PLACING))
    @rule(backend=st.sampled_from(("one", "two")))
    def a_place_is_found(self, backend: str) -> None:
        if self.kind in (CHARGE, CHARGE_WITHOUT_STATUS):
            assert not self.unproved, "a charge was dispatched twice"
        self.driver.post(StartOrdered(backend))
        start = self.driver.started[-1]
        assert start.attempt_id not in self.attempts_seen, "an attempt id was used twice"
        assert start.resume_from == len(self.received)
        self.attempts_seen.append(start.attempt_id)
        self.unproved.add(start.attempt_id)

    @precondition(lambda self: self.is_at(CallPhase.PLACING))
    @rule(patience=st.integers(0, 3))
    def no_place_is_found(self, patience: int) -> None:
        if patience > 0:
            return
        self.driver.post(StartRefused(ErrorCode.QUEUE_FULL, "full", 1.0))

    @precondition(lambda self: self.kind == MODEL and self.attempts_seen)
    @rule(is_late=st.booleans(), skew=st.sampled_from((0, 0, 0, -1, 1)))
    def a_token_comes(self, is_late: bool, skew: int) -> None:
        attempt_id = self.attempts_seen[0 if is_late else -1]
        before = len(self.driver.tokens)
        self.driver.token(max(0, len(self.received) + skew), attempt_id)
        for token in self.driver.tokens[before:]:
            assert attempt_id == self.driver.machine.attempt_id, "a late token was passed on"
            assert token.position == len(self.received), "a token twice, or one missing"
            self.received.append(token.text)

    @precondition(lambda self: self.is_at(CallPhase.RUNNING))
    @rule()
    def the_answer_ends(self) -> None:
        if self.kind == MODEL:
            self.driver.finish(answer_tokens=len(self.received))
        elif not self.never_runs:
            self.driver.finish(body="{}")

    @precondition(lambda self: self.is_at(CallPhase.RUNNING))
    @rule(
        verdict=st.sampled_from((Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN)),
        is_final=st.booleans(),
        retry_allowed=st.sampled_from((True, True, True, False)),
    )
    def the_attempt_fails(self, verdict: Verdict, is_final: bool, retry_allowed: bool) -> None:
        if verdict is Verdict.NOT_RUN and not self.driver.tokens:
            self.unproved.discard(self.driver.started[-1].attempt_id)
        else:
            # An engine that sent a token can no longer prove that it ran nothing.
            verdict = Verdict.MAY_HAVE_RUN
        is_final = is_final and verdict is Verdict.NOT_RUN
        self.driver.fail(verdict, is_final=is_final, retry_allowed=retry_allowed)

    @precondition(lambda self: self.is_at(CallPhase.ASKING_STATUS))
    @rule(state=st.sampled_from((None, *OperationState)))
    def the_application_tells_its_status(self, state: OperationState | None) -> None:
        is_denial = state in (OperationState.UNKNOWN, OperationState.REJECTED)
        if (is_denial and self.has_run) or (state is OperationState.DONE and self.never_runs):
            state = None
        self.never_runs = self.never_runs or (is_denial and state is not None)
        self.has_run = self.has_run or state is OperationState.DONE
        self.driver.post(StatusReceived(state, "{}"))

    @precondition(
        lambda self: self.is_at(CallPhase.PAUSED_BEFORE_RETRY, CallPhase.PAUSED_BEFORE_STATUS)
    )
    @rule()
    def the_pause_is_over(self) -> None:
        self.driver.post(RetryDue())

    # The caller.

    @precondition(lambda self: not self.is_answered)
    @rule(
        event=st.sampled_from(
            (
                CallerGone(),
                DeadlinePassed(),
                StopRequested(ErrorCode.PROGRAM_ENDED, "ending"),
            )
        ),
        patience=st.integers(0, 3),
    )
    def the_call_is_given_up(
        self, event: CallerGone | DeadlinePassed | StopRequested, patience: int
    ) -> None:
        if patience > 0:
            return  # Else hardly any call would come far.
        self.driver.post(event)
        if isinstance(event, DeadlinePassed):
            assert self.is_answered, "a call that is given up is answered at once"

    @precondition(lambda self: self.is_answered)
    @rule(same_leader=st.booleans())
    def the_caller_asks_again(self, same_leader: bool) -> None:
        answer = self.driver.answers[0]
        # A new leader knows only what is recorded.
        self.proved_not_run = same_leader and answer.left_open and answer.proved_not_run
        self._request()

    # What must hold.

    @invariant()
    def one_answer_for_each_request(self) -> None:
        assert len(self.driver.answers) <= 1

    @invariant()
    def not_run_is_true(self) -> None:
        for sent in self.driver.answers:
            if sent.answer.verdict is Verdict.NOT_RUN or sent.proved_not_run:
                assert not self.may_have_run, "an answer says not_run of what may have run"
        for record in self.driver.outcomes[self.checked_outcomes :]:
            self.checked_outcomes += 1
            if record.outcome.verdict is Verdict.NOT_RUN:
                assert not self.may_have_run, "not_run was recorded of what may have run"

    @invariant()
    def nothing_starts_after_the_answer(self) -> None:
        if self.is_answered:
            assert self.is_at(CallPhase.ANSWERED)


class CallOrdersTest(unittest.TestCase):
    def test_every_order_of_events(self) -> None:
        run_state_machine_as_test(
            CallOrders,
            settings=settings(
                derandomize=True,
                database=None,
                deadline=None,
                max_examples=250,
                stateful_step_count=40,
            ),
        )


if __name__ == "__main__":
    unittest.main()
