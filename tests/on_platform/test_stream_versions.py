"""Streams that are taken up while engines of two software versions serve side by side."""

import unittest

import anyio

from on_platform.stand_in import RESUMABLE_ROUTE
from on_platform.test_fleet import on_seeds
from passlane.decisions.failure.retry_after import LATE_LIST_RETRY_S
from passlane.messages.fleet import FleetRole


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
        await self.assert_goes_on(fleet, "one", began, node="node-2")

    @on_seeds(0, 1, 2, engines=4)
    async def test_a_stream_goes_on_after_the_node_that_began_it_was_killed(self, fleet):
        await serve_two_versions(fleet)
        began = await begin_stream(fleet, "one")
        fleet.kill("node-1", power=False)
        fleet.lose_engine(began)
        await self.assert_goes_on(fleet, "one", began, node="node-2")

    @on_seeds(0, 1, 2, engines=4)
    async def test_a_stream_goes_on_at_the_node_that_began_it_after_its_restart(self, fleet):
        await serve_two_versions(fleet)
        began = await begin_stream(fleet, "one")
        fleet.kill("node-1", power=False)
        fleet.start("node-1")
        await fleet.wait_until_ready("node-1")
        fleet.lose_engine(began)
        await self.assert_goes_on(fleet, "one", began, node="node-1")

    @on_seeds(0, 1, 2, engines=4)
    async def test_a_stream_goes_on_after_the_store_leader_was_lost(self, fleet):
        await serve_two_versions(fleet)
        began = await begin_stream(fleet, "one")
        await anyio.sleep(0.3)
        fleet.kill(fleet.store_leader().name)
        fleet.lose_engine(began)
        await self.assert_goes_on(fleet, "one", began, node="node-2")

    @on_seeds(0, 1, 2, engines=4)
    async def test_a_stream_goes_on_after_a_power_loss_of_all_machines(self, fleet):
        await serve_two_versions(fleet)
        began = await begin_stream(fleet, "one")
        await anyio.sleep(0.5)
        for name in list(fleet.machines):
            fleet.kill(name)
        await anyio.sleep(1.0)
        for name in list(fleet.machines):
            fleet.start(name)
        await fleet.wait_until_ready("node-2", timeout_s=10.0)
        fleet.lose_engine(began)
        await self.assert_goes_on(fleet, "one", began, node="node-2")

    @on_seeds(0, 1, engines=4, nodes=3)
    async def test_a_stream_goes_on_over_several_tries_and_nodes(self, fleet):
        await serve_two_versions(fleet)
        began = await begin_stream(fleet, "one")
        for engine in fleet.engines:
            engine.breaks_after = 2
        answer, second = await take_up(fleet, "one", node="node-2")
        self.assertFalse(answer.is_complete)
        self.assertEqual(second.software_version, began.software_version)
        for engine in fleet.engines:
            engine.breaks_after = None
        answer = await fleet.stream("third", node="node-3", resumes="one", last_event_id="2")
        self.assertEqual((answer.status, answer.is_complete), (200, True))
        version = fleet.engine_of("third").software_version
        self.assertEqual(version, began.software_version)

    @on_seeds(0, 1, engines=4)
    async def test_a_stream_goes_on_at_engines_that_have_just_begun_to_drain(self, fleet):
        await serve_two_versions(fleet)
        began = await begin_stream(fleet, "one")
        for engine in fleet.engines:
            if engine.software_version == began.software_version:
                engine.state = "draining"
        registry = fleet.machines["node-2"].process._registry
        await fleet.wait_until(lambda: registry.just_draining("models", anyio.current_time()))
        await self.assert_goes_on(fleet, "one", began, node="node-2")

    @on_seeds(0, 1, engines=4)
    async def test_nearly_all_streams_go_on_while_two_versions_serve(self, fleet):
        await serve_two_versions(fleet)
        went_on = 0
        for number in range(12):
            began = await begin_stream(fleet, f"s{number}", node=f"node-{number % 2 + 1}")
            other = f"node-{(number + 1) % 2 + 1}"
            answer, engine = await take_up(fleet, f"s{number}", node=other)
            went_on += answer.status == 200 and answer.is_complete
            self.assertEqual(engine.software_version, began.software_version)
        self.assertEqual(went_on, 12)

    async def assert_goes_on(self, fleet, request_id, began, node):
        answer, engine = await take_up(fleet, request_id, node=node)
        self.assertEqual((answer.status, answer.is_complete), (200, True))
        self.assertEqual(engine.software_version, began.software_version)


class RefusedResumptionTest(unittest.TestCase):
    async def assert_refused(self, fleet, request_id, reason, **options):
        started_at = anyio.current_time()
        answer, engine = await take_up(fleet, request_id, **options)
        self.assertEqual(answer.status, 503)
        self.assertIn(reason, answer.body)
        self.assertIsNone(engine)
        return anyio.current_time() - started_at, answer

    @on_seeds(0, 1, engines=4)
    async def test_a_stream_without_an_engine_of_its_version_is_refused_at_once(self, fleet):
        await serve_two_versions(fleet)
        began = await begin_stream(fleet, "one")
        for engine in fleet.engines:
            if engine.software_version == began.software_version:
                engine.state = "draining"
        await anyio.sleep(3.0)
        taken_s, answer = await self.assert_refused(fleet, "one", b"no_engine_of_version")
        self.assertLess(taken_s, 0.2)
        self.assertNotIn("retry-after", answer.headers)

    @on_seeds(0, 1, engines=4)
    async def test_a_stream_that_no_node_reported_is_refused_while_two_versions_serve(self, fleet):
        await serve_two_versions(fleet)
        answer = await fleet.stream("x", resumes="never", last_event_id="1")
        self.assertEqual(answer.status, 503)
        self.assertIn(b"stream_origin_unknown", answer.body)
        self.assertIsNone(fleet.engine_of("x"))

    @on_seeds(0, 1, engines=4)
    async def test_a_node_cut_off_from_the_store_takes_up_only_its_own_streams(self, fleet):
        await serve_two_versions(fleet)
        at_one = await begin_stream(fleet, "one")
        at_two = await begin_stream(fleet, "two", node="node-2")
        stores = {m.host for m in fleet.machines.values() if m.role is FleetRole.STORE}
        fleet.network.cut({fleet.machines["node-2"].host}, stores)
        await anyio.sleep(2.0)
        _, answer = await self.assert_refused(fleet, "one", b"store_")
        self.assertIn("retry-after", answer.headers)
        answer = await fleet.stream(
            "again", node="node-2", resumes="two", last_event_id="1", x_passlane_token_budget=None
        )
        self.assertEqual(fleet.engine_of("again").software_version, at_two.software_version)
        fleet.network.heal()
        await fleet.wait_until_ready("node-2")
        answer, engine = await take_up(fleet, "one")
        self.assertTrue(answer.is_complete)
        self.assertEqual(engine.software_version, at_one.software_version)

    @on_seeds(0, 1, engines=4)
    async def test_a_node_with_a_late_list_mixes_no_versions(self, fleet):
        for engine in fleet.engines:
            engine.software_version = "v1"
        await fleet.put_configuration(2, extra_routes=(RESUMABLE_ROUTE,))
        await anyio.sleep(3.0)
        late = fleet.machines["node-2"].host
        control = {m.host for m in fleet.machines.values() if m.role is FleetRole.CONTROL}
        fleet.network.cut({late}, control | {"10.9.0.1"})
        newer = fleet.engines[2:]
        for engine in newer:
            engine.software_version = "v2"
            engine.instance_id += "-new"
        for engine in fleet.engines[:2]:
            engine.state = "draining"
        await anyio.sleep(3.0)
        began = await begin_stream(fleet, "one")
        self.assertEqual(began.software_version, "v2")
        _, answer = await self.assert_refused(fleet, "one", b"no_engine_of_version")
        self.assertEqual(answer.headers["retry-after"], f"{LATE_LIST_RETRY_S:g}")


class OnlyVersionTest(unittest.TestCase):
    @on_seeds(0, 1, engines=2)
    async def test_an_unreported_stream_goes_on_where_one_version_has_served(self, fleet):
        await fleet.put_configuration(2, extra_routes=(RESUMABLE_ROUTE,))
        await anyio.sleep(3.0)
        for resumes in ("never", None):
            attempt = f"x-{resumes}"
            answer = await fleet.stream(attempt, resumes=resumes, last_event_id="1")
            self.assertEqual((answer.status, answer.is_complete), (200, True))


if __name__ == "__main__":
    unittest.main()
