"""The store service with heartbeat loops of nodes, on a virtual clock."""

import unittest
from typing import Any

import anyio

from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import Epoch, Partition, ProgramId, TenantId
from passlane.membership.events import HandoverRequested, LeadershipGained, LeadershipLost
from passlane.messages.common import Amounts
from passlane.messages.control import TargetInFlight
from passlane.messages.membership import Members, ReadMembers
from passlane.messages.store import (
    CreateProgram,
    EndProgram,
    ListPrograms,
    ProgramList,
)
from passlane.store.proposals import propose
from store.region import Region, simulate
from store.service_fixture import (
    CONTROL,
    STORE,
    settings_of,
)

SETTINGS = settings_of("any").membership


class StoreServiceTest(unittest.TestCase):
    def test_change_is_accepted_once_all_nodes_have_it_and_a_partitioned_region_continues(
        self,
    ) -> None:
        async def scenario(region: Region) -> None:
            first_revision = region.control.put("first")
            nodes = [region.start_node(f"n{number}") for number in range(2)]
            await anyio.sleep(5)
            for loop, listener in nodes:
                self.assertEqual(listener.configuration.revision_in_force, first_revision)
                self.assertEqual(len(loop.lease.led_partitions), 2)
            region.caller.cut_off.add(CONTROL)
            region.control.put("second")
            newcomer, listener = region.start_node("n2")
            await anyio.sleep(5)
            self.assertTrue(newcomer.has_lease)
            self.assertEqual(listener.configuration.revision_in_force, first_revision)
            region.caller.cut_off.clear()
            await anyio.sleep(3)
            self.assertEqual(listener.configuration.revision_in_force, first_revision + 1)

        simulate(scenario)

    def test_calls_in_flight_at_drained_targets_reach_the_control_group(self) -> None:
        async def scenario(region: Region) -> None:
            for number in range(2):
                _, listener = region.start_node(f"n{number}")
                listener.in_flight_at_drained = (TargetInFlight("engine", "e", number + 1),)
            await anyio.sleep(5)
            reported = region.control.reports[-1].in_flight
            self.assertEqual(reported, (TargetInFlight("engine", "e", 3),))

        simulate(scenario)

    def test_replaced_leader_that_has_not_noticed_sends_no_report(self) -> None:
        async def scenario(region: Region) -> None:
            region.start_node("n0")
            await anyio.sleep(5)
            region.group.is_replaced = True
            await anyio.sleep(1)
            region.control.reports.clear()
            # Leases expire in its own table, while members renew them at the new leader.
            await anyio.sleep(10)
            self.assertEqual(region.control.reports, [])
            region.tasks.cancel_scope.cancel()

        simulate(scenario)

    def test_node_without_store_leader_loses_its_partitions_and_regains_them_in_new_epochs(
        self,
    ) -> None:
        async def scenario(region: Region) -> None:
            loop, listener = region.start_node("n0")
            await anyio.sleep(5)
            region.group.is_leader = False
            await anyio.sleep(2.5)
            self.assertFalse(loop.has_lease)
            self.assertEqual(listener.count(LeadershipLost), 4)
            region.group.term, region.group.is_leader = 2, True
            await anyio.sleep(5)
            self.assertEqual(listener.count(LeadershipGained), 8)
            self.assertEqual({a.epoch for a in region.machine.assignments.all()}, {2})

        simulate(scenario)

    def test_leader_of_an_earlier_term_refuses_requests(self) -> None:
        async def scenario(region: Region) -> None:
            await anyio.sleep(0.1)
            # Re-elected between two checks, so its lease table belongs to the old term.
            region.group.term = 2
            with self.assertRaises(PasslaneError) as raised:
                await region.caller.client_of(STORE).execute(ReadMembers(), Members, timeout_s=0.01)
            self.assertEqual(raised.exception.code, ErrorCode.NOT_LEADER)

        simulate(scenario)

    def test_draining_node_leads_until_it_releases(self) -> None:
        async def scenario(region: Region) -> None:
            leaving, listener = region.start_node("n0")
            staying, _ = region.start_node("n1")
            await anyio.sleep(5)
            listener.is_draining = True
            leaving.request_heartbeat()
            await anyio.sleep(1)
            ordered = [c for c in listener.changes if isinstance(c, HandoverRequested)]
            self.assertEqual({order.to_node for order in ordered}, {"n1"})
            self.assertEqual(len(leaving.lease.led_partitions), 2, "leads until it releases")
            for order in ordered:
                leaving.release(order.partition)
            await anyio.sleep(1)
            self.assertEqual(len(staying.lease.led_partitions), 4)
            region.tasks.cancel_scope.cancel()

        simulate(scenario)

    def test_partitions_released_before_a_stop_move_without_waiting_for_the_lease(self) -> None:
        async def scenario(region: Region) -> None:
            leaving, listener = region.start_node("n0")
            staying, _ = region.start_node("n1")
            await anyio.sleep(5)
            listener.is_draining = True
            leaving.request_heartbeat()
            await anyio.sleep(1)
            for partition in leaving.lease.led_partitions:
                leaving.release(partition)
                staying.expect_assignment(partition)
            await leaving.wait_released()
            region.stop_node("n0")
            await anyio.sleep(0.1)
            self.assertEqual(len(staying.lease.led_partitions), 4)
            region.tasks.cancel_scope.cancel()

        simulate(scenario)

    def test_stopping_node_without_connection_waits_at_most_its_lease(self) -> None:
        async def scenario(region: Region) -> None:
            leaving, _ = region.start_node("n0")
            await anyio.sleep(5)
            region.caller.cut_off.add(STORE)
            for partition in leaving.lease.led_partitions:
                leaving.release(partition)
            with anyio.fail_after(SETTINGS.lease_s):
                await leaving.wait_released()
            self.assertFalse(leaving.has_lease)

        simulate(scenario)

    def test_heartbeat_rate_returns_to_normal_once_no_partition_is_expected(self) -> None:
        async def scenario(region: Region) -> None:
            loop, _ = region.start_node("n0")
            await anyio.sleep(5)
            usual = await self._barriers_in(region, 10 * SETTINGS.heartbeat_s)
            loop.expect_assignment(Partition(77))
            self.assertGreater(await self._barriers_in(region, 1.0), usual)
            await anyio.sleep(SETTINGS.lease_s)
            self.assertLessEqual(
                await self._barriers_in(region, 10 * SETTINGS.heartbeat_s), usual + 4
            )
            region.tasks.cancel_scope.cancel()

        simulate(scenario)

    async def _barriers_in(self, region: Region, duration_s: float) -> int:
        before = region.group.barriers
        await anyio.sleep(duration_s)
        return region.group.barriers - before

    def test_concurrent_queries_share_a_barrier(self) -> None:
        async def scenario(region: Region) -> None:
            await anyio.sleep(0.1)
            before = region.group.barriers
            client = region.caller.client_of(STORE)
            async with anyio.create_task_group() as readers:
                for _ in range(50):
                    readers.start_soon(self._read_list, client)
            self.assertLessEqual(region.group.barriers - before, 2)

        simulate(scenario)

    async def _read_list(self, client: Any) -> None:
        await client.execute(ListPrograms(), ProgramList, timeout_s=1.0)

    def test_ended_programs_are_removed_after_the_retention_time(self) -> None:
        async def scenario(region: Region) -> None:
            region.start_node("n0")
            await anyio.sleep(5)
            names = (ProgramId("p"), Partition(0), Epoch(1))
            await propose(
                region.group,
                CreateProgram(
                    names[0], TenantId("t"), names[1], names[2], budget=Amounts(tokens=1)
                ),
            )
            await propose(region.group, EndProgram(*names))
            await anyio.sleep(25)
            self.assertEqual(len(region.machine.programs), 1)
            await anyio.sleep(20)
            self.assertEqual(len(region.machine.programs), 0)

        simulate(scenario, retention_s=30.0)

    def test_ended_programs_are_removed_though_no_leader_lasts_for_the_retention_time(self) -> None:
        async def scenario(region: Region) -> None:
            names = (ProgramId("p"), Partition(0), Epoch(1))
            region.start_node("n0")
            await anyio.sleep(5)
            await propose(
                region.group,
                CreateProgram(
                    names[0], TenantId("t"), names[1], names[2], budget=Amounts(tokens=1)
                ),
            )
            await propose(region.group, EndProgram(*names))
            for _ in range(6):
                await anyio.sleep(12)
                region.group.is_leader = False
                await anyio.sleep(1)
                region.group.term += 1
                region.group.is_leader = True
            self.assertEqual(len(region.machine.programs), 0)

        simulate(scenario, retention_s=30.0)


if __name__ == "__main__":
    unittest.main()
