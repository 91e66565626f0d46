"""Suspension of requests until they may try the backends of a service."""

import unittest

import anyio
import trio.testing

from passlane.decisions.order.capacity_queue import WaitingCall
from passlane.decisions.order.service_capacity import ServiceCapacity
from passlane.decisions.placement.request_placement import NodeLocation
from passlane.relay.capacity_waits import CapacityWaits


def waiting(name, arrived_at=0.0, left_s=1.0):
    now = anyio.current_time()
    return WaitingCall(
        request_id=name,
        priority=2,
        arrived_at=arrived_at,
        give_up_at=now + left_s,
        joined_at=now,
    )


class CapacityWaitsTest(unittest.TestCase):
    def run_with_waits(self, main):
        """Run a test on a virtual clock with the waits of one plain service."""
        self.permits = []

        async def run():
            waits = CapacityWaits(
                ServiceCapacity(NodeLocation("node-1", "a"), is_for_model=False), lambda: 0.5
            )
            async with anyio.create_task_group() as tasks:
                await main(waits, tasks)
            self.assertEqual(len(waits.queue), 0)
            self.assertFalse(waits._wake_events or waits._offered)

        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(run, backend="trio", backend_options={"clock": clock})

    async def wait(self, waits, call):
        permit = await waits.wait(call, 6)
        self.permits.append((call.request_id, permit.offered if permit is not None else None))

    def test_a_slot_freed_by_the_nodes_own_call_is_offered_to_the_first_at_once(self):
        async def main(waits, tasks):
            waits.queue.join(waiting("out"), anyio.current_time(), 0.5, 6)
            for number in range(2):
                tasks.start_soon(self.wait, waits, waiting(f"r-{number}", arrived_at=1.0 + number))
            await anyio.sleep(0.0001)
            waits.queue.leave(waits.queue.first)
            began_at = anyio.current_time()
            waits.record_answer("i-1", "first", 0.03)
            await anyio.sleep(0.0001)
            self.assertEqual(self.permits, [("r-0", "i-1")])
            self.assertLess(anyio.current_time() - began_at, 0.001)

        self.run_with_waits(main)
        self.assertEqual(self.permits, [("r-0", "i-1"), ("r-1", "")])

    def test_a_slot_that_its_request_does_not_use_is_offered_to_the_next(self):
        async def main(waits, tasks):
            async with anyio.create_task_group() as cancelled:
                cancelled.start_soon(self.wait, waits, waiting("gone"))
                tasks.start_soon(self.wait, waits, waiting("next", arrived_at=1.0))
                await anyio.sleep(0.0001)
                cancelled.cancel_scope.cancel()
                waits.record_answer("i-1", "first", 0.03)

        self.run_with_waits(main)
        self.assertEqual(self.permits, [("next", "i-1")])

    def test_when_the_first_request_is_cancelled_the_next_gets_its_turn(self):
        async def main(waits, tasks):
            async with anyio.create_task_group() as cancelled:
                cancelled.start_soon(self.wait, waits, waiting("gone"))
                await anyio.sleep(0.0001)
                tasks.start_soon(self.wait, waits, waiting("next", arrived_at=1.0))
                await anyio.sleep(0.0001)
                cancelled.cancel_scope.cancel()

        self.run_with_waits(main)
        self.assertEqual(self.permits, [("next", "")])

    def test_a_wait_ends_when_the_time_of_its_request_runs_out(self):
        async def main(waits, tasks):
            began_at = anyio.current_time()
            await self.wait(waits, waiting("hasty", left_s=0.002))
            self.assertAlmostEqual(anyio.current_time() - began_at, 0.002)

        self.run_with_waits(main)
        self.assertEqual(self.permits, [("hasty", None)])
