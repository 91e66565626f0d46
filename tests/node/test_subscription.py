"""The flow of a call's events to one caller."""

import unittest

import anyio

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.node import CallEvent, CallRefused, TextChunk
from passlane.node.subscription import Subscription
from passlane.simulation.runner import run_simulation

REFUSED = CallRefused(ErrorCode.QUEUE_FULL, "full", Verdict.NOT_RUN)


def read(subscription: Subscription) -> list[CallEvent]:
    """Return all events of a flow that has ended."""
    events: list[CallEvent] = []

    async def main() -> None:
        async for event in subscription:
            events.append(event)

    run_simulation(main, seed=1)
    return events


def chunks(subscription: Subscription, *positions: int) -> None:
    for position in positions:
        subscription.push(TextChunk(position, f"t{position}"))


class SubscriptionTest(unittest.TestCase):
    def test_tokens_that_gathered_come_as_one_chunk_in_order(self) -> None:
        subscription = Subscription()
        chunks(subscription, 0, 1, 2)
        subscription.push(REFUSED)
        self.assertEqual(read(subscription), [TextChunk(0, "t0t1t2", 3), REFUSED])

    def test_tokens_that_the_caller_has_are_left_out(self) -> None:
        subscription = Subscription(resume_from=2)
        chunks(subscription, 0, 1, 2, 2, 3)
        subscription.push(REFUSED)
        self.assertEqual(read(subscription), [TextChunk(2, "t2t3", 2), REFUSED])

    def test_reader_that_keeps_up_gets_each_token_at_once(self) -> None:
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
                    chunks(subscription, position)
                await anyio.sleep(1.0)
                subscription.push(REFUSED)
            self.assertEqual([round(time) for time in times], [1, 2, 3, 4])

        run_simulation(main, seed=1)

    def test_failure_comes_after_what_was_pushed(self) -> None:
        subscription = Subscription()
        chunks(subscription, 0)
        subscription.fail(PasslaneError(ErrorCode.NOT_LEADER, "moved"))
        subscription.push(REFUSED)
        with self.assertRaises(PasslaneError):
            read(subscription)

    def test_released_flow_gives_nothing_more(self) -> None:
        subscription = Subscription()
        chunks(subscription, 0)
        subscription.release()
        self.assertEqual(read(subscription), [])


if __name__ == "__main__":
    unittest.main()
