"""Calls that wait at the next leader of their partition, bounded in memory and in time."""

import unittest
from unittest.mock import patch

import anyio

from node.nodes import Answer, Fleet, chat, expected_answer, run_in_fleet
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import Epoch
from passlane.messages.node import HandoverNotice, HandoverStage
from passlane.node import incoming_partitions
from passlane.node.incoming_partitions import MAX_CALL_WAIT_S


def notices(fleet: Fleet, stage: HandoverStage) -> list[HandoverNotice]:
    partitions = fleet.leaderships[0].led_partitions()
    return [HandoverNotice(partition, Epoch(fleet.epoch), stage) for partition in partitions]


async def announce(fleet: Fleet, stage: HandoverStage = HandoverStage.BEGUN) -> None:
    """Let node 0 redirect its calls and notify node 1 of the handover."""
    for notice in notices(fleet, stage):
        fleet.nodes[1].incoming.handle_notice(notice, anyio.current_time())
        fleet.nodes[0].leader.redirect_calls(notice.partition, fleet.leaderships[1].address)


async def arrive(fleet: Fleet) -> None:
    fleet.lead(1)
    for partition in fleet.leaderships[1].led_partitions():
        fleet.nodes[1].incoming.end_wait(partition)


class IncomingPartitionsTest(unittest.TestCase):
    def test_waiting_calls_run_in_order_when_the_partition_arrives(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await announce(fleet)
            answers = [Answer() for _ in range(3)]
            started_at = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                for number, answer in enumerate(answers):
                    request = chat(str(number), sequence=number, is_named=True)
                    tasks.start_soon(fleet.call, request, answer)
                await anyio.sleep(1.0)
                self.assertGreater(fleet.nodes[1].incoming.waiting_bytes, 0)
                await arrive(fleet)
            self.assertEqual([one.answered.body for one in answers], [expected_answer()] * 3)
            contents = [turn.content for turn in fleet.record().turns if turn.role == "user"]
            self.assertEqual(contents, ["0", "1", "2"])
            self.assertLess(anyio.current_time() - started_at, 1.3)
            self.assertEqual(fleet.nodes[1].incoming.waiting_bytes, 0)

        run_in_fleet(scenario, nodes=2)

    def test_call_is_refused_at_the_time_limit_if_the_partition_does_not_arrive(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await announce(fleet)
            started_at = anyio.current_time()
            with self.assertRaises(PasslaneError) as raised:
                async for _ in fleet.nodes[1].leader.serve_call(chat()):
                    pass
            self.assertEqual(raised.exception.code, ErrorCode.NOT_LEADER)
            self.assertEqual(raised.exception.verdict, Verdict.NOT_RUN)
            self.assertAlmostEqual(anyio.current_time() - started_at, MAX_CALL_WAIT_S, places=3)

        run_in_fleet(scenario, nodes=2)

    def test_call_beyond_the_memory_limit_is_refused_at_once(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await announce(fleet)
            started_at = anyio.current_time()
            with (
                patch.object(incoming_partitions, "MAX_WAITING_BYTES", 5_000),
                self.assertRaises(PasslaneError) as raised,
            ):
                async for _ in fleet.nodes[1].leader.serve_call(chat("x" * 2_000)):
                    pass
            self.assertEqual(raised.exception.code, ErrorCode.NOT_LEADER)
            self.assertEqual(anyio.current_time(), started_at)

        run_in_fleet(scenario, nodes=2)

    def test_waiting_calls_return_to_the_leader_after_a_cancelled_handover(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await announce(fleet)
            answer = Answer()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, chat(), answer)
                await anyio.sleep(0.5)
                for partition in fleet.leaderships[0].led_partitions():
                    fleet.nodes[0].leader.accept_calls(partition)
                await announce_cancelled(fleet)
            self.assertEqual(answer.answered.body, expected_answer())
            self.assertLess(anyio.current_time(), 2.0)

        async def announce_cancelled(fleet: Fleet) -> None:
            for notice in notices(fleet, HandoverStage.CANCELLED):
                fleet.nodes[1].incoming.handle_notice(notice, anyio.current_time())

        run_in_fleet(scenario, nodes=2)


if __name__ == "__main__":
    unittest.main()
