"""The application's ledger tells the truth, and its status rule holds."""

import random
import unittest

from passlane.emulator.application_model import (
    ApplicationAnswer,
    ApplicationModel,
    ApplicationSettings,
    Behaviour,
    Handling,
)
from passlane.messages.backends import OperationState, ToolRequest


def request(operation: str) -> ToolRequest:
    return ToolRequest(operation_id=operation, attempt_id="a", arguments="{}")


def serve(model: ApplicationModel, operation: str) -> ApplicationAnswer | None:
    """Carry out one request in one go and return its answer, if one is sent."""
    planned = model.receive("charge", request(operation), 0.0)
    if isinstance(planned, ApplicationAnswer):
        return planned
    if planned.runs_at is not None:
        model.run(planned)
    return model.answer(planned) if planned.answers_at is not None else None


class ApplicationModelTest(unittest.TestCase):
    def setUp(self) -> None:
        self.model = ApplicationModel(ApplicationSettings(), random.Random(1))

    def test_ledger_shows_a_doubled_send(self) -> None:
        serve(self.model, "o")
        serve(self.model, "o")
        self.assertEqual(self.model.runs_by_operation(), {"o": 2})

    def test_forced_behaviour_waits_for_its_tool_and_its_program(self) -> None:
        model = ApplicationModel(ApplicationSettings(tools=("charge", "find")), random.Random(1))
        model.force(Behaviour.REFUSE, "charge", "program-1")
        taken = [
            model.receive(tool, request(operation), 0.0)
            for tool, operation in (
                ("find", "program-1/a"),
                ("charge", "program-2/a"),
                ("charge", "program-1/b"),
                ("charge", "program-1/c"),
            )
        ]
        refused = [isinstance(plan, ApplicationAnswer) for plan in taken]
        self.assertEqual(refused, [False, False, True, False])

    def test_deduplicating_application_gives_the_first_answer_again(self) -> None:
        model = ApplicationModel(ApplicationSettings(deduplicates=True), random.Random(1))
        self.assertEqual(serve(model, "o"), serve(model, "o"))
        self.assertEqual(model.runs_by_operation(), {"o": 1})

    def test_each_fault_runs_the_operation_or_not_as_named(self) -> None:
        runs = {
            Behaviour.SLOW: 1,
            Behaviour.HANG: 0,
            Behaviour.HANG_AFTER: 1,
            Behaviour.REFUSE: 0,
            Behaviour.FAIL_BEFORE: 0,
            Behaviour.FAIL_AFTER: 1,
            Behaviour.ANSWER_TWICE: 1,
        }
        for behaviour, expected in runs.items():
            with self.subTest(behaviour):
                self.model.force(behaviour)
                serve(self.model, behaviour)
                ran = self.model.runs_by_operation().get(behaviour, 0)
                self.assertEqual(ran, expected)
                known = self.model.status(behaviour).state is OperationState.DONE
                self.assertEqual(known, bool(expected))

    def test_unknown_is_a_promise_that_a_late_request_is_rejected(self) -> None:
        self.assertIs(self.model.status("o").state, OperationState.UNKNOWN)
        answer = serve(self.model, "o")
        assert answer is not None
        self.assertEqual((answer.status, answer.reply.state), (409, OperationState.REJECTED))
        self.assertIs(self.model.status("o").state, OperationState.UNKNOWN)
        self.assertEqual(self.model.ledger(), ())

    def test_operation_under_way_is_not_called_unknown(self) -> None:
        planned = self.model.receive("charge", request("o"), 0.0)
        assert isinstance(planned, Handling)
        self.assertIs(self.model.status("o").state, OperationState.RUNNING)
        self.model.run(planned)
        self.assertIs(self.model.status("o").state, OperationState.DONE)
