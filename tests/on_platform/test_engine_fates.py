"""Requests under which engines end unseen: later, in silence, or while nobody can report it."""

import unittest

import anyio

from on_platform.harmful_requests import HARMFUL, Harm
from on_platform.stand_in import RESUMABLE_ROUTE
from on_platform.test_engines_that_end import NODES, SAFE_ROUTE
from on_platform.test_fleet import on_seeds
from passlane.messages.fleet import FleetRole

MAX_ENDED = 3
ATTEMPTS = 10
KINDS = ("turn", "stream", "safe", "unsafe")
ROUTES = (RESUMABLE_ROUTE | {"max_attempts": 2}, SAFE_ROUTE)
FREE_ENGINES = 16
"""More engines than attempts, so that none is left out for having failed."""


class HarmedFleetCase(unittest.TestCase):
    async def set_routes(self, fleet):
        await fleet.put_configuration(2, extra_routes=ROUTES)
        await anyio.sleep(3.0)

    async def send(self, fleet, kind, request_id, *, body=HARMFUL, **options):
        if kind == "safe":
            return await fleet.tool_call(request_id, path="/safe/x", body=body, **options)
        if kind == "unsafe":
            return await fleet.tool_call(request_id, path="/calls/x", body=body, **options)
        path = "/streams/x" if kind == "stream" else "/turns/x"
        return await fleet.turn(request_id, path=path, body=body, **options)

    async def send_repeatedly(self, fleet, kind, *, pause_s=0.2, **options):
        """Send a harmful request at the nodes in turn; return the answers."""
        answers = []
        for number in range(ATTEMPTS):
            node = NODES[number % len(NODES)]
            answers.append(await self.send(fleet, kind, f"{kind}-{number}", node=node, **options))
            await anyio.sleep(pause_s)
        return answers

    def assert_bounded(self, fleet, most=MAX_ENDED):
        """At least one engine ran the request, and no more than may end."""
        engines = fleet.engines_under(HARMFUL)
        self.assertGreater(len(engines), 0)
        self.assertLessEqual(len(engines), most, engines)


def each_kind(harm, *, kinds=KINDS, pause_s=0.2, **options):
    """Return a test that sends a harmful request of each kind, each to a fleet of its own."""

    def check(kind):
        @on_seeds(0, 1, engines=FREE_ENGINES)
        async def test(self, fleet):
            await self.set_routes(fleet)
            for engine in fleet.engines:
                engine.event_delay_s = 0.1
            fleet.harm_engines(harm)
            await self.send_repeatedly(fleet, kind, pause_s=pause_s, **options)
            self.assert_bounded(fleet)

        return test

    checks = {kind: check(kind) for kind in kinds}

    def test(self):
        for kind, run in checks.items():
            with self.subTest(kind=kind):
                run(self)

    return test


class EachWayTest(HarmedFleetCase):
    test_an_engine_that_breaks_off_and_ends_later = each_kind(
        Harm(breaks_off=True, end_after_s=0.3, restart_s=8.0)
    )
    test_an_engine_whose_host_turns_silent_while_the_list_names_it = each_kind(
        Harm(turns_silent=True, end_after_s=0.02, restart_s=8.0),
        kinds=("stream", "safe", "unsafe"),
        x_passlane_deadline_ms="700",
    )
    test_a_turn_whose_engine_turns_silent_and_whose_caller_leaves = each_kind(
        Harm(turns_silent=True, end_after_s=0.02, restart_s=8.0), timeout_s=0.6
    )
    test_an_engine_that_is_back_at_once_at_its_address = each_kind(
        Harm(end_after_s=0.05, restart_s=0.0)
    )
    test_an_engine_that_is_back_at_once_under_its_id = each_kind(
        Harm(end_after_s=0.05, restart_s=0.0, keeps_id=True)
    )
    test_an_engine_whose_caller_left_before_it_ended = each_kind(
        Harm(end_after_s=0.25, restart_s=8.0), timeout_s=0.1
    )
    test_an_engine_that_ended_after_the_deadline_of_the_attempt = each_kind(
        Harm(end_after_s=0.25, restart_s=8.0), x_passlane_deadline_ms="100"
    )
    test_an_engine_that_answered_an_error_and_then_ended = each_kind(
        Harm(answer_status=500, end_after_s=0.3, restart_s=8.0)
    )


class StoreGroupTest(HarmedFleetCase):
    @on_seeds(0, 1, engines=FREE_ENGINES)
    async def test_calls_while_the_stores_have_no_majority(self, fleet):
        await self.set_routes(fleet)
        fleet.harm_engines(Harm(restart_s=8.0))
        for machine in fleet.running(FleetRole.STORE)[:2]:
            fleet.kill(machine.name)
        await anyio.sleep(1.0)
        await self.send_repeatedly(fleet, "safe")
        await self.send_repeatedly(fleet, "unsafe")
        # Each of the two kinds is a request of its own.
        self.assert_bounded(fleet, 2 * MAX_ENDED)

    @on_seeds(0, 1, 2, engines=FREE_ENGINES)
    async def test_a_frozen_leader_of_the_store(self, fleet):
        await self.set_routes(fleet)
        fleet.harm_engines(Harm(restart_s=8.0))
        leader = fleet.store_leader()
        fleet.network.isolate(leader.host)
        await self.send_repeatedly(fleet, "safe")
        fleet.network.reconnect(leader.host)
        await self.send_repeatedly(fleet, "safe")
        self.assert_bounded(fleet)

    @on_seeds(0, 1, 2, engines=FREE_ENGINES)
    async def test_a_leader_of_the_store_that_freezes_after_the_second_end(self, fleet):
        await self.set_routes(fleet)
        fleet.harm_engines(Harm(restart_s=8.0))
        for number in range(2):
            await self.send(fleet, "unsafe", f"before-{number}")
        leader = fleet.store_leader()
        fleet.network.isolate(leader.host)
        await self.send_repeatedly(fleet, "unsafe")
        self.assert_bounded(fleet)


class LostNodesTest(HarmedFleetCase):
    @on_seeds(0, 1, 2, engines=FREE_ENGINES)
    async def test_a_turn_whose_node_is_lost_at_each_end(self, fleet):
        await self.set_routes(fleet)
        for engine in fleet.engines:
            engine.event_delay_s = 0.1
        fleet.harm_engines(Harm(end_after_s=0.05, restart_s=8.0))
        for number in range(6):
            node = NODES[number % len(NODES)]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send_and_lose, fleet, node, number)
                await anyio.sleep(0.06)
                fleet.kill(node)
            await anyio.sleep(0.5)
            fleet.start(node)
            await fleet.wait_until_ready(node)
            await anyio.sleep(0.5)
        self.assert_bounded(fleet)

    async def send_and_lose(self, fleet, node, number):
        await self.send(fleet, "turn", f"turn-{number}", node=node, timeout_s=1.0)


class SideBySideTest(HarmedFleetCase):
    @on_seeds(0, 1, 2, engines=FREE_ENGINES)
    async def test_turns_side_by_side_end_three_engines_at_most(self, fleet):
        await self.set_routes(fleet)
        for engine in fleet.engines:
            engine.event_delay_s = 0.1
        fleet.harm_engines(Harm(end_after_s=0.2, restart_s=8.0))
        async with anyio.create_task_group() as tasks:
            for number in range(8):
                node = NODES[number % len(NODES)]
                tasks.start_soon(self.send_one, fleet, f"turn-{number}", node)
        await self.send_repeatedly(fleet, "turn")
        self.assert_bounded(fleet)

    async def send_one(self, fleet, request_id, node):
        await self.send(fleet, "turn", request_id, node=node)


class OneRequestTest(HarmedFleetCase):
    @on_seeds(0, 1, engines=FREE_ENGINES)
    async def test_attempts_that_differ_in_ids_times_and_order_of_headers_are_one_request(
        self, fleet
    ):
        await self.set_routes(fleet)
        fleet.harm_engines(Harm(restart_s=8.0))
        content = {"x_passlane_model": "m", "x_passlane_affinity_key": "k", "cookie": "c"}
        for number in range(6):
            names = list(content) if number % 2 else list(reversed(content))
            headers = {name: content[name] for name in names}
            await self.send(
                fleet,
                "unsafe",
                f"call-{number}",
                node=NODES[number % 2],
                x_passlane_deadline_ms=str(2000 + number),
                **headers,
            )
            await anyio.sleep(0.2)
        self.assert_bounded(fleet)


class HarmlessTest(HarmedFleetCase):
    """What the bound costs requests that did no harm."""

    async def assert_served(self, fleet, kind, request_id="last"):
        # Simulated idle connections don't show that they were reset; a caller tries again.
        answer = await self.send(fleet, kind, request_id)
        if answer is None or answer.status != 200:
            answer = await self.send(fleet, kind, f"{request_id}.again")
        self.assertIsNotNone(answer)
        self.assertEqual((answer.status, answer.is_complete), (200, True))

    @on_seeds(0, 1, engines=4)
    async def test_a_request_is_served_after_its_connections_were_reset_six_times(self, fleet):
        await self.set_routes(fleet)
        for kind in KINDS:
            for engine in fleet.engines:
                engine.event_delay_s = 0.1
            for number in range(6):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.send, fleet, kind, f"{kind}-{number}")
                    await anyio.sleep(0.15)
                    for engine in fleet.engines:
                        fleet.network.break_connections(engine.address.host)
                await anyio.sleep(0.2)
            await self.assert_served(fleet, kind, f"{kind}-last")

    @on_seeds(0, 1, engines=4)
    async def test_a_request_is_served_once_the_paths_to_its_engines_are_whole_again(self, fleet):
        await self.set_routes(fleet)
        for kind in ("safe", "unsafe"):
            hosts = {engine.address.host for engine in fleet.engines}
            for engine in fleet.engines:
                engine.event_delay_s = 0.1
            for number in range(3):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.cut_attempt, fleet, kind, f"{kind}-{number}")
                    await anyio.sleep(0.15)
                    fleet.network.cut({fleet.machines["node-1"].host}, hosts)
                fleet.network.heal()
            await anyio.sleep(3.0)
            await self.assert_served(fleet, kind, f"{kind}-last")

    async def cut_attempt(self, fleet, kind, request_id):
        await self.send(fleet, kind, request_id, x_passlane_deadline_ms="600")

    @on_seeds(0, 1, engines=4)
    async def test_a_request_is_served_whose_callers_left_slow_engines(self, fleet):
        await self.set_routes(fleet)
        for kind in KINDS:
            for engine in fleet.engines:
                engine.event_delay_s = 1.0
            for number in range(5):
                await self.send(fleet, kind, f"{kind}-{number}", timeout_s=0.5)
                await anyio.sleep(0.3)
            for engine in fleet.engines:
                engine.event_delay_s = 0.01
            await anyio.sleep(1.0)
            await self.assert_served(fleet, kind, f"{kind}-last")

    @on_seeds(0, 1, engines=4)
    async def test_a_request_is_served_after_it_was_answered_with_errors(self, fleet):
        await self.set_routes(fleet)
        for engine in fleet.engines:
            engine.harm = Harm(answer_status=500)
        for kind in KINDS:
            for number in range(5):
                await self.send(fleet, kind, f"{kind}-{number}", node=NODES[number % 2])
                await anyio.sleep(0.2)
        for engine in fleet.engines:
            engine.harm = None
        await anyio.sleep(1.0)
        for kind in KINDS:
            await self.assert_served(fleet, kind, f"{kind}-last")

    @on_seeds(0, 1, engines=4)
    async def test_equal_turns_side_by_side_that_belong_to_no_line_are_all_served(self, fleet):
        for engine in fleet.engines:
            engine.event_delay_s = 0.5
        for outside in ({"x_passlane_session_id": None}, {"x_passlane_program_id": None}):
            served = []
            async with anyio.create_task_group() as tasks:
                for number in range(6):
                    tasks.start_soon(self.send_equal, fleet, number, outside, served)
            self.assertEqual(served, [200] * 6)

    async def send_equal(self, fleet, number, outside, served):
        names = "-".join(outside)
        answer = await self.send(
            fleet, "turn", f"equal-{names}-{number}", node=NODES[number % 2], **outside
        )
        served.append(answer.status)

    @on_seeds(0, 1, engines=6)
    async def test_other_requests_are_served_while_engines_crash_in_series(self, fleet):
        await self.set_routes(fleet)
        for engine in fleet.engines:
            engine.event_delay_s = 0.05
        served = []
        for number in range(5):
            async with anyio.create_task_group() as tasks:
                for caller in range(4):
                    tasks.start_soon(self.retry, fleet, f"caller-{number}-{caller}", served)
                await anyio.sleep(0.08)
                tasks.start_soon(fleet.replace_engine, fleet.engines[number], 0.0, 0.4)
        self.assertEqual(len(served), 20)

    async def retry(self, fleet, name, served):
        """Send a request as its caller does: twice more at most."""
        for number in range(3):
            answer = await self.send(
                fleet, "turn", f"{name}.{number}", body=name.encode(), x_passlane_program_id=name
            )
            if answer is not None and answer.status == 200 and answer.is_complete:
                served.append(name)
                return
            await anyio.sleep(0.3)


if __name__ == "__main__":
    unittest.main()
