"""Calls of the own interface under which engines or applications end, over all requests."""

import unittest

import anyio

from node.nodes import Fleet, charge, chat, run_in_fleet
from passlane.errors import Verdict
from passlane.messages.common import Address

MAX_ENDED = 3
RESTART_S = 0.2
END_DELAY_S = 0.3
LATE_RESTART_S = 2.0
REQUESTS = 6


def end_engines(fleet: Fleet, *, end_delay_s: float = 0.0, turns_silent: bool = False) -> None:
    """Have each engine end after the first token of a request, and start again later."""
    for engine in fleet.engines:
        address = fleet.addresses[engine.engine_id]
        engine.on_end = lambda address=address: end_server(
            fleet, address, end_delay_s, turns_silent
        )


def end_server(
    fleet: Fleet, address: Address, end_delay_s: float = 0.0, turns_silent: bool = False
) -> None:
    if end_delay_s:
        fleet.tasks.start_soon(end_later, fleet, address, end_delay_s)
        return
    if turns_silent:
        fleet.http.silent.add(address)
        return
    server = fleet.http.servers.pop(address, None)
    if server is not None:
        fleet.tasks.start_soon(start_again, fleet, address, server)


async def end_later(fleet: Fleet, address: Address, end_delay_s: float) -> None:
    await anyio.sleep(end_delay_s)
    server = fleet.http.servers.pop(address, None)
    if server is not None:
        await anyio.sleep(LATE_RESTART_S)
        fleet.http.servers[address] = server


async def start_again(fleet: Fleet, address: Address, server) -> None:
    await anyio.sleep(RESTART_S)
    fleet.http.servers[address] = server


def runs(fleet: Fleet) -> int:
    return sum(len(engine.requests) for engine in fleet.engines)


class ModelCallTest(unittest.TestCase):
    def test_a_repeated_call_ends_three_engines_at_most(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            end_engines(fleet)
            for _ in range(REQUESTS):
                last = await fleet.call(chat(idempotency_key="a", is_named=True))
                await anyio.sleep(5.0)
            self.assertEqual(runs(fleet), MAX_ENDED)
            self.assertEqual(last.refused.verdict, Verdict.MAY_HAVE_RUN)

        run_in_fleet(scenario)

    def test_engines_that_end_later_count(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            end_engines(fleet, end_delay_s=END_DELAY_S)
            for _ in range(REQUESTS):
                await fleet.call(chat(idempotency_key="a", is_named=True))
                await anyio.sleep(5.0)
            self.assertEqual(runs(fleet), MAX_ENDED)

        run_in_fleet(scenario)

    def test_engines_whose_hosts_turn_silent_count(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            end_engines(fleet, turns_silent=True)
            for _ in range(REQUESTS):
                await fleet.call(chat(idempotency_key="a", is_named=True))
                await anyio.sleep(5.0)
                fleet.http.silent.clear()
            self.assertEqual(runs(fleet), MAX_ENDED)

        run_in_fleet(scenario)

    def test_a_call_that_is_called_anew_ends_three_engines_at_most(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            end_engines(fleet)
            for _ in range(REQUESTS):
                await fleet.call(chat())
                await anyio.sleep(5.0)
            self.assertEqual(runs(fleet), MAX_ENDED)

        run_in_fleet(scenario)

    def test_the_bound_holds_over_a_change_of_the_leading_node(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            end_engines(fleet)
            for number in range(REQUESTS):
                fleet.lead(number % 2)
                await fleet.call(chat(idempotency_key="a", is_named=True), node=number % 2)
                await anyio.sleep(5.0)
            self.assertEqual(runs(fleet), MAX_ENDED)

        run_in_fleet(scenario, nodes=2)

    def test_another_call_of_the_program_is_served(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            end_engines(fleet)
            for _ in range(REQUESTS):
                await fleet.call(chat())
                await anyio.sleep(5.0)
            for engine in fleet.engines:
                engine.on_end = None
            await anyio.sleep(60.0)
            answer = await fleet.call(chat("another"))
            self.assertEqual(answer.answered.verdict, Verdict.RAN)

        run_in_fleet(scenario)

    def test_engines_that_break_streams_off_and_live_are_not_counted(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            for _ in range(REQUESTS):
                for engine in fleet.engines:
                    engine.break_after = [0] * 8
                await fleet.call(chat(idempotency_key="a", is_named=True))
                await anyio.sleep(30.0)
            for engine in fleet.engines:
                engine.break_after = []
            answer = await fleet.call(chat(idempotency_key="a", is_named=True))
            self.assertEqual(answer.answered.verdict, Verdict.RAN)

        run_in_fleet(scenario)


class ToolCallTest(unittest.TestCase):
    def test_a_repeatable_call_ends_its_application_three_times_at_most(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            address = fleet.addresses["application"]
            serve = fleet.application.serve

            async def serve_and_end(request):
                fleet.application.next_outcomes = ["lost"]
                end_server(fleet, address)
                return await serve(request)

            fleet.http.servers[address] = serve_and_end
            for _ in range(REQUESTS):
                await fleet.call(charge())
                await anyio.sleep(5.0)
            self.assertEqual(fleet.application.requests, MAX_ENDED)

        run_in_fleet(scenario, repeatable=True)


if __name__ == "__main__":
    unittest.main()
