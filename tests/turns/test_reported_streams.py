"""Reports and lookups of streams at the leader of the store group."""

import unittest
from unittest import mock

import anyio

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import NotLeaderError
from passlane.messages.turns import FindTurnStore
from passlane.turns import reported_streams
from passlane.turns.reported_streams import REPLICATION_INTERVAL_S
from turns.state.test_streams import origin
from turns.test_service import with_leader


class ReportedStreamsTest(unittest.TestCase):
    async def report(self, *origins):
        await self.service.find(FindTurnStore(begun_streams=origins))

    async def find(self, stream_id):
        return (await self.service.find(FindTurnStore(stream_id=stream_id))).origin

    async def settle(self, attempt_id, program_id, *, served_by):
        """The set-up of ``with_leader`` settles a turn; it has no effect here."""

    @with_leader
    async def test_a_reported_stream_is_found_before_it_is_replicated(self):
        await self.report(origin())
        self.assertEqual(await self.find("one"), origin())
        self.assertIsNone(self.group.machine.stream_origin("one"))

    @with_leader
    async def test_reports_are_replicated_together(self):
        for name in ("one", "two", "three"):
            await self.report(origin(name))
        await anyio.sleep(3 * REPLICATION_INTERVAL_S)
        with_streams = [c for c in self.group.commands if b"begun_streams" in c]
        self.assertEqual(len(with_streams), 1)
        self.assertEqual(self.group.machine.stream_origin("three"), origin("three"))
        self.assertEqual(await self.find("two"), origin("two"))

    @with_leader
    async def test_a_report_that_could_not_be_replicated_is_replicated_later(self):
        await self.report(origin())
        lost = PasslaneError(ErrorCode.LEASE_LOST, "not the leader any more")
        with mock.patch.object(self.group, "propose", side_effect=lost):
            await anyio.sleep(2 * REPLICATION_INTERVAL_S)
        self.assertIsNone(self.group.machine.stream_origin("one"))
        await anyio.sleep(2 * REPLICATION_INTERVAL_S)
        self.assertEqual(self.group.machine.stream_origin("one"), origin())

    @with_leader
    async def test_only_the_leader_answers(self):
        await self.report(origin())
        self.group.is_leader = False
        with self.assertRaises(NotLeaderError):
            await self.find("one")
        self.group.is_leader = True

    @with_leader
    async def test_unreplicated_reports_are_bounded_and_the_oldest_give_way(self):
        with mock.patch.object(reported_streams, "MAX_UNREPLICATED_ORIGINS", 2):
            await self.report(origin("one"), origin("two"), origin("three"))
        self.assertIsNone(await self.find("one"))
        self.assertIsNotNone(await self.find("three"))


if __name__ == "__main__":
    unittest.main()
