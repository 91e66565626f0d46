"""Streams that are taken up while engines of two software versions serve side by side."""

import unittest

import anyio

from on_platform.stand_in import RESUMABLE_ROUTE
from on_platform.test_fleet import on_seeds


async def serve_two_versions(fleet):
    """Add the resumable route; half of the engines run another version than the others."""
    for engine in fleet.engines[::2]:
        engine.software_version = "v2"
    await fleet.put_configuration(2, extra_routes=(RESUMABLE_ROUTE,))
    await anyio.sleep(3.0)


async def begin_stream(fleet, request_id, node="node-1"):
    """Begin a stream that breaks off after its first event; return its engine."""
    for engine in fleet.engines:
        engine.breaks_after = 1
    begun = await fleet.stream(request_id, node=node, x_passlane_program_id=f"program-{request_id}")
    assert begun.body.startswith(b"id: 1")
    assert not begun.is_complete
    for engine in fleet.engines:
        engine.breaks_after = None
    return fleet.engine_of(request_id)


async def take_up(fleet, request_id, node="node-2", **options):
    """Resume a stream after its first event; return the answer and the engine of this attempt."""
    attempt = f"{request_id}-again"
    answer = await fleet.stream(
        attempt,
        node=node,
        resumes=request_id,
        last_event_id="1",
        x_passlane_program_id=f"program-{request_id}",
        **options,
    )
    return answer, fleet.engine_of(attempt)


class ResumedStreamTest(unittest.TestCase):
    @on_seeds(0, 1, 2, engines=4)
    async def test_a_stream_taken_up_at_another_node_stays_at_the_version_that_began_it(
        self, fleet
    ):
        await serve_two_versions(fleet)
        began = await begin_stream(fleet, "one")
        fleet.lose_engine(began)
        answer, engine = await take_up(fleet, "one")
        self.assertEqual((answer.status, answer.is_complete), (200, True))
        self.assertEqual(engine.software_version, began.software_version)


if __name__ == "__main__":
    unittest.main()
