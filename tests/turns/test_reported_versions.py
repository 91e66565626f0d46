"""Announced versions at the leader of the store group."""

import unittest

import anyio

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import NotLeaderError
from passlane.messages.turns import FindTurnStore
from passlane.turns.reported_versions import RENEWAL_INTERVAL_S
from turns.state.test_versions import served
from turns.test_service import with_leader


class ReportedVersionsTest(unittest.TestCase):
    async def announce(self, *versions):
        return await self.service.find(FindTurnStore(served_versions=versions))

    async def find(self, address="one.example/streams/x"):
        return (await self.service.find(FindTurnStore(address=address))).served_versions

    async def settle(self, attempt_id, program_id, *, served_by):
        """The set-up of ``with_leader`` settles a turn; it has no effect here."""

    @property
    def commands(self):
        return [c for c in self.group.commands if b"software_version" in c]

    @with_leader
    async def test_an_announcement_is_answered_once_it_is_replicated(self):
        await self.announce(served("v1"))
        self.assertEqual(await self.find(), (served("v1"),))
        self.assertEqual(len(self.commands), 1)

    @with_leader
    async def test_one_that_is_not_replicated_is_not_answered(self):
        async def fail(command, *, may_be_deferred=False):
            raise PasslaneError(ErrorCode.LEASE_LOST, "not the leader any more")

        self.group.propose = fail
        with self.assertRaises(PasslaneError):
            await self.announce(served("v1"))

    @with_leader
    async def test_a_leader_that_has_been_replaced_tells_nothing_of_versions(self):
        await self.announce(served("v1"))
        reads_before_it_notices = self.service.find(FindTurnStore(address="one.example/streams/x"))

        async def replaced():
            raise NotLeaderError("another replica leads", None)

        self.group.read_barrier = replaced
        with self.assertRaises(NotLeaderError):
            await reads_before_it_notices
        with self.assertRaises(NotLeaderError):
            await self.announce(served("v1"))

    @with_leader
    async def test_nodes_that_announce_at_the_same_moment_need_one_command(self):
        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(self.announce, served("v1"))
        self.assertEqual(len(self.commands), 1)

    @with_leader
    async def test_a_version_is_renewed_only_at_intervals(self):
        await self.announce(served("v1"))
        await self.announce(served("v1"))
        self.assertEqual(len(self.commands), 1)
        await anyio.sleep(RENEWAL_INTERVAL_S + 1.5)
        await self.announce(served("v1"))
        self.assertEqual(len(self.commands), 2)

    @with_leader
    async def test_a_route_without_versions_is_told_apart_from_a_store_that_can_not_tell(self):
        self.assertEqual(await self.find(), ())
        found = await self.service.find(FindTurnStore())
        self.assertIsNone(found.served_versions)


if __name__ == "__main__":
    unittest.main()
