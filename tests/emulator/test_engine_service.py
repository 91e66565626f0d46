"""The emulated engine's clock and streams, on a virtual clock."""

import random
import unittest

import anyio

from passlane.emulator.engine_outputs import Submission
from passlane.emulator.engine_service import EngineService
from passlane.emulator.engine_settings import EngineModelSettings
from passlane.identifiers import EngineId, ProgramId
from passlane.simulation.runner import run_simulation


def submission(attempt_id: str) -> Submission:
    return Submission(
        attempt_id=attempt_id,
        program_id=ProgramId("p"),
        model="agent",
        prompt_tokens=10,
        answer_tokens=50,
        epoch=1,
    )


class EngineServiceTest(unittest.TestCase):
    def test_reader_that_leaves_while_tokens_are_due_harms_nobody(self) -> None:
        async def run() -> bool:
            service = EngineService(EngineModelSettings(), EngineId("engine-1"), random.Random(1))
            async with service.stream(submission("left")):
                # The engine's own loop does not run, as on a busy machine.
                await anyio.sleep(0.1)
            async with service.stream(submission("stays")) as items:
                await anyio.sleep(0.1)
                service.settle()
                return items.statistics().current_buffer_used > 0

        self.assertTrue(run_simulation(run, seed=1))

    def test_time_since_the_last_request_is_told(self) -> None:
        async def run() -> tuple[float | None, float | None]:
            service = EngineService(EngineModelSettings(), EngineId("engine-1"), random.Random(1))
            before = service.quiet_s()
            async with service.stream(submission("one")):
                pass
            await anyio.sleep(2.0)
            return before, service.quiet_s()

        before, after = run_simulation(run, seed=1)
        self.assertIsNone(before)
        self.assertAlmostEqual(after or 0.0, 2.0)


if __name__ == "__main__":
    unittest.main()
