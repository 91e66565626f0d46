"""Recorded runs of a call's machine; the digests go once its shape has settled."""

import random
import unittest
from typing import Any, get_args

from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import CallId, Epoch
from passlane.messages.backends import OperationState
from passlane.messages.common import Amounts
from passlane.messages.node import CallAnswered, CallRefused
from passlane.messages.store import CallKind, CallOutcome, CallRecord, CallState, Turn
from passlane.programs import call_events as events
from passlane.programs import call_instructions as instructions
from passlane.programs.call_machine import CallMachine
from passlane.programs.call_plan import CallPlan
from recorded_machines.recording import Recording

NEWER = {events.EndedBackendRecorded, instructions.RecordEndedBackend}
"""Newer than the digests; see ``programs.test_ended_backends``."""
EVENTS = tuple(one for one in get_args(events.CallMachineEvent) if one not in NEWER)
INSTRUCTIONS = tuple(one for one in get_args(instructions.CallInstruction) if one not in NEWER)
KINDS: dict[type[Any], str] = {
    events.IntentRecorded: "intent recorded",
    events.IntentRefused: "intent refused",
    events.PlacementGranted: "start ordered",
    events.PlacementRefused: "start refused",
    events.TokenReceived: "token received",
    events.AttemptFinished: "attempt finished",
    events.AttemptFailed: "attempt failed",
    events.StatusReceived: "status received",
    events.RetryDue: "retry due",
    events.OutcomeRecorded: "outcome recorded",
    events.OutcomeRefused: "outcome refused",
    events.CallerDisconnected: "caller gone",
    events.DeadlinePassed: "deadline passed",
    events.StopRequested: "stop requested",
    instructions.RecordIntent: "record intent",
    instructions.RequestPlacement: "request placement",
    instructions.WithdrawPlacement: "withdraw placement",
    instructions.StartAttempt: "start attempt",
    instructions.CancelAttempt: "cancel attempt",
    instructions.QueryStatus: "ask status",
    instructions.WaitBeforeRetry: "wait before retry",
    instructions.RecordOutcome: "record outcome",
    instructions.SendToken: "send token",
    instructions.SendAnswer: "send answer",
    Amounts: "amounts",
    CallOutcome: "outcome",
    CallPlan: "plan",
    CallRecord: "call",
    Turn: "turn",
}
CALLS = 1_200
MOST_EVENTS = 60


class Load:
    """Back ends, a store and callers that answer one call, mostly as they should."""

    def __init__(self, draw: random.Random, number: int) -> None:
        self.random = draw
        self.plan = self._plan(number)
        self.machine = CallMachine(
            self.plan, f"c{number}", max_ended_backends=3, may_have_run=self._is_drawn(0.1)
        )
        self.surprise = draw.choice((0.0, 0.05, 0.3))
        self.failure = draw.choice((0.0, 0.2, 0.6))

    def _is_drawn(self, share: float) -> bool:
        return self.random.random() < share

    def _plan(self, number: int) -> CallPlan:
        kind = self.random.choice(list(CallKind))
        texts = tuple(f"r{n} " for n in range(self.random.randrange(3)))
        return CallPlan(
            call_id=CallId(f"p/{number}"),
            kind=kind,
            target="target",
            repeatable=self._is_drawn(0.5),
            max_tokens=self.random.randrange(1, 7),
            reserve=Amounts(tokens=self.random.randrange(1, 9), calls=1, money_micros=5),
            new_prompt_tokens=self.random.randrange(4),
            price_micros=self.random.randrange(3),
            offers_status=self._is_drawn(0.7),
            is_named=self._is_drawn(0.5),
            resume_texts=texts if kind is CallKind.MODEL else (),
        )

    def run(self, recording: Recording) -> None:
        given = self.machine.start()
        recording.note(self.plan, given)
        for _ in range(MOST_EVENTS):
            event = self._next_event(given)
            told = self.machine.handle(event, 0.0)
            recording.note(event, [told, *self._seen()])
            given = told or given
            if any(isinstance(i, instructions.SendAnswer) for i in told):
                break
        recording.note("late", self.machine.handle(events.RetryDue(), 0.0))

    def _seen(self) -> list[Any]:
        machine = self.machine
        return [machine.attempt_id, machine.verdict_if_aborted, machine.attempts, machine.texts]

    def _next_event(self, given: list[Any]) -> Any:
        if self._is_drawn(self.surprise):
            return self._drawn(self.random.choice(EVENTS))
        match given[-1]:
            case instructions.RecordIntent():
                is_refused = self._is_drawn(0.05)
                return self._drawn(events.IntentRefused if is_refused else events.IntentRecorded)
            case instructions.RequestPlacement():
                is_refused = self._is_drawn(self.failure / 6)
                return self._drawn(
                    events.PlacementRefused if is_refused else events.PlacementGranted
                )
            case instructions.StartAttempt() | instructions.SendToken():
                return self._of_attempt()
            case instructions.QueryStatus():
                return self._drawn(events.StatusReceived)
            case instructions.WaitBeforeRetry():
                return events.RetryDue()
            case _ if self._is_drawn(0.1):
                return events.CallerDisconnected()
            case _:
                is_refused = self._is_drawn(0.1)
                return self._drawn(events.OutcomeRefused if is_refused else events.OutcomeRecorded)

    def _of_attempt(self) -> Any:
        if self._is_drawn(self.failure):
            return self._drawn(events.AttemptFailed)
        is_model = self.plan.kind is CallKind.MODEL
        is_short = len(self.machine.texts) < self.plan.max_tokens
        if is_model and self._is_drawn(0.8 if is_short else 0.1):
            return self._drawn(events.TokenReceived)
        return self._drawn(events.AttemptFinished)

    def _drawn(self, kind: type[Any]) -> Any:
        """Return an event of a kind with contents that fit, mostly."""
        makers = {
            events.IntentRecorded: self._intent_recorded,
            events.PlacementGranted: lambda: events.PlacementGranted(self._name("b"), 2),
            events.TokenReceived: self._token,
            events.AttemptFinished: self._finished,
            events.AttemptFailed: self._failed,
            events.StatusReceived: self._status,
        }
        if kind in makers:
            return makers[kind]()
        if kind in (events.IntentRefused, events.PlacementRefused):
            return kind(self._code(), "refused", self.random.choice((None, 2.5)))
        if kind in (events.OutcomeRefused, events.StopRequested):
            return kind(self._code(), "ended")
        return kind()

    def _name(self, prefix: str) -> str:
        return f"{prefix}{self.random.randrange(3)}"

    def _code(self) -> ErrorCode:
        return self.random.choice(list(ErrorCode))

    def _attempt(self) -> str:
        return "other" if self._is_drawn(0.05) else self.machine.attempt_id or "none"

    def _intent_recorded(self) -> events.IntentRecorded:
        is_finished = self._is_drawn(0.08)
        call = CallRecord(
            call_id=self.plan.call_id,
            sequence=self.random.randrange(9),
            kind=self.plan.kind,
            target=self.plan.target,
            repeatable=self.plan.repeatable,
            request_digest="digest",
            reserved=self.plan.reserve,
            epoch=Epoch(1),
            state=CallState.FINISHED if is_finished else CallState.BEGUN,
            outcome=self._outcome() if is_finished else None,
        )
        return events.IntentRecorded(call, self._is_drawn(0.25), self._is_drawn(0.3))

    def _outcome(self) -> CallOutcome:
        code = self._code() if self._is_drawn(0.4) else None
        return CallOutcome(self.random.choice(list(Verdict)), "body", code, "message")

    def _token(self) -> events.TokenReceived:
        offset = self.random.choice((-1, 1)) if self._is_drawn(0.06) else 0
        position = max(0, len(self.machine.texts) + offset)
        return events.TokenReceived(self._attempt(), position, self._name("t"))

    def _finished(self) -> events.AttemptFinished:
        tokens = len(self.machine.texts) + (1 if self._is_drawn(0.1) else 0)
        is_model = self.plan.kind is CallKind.MODEL
        return events.AttemptFinished(
            self._attempt(), self._name("body"), 11, 7, tokens if is_model else None
        )

    def _failed(self) -> events.AttemptFailed:
        return events.AttemptFailed(
            attempt_id=self._attempt(),
            verdict=self.random.choice(list(Verdict)),
            code=self._code(),
            message="failed",
            is_final=self._is_drawn(0.1),
            retry_allowed=self._is_drawn(0.9),
            retry_after_s=self.random.choice((None, 0.5)),
        )

    def _status(self) -> events.StatusReceived:
        is_open = self._is_drawn(0.7)
        states = (None, OperationState.RUNNING) if is_open else tuple(OperationState)
        return events.StatusReceived(self.random.choice(states), self.random.choice(("", "r")))


def run(recording: Recording) -> None:
    draw = random.Random(1)
    for number in range(CALLS):
        Load(draw, number).run(recording)


class RecordedCallTest(unittest.TestCase):
    def test_calls(self) -> None:
        recording = Recording("call", KINDS)
        recording.check(self, lambda: run(recording))
        recording.require_reached(self, *EVENTS, *INSTRUCTIONS, CallAnswered, CallRefused)
        recording.require_reached(self, *OperationState, *Verdict, *CallKind, *CallState)


if __name__ == "__main__":
    unittest.main()
