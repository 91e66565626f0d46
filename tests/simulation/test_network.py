"""The virtual clock, and the simulated network's delays, cuts and resets."""

import random
import unittest

import anyio
import anyio.lowlevel

from passlane.messages.common import Address
from passlane.simulation.event_log import EventLog
from passlane.simulation.network import JITTER_FRACTION, DelayModel, SimulatedNetwork
from passlane.simulation.runner import run_simulation

SERVER = Address("10.0.0.2", 1)
CLIENT = "10.0.0.1"
ZONES = {CLIENT: "a", SERVER.host: "b"}
ONE_WAY_S = 0.01


class Echo:
    """A network with a server that sends back what it gets."""

    def __init__(self, seed=1):
        delays = DelayModel(ZONES, other_zone_s=ONE_WAY_S)
        self.event_log = EventLog()
        self.network = SimulatedNetwork(random.Random(seed), delays, self.event_log)
        self.client = self.network.host(CLIENT)

    async def serve(self):
        await self.network.host(SERVER.host).serve(SERVER, self._answer)

    async def _answer(self, stream):
        try:
            while True:
                await stream.send(await stream.receive())
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


def in_network(scenario, seed=1):
    """Run a scenario with a served echo network on the virtual clock."""

    async def main():
        echo = Echo(seed)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(echo.serve)
            await anyio.lowlevel.checkpoint()
            await scenario(echo)
            tasks.cancel_scope.cancel()
        return echo.event_log.digest()

    return run_simulation(main, seed)


class VirtualClockTest(unittest.TestCase):
    def test_hours_pass_at_once_and_in_order(self):
        woken = []

        async def sleeper(duration_s):
            await anyio.sleep(duration_s)
            woken.append((duration_s, anyio.current_time()))

        async def main():
            async with anyio.create_task_group() as tasks:
                for duration_s in (7_200.0, 1.0, 3_600.0):
                    tasks.start_soon(sleeper, duration_s)

        run_simulation(main, 1)
        self.assertEqual([duration for duration, _ in woken], [1.0, 3_600.0, 7_200.0])
        self.assertEqual(woken[-1][1], 7_200.0)

    def test_order_of_ready_tasks_follows_the_seed(self):
        def order(seed):
            ran = []

            async def step(number):
                ran.append(number)

            async def main():
                async with anyio.create_task_group() as tasks:
                    for number in range(20):
                        tasks.start_soon(step, number)

            run_simulation(main, seed)
            return tuple(ran)

        self.assertEqual(order(1), order(1))
        self.assertGreater(len({order(seed) for seed in range(5)}), 1)


class SimulatedNetworkTest(unittest.TestCase):
    def test_a_round_trip_takes_two_delays_with_jitter(self):
        async def scenario(echo):
            stream = await echo.client.connect(SERVER)
            began = anyio.current_time()
            await stream.send(b"x")
            self.assertEqual(await stream.receive(), b"x")
            taken_s = anyio.current_time() - began
            self.assertGreaterEqual(taken_s, 2 * ONE_WAY_S)
            self.assertLessEqual(taken_s, 2 * ONE_WAY_S * (1 + JITTER_FRACTION))

        in_network(scenario)

    def test_bytes_keep_their_order_and_a_receiver_may_take_a_few(self):
        async def scenario(echo):
            stream = await echo.client.connect(SERVER)
            for number in range(50):
                await stream.send(b"%02d" % number)
            received = b""
            while len(received) < 100:
                received += await stream.receive(3)
            self.assertEqual(received, b"".join(b"%02d" % number for number in range(50)))

        in_network(scenario)

    def test_a_cut_holds_back_until_it_heals(self):
        async def scenario(echo):
            stream = await echo.client.connect(SERVER)
            echo.network.cut({CLIENT}, {SERVER.host})
            await stream.send(b"x")
            with anyio.move_on_after(60.0) as scope:
                await stream.receive()
            self.assertTrue(scope.cancelled_caught)
            echo.network.heal()
            self.assertEqual(await stream.receive(), b"x")

        in_network(scenario)

    def test_a_one_way_cut_stops_one_direction(self):
        async def scenario(echo):
            stream = await echo.client.connect(SERVER)
            echo.network.block(SERVER.host, CLIENT)
            await stream.send(b"x")
            with anyio.move_on_after(5.0) as scope:
                await stream.receive()
            self.assertTrue(scope.cancelled_caught)
            echo.network.heal()
            self.assertEqual(await stream.receive(), b"x")

        in_network(scenario)

    def test_a_dead_process_resets_its_peers_at_once_or_when_its_host_is_back(self):
        async def scenario(echo):
            noticed = await echo.client.connect(SERVER)
            echo.network.drop_connections(SERVER.host, reset_peers=True)
            with self.assertRaises(anyio.BrokenResourceError):
                await noticed.receive()
            silent = await echo.client.connect(SERVER)
            echo.network.isolate(SERVER.host)
            echo.network.drop_connections(SERVER.host, reset_peers=False)
            with anyio.move_on_after(5.0) as scope:
                await silent.receive()
            self.assertTrue(scope.cancelled_caught)
            echo.network.reconnect(SERVER.host)
            with self.assertRaises(anyio.BrokenResourceError):
                await silent.receive()

        in_network(scenario)

    def test_nobody_listening_refuses(self):
        async def scenario(echo):
            with self.assertRaises(ConnectionRefusedError):
                await echo.client.connect(Address(SERVER.host, 2))

        in_network(scenario)

    def test_same_seed_same_hash_and_another_seed_another(self):
        async def scenario(echo):
            stream = await echo.client.connect(SERVER)
            for _ in range(10):
                await stream.send(b"x")
                await stream.receive()

        self.assertEqual(in_network(scenario, 1), in_network(scenario, 1))
        self.assertNotEqual(in_network(scenario, 1), in_network(scenario, 2))


if __name__ == "__main__":
    unittest.main()
