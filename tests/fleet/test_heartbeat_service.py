"""A heartbeat is answered at once if there is an update for its sender, and delayed otherwise."""

import unittest

import anyio
import trio.testing

from fleet.leading_group import leader_state, node_heartbeat, store_heartbeat
from passlane.fleet.heartbeat_service import MAX_WAIT_S, HeartbeatService
from passlane.fleet.leader_state import COUNTER_BITS_PER_TERM
from passlane.messages.common import NotLeaderError
from passlane.messages.listing import ReportBackends
from relay.fakes import backend

WAIT_S = 0.2


class HeartbeatServiceTest(unittest.TestCase):
    def run_at_leader(self, body):
        async def main():
            self.leader, self.group = leader_state()
            self.service = HeartbeatService(self.leader)
            await body()

        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(main, backend="trio", backend_options={"clock": clock})

    async def timed_answer(self, heartbeat):
        """Return the answer and the seconds until it arrived."""
        started = anyio.current_time()
        view = await self.service.answer_heartbeat(heartbeat)
        return view, anyio.current_time() - started

    async def up_to_date_heartbeat(self):
        """Return the heartbeat of a node that is up to date."""
        view = await self.service.answer_heartbeat(node_heartbeat())
        return node_heartbeat(
            view_number=view.number, reads_backends=view.reads_backends, wait_s=WAIT_S
        )

    def test_a_new_process_is_answered_at_once(self):
        async def body():
            view, after_s = await self.timed_answer(node_heartbeat(wait_s=MAX_WAIT_S))
            self.assertEqual(after_s, 0.0)
            self.assertEqual(view.number >> COUNTER_BITS_PER_TERM, self.group.term)
            self.assertTrue(view.reads_backends)
            self.assertIsNotNone(view.addresses)

        self.run_at_leader(body)

    def test_without_an_update_the_answer_is_delayed_and_has_no_addresses(self):
        async def body():
            view, after_s = await self.timed_answer(await self.up_to_date_heartbeat())
            self.assertAlmostEqual(after_s, WAIT_S)
            self.assertIsNone(view.addresses)

        self.run_at_leader(body)

    def test_a_report_ends_the_wait(self):
        async def body():
            heartbeat = await self.up_to_date_heartbeat()
            views = []

            async def wait():
                views.append(await self.service.answer_heartbeat(heartbeat))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait)
                await anyio.wait_all_tasks_blocked()
                report = ReportBackends(name="node-1", number=0, records=(backend("i-1"),))
                reported = await self.service.receive_report(report)
            self.assertEqual(views[0].backends_number, reported.number)
            self.assertIsNotNone(views[0].backends_update)

        self.run_at_leader(body)

    def test_a_waiting_heartbeat_fails_when_leadership_is_lost(self):
        async def body():
            heartbeat = await self.up_to_date_heartbeat()

            async def wait():
                with self.assertRaises(NotLeaderError):
                    await self.service.answer_heartbeat(heartbeat)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait)
                await anyio.wait_all_tasks_blocked()
                self.group.is_leader = False

        self.run_at_leader(body)

    def test_a_new_term_clears_the_directory_and_increases_its_number(self):
        async def body():
            self.leader.directory.record_heartbeat(store_heartbeat(1), 0.0)
            before = self.leader.directory.number
            self.group.term = 2
            self.assertEqual(self.leader.directory.store_names(), [])
            self.assertGreater(self.leader.directory.number, before)

        self.run_at_leader(body)


if __name__ == "__main__":
    unittest.main()
