"""Reports of engines that ended, and the refused requests, at the leader of the store group."""

import unittest

import anyio

from passlane.decisions.failure.engine_ends import MAX_ENDED_ENGINES, RETENTION_S
from passlane.errors import PasslaneError
from passlane.messages.common import NotLeaderError
from passlane.messages.turns import FindTurnStore
from passlane.turns.reported_ends import LEADERSHIP_CHECK_INTERVAL_S, MAX_WAIT_S
from turns.state.test_engine_ends import ends
from turns.test_service import PROPOSE_S, with_leader


class ReportedEndsTest(unittest.TestCase):
    async def report(self, found):
        return await self.service.find(FindTurnStore(engine_ends=found, refused_revision=""))

    async def wait(self, revision):
        return await self.service.find(FindTurnStore(refused_revision=revision))

    async def settle(self, attempt_id, program_id, *, served_by):
        """The set-up of ``with_leader`` settles a turn; it has no effect here."""

    @with_leader
    async def test_a_report_is_answered_once_it_is_replicated(self):
        found = await self.report(ends(1))
        self.assertIsNotNone(self.group.machine.engine_ends.find("one"))
        self.assertEqual(found.refused, ())

    @with_leader
    async def test_a_repeated_report_is_not_replicated_again(self):
        await self.report(ends(2))
        count = len(self.group.commands)
        await self.report(ends(2))
        self.assertEqual(len(self.group.commands), count)

    @with_leader
    async def test_the_last_report_is_answered_with_the_refused_request(self):
        found = await self.report(ends())
        self.assertEqual([refused.request_key for refused in found.refused], ["one"])
        self.assertEqual(found.refused[0].remaining_s, RETENTION_S)

    @with_leader
    async def test_a_waiting_node_is_answered_when_a_request_becomes_refused(self):
        known = await self.wait("")
        answers = []

        async def wait():
            answers.append(await self.wait(known.refused_revision))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await anyio.sleep(1.5)
            await self.report(ends(MAX_ENDED_ENGINES - 1))
            await anyio.sleep(1.5)
            self.assertEqual(answers, [])
            await self.report(ends())
            await anyio.sleep(PROPOSE_S)
            self.assertEqual(len(answers[0].refused), 1)

    @with_leader
    async def test_a_waiting_node_is_answered_after_a_while_without_a_change(self):
        known = await self.wait("")
        began_at = anyio.current_time()
        again = await self.wait(known.refused_revision)
        self.assertEqual(again.refused_revision, known.refused_revision)
        self.assertAlmostEqual(anyio.current_time() - began_at, MAX_WAIT_S, places=3)

    @with_leader
    async def test_a_waiting_node_is_told_that_the_leadership_is_lost(self):
        known = await self.wait("")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.expect_not_leader, known.refused_revision)
            await anyio.sleep(0.1)
            self.group.is_leader = False
            began_at = anyio.current_time()
        self.assertLessEqual(anyio.current_time() - began_at, LEADERSHIP_CHECK_INTERVAL_S)
        self.group.is_leader = True

    async def expect_not_leader(self, revision):
        with self.assertRaises(NotLeaderError):
            await self.wait(revision)

    @with_leader
    async def test_a_new_leader_answers_at_once(self):
        known = await self.wait("")
        self.group.term += 1
        began_at = anyio.current_time()
        await self.wait(known.refused_revision)
        self.assertEqual(anyio.current_time(), began_at)

    @with_leader
    async def test_a_report_that_could_not_be_replicated_is_not_confirmed(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.expect_failure)
            await anyio.sleep(PROPOSE_S / 2)
            self.group.is_leader = False
        self.assertIsNone(self.group.machine.engine_ends.find("one"))
        self.group.is_leader = True

    async def expect_failure(self):
        with self.assertRaises(PasslaneError):
            await self.report(ends())

    @with_leader
    async def test_a_probe_for_the_leader_is_answered_without_refused_requests(self):
        await self.report(ends())
        found = await self.service.find(FindTurnStore())
        self.assertEqual((found.refused, found.refused_revision), ((), ""))


if __name__ == "__main__":
    unittest.main()
