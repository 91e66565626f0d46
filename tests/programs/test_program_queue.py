"""Order in which the calls of a program run."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from passlane.errors import ErrorCode
from passlane.identifiers import CallId
from passlane.programs.program_queue import (
    MAX_PREDECESSOR_WAIT_S,
    MAX_QUEUED_CALLS,
    BeginQueuedCall,
    ProgramQueue,
    QueuedCall,
    QueueInstruction,
    RefuseQueuedCall,
)


def add(
    queue: ProgramQueue, name: str, sequence: int | None = None, now: float = 0.0
) -> list[QueueInstruction]:
    return queue.add(QueuedCall(CallId(name), sequence, now), now)


def begun(instructions: list[QueueInstruction]) -> list[str]:
    return [one.call_id for one in instructions if isinstance(one, BeginQueuedCall)]


def refused(instructions: list[QueueInstruction]) -> list[RefuseQueuedCall]:
    return [one for one in instructions if isinstance(one, RefuseQueuedCall)]


class ProgramQueueTest(unittest.TestCase):
    def test_calls_without_sequence_run_in_order_of_arrival(self) -> None:
        queue = ProgramQueue(0, 0.0)
        self.assertEqual(begun(add(queue, "a")), ["a"])
        self.assertEqual(add(queue, "b") + add(queue, "c"), [])
        self.assertEqual(begun(queue.finish(CallId("a"), 1, 0.0)), ["b"])
        self.assertEqual(begun(queue.finish(CallId("b"), 2, 0.0)), ["c"])

    def test_early_call_waits_for_its_predecessor(self) -> None:
        queue = ProgramQueue(0, 0.0)
        self.assertEqual(add(queue, "b", 1), [])
        self.assertEqual(begun(add(queue, "a", 0)), ["a"])
        self.assertEqual(begun(queue.finish(CallId("a"), 1, 0.0)), ["b"])

    def test_early_call_is_refused_when_its_predecessor_does_not_arrive(self) -> None:
        queue = ProgramQueue(0, 0.0)
        add(queue, "c", 2)
        self.assertEqual(queue.next_expiry(), MAX_PREDECESSOR_WAIT_S)
        self.assertEqual(queue.advance(MAX_PREDECESSOR_WAIT_S - 0.01), [])
        (refusal,) = refused(queue.advance(MAX_PREDECESSOR_WAIT_S))
        self.assertEqual(refusal.code, ErrorCode.WRONG_SEQUENCE)
        self.assertIsNotNone(refusal.retry_after_s)
        self.assertTrue(queue.is_empty)

    def test_predecessor_wait_starts_when_the_running_call_ends(self) -> None:
        queue = ProgramQueue(0, 0.0)
        add(queue, "a", 0)
        add(queue, "c", 2)
        self.assertIsNone(queue.next_expiry())
        self.assertEqual(queue.finish(CallId("a"), 1, 50.0), [])
        self.assertEqual(queue.next_expiry(), 50.0 + MAX_PREDECESSOR_WAIT_S)

    def test_used_sequence_is_refused_without_retry_after(self) -> None:
        queue = ProgramQueue(5, 0.0)
        (refusal,) = refused(add(queue, "old", 4))
        self.assertEqual(refusal.code, ErrorCode.WRONG_SEQUENCE)
        self.assertIsNone(refusal.retry_after_s)

    def test_queued_call_whose_sequence_is_used_meanwhile_is_refused(self) -> None:
        queue = ProgramQueue(0, 0.0)
        add(queue, "a")
        add(queue, "b")
        add(queue, "c", 1)
        instructions = queue.finish(CallId("a"), 1, 0.0)
        self.assertEqual(begun(instructions), ["b"])
        (refusal,) = refused(queue.finish(CallId("b"), 2, 0.0))
        self.assertEqual(refusal.call_id, "c")

    def test_full_queue_refuses_immediately_with_retry_after(self) -> None:
        queue = ProgramQueue(0, 0.0)
        for number in range(MAX_QUEUED_CALLS + 1):
            self.assertEqual(refused(add(queue, f"c{number}")), [])
        (refusal,) = refused(add(queue, "late"))
        self.assertEqual(refusal.code, ErrorCode.QUEUE_FULL)
        self.assertIsNotNone(refusal.retry_after_s)

    def test_recorded_call_resumes_only_when_no_other_call_runs(self) -> None:
        queue = ProgramQueue(3, 0.0)
        self.assertTrue(queue.resume(CallId("open")))
        self.assertFalse(queue.resume(CallId("open")))
        self.assertEqual(add(queue, "next", 3), [])
        self.assertEqual(begun(queue.finish(CallId("open"), 3, 0.0)), ["next"])

    def test_withdrawn_call_is_skipped(self) -> None:
        queue = ProgramQueue(0, 0.0)
        add(queue, "a")
        add(queue, "b")
        add(queue, "c")
        queue.withdraw(CallId("b"))
        self.assertEqual(begun(queue.finish(CallId("a"), 1, 0.0)), ["c"])

    def test_finish_of_a_call_that_is_not_running_is_ignored(self) -> None:
        queue = ProgramQueue(0, 0.0)
        add(queue, "a")
        add(queue, "b")
        self.assertEqual(queue.finish(CallId("b"), 1, 0.0), [])
        self.assertEqual(queue.running, "a")

    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @given(st.permutations(range(8)), st.data())
    def test_calls_run_in_order_of_sequence_for_any_order_of_arrival(
        self, arrivals: list[int], data: st.DataObject
    ) -> None:
        queue = ProgramQueue(0, 0.0)
        ran: list[str] = []
        for number in arrivals:
            ran += begun(add(queue, str(number), number))
            if queue.running is not None and data.draw(st.booleans()):
                ran += begun(queue.finish(queue.running, len(ran), 0.0))
        while queue.running is not None:
            ran += begun(queue.finish(queue.running, len(ran), 0.0))
        self.assertEqual(ran, [str(number) for number in range(8)])
        self.assertTrue(queue.is_empty)


if __name__ == "__main__":
    unittest.main()
