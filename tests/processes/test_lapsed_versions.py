"""Streams of a version that left the list so long ago that the store group may have forgotten it.

Guards against a stream that goes on at another version once nothing tells any more where it began.
"""

import signal
import unittest

import anyio

from passlane.messages.fleet import FleetRole
from processes.fleet import process_fleet
from processes.releases import (
    JOINED,
    NEW,
    OLD,
    SETTLED_S,
    WENT_ON,
    Release,
    reader_of,
    release_configuration,
)

RUNS_ALONE = "starts processes and listens on real sockets"

FORGOTTEN_S = 33.0
"""Seconds after which the store group and lists have forgotten a version, unless it is renewed."""
LONG_MS = 70_000
LONG_EVENTS, LONG_PAUSE_S = 400, 0.1
READ_S = 0.2
STREAMS = 4
FROZEN, LONG, RELEASED = range(3)
RELEASES = 3


class LapsedVersionTest(unittest.TestCase):
    def add_releases(self, fleet):
        self.fleet = fleet
        self.releases = [Release(fleet, number) for number in range(RELEASES)]
        for release in self.releases:
            release.add_engine(OLD, *self.length_of(release))

    def length_of(self, release):
        is_long = release is self.releases[LONG]
        return (LONG_EVENTS, LONG_PAUSE_S) if is_long else ()

    def test_a_node_that_stood_still_and_a_stream_that_went_on_meanwhile(self):
        async def main():
            document = release_configuration(RELEASES, timeout_ms=LONG_MS)
            async with process_fleet(document, self.add_releases):
                await anyio.sleep(SETTLED_S)
                await self.prepare()
                await self.forget_old_version()
                await self.take_long_stream_up()
                await self.take_streams_of_woken_node_up()
                for release in self.releases:
                    self.assertEqual(release.seen[JOINED], 0, release.mixed)
                await self.check_new_version_is_served()

        anyio.run(main)

    async def prepare(self):
        nodes = [machine.name for machine in self.fleet.machines.of_role(FleetRole.NODE)]
        reader = reader_of(self.fleet)
        self.frozen = next(node for node in nodes if node != reader)
        self.others = [node for node in nodes if node != self.frozen]
        for release in self.releases:
            for node in nodes:
                await release.begin(node)

    async def forget_old_version(self):
        """Stop a node, begin a long stream at another, and release the new version."""
        self.long_stream, self.long_begun = await self.releases[LONG].open(
            self.others[0], deadline_ms=LONG_MS
        )
        self.fleet.machine(self.frozen).signal(signal.SIGSTOP)
        for release in self.releases:
            release.set_listed(OLD, is_listed=False)
            release.add_engine(NEW, *self.length_of(release))
        await anyio.sleep(FORGOTTEN_S)

    async def take_long_stream_up(self):
        release = self.releases[LONG]
        with anyio.move_on_after(READ_S):
            await self.long_stream.read_all()
        await self.long_stream.close()
        self.long_begun.events = self.long_stream.answer.events
        await self.take_up_elsewhere(release, [self.long_begun])

    async def take_streams_of_woken_node_up(self):
        """Begin streams at the node as it wakes, and take them up at the others."""
        release = self.releases[FROZEN]
        already = len(release.begun)
        async with anyio.create_task_group() as tasks:
            for _ in range(STREAMS):
                tasks.start_soon(release.begin, self.frozen)
            await anyio.sleep(READ_S)
            self.fleet.machine(self.frozen).signal(signal.SIGCONT)
        await self.take_up_elsewhere(release, release.begun[already:])

    async def take_up_elsewhere(self, release, begun):
        for node in self.others:
            await release.take_all_up(node, begun)
        versions = [stream.version for stream in begun]
        print(f"{len(begun)} begun at {versions}, taken up: {dict(release.seen)}")

    async def check_new_version_is_served(self):
        release = self.releases[RELEASED]
        nodes = [self.frozen, *self.others]
        begun = await release.begin_at(NEW, nodes, STREAMS)
        await release.take_all_up(self.frozen, begun, naming=(True,))
        self.assertGreaterEqual(len(begun), STREAMS)
        self.assertEqual(release.seen[WENT_ON], len(begun), release.seen)


if __name__ == "__main__":
    unittest.main()
