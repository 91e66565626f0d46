"""Streams that are taken up at a node that is out of step while new software versions join.

Guards against a stream that joins pieces of two versions: such a node, or a store that it asks, may
not know yet at which versions the streams of other nodes began.
"""

import signal
import unittest
from contextlib import ExitStack

import anyio
from anyio.from_thread import start_blocking_portal

from passlane.messages.fleet import FleetRole
from processes.fleet import process_fleet
from processes.links import LAG_GROWTH, LIST, MAX_LAG_S
from processes.releases import (
    JOINED,
    NEW,
    OLD,
    SETTLED_S,
    WENT_ON,
    Release,
    leader_of,
    reader_of,
    release_configuration,
)

RUNS_ALONE = "starts processes and listens on real sockets"

RELEASES = 12
KEPT_RELEASES = (1,)
STREAMS = 3
LAG_ROUNDS = 2
FREEZE_AFTER_S = (0.0, 0.005, 0.05)
FROZEN_S = 1.0
LIST_SENT_S = 0.1
"""Time in which all nodes have the list that one of them has read."""
JOINED_AGAIN_S = 2.5
"""Time in which a node that was cut off has leaders and the list again."""
NEWER = "v3"


class OutOfStepTest(unittest.TestCase):
    """One fleet; each release has a route and a service of its own."""

    @classmethod
    def setUpClass(cls):
        stack = ExitStack()
        cls.addClassCleanup(stack.close)
        cls.portal = stack.enter_context(start_blocking_portal())
        cls.releases = []
        document = release_configuration(RELEASES, kept=KEPT_RELEASES)
        cls.fleet = stack.enter_context(
            cls.portal.wrap_async_context_manager(
                process_fleet(document, cls.add_releases, is_linked=True)
            )
        )
        cls.unused = iter([r for n, r in enumerate(cls.releases) if n not in KEPT_RELEASES])

    @classmethod
    def add_releases(cls, fleet):
        for number in range(RELEASES):
            release = Release(fleet, number, keeps_turns=number in KEPT_RELEASES)
            release.add_engine(OLD)
            cls.releases.append(release)

    def next_release(self):
        return next(self.unused)

    def names_of(self, role):
        return [machine.name for machine in self.fleet.machines.of_role(role)]

    async def prepare(self, release):
        """Wait for a fleet in step, in which the old version serves; choose who is out of step."""
        self.fleet.links.join_all()
        for machine in self.fleet.machines.all:
            machine.signal(signal.SIGCONT)
            if not machine.is_running:
                self.fleet.machines.start(machine)
        await anyio.sleep(SETTLED_S)
        with anyio.fail_after(30.0):
            await self.fleet.wait_until_ready()
        self.store = leader_of(self.fleet, FleetRole.STORE)
        self.control = leader_of(self.fleet, FleetRole.CONTROL)
        reader = reader_of(self.fleet)
        nodes = self.names_of(FleetRole.NODE)
        self.out = next(node for node in nodes if node != reader)
        self.others = [node for node in nodes if node != self.out]
        self.other_stores = [s for s in self.names_of(FleetRole.STORE) if s != self.store.name]
        for node in nodes:
            await release.begin(node)

    async def cut_off_from_news(self):
        """Cut the node off from control, the list and other nodes; it reaches stores and engines.

        Its list is as fresh as a list can be.
        """
        await self.fleet.wait_for_list_read()
        await anyio.sleep(LIST_SENT_S)
        self.fleet.links.cut(self.out, *self.names_of(FleetRole.CONTROL), *self.others, LIST)

    async def assert_taken_up(self, release, begun):
        """Check that nothing was joined, and that streams go on at a node that is in step again."""
        print(f"{self.id().rpartition('.')[2]}: {len(begun)} begun, {dict(release.seen)}")
        self.assertGreater(len(begun), 0)
        self.assertEqual(release.seen[JOINED], 0, release.mixed)
        self.fleet.links.join_all()
        await anyio.sleep(JOINED_AGAIN_S)
        before = release.seen[WENT_ON]
        await release.take_all_up(self.out, begun, naming=(True,))
        self.assertEqual(release.seen[JOINED], 0, release.mixed)
        self.assertGreaterEqual(release.seen[WENT_ON] - before, len(begun) - 1, release.seen)

    def test_a_node_that_reaches_only_engines_and_clients(self):
        async def main():
            release = self.next_release()
            await self.prepare(release)
            await self.cut_off_from_news()
            self.fleet.links.cut(self.out, *self.names_of(FleetRole.STORE))
            release.replace(OLD, NEW)
            begun = await release.begin_at(NEW, self.others, STREAMS)
            await release.take_all_up(self.out, begun)
            await self.assert_taken_up(release, begun)

        self.portal.call(main)

    def test_a_node_without_news_of_the_list_while_turns_are_kept(self):
        async def main():
            release = self.releases[KEPT_RELEASES[0]]
            await self.prepare(release)
            await self.cut_off_from_news()
            release.replace(OLD, NEW)
            begun = await release.begin_at(NEW, self.others, STREAMS)
            await release.take_all_up(self.out, begun)
            await self.assert_taken_up(release, begun)

        self.portal.call(main)

    def test_a_node_without_news_of_the_list_while_leaders_are_killed(self):
        async def main():
            release = self.next_release()
            await self.prepare(release)
            await self.cut_off_from_news()
            release.replace(OLD, NEW)
            await self.fleet.kill(self.store.name)
            begun = await release.begin_at(NEW, self.others, STREAMS)
            await self.fleet.kill(leader_of(self.fleet, FleetRole.STORE).name, self.control.name)
            self.fleet.restart(self.store.name)
            await release.take_all_up(self.out, begun)
            await self.prepare(release)
            await self.assert_taken_up(release, begun)

        self.portal.call(main)

    def test_a_node_that_asks_a_store_that_no_longer_leads(self):
        async def main():
            for _ in range(LAG_ROUNDS):
                release = self.next_release()
                await self.prepare(release)
                for store in self.other_stores:
                    self.fleet.links.let_lag(store, self.store.name)
                await anyio.sleep(MAX_LAG_S / LAG_GROWTH)
                await self.cut_off_from_news()
                self.fleet.links.lose(self.store.name, *self.other_stores)
                self.fleet.links.cut(self.store.name, *self.others)
                self.fleet.links.cut(self.out, *self.other_stores)
                release.replace(OLD, NEW)
                for node in self.others:
                    # Their reports of these streams show them that the store no longer answers.
                    await release.begin(node, events=1)
                begun = await release.begin_at(NEW, self.others, STREAMS)
                await release.take_all_up(self.out, begun)
                await self.assert_taken_up(release, begun)

        self.portal.call(main)

    def test_two_versions_that_join_within_a_second(self):
        async def main():
            release = self.next_release()
            await self.prepare(release)
            await self.cut_off_from_news()
            release.replace(OLD, NEW)
            begun = await release.begin_at(NEW, self.others, 1)
            release.replace(NEW, NEWER)
            begun += await release.begin_at(NEWER, self.others, 1)
            release.set_listed(NEW, is_listed=True)
            await release.take_all_up(self.out, begun)
            await self.assert_taken_up(release, begun)

        self.portal.call(main)

    def test_a_node_that_is_frozen_while_it_decides(self):
        async def main():
            release = self.next_release()
            await self.prepare(release)
            node = self.fleet.machine(self.out)
            release.add_engine(NEW)
            begun = await release.begin_at(NEW, self.others, STREAMS)
            begun += [stream for stream in release.begun if stream.version == OLD][:STREAMS]
            for freeze_after_s in FREEZE_AFTER_S:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(release.take_all_up, self.out, begun)
                    await anyio.sleep(freeze_after_s)
                    node.signal(signal.SIGSTOP)
                    await anyio.sleep(FROZEN_S)
                    node.signal(signal.SIGCONT)
            await self.assert_taken_up(release, begun)

        self.portal.call(main)


if __name__ == "__main__":
    unittest.main()
