"""Leases under clock drift, lost messages, frozen nodes and changes of the store leader."""

import unittest

from membership.lease_simulation import (
    NO_BACKOFF,
    NO_REVISION,
    PARTITIONS,
    SETTINGS,
    Clock,
    Region,
    heartbeat_of,
)
from passlane.identifiers import Epoch, NodeId, Partition
from passlane.membership.lease_table import LeaseTable
from passlane.membership.node_lease import NodeLease
from passlane.membership.rejoin_backoff import RejoinBackoff
from passlane.messages.common import Address
from passlane.messages.membership import HeartbeatReply
from passlane.messages.store import PartitionAssignment
from passlane.settings.model import MembershipSettings

FAULTS_UNTIL_S = 60.0
FAULT_FREE_S = 90.0


def run_with_faults(seed: int, has_barrier: bool = True) -> Region:
    region = Region(seed, has_barrier=has_barrier)
    while region.now < FAULTS_UNTIL_S:
        region.run(region.now + region.random.uniform(0.5, 4.0))
        name = f"n{region.random.randrange(4)}"
        match region.random.randrange(5):
            case 0:
                region.kill_node(name)
            case 1:
                region.freeze_node(name, region.random.uniform(0.5, 6.0))
            case 2:
                region.elect()
            case 3:
                node = region.nodes[name]
                node.is_draining = not node.is_draining
            case 4:
                region.freeze_node(name, 1.0)
                region.elect()
    return region


class LeaseSimulationTest(unittest.TestCase):
    SEEDS = range(30)

    def test_never_two_leaders_and_even_loads_after_faults(self) -> None:
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                region = run_with_faults(seed)
                region.has_faults = False
                for node in region.nodes.values():
                    node.is_draining = False
                region.run(region.now + FAULT_FREE_S)
                self.assertEqual(region.problems, [])
                self.assertEqual(region.loads(), [PARTITIONS // 4] * 4)
                epochs = region.recorded.all()
                region.run(region.now + FAULT_FREE_S)
                self.assertEqual(region.recorded.all(), epochs, "a balanced table keeps changing")

    def test_simulation_finds_two_leaders_without_read_barriers(self) -> None:
        found = [seed for seed in self.SEEDS if run_with_faults(seed, has_barrier=False).problems]
        self.assertNotEqual(found, [], "the simulation does not detect the failure")

    def test_initial_assignment_is_even_without_moves(self) -> None:
        region = Region(seed=1, has_faults=False)
        region.run(2 * SETTINGS.lease_s + 2)
        self.assertEqual(region.loads(), [PARTITIONS // 4] * 4)
        self.assertEqual({assignment.epoch for assignment in region.recorded.all()}, {1})

    def test_draining_node_hands_over_without_lease_expiry(self) -> None:
        region = Region(seed=2, has_faults=False)
        region.run(10)
        region.nodes["n0"].is_draining = True
        region.run(15)
        self.assertEqual(region.loads(), [0, 4, 4, 4])
        self.assertEqual(region.problems, [])


class FlappingTest(unittest.TestCase):
    """Node n0 freezes repeatedly for longer than its lease."""

    SEEDS = range(0, 12, 2)
    FREEZES = 10

    def _changes(self, seed: int, settings: MembershipSettings) -> int:
        """Return the number of table changes that the freezes cause."""
        region = Region(seed, has_faults=False, settings=settings)
        region.run(10)
        before = region.recorded.version
        for _ in range(self.FREEZES):
            region.freeze_node("n0", 3.0)
            region.run(region.now + 5.0)
        self.assertEqual(region.problems, [])
        return region.recorded.version - before

    def test_backoff_halves_the_table_changes_of_a_flapping_node(self) -> None:
        with_backoff = sum(self._changes(seed, SETTINGS) for seed in self.SEEDS)
        without_backoff = sum(self._changes(seed, NO_BACKOFF) for seed in self.SEEDS)
        self.assertLess(2 * with_backoff, without_backoff)


class DriftTest(unittest.TestCase):
    def test_slow_node_stops_before_fast_store_reassigns(self) -> None:
        drift = SETTINGS.clock_drift_fraction
        node_clock = Clock(offset=50.0, rate=1 - drift)
        store_clock = Clock(offset=900.0, rate=1 + drift)
        assigned = PartitionAssignment(Partition(0), NodeId("a"), Address("h", 1), Epoch(1), 7)
        table = LeaseTable(SETTINGS, [assigned], store_clock.at(0.0))
        lease = NodeLease(NodeId("a"), 7, drift)
        decision = table.answer_heartbeat(heartbeat_of(lease), NO_REVISION, store_clock.at(0.0))
        reply = HeartbeatReply(decision.lease_s, 1, NO_REVISION, (assigned,))
        lease.handle_reply(reply, node_clock.at(0.0), node_clock.at(0.0))
        self.assertEqual(lease.epoch_of(Partition(0), node_clock.at(1.9)), 1)
        step_s = 0.001
        step = 0
        while table.views(store_clock.at(step * step_s))[0].has_lease:
            step += 1
        self.assertIsNone(lease.epoch_of(Partition(0), node_clock.at(step * step_s)))
        self.assertLess(step * step_s, SETTINGS.lease_s * (1 + 4 * drift))


class RejoinBackoffTest(unittest.TestCase):
    def test_delay_doubles_up_to_a_maximum_and_is_reset(self) -> None:
        backoff = RejoinBackoff(first_delay_s=1.0)
        name = NodeId("n")
        delays = []
        for number in range(8):
            backoff.record_lease_loss(name, 10.0 * number)
            delays.append(backoff.allowed_at(name) - 10.0 * number)
        self.assertEqual(delays, [1, 2, 4, 8, 16, 32, 60, 60])
        backoff.record_lease_loss(name, 1000.0)
        self.assertEqual(backoff.allowed_at(name), 1001.0)


if __name__ == "__main__":
    unittest.main()
