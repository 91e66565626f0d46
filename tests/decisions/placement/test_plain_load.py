"""Simulated load of plain back ends that many nodes share without seeing each other's calls.

The policy of ``decisions.order.service_capacity`` has to refuse fewer calls, cause fewer refusals
by back ends and open fewer connections than a simple baseline policy. The default load is 650 calls
per second from 61 nodes to 5 back ends of 6 slots, three quarters of their capacity.
"""

import itertools
import unittest

from decisions.placement.plain_load import (
    LONGER_KINDS,
    BaselinePolicy,
    PlainServiceSimulation,
    ServicePolicy,
)
from passlane.decisions.failure.retry_after import MAX_CAPACITY_RETRY_S, ROOM_RETRY_SPREAD

SEED = 1
CALLS_PER_S = 650
SECONDS = 8.0
WAVE = {"swing": 0.55, "period_s": 8.0}


def results(policy, *, keeps_refused=True, **shape):
    """Return the results of a simulated load, per 100 calls."""
    simulation = PlainServiceSimulation(policy, seed=SEED, keeps_refused=keeps_refused)
    simulation.offer(CALLS_PER_S, SECONDS, **shape)
    simulation.run()
    return simulation.results()


class LoadTest(unittest.TestCase):
    def test_a_steady_load_is_served_completely_with_fewer_refusals_and_connections(self):
        closing = results(BaselinePolicy, keeps_refused=False)
        before = results(BaselinePolicy)
        now = results(ServicePolicy)
        self.assertGreater(before.refused, 0.5)
        self.assertEqual(now.refused, 0.0)
        self.assertLess(now.missed, before.missed)
        self.assertLess(now.rejections, 0.9 * before.rejections)
        self.assertLess(now.connections, 0.25 * closing.connections)
        self.assertLess(now.connections, before.connections)

    def test_short_load_peaks_above_capacity_are_queued(self):
        before = results(BaselinePolicy, **WAVE)
        now = results(ServicePolicy, **WAVE)
        self.assertGreater(before.refused, 5.0)
        self.assertLess(now.refused, 0.25 * before.refused)
        self.assertLess(now.rejections, before.rejections)
        self.assertLess(now.connections, before.connections)

    def test_a_larger_fleet_with_longer_calls(self):
        """66 nodes, 13 back ends, 900 calls per second; 70% of the slots are in use."""
        found = {}
        for policy in (BaselinePolicy, ServicePolicy):
            simulation = PlainServiceSimulation(
                policy, seed=SEED, nodes=66, back_ends=13, kinds=LONGER_KINDS
            )
            simulation.offer(900, 6.0)
            simulation.run()
            found[policy] = simulation.results()
        before, now = found[BaselinePolicy], found[ServicePolicy]
        self.assertEqual(now.refused, 0.0)
        self.assertLessEqual(now.missed, before.missed)
        self.assertLess(now.rejections, 0.7 * before.rejections)
        self.assertLess(now.connections, 0.9 * before.connections)


class SlowBackEndTest(unittest.TestCase):
    def test_a_back_end_that_is_slow_for_seconds_gets_fewer_calls(self):
        """A back end is 7.5 times slower for 5 s, at 400 calls per second."""
        sends, missed = {}, {}
        for policy in (BaselinePolicy, ServicePolicy):
            simulation = PlainServiceSimulation(policy, seed=SEED)
            simulation.offer(400, 7.0)
            simulation.slow_down("i-1", 7.5, 1.0, 5.0)
            simulation.run()
            sends[policy] = len(simulation.back_ends["i-1"].arrivals)
            missed[policy] = simulation.results().missed
        self.assertLess(sends[ServicePolicy], 0.95 * sends[BaselinePolicy])
        self.assertLess(missed[ServicePolicy], 1.05 * missed[BaselinePolicy])


class LostAnswerTest(unittest.TestCase):
    """One back end runs calls and loses 30% of their answers for 6 s; three seeds."""

    def lost_calls(self, policy):
        lost = 0
        for seed in (1, 2, 3):
            simulation = PlainServiceSimulation(policy, seed=seed)
            simulation.offer(450, 8.0)
            simulation.lose_answers(["i-0"], 0.3, 1.0, 6.0)
            simulation.run()
            lost += sum(call.is_lost for call in simulation.calls)
        return lost

    def test_fewer_calls_that_may_run_only_once_are_lost(self):
        self.assertLess(self.lost_calls(ServicePolicy), 0.85 * self.lost_calls(BaselinePolicy))


class BlockedTest(unittest.TestCase):
    """All back ends are full for half a second, at 500 calls per second."""

    def setUp(self):
        self.simulation = PlainServiceSimulation(ServicePolicy, seed=SEED)
        self.simulation.offer(500, 4.0)
        self.simulation.block(2.0, 0.5)
        self.simulation.run()
        self.waited = [call for call in self.simulation.calls if 2.0 <= call.arrived_at < 2.5]

    def test_no_call_is_refused(self):
        self.assertGreater(len(self.waited), 200)
        self.assertTrue(all(call.is_served for call in self.simulation.calls))

    def test_calls_of_a_node_are_served_in_order_of_arrival(self):
        """A call may overtake another one whose attempt is refused at that time."""
        passed = 0
        for node in self.simulation.nodes:
            own = sorted(
                (call for call in self.waited if call.node is node),
                key=lambda call: call.accepted_at,
            )
            passed += sum(
                before.arrived_at > after.arrived_at for before, after in itertools.pairwise(own)
            )
        self.assertLess(passed, 0.06 * len(self.waited))

    def test_the_retries_are_spread_over_time(self):
        """From 2.5 to 2.6 s, when about 17 slots become free every 20 ms."""
        arrivals = [
            when for back_end in self.simulation.back_ends.values() for when in back_end.arrivals
        ]
        for number in range(5):
            start = 2.5 + 0.02 * number
            self.assertLess(sum(start <= when < start + 0.02 for when in arrivals), 110)


class DeadlineTest(unittest.TestCase):
    def test_a_call_that_cannot_meet_its_deadline_is_refused_early_with_a_retry_time(self):
        simulation = PlainServiceSimulation(ServicePolicy, seed=SEED)
        simulation.offer(500, 1.0)
        simulation.block(0.0, 10.0)
        simulation.run()
        for call in simulation.calls:
            self.assertFalse(call.is_served)
            left_s = call.limit_at - call.ended_at
            self.assertTrue(0.0 < left_s < 0.06, left_s)
            within = call.retry_after_s / MAX_CAPACITY_RETRY_S
            self.assertTrue(1.0 <= within <= 1.0 + ROOM_RETRY_SPREAD)
        self.assertGreater(
            len({call.retry_after_s for call in simulation.calls}), 0.3 * len(simulation.calls)
        )

    def test_waiting_calls_cause_few_refusals_by_back_ends(self):
        simulation = PlainServiceSimulation(ServicePolicy, seed=SEED)
        simulation.offer(500, 1.0)
        simulation.block(0.0, 10.0)
        simulation.run()
        self.assertLess(simulation.rejections / len(simulation.calls), 12)


class ReturnTest(unittest.TestCase):
    """One back end is removed and listed again at all nodes at once, at 500 calls per second."""

    def setUp(self):
        self.simulation = PlainServiceSimulation(ServicePolicy, seed=SEED)
        self.simulation.offer(500, 7.0)
        self.simulation.apply_list_at(2.0, self.simulation.records[1:])
        self.simulation.apply_list_at(4.0, self.simulation.records)
        self.simulation.run()

    def sent_to_first(self, start, end):
        arrivals = self.simulation.back_ends["i-0"].arrivals
        return sum(start <= when < end for when in arrivals)

    def test_a_removed_back_end_gets_no_calls_and_no_call_is_refused(self):
        self.assertEqual(self.sent_to_first(2.05, 4.0), 0)
        self.assertTrue(all(call.is_served for call in self.simulation.calls))

    def test_there_is_no_thundering_herd_when_it_is_listed_again(self):
        """It gets less than 30 calls in each 100 ms; its share is 10."""
        for number in range(10):
            start = 4.0 + 0.1 * number
            self.assertLess(self.sent_to_first(start, start + 0.1), 2 * 15)

    def test_it_soon_gets_its_share_again(self):
        self.assertGreater(self.sent_to_first(4.5, 5.5), 70)
