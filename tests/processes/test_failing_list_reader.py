"""Reading the list fails with an error that nothing foresees, in real processes.

Guards against a node that ends by it, or that forgets the last good list.
"""

import sys
import unittest

import anyio

from passlane.messages.fleet import FleetRole
from passlane.soak.machines import METRICS_PORT
from processes.back_end import plain
from processes.fleet import TOOLS, configuration, process_fleet

RUNS_ALONE = "starts processes and listens on real sockets"

PROCESSES = {FleetRole.CONTROL: 1, FleetRole.STORE: 1, FleetRole.NODE: 2}
NODES = ("node-1", "node-2")
FAILING_S = 15.0
"""Longer than the failures of a child with a limit of restarts take to end its supervisor."""
SETTLED_S = 4.0
REQUESTS = 10
MARK = "reading-fails"
"""File in the processes' folder; while it exists, each reading fails."""
PROGRAM = f"""
import sys
from pathlib import Path
from passlane.daemon import fleet_start
from passlane.platform.instance_list import InstanceList

read = InstanceList.read

async def read_or_fail(self):
    if Path("{MARK}").exists():
        raise OverflowError("an error that nothing foresees")
    return await read(self)

InstanceList.read = read_or_fail
sys.exit(fleet_start.main())
"""
DAEMON = (sys.executable, "-c", PROGRAM)


def add_back_ends(fleet):
    fleet.leaving, fleet.joining = (fleet.add_back_end(TOOLS, plain()) for _ in range(2))
    fleet.joining.is_listed = False


class FailingReaderTest(unittest.TestCase):
    def test_nodes_serve_with_the_last_list_and_read_again_later(self):
        anyio.run(self._check)

    async def _check(self):
        running = process_fleet(
            configuration(), add_back_ends, processes=PROCESSES, daemon=DAEMON
        )  # fmt: skip
        async with running as fleet:
            mark = fleet.machines._folder / MARK
            mark.touch()
            await anyio.sleep(FAILING_S)
            await self._assert_served(fleet, fleet.leaving)
            self.assertGreater(await self._failures(fleet), 5)
            self.assertIn('"child":"backend_list"', "".join(map(fleet.output_of, NODES)))
            fleet.leaving.is_listed, fleet.joining.is_listed = False, True
            mark.unlink()
            await anyio.sleep(SETTLED_S)
            await self._assert_served(fleet, fleet.joining)

    async def _assert_served(self, fleet, back_end):
        """All requests are served, by this back end, and all processes run."""
        before = len(back_end.ran)
        for number in range(REQUESTS):
            answer, _ = await fleet.request(NODES[number % 2], "/safe/x", {}, b"x")
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(back_end.ran) - before, REQUESTS)
        self.assertTrue(all(machine.is_running for machine in fleet.machines.all))

    async def _failures(self, fleet):
        """Return how many failures the nodes have counted."""
        count = 0.0
        for name in NODES:
            address = fleet.machine(name).address(METRICS_PORT)
            answer = await fleet._fetch(address, "GET", "/metrics")
            lines = answer.body.decode().splitlines()
            counted = [line for line in lines if "backend_list_failures_total " in line]
            count += sum(float(line.split()[1]) for line in counted if line[0] != "#")
        return count


if __name__ == "__main__":
    unittest.main()
