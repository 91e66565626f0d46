"""Requests under which engines end, at any node and over any attempts, on a simulated fleet."""

import unittest

import anyio

from on_platform.stand_in import RESUMABLE_ROUTE
from on_platform.test_fleet import on_seeds

HARMFUL = b"<harmful>"
MAX_ENDED = 3
"""Engines that may end under one request; it is sent to no further one."""
ATTEMPTS = 8
SAFE_ROUTE = {
    "name": "safe",
    "host": "one.example",
    "path_prefix": "/safe/",
    "kind": "safe",
    "timeout_ms": 3000,
    "target_latency_ms": 300,
    "priority": 2,
    "service": "models",
    "max_attempts": 2,
}
RESUMABLE = RESUMABLE_ROUTE | {"max_attempts": 2}
NODES = ("node-1", "node-2")


class EndingEnginesCase(unittest.TestCase):
    async def set_routes(self, fleet):
        await fleet.put_configuration(2, extra_routes=(RESUMABLE, SAFE_ROUTE))
        await anyio.sleep(3.0)

    async def send_turns(self, fleet, count=ATTEMPTS, *, pause_s=0.2, name="turn", **options):
        """Send a harmful turn several times, at the nodes in turn; return the answers."""
        answers = []
        for number in range(count):
            node = NODES[number % len(NODES)]
            request_id = f"{name}-{number}"
            answers.append(await fleet.turn(request_id, node=node, body=HARMFUL, **options))
            await anyio.sleep(pause_s)
        return answers

    def assert_bounded(self, fleet, most=MAX_ENDED):
        """At least one engine has ended, and the request reached no more than allowed."""
        runs = fleet.runs_of(HARMFUL)
        self.assertGreater(len(runs), 0)
        self.assertLessEqual(len(runs), most, runs)

    def assert_refused(self, answer):
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 1.0)


class EachKindOfRequestTest(EndingEnginesCase):
    @on_seeds(engines=4)
    async def test_a_turn_sent_anew_ends_three_engines_at_most(self, fleet):
        fleet.end_engines_under(HARMFUL)
        answers = await self.send_turns(fleet)
        self.assert_bounded(fleet)
        self.assert_refused(answers[-1])

    @on_seeds(engines=4)
    async def test_a_turn_that_ends_engines_after_its_first_event_ends_three_at_most(self, fleet):
        fleet.end_engines_under(HARMFUL, end_after_s=0.015)
        answers = await self.send_turns(fleet)
        self.assert_bounded(fleet)
        self.assert_refused(answers[-1])

    @on_seeds(engines=4)
    async def test_a_stream_that_is_resumed_ends_three_engines_at_most(self, fleet):
        await self.set_routes(fleet)
        fleet.end_engines_under(HARMFUL, end_after_s=0.015)
        await self.send_turns(fleet, 1, path="/streams/x")
        answers = await self.send_turns(
            fleet, name="again", path="/streams/x", resumes="turn-0", last_event_id="1"
        )
        self.assert_bounded(fleet)
        self.assert_refused(answers[-1])

    @on_seeds(engines=4)
    async def test_a_safe_call_ends_three_engines_at_most(self, fleet):
        await self.set_routes(fleet)
        fleet.end_engines_under(HARMFUL)
        answers = await self.send_calls(fleet, path="/safe/x")
        self.assert_bounded(fleet)
        self.assert_refused(answers[-1])

    @on_seeds(engines=4)
    async def test_an_unsafe_call_that_is_called_again_ends_three_engines_at_most(self, fleet):
        fleet.end_engines_under(HARMFUL)
        answers = await self.send_calls(fleet, path="/calls/x")
        self.assert_bounded(fleet)
        self.assert_refused(answers[-1])

    async def send_calls(self, fleet, path):
        answers = []
        for number in range(ATTEMPTS):
            node = NODES[number % len(NODES)]
            answer = await fleet.tool_call(f"call-{number}", node=node, path=path, body=HARMFUL)
            answers.append(answer)
            await anyio.sleep(0.2)
        return answers


class LossesTest(EndingEnginesCase):
    @on_seeds(engines=4)
    async def test_the_bound_holds_for_attempts_that_are_seconds_apart(self, fleet):
        fleet.end_engines_under(HARMFUL)
        await self.send_turns(fleet, pause_s=5.0)
        self.assert_bounded(fleet)

    @on_seeds(0, 1, 2, engines=4)
    async def test_the_bound_holds_over_a_lost_store_leader(self, fleet):
        fleet.end_engines_under(HARMFUL)
        await self.send_turns(fleet, 2)
        fleet.kill(fleet.store_leader().name)
        await self.send_turns(fleet, name="later", pause_s=0.5)
        self.assert_bounded(fleet)

    @on_seeds(0, 1, 2, engines=4)
    async def test_the_bound_holds_over_lost_nodes(self, fleet):
        fleet.end_engines_under(HARMFUL)
        await self.send_turns(fleet, 2)
        for node in NODES:
            fleet.kill(node)
            fleet.start(node)
            await fleet.wait_until_ready(node)
        await self.send_turns(fleet, name="later")
        self.assert_bounded(fleet)

    @on_seeds(0, 1, 2, engines=4)
    async def test_the_bound_holds_over_a_loss_of_all_processes(self, fleet):
        fleet.end_engines_under(HARMFUL)
        await self.send_turns(fleet, 2)
        names = list(fleet.machines)
        for name in names:
            fleet.kill(name)
        await anyio.sleep(1.0)
        for name in names:
            fleet.start(name)
        for node in NODES:
            await fleet.wait_until_ready(node)
        await self.send_turns(fleet, name="later")
        self.assert_bounded(fleet)

    @on_seeds(0, 1, 2, engines=6)
    async def test_attempts_side_by_side_end_no_more_than_were_under_way(self, fleet):
        await self.set_routes(fleet)
        fleet.end_engines_under(HARMFUL, end_after_s=0.015)
        for _ in range(4):
            async with anyio.create_task_group() as tasks:
                for node in NODES:
                    tasks.start_soon(self.send_once, fleet, node)
            await anyio.sleep(0.2)
        # Two are under way when the third engine ends.
        self.assert_bounded(fleet, MAX_ENDED + 1)

    async def send_once(self, fleet, node):
        request_id = f"{node}-{anyio.current_time()}"
        await fleet.turn(request_id, node=node, body=HARMFUL, path="/streams/x")


class OtherRequestsTest(EndingEnginesCase):
    @on_seeds(engines=4)
    async def test_other_requests_of_the_program_and_equal_ones_of_others_are_served(self, fleet):
        fleet.end_engines_under(HARMFUL)
        await self.send_turns(fleet)
        for engine in fleet.engines:
            engine.on_run = None
        await anyio.sleep(2.0)
        own = await fleet.turn("own", body=b"<other>")
        other = await fleet.turn("other", body=HARMFUL, x_passlane_program_id="another")
        session = await fleet.turn("line", body=HARMFUL, x_passlane_session_id="another")
        self.assertEqual([own.status, other.status, session.status], [200, 200, 200])

    @on_seeds(engines=4)
    async def test_engines_that_break_answers_off_and_live_are_not_counted(self, fleet):
        for engine in fleet.engines:
            engine.breaks_after = 1
        answers = await self.send_turns(fleet, 6)
        self.assertEqual([answer.status for answer in answers], [200] * 6)
        self.assertEqual(len(fleet.runs_of(HARMFUL)), 6)

    @on_seeds(engines=4)
    async def test_connections_that_are_reset_are_not_counted(self, fleet):
        for engine in fleet.engines:
            engine.event_delay_s = 0.1
        for number in range(6):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send_turns, fleet, 1, 0.0, f"cut-{number}")
                await anyio.sleep(0.15)
                for engine in fleet.engines:
                    fleet.network.break_connections(engine.address.host)
        self.assertEqual(len(fleet.runs_of(HARMFUL)), 6)
        answer = await fleet.turn("last", body=HARMFUL)
        self.assertTrue(answer.is_complete)

    async def send_turns(self, fleet, count=ATTEMPTS, pause_s=0.2, name="turn", **options):
        return await super().send_turns(fleet, count, pause_s=pause_s, name=name, **options)

    @on_seeds(engines=4)
    async def test_a_request_is_served_after_all_engines_were_lost_twice_under_it(self, fleet):
        for number in range(2):
            for engine in fleet.engines:
                engine.event_delay_s = 0.1
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send_turns, fleet, 1, 0.0, f"lost-{number}")
                await anyio.sleep(0.15)
                for engine in list(fleet.engines):
                    tasks.start_soon(fleet.replace_engine, engine, 0.0, 0.3)
            await anyio.sleep(2.0)
        answer = await fleet.turn("last", body=HARMFUL)
        self.assertTrue(answer.is_complete)


if __name__ == "__main__":
    unittest.main()
