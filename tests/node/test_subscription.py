"""Subscription of a caller to the events of a call: merging, resuming and closing."""

import unittest

import anyio

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.node import CallEvent, CallRefused, TextChunk
from passlane.node.subscription import Subscription
from passlane.simulation.runner import run_simulation

REFUSED = CallRefused(ErrorCode.QUEUE_FULL, "full", Verdict.NOT_RUN)


def read_all(subscription: Subscription) -> list[CallEvent]:
    """Return all events of a closed subscription."""
    events: list[CallEvent] = []

    async def main() -> None:
        async for event in subscription:
            events.append(event)

    run_simulation(main, seed=1)
    return events


def push_chunks(subscription: Subscription, *positions: int) -> None:
    for position in positions:
        subscription.push(TextChunk(position, f"t{position}"))


class SubscriptionTest(unittest.TestCase):
    def test_waiting_tokens_are_merged_into_one_chunk_in_order(self) -> None:
        subscription = Subscription()
        push_chunks(subscription, 0, 1, 2)
        subscription.push(REFUSED)
        self.assertEqual(read_all(subscription), [TextChunk(0, "t0t1t2", 3), REFUSED])

    def test_tokens_that_the_caller_already_has_are_skipped(self) -> None:
        subscription = Subscription(resume_from=2)
        push_chunks(subscription, 0, 1, 2, 2, 3)
        subscription.push(REFUSED)
        self.assertEqual(read_all(subscription), [TextChunk(2, "t2t3", 2), REFUSED])

    def test_reader_without_backlog_receives_each_token_at_once(self) -> None:
        async def main() -> None:
            subscription = Subscription()
            times: list[float] = []

            async def reader() -> None:
                async for _ in subscription:
                    times.append(anyio.current_time())

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(reader)
                for position in range(3):
                    await anyio.sleep(1.0)
                    push_chunks(subscription, position)
                await anyio.sleep(1.0)
                subscription.push(REFUSED)
            self.assertEqual([round(time) for time in times], [1, 2, 3, 4])

        run_simulation(main, seed=1)

    def test_failure_is_raised_after_the_pushed_events(self) -> None:
        subscription = Subscription()
        push_chunks(subscription, 0)
        subscription.fail(PasslaneError(ErrorCode.NOT_LEADER, "moved"))
        subscription.push(REFUSED)
        with self.assertRaises(PasslaneError):
            read_all(subscription)

    def test_released_subscription_returns_no_more_events(self) -> None:
        subscription = Subscription()
        push_chunks(subscription, 0)
        subscription.release()
        self.assertEqual(read_all(subscription), [])


if __name__ == "__main__":
    unittest.main()
