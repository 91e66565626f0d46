"""What callers get of plain back ends that many nodes share without seeing each other.

The load: 30 places (5 back ends of 6) before 61 nodes, 650 calls a second of 13 to 52 ms
that come up to three at once at a node; in 15% of the time, for 0.6 s, a back end is 2.5
times slower; connections rest 4 s unused. Three quarters of the places are taken on
average. Calls are not tried again by their callers.

Figures of seed 1, each out of 100 calls, for the earlier rule (any back end, rounds each
20 ms, an end after a quarter of the target) and the rule of ``relay.service_room``; "closes"
is the earlier rule with a client that closes a connection whose request was refused.

==========================  ===============  =======  =====
steady load                 earlier, closes  earlier  now
==========================  ===============  =======  =====
refused                     0.88             1.04     0
refused or beyond target    2.13             2.50     1.98
refusals by back ends       52.5             66.1     49.4
new connections             55.8             11.2     10.3
==========================  ===============  =======  =====

==========================  ===============  =======  =====
waves of 55% in 8 s         earlier, closes  earlier  now
==========================  ===============  =======  =====
refused                     10.61            11.62    1.16
refused or beyond target    12.14            13.11    30.08
refusals by back ends       163.2            197.8    179.5
new connections             166.9            13.4     12.7
==========================  ===============  =======  =====

==========================  =======  =====  =======  =====
                            13 back ends    one 7.5 x slow
--------------------------  --------------  --------------
                            earlier  now    earlier  now
==========================  =======  =====  =======  =====
refused                     0        0      0.10     0.03
refused or beyond target    1.43     1.43   4.18     3.81
refusals by back ends       76.3     44.4   31.1     20.1
new connections             16.7     12.6   14.3     11.7
==========================  =======  =====  =======  =====

At the crest of the waves more is asked for than 30 places carry: what was refused before is
now served late, and those behind it are late as well.
"""

import itertools
import unittest

from decisions.placement.plain_load import LONGER_KINDS, EarlierRule, PlainLoad, RoomRule
from passlane.decisions.failure.retry_after import LONGEST_ROOM_RETRY_S, ROOM_RETRY_SPREAD

SEED = 1
CALLS_PER_S = 650
SECONDS = 8.0
WAVE = {"swing": 0.55, "period_s": 8.0}


def figures(rule, *, keeps_refused=True, **shape):
    """Return what became of a load, out of 100 calls."""
    load = PlainLoad(rule, seed=SEED, keeps_refused=keeps_refused)
    load.offer(CALLS_PER_S, SECONDS, **shape)
    load.play()
    return load.figures()


class LoadTest(unittest.TestCase):
    def test_a_steady_load_is_served_whole_with_fewer_refusals_and_connections(self):
        closing = figures(EarlierRule, keeps_refused=False)
        before = figures(EarlierRule)
        now = figures(RoomRule)
        self.assertGreater(before.refused, 0.5)
        self.assertEqual(now.refused, 0.0)
        self.assertLess(now.missed, before.missed)
        self.assertLess(now.rejections, 0.9 * before.rejections)
        self.assertLess(now.connections, 0.25 * closing.connections)
        self.assertLess(now.connections, before.connections)

    def test_waves_beyond_what_the_places_carry_are_waited_out(self):
        before = figures(EarlierRule, **WAVE)
        now = figures(RoomRule, **WAVE)
        self.assertGreater(before.refused, 5.0)
        self.assertLess(now.refused, 0.25 * before.refused)
        self.assertLess(now.rejections, before.rejections)
        self.assertLess(now.connections, before.connections)

    def test_more_and_longer_calls_at_more_back_ends(self):
        """66 nodes, 13 back ends, 900 calls a second; seven tenths of the places are taken."""
        found = {}
        for rule in (EarlierRule, RoomRule):
            load = PlainLoad(rule, seed=SEED, nodes=66, back_ends=13, kinds=LONGER_KINDS)
            load.offer(900, 6.0)
            load.play()
            found[rule] = load.figures()
        before, now = found[EarlierRule], found[RoomRule]
        self.assertEqual(now.refused, 0.0)
        self.assertLessEqual(now.missed, before.missed)
        self.assertLess(now.rejections, 0.7 * before.rejections)
        self.assertLess(now.connections, 0.9 * before.connections)


class SlowBackEndTest(unittest.TestCase):
    def test_one_that_is_slow_for_seconds_gets_fewer_calls(self):
        """A back end is 7.5 times slower for 5 s, at 400 calls a second."""
        sends, missed = {}, {}
        for rule in (EarlierRule, RoomRule):
            load = PlainLoad(rule, seed=SEED)
            load.offer(400, 7.0)
            load.slow_down("i-1", 7.5, 1.0, 5.0)
            load.play()
            sends[rule] = len(load.back_ends["i-1"].arrivals)
            missed[rule] = load.figures().missed
        self.assertLess(sends[RoomRule], 0.95 * sends[EarlierRule])
        self.assertLess(missed[RoomRule], 1.05 * missed[EarlierRule])


class LostAnswerTest(unittest.TestCase):
    """One back end runs calls and loses 3 in 10 of their answers, for 6 s; three seeds.

    Of 3,844 calls that may run only once 113 were lost by the earlier rule, 88 now. Where three
    back ends lose 1 in 20 for as long, the rules don't differ beyond chance (99 and 113): a
    node sees such a loss once in some ten seconds.
    """

    def lost(self, rule):
        lost = 0
        for seed in (1, 2, 3):
            load = PlainLoad(rule, seed=seed)
            load.offer(450, 8.0)
            load.lose_answers(["i-0"], 0.3, 1.0, 6.0)
            load.play()
            lost += sum(call.is_lost for call in load.calls)
        return lost

    def test_fewer_calls_that_may_run_only_once_are_lost(self):
        self.assertLess(self.lost(RoomRule), 0.85 * self.lost(EarlierRule))


class SpellTest(unittest.TestCase):
    """All back ends are full for half a second, at 500 calls a second."""

    def setUp(self):
        self.load = PlainLoad(RoomRule, seed=SEED)
        self.load.offer(500, 4.0)
        self.load.block(2.0, 0.5)
        self.load.play()
        self.waited = [call for call in self.load.calls if 2.0 <= call.arrived_at < 2.5]

    def test_nobody_is_refused(self):
        self.assertGreater(len(self.waited), 200)
        self.assertTrue(all(call.is_served for call in self.load.calls))

    def test_callers_of_a_node_are_served_in_their_order(self):
        """A later call may pass the one whose own try is refused at that moment."""
        passed = 0
        for node in self.load.nodes:
            own = sorted(
                (call for call in self.waited if call.node is node),
                key=lambda call: call.accepted_at,
            )
            passed += sum(
                before.arrived_at > after.arrived_at for before, after in itertools.pairwise(own)
            )
        self.assertLess(passed, 0.06 * len(self.waited))

    def test_they_do_not_come_back_all_at_once(self):
        """Between 2.5 and 2.6 s, some 17 places get free in 20 ms."""
        arrivals = [when for back_end in self.load.back_ends.values() for when in back_end.arrivals]
        for number in range(5):
            start = 2.5 + 0.02 * number
            self.assertLess(sum(start <= when < start + 0.02 for when in arrivals), 110)


class DeadlineTest(unittest.TestCase):
    def test_a_call_that_can_no_longer_be_served_is_refused_at_once_and_truly(self):
        load = PlainLoad(RoomRule, seed=SEED)
        load.offer(500, 1.0)
        load.block(0.0, 10.0)
        load.play()
        for call in load.calls:
            self.assertFalse(call.is_served)
            left_s = call.limit_at - call.ended_at
            self.assertTrue(0.0 < left_s < 0.06, left_s)
            within = call.retry_after_s / LONGEST_ROOM_RETRY_S
            self.assertTrue(1.0 <= within <= 1.0 + ROOM_RETRY_SPREAD)
        self.assertGreater(len({call.retry_after_s for call in load.calls}), 0.3 * len(load.calls))

    def test_waiting_costs_back_ends_few_refusals(self):
        load = PlainLoad(RoomRule, seed=SEED)
        load.offer(500, 1.0)
        load.block(0.0, 10.0)
        load.play()
        self.assertLess(load.rejections / len(load.calls), 12)


class ReturnTest(unittest.TestCase):
    """One back end leaves and comes back, at 500 calls a second; all nodes learn it at once."""

    def setUp(self):
        self.load = PlainLoad(RoomRule, seed=SEED)
        self.load.offer(500, 7.0)
        self.load.list_at(2.0, self.load.records[1:])
        self.load.list_at(4.0, self.load.records)
        self.load.play()

    def sent_to_first(self, start, end):
        arrivals = self.load.back_ends["i-0"].arrivals
        return sum(start <= when < end for when in arrivals)

    def test_nothing_goes_to_the_one_that_is_gone_and_nobody_is_refused(self):
        self.assertEqual(self.sent_to_first(2.05, 4.0), 0)
        self.assertTrue(all(call.is_served for call in self.load.calls))

    def test_there_is_no_herd_when_it_is_back(self):
        """It gets at most twice its share of 100 a second in each tenth of a second."""
        for number in range(10):
            start = 4.0 + 0.1 * number
            self.assertLess(self.sent_to_first(start, start + 0.1), 2 * 15)

    def test_it_soon_has_its_share_again(self):
        self.assertGreater(self.sent_to_first(4.5, 5.5), 70)
