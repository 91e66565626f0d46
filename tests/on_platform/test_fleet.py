"""A simulated fleet on a virtual clock, started from seeds, over the platform's protocol."""

import functools
import unittest

import anyio

from on_platform.fleet import run_on_virtual_clock, running_fleet
from passlane.messages.fleet import FleetRole


def on_seeds(*seeds, **options):
    """Run a test's body with a running fleet, once for each seed."""

    def decorate(body):
        @functools.wraps(body)
        def test(self):
            for seed in seeds or (0, 1):
                with self.subTest(seed=seed):

                    async def main(seed=seed):
                        async with running_fleet(seed, **options) as fleet:
                            await body(self, fleet)

                    run_on_virtual_clock(main, seed)

        return test

    return decorate


class FleetTest(unittest.TestCase):
    @on_seeds()
    async def test_a_turn_continues_another_through_any_node(self, fleet):
        first = await fleet.turn("one", node="node-1")
        self.assertEqual((first.status, first.is_complete), (200, True))
        self.assertEqual(first.headers["x-passlane-response-signature"], "signed")
        second = await fleet.turn("two", node="node-2", previous="one")
        self.assertTrue(second.is_complete)
        output = fleet.engines[0].output_of("one")
        self.assertEqual(fleet.executed_body("two"), b"<one>" + output + b"<two>")

    @on_seeds()
    async def test_an_unknown_turn_is_not_found_and_reaches_no_engine(self, fleet):
        answer = await fleet.turn("one", previous="never")
        self.assertEqual(answer.status, 404)
        self.assertIsNone(fleet.executed_body("one"))

    @on_seeds()
    async def test_a_budget_applies_across_all_nodes(self, fleet):
        statuses = [
            (await fleet.turn(str(n), node=f"node-{n % 2 + 1}", budget=100)).status
            for n in range(6)
        ]
        # Each turn generates three events of nine tokens and requires a reservation of thirty.
        self.assertEqual(statuses, [200, 200, 200, 402, 402, 402])
        self.assertIsNone(fleet.executed_body("3"))

    @on_seeds()
    async def test_the_newest_configuration_is_returned_unchanged(self, fleet):
        newest = await fleet.put_configuration(9, timeout_ms=3000)
        await fleet.put_configuration(5, timeout_ms=2000)
        for name in ("control-1", "control-2", "control-3"):
            answer = await fleet.operator_request("GET", "/api/config/get", name=name)
            self.assertEqual((answer.status, answer.body), (200, newest))

    @on_seeds()
    async def test_an_invalid_configuration_changes_nothing(self, fleet):
        before = (await fleet.operator_request("GET", "/api/config/get")).body
        for body in (b"{", before.replace(b'"version": 1', b'"version": 8')[:-9]):
            answer = await fleet.operator_request("POST", "/api/config/put", body)
            self.assertEqual(answer.status, 400)
        self.assertEqual((await fleet.operator_request("GET", "/api/config/get")).body, before)

    @on_seeds(0, 1, 2, 3, 4, nodes=6)
    async def test_a_turn_right_after_a_loss_of_all_processes_waits_and_is_served(self, fleet):
        names = list(fleet.machines)
        for name in names:
            fleet.kill(name, power=False)
        for name in names:
            fleet.start(name)
        returned_at = anyio.current_time()
        answer = await fleet.turn("one", node="node-6")
        self.assertEqual((answer.status, answer.is_complete), (200, True))
        self.assertLess(anyio.current_time() - returned_at, 0.8)

    @on_seeds()
    async def test_a_configuration_and_a_turn_survive_a_power_loss_of_all_machines(self, fleet):
        await fleet.put_configuration(2)
        self.assertTrue((await fleet.turn("one")).is_complete)
        names = list(fleet.machines)
        for name in names:
            fleet.kill(name)
        await anyio.sleep(2.0)
        for name in names:
            fleet.start(name)
        await fleet.wait_until_ready(timeout_s=10.0)
        last = await fleet.retry_turn("two", previous="one")
        self.assertTrue(fleet.executed_body(last).startswith(b"<one>"))
        answer = await fleet.operator_request("GET", "/api/config/get")
        self.assertIn(b'"version": 2', answer.body)

    @on_seeds(0, 1, 2, 3)
    async def test_one_store_disk_and_one_control_disk_may_be_lost_in_a_power_loss(self, fleet):
        newest = await fleet.put_configuration(2)
        self.assertTrue((await fleet.turn("one")).is_complete)
        for name in list(fleet.machines):
            fleet.kill(name, wipe=name in ("store-1", "control-1"))
        await anyio.sleep(1.0)
        for name in list(fleet.machines):
            fleet.start(name)
        last = await fleet.retry_turn("two", previous="one")
        self.assertTrue(fleet.executed_body(last).startswith(b"<one>"))
        await fleet.wait_until_ready(timeout_s=10.0)
        answer = await fleet.operator_request("GET", "/api/config/get", name="control-2")
        self.assertEqual((answer.status, answer.body), (200, newest))


class FirstStartTest(unittest.TestCase):
    """Guards against a system that never serves because a store was killed as it first started.

    The store had been chosen as a founder before it had stored that it may be one.
    """

    DOWN_S = 1.0

    def serve_after_kill(self, name, killed_after_s):
        async def kill_once(fleet):
            await anyio.sleep(killed_after_s)
            fleet.kill(name, power=False)
            await anyio.sleep(self.DOWN_S)
            fleet.start(name)

        async def main():
            async with running_fleet(0, during_start=kill_once) as fleet:
                await anyio.sleep(killed_after_s + self.DOWN_S)
                with anyio.move_on_after(30.0):
                    return (await fleet.retry_turn("one")) is not None
                return False

        return run_on_virtual_clock(main)

    def test_a_store_killed_during_the_first_start_is_a_founder_still(self):
        for killed_after_s in (0.2, 0.5, 0.9, 1.2, 1.5, 1.8, 2.1, 2.6):
            for name in ("store-1", "store-2"):
                with self.subTest(name=name, killed_after_s=killed_after_s):
                    self.assertTrue(self.serve_after_kill(name, killed_after_s))


class PlacedTurnsTest(unittest.TestCase):
    @on_seeds()
    async def test_turns_of_all_nodes_share_the_slots_of_the_engines(self, fleet):
        answers = []

        async def take(number):
            node = f"node-{number % 2 + 1}"
            program = {"x_passlane_program_id": f"program-{number}"}
            answers.append(await fleet.turn(f"t{number}", node=node, **program))

        async with anyio.create_task_group() as tasks:
            for number in range(6):
                tasks.start_soon(take, number)
        self.assertEqual([answer.status for answer in answers], [200] * 6)
        used = {engine.instance_id for engine in fleet.engines if engine.runs}
        self.assertEqual(len(used), 3)

    @on_seeds()
    async def test_a_loss_of_the_leader_while_turns_run_delays_others_only_briefly(self, fleet):
        await fleet.turn("before")
        leader = fleet.store_leader()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.turn, "during")
            await anyio.sleep(0.01)
            fleet.kill(leader.name)
        started = anyio.current_time()
        attempt = await fleet.retry_turn("after", previous="before")
        self.assertLess(anyio.current_time() - started, 3.0)
        self.assertTrue(fleet.executed_body(attempt).startswith(b"<before>"))

    @on_seeds()
    async def test_nodes_choose_engines_if_the_store_does_not(self, fleet):
        fleet.places_turns = False
        fleet.kill("node-1")
        fleet.start("node-1")
        await anyio.sleep(3.0)
        attempt = await fleet.retry_turn("alone")
        self.assertIsNotNone(fleet.executed_body(attempt))


class PartitionTest(unittest.TestCase):
    @on_seeds()
    async def test_a_partitioned_node_is_not_ready_and_refuses_early(self, fleet):
        self.assertTrue((await fleet.turn("one")).is_complete)
        node = fleet.machines["node-1"].host
        counted = {m.host for m in fleet.machines.values() if m.role is not FleetRole.NODE}
        fleet.network.cut({node}, counted)
        await fleet.turn("two")
        await fleet.wait_until(lambda: fleet.is_not_ready("node-1"), timeout_s=4.0)
        started = anyio.current_time()
        refused = await fleet.turn("three")
        self.assertEqual(refused.status, 503)
        self.assertLess(anyio.current_time() - started, 0.4)
        self.assertEqual(refused.headers["connection"], "close")
        self.assertIsNone(fleet.executed_body("three"))
        fleet.network.heal()
        await fleet.wait_until_ready("node-1", timeout_s=10.0)
        self.assertTrue((await fleet.turn("four", previous="one")).is_complete)

    @on_seeds()
    async def test_a_partitioned_store_leader_is_replaced_before_a_turn_times_out(self, fleet):
        await fleet.turn("one")
        leader = fleet.store_leader().host
        counted = {m.host for m in fleet.machines.values() if m.role is not FleetRole.NODE}
        fleet.network.cut({leader}, counted - {leader})
        started = anyio.current_time()
        self.assertTrue((await fleet.turn("two", previous="one")).is_complete)
        self.assertLess(anyio.current_time() - started, 1.5)


class ReplacedMachineTest(unittest.TestCase):
    @on_seeds()
    async def test_a_wiped_store_machine_votes_again_before_the_next_is_lost(self, fleet):
        await fleet.turn("one")
        for lost in ("store-1", "store-2", "store-3"):
            fleet.kill(lost, wipe=True)
            await anyio.sleep(0.5)
            fleet.start(lost)
            await anyio.sleep(4.3)
        last = await fleet.retry_turn("two", previous="one")
        self.assertTrue(fleet.executed_body(last).startswith(b"<one>"))

    @on_seeds()
    async def test_store_machines_at_other_addresses_replace_lost_ones(self, fleet):
        await fleet.turn("one")
        for number in (1, 2, 3):
            fleet.kill(f"store-{number}", wipe=True)
            await anyio.sleep(2.0)
            machine = fleet.add(FleetRole.STORE, number + 10)
            machine.is_first_start = False
            fleet.start(machine.name)
            await anyio.sleep(4.3)
        last = await fleet.retry_turn("two", previous="one")
        self.assertTrue(fleet.executed_body(last).startswith(b"<one>"))
        voters = fleet.store_voters("store-13")
        self.assertEqual(voters, {fleet.machines[f"store-{n}"].host for n in (11, 12, 13)})

    @on_seeds(0, 1, 2, 3)
    async def test_a_replaced_store_that_returns_is_a_spare_and_votes_when_needed(self, fleet):
        self.assertTrue((await fleet.turn("one")).is_complete)
        fleet.kill("store-1")
        machine = fleet.add(FleetRole.STORE, 4)
        machine.is_first_start = False
        fleet.start(machine.name)
        host = fleet.machines["store-1"].host
        await fleet.wait_until(
            lambda: fleet.store_voters("store-4") and host not in fleet.store_voters("store-4")
        )
        fleet.start("store-1")
        await anyio.sleep(5.0)
        self.assertNotIn(host, fleet.store_voters("store-4"))
        self.assertEqual(len(fleet.store_voters("store-4")), 3)
        fleet.kill("store-2")
        await fleet.wait_until(lambda: host in fleet.store_voters("store-4"), timeout_s=6.0)
        last = await fleet.retry_turn("two", previous="one")
        self.assertTrue(fleet.executed_body(last).startswith(b"<one>"))

    @on_seeds(stores=9, tolerated_losses=2)
    async def test_two_permanently_lost_voters_are_replaced(self, fleet):
        self.assertTrue((await fleet.turn("one")).is_complete)
        for _ in range(3):
            leader = fleet.store_leader()
            before = fleet.store_voters(leader.name)
            self.assertEqual(len(before), 5)
            lost = [m for m in fleet.running(FleetRole.STORE) if m.host in before][:2]
            for machine in lost:
                fleet.kill(machine.name, wipe=True)
            await anyio.sleep(6.0)
            last = await fleet.retry_turn("two", previous="one")
            self.assertTrue(fleet.executed_body(last).startswith(b"<one>"))
            survivor = fleet.store_leader()
            after = fleet.store_voters(survivor.name)
            self.assertEqual(len(after), 5)
            self.assertFalse(after & {machine.host for machine in lost})
            for machine in lost:
                fleet.start(machine.name)
            await anyio.sleep(1.0)

    @on_seeds(stores=9, tolerated_losses=2)
    async def test_two_disks_of_voters_may_be_lost_in_a_power_loss(self, fleet):
        self.assertTrue((await fleet.turn("one")).is_complete)
        leader = fleet.store_leader()
        voters = fleet.store_voters(leader.name)
        lost = [m.name for m in fleet.running(FleetRole.STORE) if m.host in voters][:2]
        for name in list(fleet.machines):
            fleet.kill(name, wipe=name in lost)
        await anyio.sleep(1.0)
        for name in list(fleet.machines):
            fleet.start(name)
        last = await fleet.retry_turn("two", previous="one")
        self.assertTrue(fleet.executed_body(last).startswith(b"<one>"))
        holder = fleet.store_leader()
        await fleet.wait_until(lambda: len(fleet.store_voters(holder.name)) == 5, timeout_s=10.0)

    @on_seeds(controls=5)
    async def test_control_machines_at_other_addresses_replace_lost_ones(self, fleet):
        newest = b""
        for number in (4, 5):
            fleet.kill(f"control-{number}", wipe=True)
            await anyio.sleep(1.0)
            machine = fleet.add(FleetRole.CONTROL, number + 10)
            machine.is_first_start = False
            fleet.start(machine.name)
            await anyio.sleep(4.3)
            newest = await fleet.put_configuration(number)
        answer = await fleet.operator_request("GET", "/api/config/get", name="control-15")
        self.assertEqual(answer.body, newest)


class RetirementTest(unittest.TestCase):
    @on_seeds(stores=4)
    async def test_a_store_machine_is_retired_without_loss_of_turns(self, fleet):
        await fleet.turn("one")
        answer = await fleet.operator_request(
            "POST", "/api/retire/store-1/start", b'{"duration_s":5}'
        )
        self.assertEqual(answer.status, 200)

        async def is_completed():
            answer = await fleet.operator_request("GET", "/api/retire/store-1/get")
            return answer is not None and b"completed" in answer.body

        await fleet.wait_until(is_completed, timeout_s=10.0)
        fleet.kill("store-1", wipe=True)
        await anyio.sleep(0.5)
        self.assertTrue((await fleet.turn("two", previous="one")).is_complete)

    @on_seeds(stores=9, tolerated_losses=2)
    async def test_a_retired_voter_is_replaced_before_it_leaves(self, fleet):
        self.assertTrue((await fleet.turn("one")).is_complete)
        leader = fleet.store_leader()
        others = fleet.store_voters(leader.name) - {leader.host}
        retired = next(m for m in fleet.running(FleetRole.STORE) if m.host in others)
        path = f"/api/retire/{retired.name}"
        answer = await fleet.operator_request("POST", f"{path}/start", b"{}")
        self.assertEqual(answer.status, 200)
        counts = set()

        async def is_completed():
            counts.add(len(fleet.store_voters(leader.name)))
            answer = await fleet.operator_request("GET", f"{path}/get")
            return answer is not None and b"completed" in answer.body

        await fleet.wait_until(is_completed, timeout_s=10.0)
        self.assertLessEqual(counts, {5, 6})
        voters = fleet.store_voters(leader.name)
        self.assertEqual(len(voters), 5)
        self.assertNotIn(retired.host, voters)
        await anyio.sleep(5.0)
        self.assertEqual(fleet.store_voters(leader.name), voters)

    @on_seeds()
    async def test_retiring_too_many_machines_or_an_unknown_one_is_refused(self, fleet):
        answer = await fleet.operator_request("POST", "/api/retire/store-1/start", b"{}")
        self.assertEqual(answer.status, 409)
        answer = await fleet.operator_request("POST", "/api/retire/store-9/start", b"{}")
        self.assertEqual(answer.status, 404)


class BackendListTest(unittest.TestCase):
    @on_seeds(nodes=4)
    async def test_one_node_reads_the_list_for_all(self, fleet):
        await anyio.sleep(3)
        before = fleet.list.calls
        await anyio.sleep(9)
        pages = 2
        self.assertLessEqual(fleet.list.calls - before, pages * 12)
        self.assertGreaterEqual(fleet.list.calls - before, pages * 8)

    @on_seeds(nodes=4)
    async def test_every_node_stops_using_a_draining_engine(self, fleet):
        await anyio.sleep(3)
        fleet.engines[0].state = "draining"
        await anyio.sleep(1.5)
        self.assertEqual(self.ready_engines(fleet), [{"i-2", "i-3"}] * 4)

    @on_seeds(nodes=4)
    async def test_a_reader_that_is_killed_is_replaced(self, fleet):
        await anyio.sleep(3)
        fleet.kill("node-1")
        await anyio.sleep(2)
        fleet.engines[0].state = "draining"
        await anyio.sleep(1.5)
        self.assertEqual(self.ready_engines(fleet), [{"i-2", "i-3"}] * 3)

    @on_seeds(nodes=4)
    async def test_without_the_control_group_each_node_reads_the_list(self, fleet):
        await anyio.sleep(3)
        for number in range(1, 4):
            fleet.kill(f"control-{number}")
        fleet.engines[0].state = "draining"
        await anyio.sleep(3)
        self.assertEqual(self.ready_engines(fleet), [{"i-2", "i-3"}] * 4)

    def ready_engines(self, fleet):
        """Return the ids of the engines that each running node uses."""
        return [
            {load.record.instance_id for load in machine.process._registry.of_service("models")}
            for machine in fleet.running(FleetRole.NODE)
        ]
