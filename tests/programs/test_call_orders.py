"""No order of events resends a charge that may have run or reports a false ``not_run``."""

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
    CallerDisconnected,
    DeadlinePassed,
    IntentRecorded,
    IntentRefused,
    OutcomeRecorded,
    OutcomeRefused,
    PlacementGranted,
    PlacementRefused,
    RetryDue,
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
    """One call, requested repeatedly, under random orders of events.

    Attributes
    ----------
    possibly_run
        Ids of the attempts that no back end has refused as not run.
    proved_not_to_run
        Whether the application reported that the operation did not and will not run.
    has_run
        Whether the application reported that the operation ran.
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
        self.received_texts: list[str] = []
        self.possibly_run: set[str] = set()
        self.attempt_ids: list[str] = []
        self.proved_not_to_run = False
        self.has_run = False
        self._start_request()

    def _start_request(self) -> None:
        self.requests += 1
        plan = call_plan(
            CallKind.MODEL if self.kind == MODEL else CallKind.TOOL,
            repeatable=self.kind in (MODEL, LOOK_UP),
            offers_status=self.kind == CHARGE,
            max_tokens=ANSWER_TOKENS,
            is_named=self.is_named,
            resume_texts=tuple(self.received_texts),
        )
        is_in_doubt = self.is_recorded and not self.proved_not_run
        self.driver = CallDriver(plan, f"a{self.requests}", may_have_run=is_in_doubt)
        self.checked_outcomes = 0

    @property
    def is_answered(self) -> bool:
        return bool(self.driver.answers)

    @property
    def may_have_run(self) -> bool:
        return self.has_run or bool(self.possibly_run and not self.proved_not_to_run)

    def is_in_phase(self, *phases: CallPhase) -> bool:
        return self.driver.machine.phase in phases

    # The store.

    @precondition(lambda self: self.is_in_phase(CallPhase.RECORDING_INTENT))
    @rule(is_answered=st.sampled_from((True, True, True, False)))
    def the_store_answers_the_intent(self, is_answered: bool) -> None:
        already_recorded = self.is_recorded
        # Applied even if the reply is lost, which is the harder case.
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

    # Placement and back ends.

    @precondition(lambda self: self.is_in_phase(CallPhase.PLACING))
    @rule(backend=st.sampled_from(("one", "two")))
    def a_backend_is_assigned(self, backend: str) -> None:
        if self.kind in (CHARGE, CHARGE_WITHOUT_STATUS):
            assert not self.possibly_run, "a charge was dispatched twice"
        self.driver.post(PlacementGranted(backend))
        start = self.driver.started[-1]
        assert start.attempt_id not in self.attempt_ids, "an attempt id was used twice"
        assert start.resume_from == len(self.received_texts)
        self.attempt_ids.append(start.attempt_id)
        self.possibly_run.add(start.attempt_id)

    @precondition(lambda self: self.is_in_phase(CallPhase.PLACING))
    @rule(weight=st.integers(0, 3))
    def no_backend_is_assigned(self, weight: int) -> None:
        if weight > 0:
            return
        self.driver.post(PlacementRefused(ErrorCode.QUEUE_FULL, "full", 1.0))

    @precondition(lambda self: self.kind == MODEL and self.attempt_ids)
    @rule(is_stale=st.booleans(), skew=st.sampled_from((0, 0, 0, -1, 1)))
    def a_token_arrives(self, is_stale: bool, skew: int) -> None:
        attempt_id = self.attempt_ids[0 if is_stale else -1]
        before = len(self.driver.tokens)
        self.driver.token(max(0, len(self.received_texts) + skew), attempt_id)
        for token in self.driver.tokens[before:]:
            assert attempt_id == self.driver.machine.attempt_id, "a stale token was forwarded"
            assert token.position == len(self.received_texts), "a token was repeated or skipped"
            self.received_texts.append(token.text)

    @precondition(lambda self: self.is_in_phase(CallPhase.RUNNING))
    @rule()
    def the_answer_ends(self) -> None:
        if self.kind == MODEL:
            self.driver.finish(answer_tokens=len(self.received_texts))
        elif not self.proved_not_to_run:
            self.driver.finish(body="{}")

    @precondition(lambda self: self.is_in_phase(CallPhase.RUNNING))
    @rule(
        verdict=st.sampled_from((Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN)),
        is_final=st.booleans(),
        retry_allowed=st.sampled_from((True, True, True, False)),
    )
    def the_attempt_fails(self, verdict: Verdict, is_final: bool, retry_allowed: bool) -> None:
        if verdict is Verdict.NOT_RUN and not self.driver.tokens:
            self.possibly_run.discard(self.driver.started[-1].attempt_id)
        else:
            # An engine that sent a token has run the call.
            verdict = Verdict.MAY_HAVE_RUN
        is_final = is_final and verdict is Verdict.NOT_RUN
        self.driver.fail(verdict, is_final=is_final, retry_allowed=retry_allowed)

    @precondition(lambda self: self.is_in_phase(CallPhase.QUERYING_STATUS))
    @rule(state=st.sampled_from((None, *OperationState)))
    def the_application_reports_status(self, state: OperationState | None) -> None:
        is_denied = state in (OperationState.UNKNOWN, OperationState.REJECTED)
        if (is_denied and self.has_run) or (
            state is OperationState.DONE and self.proved_not_to_run
        ):
            state = None
        self.proved_not_to_run = self.proved_not_to_run or (is_denied and state is not None)
        self.has_run = self.has_run or state is OperationState.DONE
        self.driver.post(StatusReceived(state, "{}"))

    @precondition(
        lambda self: self.is_in_phase(CallPhase.PAUSED_BEFORE_RETRY, CallPhase.PAUSED_BEFORE_STATUS)
    )
    @rule()
    def the_delay_elapses(self) -> None:
        self.driver.post(RetryDue())

    # The caller.

    @precondition(lambda self: not self.is_answered)
    @rule(
        event=st.sampled_from(
            (
                CallerDisconnected(),
                DeadlinePassed(),
                StopRequested(ErrorCode.PROGRAM_ENDED, "ending"),
            )
        ),
        weight=st.integers(0, 3),
    )
    def the_call_is_abandoned(
        self, event: CallerDisconnected | DeadlinePassed | StopRequested, weight: int
    ) -> None:
        if weight > 0:
            return  # Without this, most calls would end in an early phase.
        self.driver.post(event)
        if isinstance(event, DeadlinePassed):
            assert self.is_answered, "a call past its deadline is answered immediately"

    @precondition(lambda self: self.is_answered)
    @rule(same_leader=st.booleans())
    def the_caller_retries(self, same_leader: bool) -> None:
        answer = self.driver.answers[0]
        # A new leader knows only the recorded state.
        self.proved_not_run = same_leader and answer.left_open and answer.proved_not_run
        self._start_request()

    # Invariants.

    @invariant()
    def one_answer_for_each_request(self) -> None:
        assert len(self.driver.answers) <= 1

    @invariant()
    def not_run_is_never_false(self) -> None:
        for sent in self.driver.answers:
            if sent.answer.verdict is Verdict.NOT_RUN or sent.proved_not_run:
                assert not self.may_have_run, "an answer says not_run of a call that may have run"
        for record in self.driver.outcomes[self.checked_outcomes :]:
            self.checked_outcomes += 1
            if record.outcome.verdict is Verdict.NOT_RUN:
                assert not self.may_have_run, "not_run was recorded for a call that may have run"

    @invariant()
    def nothing_starts_after_the_answer(self) -> None:
        if self.is_answered:
            assert self.is_in_phase(CallPhase.ANSWERED)


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
