"""Back ends that ended under calls, in the records of the store group."""

import unittest

import msgspec

from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import CallId
from passlane.messages.store import BeginCallResult, CallOutcome
from passlane.store.machine import StoreStateMachine
from store.command_streams import assign, begin, create, finish, restore, snapshot_of
from store.test_machine import run


def fail(sequence: int):
    outcome = CallOutcome(verdict=Verdict.MAY_HAVE_RUN, error_code=ErrorCode.BACKEND_FAILED)
    return msgspec.structs.replace(finish("p", sequence), outcome=outcome, turns=())


class EndedBackendsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = StoreStateMachine()
        for command in (assign(0, 1), create("p")):
            run(self.machine, command)

    def count(self, command) -> int:
        result = run(self.machine, command)
        assert isinstance(result, BeginCallResult), result
        return result.ended_backends

    def test_a_repeated_command_raises_the_count_and_never_lowers_it(self) -> None:
        self.assertEqual(self.count(begin("p", 0)), 0)
        self.assertEqual(self.count(begin("p", 0, ended_backends=2)), 2)
        self.assertEqual(self.count(begin("p", 0, ended_backends=1)), 2)
        self.assertEqual(self.count(begin("p", 0)), 2)

    def test_the_count_outlives_a_change_of_leader_and_a_snapshot(self) -> None:
        run(self.machine, begin("p", 0))
        run(self.machine, begin("p", 0, ended_backends=2))
        parts = snapshot_of(self.machine)
        self.machine = StoreStateMachine()
        restore(self.machine, parts)
        run(self.machine, assign(0, 2, "n2"))
        self.assertEqual(self.count(begin("p", 0, epoch=2)), 2)

    def test_a_finished_call_is_not_changed(self) -> None:
        run(self.machine, begin("p", 0))
        run(self.machine, finish("p", 0))
        self.assertEqual(self.count(begin("p", 0, ended_backends=2)), 0)

    def test_an_equal_call_directly_after_one_that_failed_inherits_the_count(self) -> None:
        run(self.machine, begin("p", 0))
        run(self.machine, begin("p", 0, ended_backends=2))
        run(self.machine, fail(0))
        again = begin("p", 1, request_digest="digest 0", call_id=CallId("p/again"))
        self.assertEqual(self.count(again), 2)

    def test_another_call_or_one_after_a_success_inherits_nothing(self) -> None:
        run(self.machine, begin("p", 0))
        run(self.machine, begin("p", 0, ended_backends=2))
        run(self.machine, fail(0))
        self.assertEqual(self.count(begin("p", 1)), 0)
        run(self.machine, begin("p", 1, ended_backends=1))
        run(self.machine, finish("p", 1))
        self.assertEqual(self.count(begin("p", 2, request_digest="digest 1")), 0)


if __name__ == "__main__":
    unittest.main()
