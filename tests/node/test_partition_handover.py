"""Handover at the old leader: running calls finish there, and new calls wait only briefly."""

import unittest
from types import SimpleNamespace
from typing import Any

import anyio

from node.nodes import PROGRAM, Answer, Fleet, chat, expected_answer, run_in_fleet
from passlane.identifiers import Epoch, NodeId, Partition, ProgramId
from passlane.membership.events import HandoverRequested
from passlane.node.partition_handover import IDLE_WAIT_S, PartitionHandover

OTHER = ProgramId("p-2")
LONG_ANSWER = 400
"""Tokens; generated in 1.2 s."""


class FakeHeartbeat:
    """Assigns the partition to node 1 when it is released, as the store leader does."""

    def __init__(self, fleet: Fleet, order: HandoverRequested) -> None:
        self._fleet = fleet
        self.order: HandoverRequested | None = order
        self.released_at: float | None = None
        self.lease: Any = SimpleNamespace(handover_of=lambda _: self.order)

    def release(self, partition: Partition) -> None:
        self.released_at = anyio.current_time()
        self._fleet.lead(1)
        self._fleet.nodes[1].incoming.end_wait(partition)

    def expect_assignment(self, partition: Partition) -> None:
        """Do nothing: ``release`` has already changed the leadership."""


def handover_of(fleet: Fleet) -> tuple[PartitionHandover, FakeHeartbeat, HandoverRequested]:
    """Return a handover of the partition of both programs from node 0 to node 1."""
    node = fleet.nodes[0]
    partition = node.directory.partition_of(PROGRAM)
    assert node.directory.partition_of(OTHER) == partition
    successor = fleet.leaderships[1].address
    order = HandoverRequested(partition, Epoch(fleet.epoch), NodeId("n1"), successor)
    heartbeat = FakeHeartbeat(fleet, order)
    caller: Any = fleet.network
    handover = PartitionHandover(node.leader, node.incoming, heartbeat, caller, 30.0)  # type: ignore[arg-type]
    PartitionHandover(
        fleet.nodes[1].leader,
        fleet.nodes[1].incoming,
        heartbeat,  # type: ignore[arg-type]
        caller,
        30.0,
    ).register(fleet.network.routers[successor])
    return handover, heartbeat, order


class PartitionHandoverTest(unittest.TestCase):
    def test_new_calls_are_accepted_while_another_call_runs(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.create(program_id=OTHER)
            handover, heartbeat, order = handover_of(fleet)
            for engine in fleet.engines:
                engine.answer_tokens = LONG_ANSWER
            long = Answer()
            started_at = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, chat(max_tokens=LONG_ANSWER), long)
                await anyio.sleep(0.1)
                tasks.start_soon(handover.hand_over, order)
                await anyio.sleep(0.1)
                short = await fleet.call(chat(program_id=OTHER, max_tokens=12))
                self.assertEqual(short.answered.body, expected_answer())
                self.assertLess(anyio.current_time() - started_at, 0.3)
                self.assertIsNone(heartbeat.released_at)
            self.assertEqual(long.answered.body, expected_answer(LONG_ANSWER))
            assert heartbeat.released_at is not None
            self.assertLess(heartbeat.released_at - started_at, 1.3)

        run_in_fleet(scenario, nodes=2)

    def test_partition_that_is_never_idle_redirects_new_calls_and_interrupts_none(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.create(program_id=OTHER)
            handover, heartbeat, order = handover_of(fleet)
            for engine in fleet.engines:
                engine.answer_tokens = LONG_ANSWER
            answers: list[Answer] = []

            async def call_repeatedly(program_id: ProgramId) -> None:
                for _ in range(5):
                    request = chat(program_id=program_id, max_tokens=LONG_ANSWER)
                    answers.append(await fleet.call(request))

            started_at = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call_repeatedly, PROGRAM)
                await anyio.sleep(0.6)
                tasks.start_soon(call_repeatedly, OTHER)
                tasks.start_soon(handover.hand_over, order)
            bodies = {answer.answered.body for answer in answers}
            self.assertEqual(bodies, {expected_answer(LONG_ANSWER)})
            self.assertEqual(len(answers), 10)
            assert heartbeat.released_at is not None
            self.assertLess(heartbeat.released_at - started_at, 0.6 + IDLE_WAIT_S + 1.3)

        run_in_fleet(scenario, nodes=2)

    def test_call_that_waits_for_an_earlier_one_does_not_block_the_handover(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            node = fleet.nodes[0]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, chat(sequence=5, is_named=True))
                await anyio.sleep(0.1)
                started_at = anyio.current_time()
                await node.leader.wait_partition_idle(node.directory.partition_of(PROGRAM), 1.0)
                self.assertAlmostEqual(anyio.current_time() - started_at, 1.0)
                tasks.cancel_scope.cancel()

        run_in_fleet(scenario, nodes=2)

    def test_cancelled_handover_releases_nothing(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            handover, heartbeat, order = handover_of(fleet)
            for engine in fleet.engines:
                engine.answer_tokens = LONG_ANSWER
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, chat(max_tokens=LONG_ANSWER))
                await anyio.sleep(0.1)
                tasks.start_soon(handover.hand_over, order)
                await anyio.sleep(0.1)
                heartbeat.order = None
                await handover.cancel(order.partition, order.epoch)
            self.assertIsNone(heartbeat.released_at)
            again = await fleet.call(chat(max_tokens=12))
            self.assertEqual(again.answered.body, expected_answer())

        run_in_fleet(scenario, nodes=2)


if __name__ == "__main__":
    unittest.main()
