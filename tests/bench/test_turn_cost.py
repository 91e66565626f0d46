"""Turns of the turn-cost experiment are served: a store replica and nodes in this process."""

import tempfile
import unittest
from pathlib import Path

import anyio

from passlane.bench.loopback import free_address
from passlane.bench.turn_cost_process import (
    NodesResult,
    NodesSetup,
    ReplicaSetup,
    run_nodes,
    run_replica,
)
from passlane.bench.turn_steps import step_of
from passlane.settings.model import PeerSettings

RUN_TIMEOUT_S = 20.0


async def play_turns(folder: Path) -> NodesResult:
    member = PeerSettings(name="store-0", internal=free_address())
    replica = ReplicaSetup(member.name, (member,), str(folder), samples_file="")
    nodes = NodesSetup(
        stores=(member.internal,),
        nodes=2,
        turns_per_s=60.0,
        duration_s=1.0,
        seed=1,
        result_file="unused",
    )
    with anyio.fail_after(RUN_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_replica, replica)
            result = await run_nodes(nodes)
            tasks.cancel_scope.cancel()
    return result


class TurnCostTest(unittest.TestCase):
    def test_turns_are_reserved_and_settled(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            result = anyio.run(play_turns, Path(folder))
        self.assertEqual(0, result.failed)
        self.assertGreater(len(result.reservations_s), 10)
        self.assertGreater(len(result.settlements_s), 10)

    def test_a_sampled_place_belongs_to_the_first_step_that_names_it(self) -> None:
        self.assertEqual("receive, decode", step_of("transport.frames:feed"))
        self.assertEqual("send: encode, frame, write", step_of("transport.frames:encode"))
        self.assertEqual("event loop, timers", step_of("event loop"))


if __name__ == "__main__":
    unittest.main()
