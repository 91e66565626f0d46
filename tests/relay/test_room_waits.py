"""Requests that sleep until their turn at the back ends of a service."""

import unittest

import anyio
import trio.testing

from passlane.decisions.order.room_queue import WaitingCall
from passlane.decisions.order.service_room import ServiceRoom
from passlane.decisions.placement.request_placement import NodePlace
from passlane.relay.room_waits import RoomWaits


def waiting(name, arrived_at=0.0, left_s=1.0):
    now = anyio.current_time()
    return WaitingCall(
        request_id=name,
        priority=2,
        arrived_at=arrived_at,
        give_up_at=now + left_s,
        joined_at=now,
    )


class RoomWaitsTest(unittest.TestCase):
    def run_with_waits(self, main):
        """Run a test on a virtual clock with the waits of one plain service."""
        self.turns = []

        async def run():
            waits = RoomWaits(
                ServiceRoom(NodePlace("node-1", "a"), is_for_model=False), lambda: 0.5
            )
            async with anyio.create_task_group() as tasks:
                await main(waits, tasks)
            self.assertEqual(len(waits.room), 0)
            self.assertFalse(waits._woken or waits._offered)

        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(run, backend="trio", backend_options={"clock": clock})

    async def wait(self, waits, call):
        turn = await waits.wait(call, 6)
        self.turns.append((call.request_id, turn.offered if turn is not None else None))

    def test_a_place_of_an_own_call_goes_to_the_first_at_once(self):
        async def main(waits, tasks):
            waits.room.join(waiting("out"), anyio.current_time(), 0.5, 6)
            for number in range(2):
                tasks.start_soon(self.wait, waits, waiting(f"r-{number}", arrived_at=1.0 + number))
            await anyio.sleep(0.0001)
            waits.room.leave(waits.room.first)
            began_at = anyio.current_time()
            waits.note_answered("i-1", "first", 0.03)
            await anyio.sleep(0.0001)
            self.assertEqual(self.turns, [("r-0", "i-1")])
            self.assertLess(anyio.current_time() - began_at, 0.001)

        self.run_with_waits(main)
        self.assertEqual(self.turns, [("r-0", "i-1"), ("r-1", "")])

    def test_a_place_that_its_request_does_not_use_goes_to_the_next(self):
        async def main(waits, tasks):
            async with anyio.create_task_group() as left:
                left.start_soon(self.wait, waits, waiting("gone"))
                tasks.start_soon(self.wait, waits, waiting("next", arrived_at=1.0))
                await anyio.sleep(0.0001)
                left.cancel_scope.cancel()
                waits.note_answered("i-1", "first", 0.03)

        self.run_with_waits(main)
        self.assertEqual(self.turns, [("next", "i-1")])

    def test_when_the_first_one_leaves_the_next_gets_its_turn(self):
        async def main(waits, tasks):
            async with anyio.create_task_group() as left:
                left.start_soon(self.wait, waits, waiting("gone"))
                await anyio.sleep(0.0001)
                tasks.start_soon(self.wait, waits, waiting("next", arrived_at=1.0))
                await anyio.sleep(0.0001)
                left.cancel_scope.cancel()

        self.run_with_waits(main)
        self.assertEqual(self.turns, [("next", "")])

    def test_a_wait_ends_when_the_time_of_its_request_has_run_out(self):
        async def main(waits, tasks):
            began_at = anyio.current_time()
            await self.wait(waits, waiting("hasty", left_s=0.002))
            self.assertAlmostEqual(anyio.current_time() - began_at, 0.002)

        self.run_with_waits(main)
        self.assertEqual(self.turns, [("hasty", None)])
