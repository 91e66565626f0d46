"""What callers get of the scheduler of turns under the loads that it names.

Each test plays the load twice: with nodes that choose engines by what they see themselves, as
without the scheduler, and with it. Seeds are fixed, so the figures repeat.
"""

import unittest
from collections.abc import Sequence
from dataclasses import replace

from decisions.scheduling.turn_load import ALARM, SESSION, Burst, Kind, TurnLoad
from passlane.decisions.scheduling.turn_scheduler import TurnScheduler

USUAL_SHARE = 0.5
"""Of the rates in ``turn_load``: at this share 24 engines of six places are 70% taken."""


def kinds(share: float = USUAL_SHARE, *, are_alike: bool = False) -> list[Kind]:
    """Return both kinds at a share of their rates, with one rank if they are alike."""
    scaled = [replace(kind, rate_per_s=kind.rate_per_s * share) for kind in (ALARM, SESSION)]
    return [replace(kind, urgency=0) for kind in scaled] if are_alike else scaled


def play(kinds_played: list[Kind], bursts: Sequence[Burst], **options: object) -> TurnLoad:
    load = TurnLoad(kinds_played, bursts, **options)
    load.run()
    return load


class CompetingKindsTest(unittest.TestCase):
    """Sessions at 2.5 times, then alarms at 1.5 times the usual, and one tenant at 5.4 times.

    Share that callers get of what they came for, of all, of alarms and of sessions: 0.70, 0.63
    and 0.81 where ranks of tenants hide those of kinds and nodes choose by themselves; 0.88,
    0.94 and 0.79 where engines alone know the ranks; 0.96, 0.99 and 0.91 with the scheduler.
    """

    BURSTS = (
        Burst(3.7, 9.6, 2.5, kind="session"),
        Burst(6.6, 13.5, 5.4, tenant="t0"),
        Burst(12.0, 15.7, 1.5, kind="alarm"),
    )

    @classmethod
    def setUpClass(cls):
        cls.before = play(kinds(are_alike=True), cls.BURSTS, scheduler=None)
        cls.alone = play(kinds(), cls.BURSTS, scheduler=None)
        cls.after = play(kinds(), cls.BURSTS, scheduler=TurnScheduler())

    def test_callers_get_more_of_what_they_came_for(self):
        self.assertLess(self.before.credit(), 0.75)
        self.assertGreater(self.after.credit(), self.alone.credit() + 0.05)
        self.assertGreater(self.after.credit(), 0.93)

    def test_the_urgent_kind_does_not_pay(self):
        self.assertGreater(self.after.credit("alarm"), 0.97)
        self.assertGreater(self.after.served_share("alarm"), 0.99)

    def test_the_less_urgent_kind_is_served_still(self):
        self.assertGreater(self.after.credit("session"), 0.86)
        self.assertLess(self.after.refused_share("session"), 0.03)

    def test_urgent_turns_wait_for_milliseconds(self):
        waits = sorted(self.after.waits["alarm"])
        self.assertLess(waits[len(waits) // 2], 0.005)
        self.assertLess(waits[int(0.99 * len(waits))], 0.15)


class OneTenantTest(unittest.TestCase):
    """One tenant at 12 times its usual; 20 tenants, half of the load by the largest five."""

    BURSTS = (Burst(3.0, 9.0, 12.0, tenant="t1"),)

    def others(self, load: TurnLoad) -> float:
        own = [program for program in load.programs if program.tenant != "t1"]
        return sum(load.earned(p) for p in own) / sum(p.kind.worth for p in own)

    def test_others_keep_what_they_had(self):
        calm = play(kinds(), [], scheduler=TurnScheduler(), length_s=14.0)
        burst = play(kinds(), self.BURSTS, scheduler=TurnScheduler(), length_s=14.0)
        without = play(kinds(), self.BURSTS, scheduler=None, length_s=14.0)
        self.assertGreater(self.others(burst), self.others(calm) - 0.04)
        self.assertGreater(self.others(burst), self.others(without))

    def test_what_nobody_else_wants_it_may_have(self):
        light = play(kinds(0.15), self.BURSTS, scheduler=TurnScheduler(), length_s=14.0)
        self.assertGreater(light.credit(tenant="t1"), 0.97)
        self.assertEqual(light.refused_share("alarm") + light.refused_share("session"), 0.0)


class UnevenEnginesTest(unittest.TestCase):
    """Engines of which two thirds take 0.7 and one third 1.7 times as long; nobody says which.

    Callers get 0.90 of what they came for where nodes choose by themselves, each engine with the
    same share of turns; 0.99 with the scheduler, the slow ones with a quarter of the turns of the
    others.
    """

    def test_turns_go_by_the_engines_pace(self):
        options = {"slowness": (0.7, 0.7, 1.7), "length_s": 14.0}
        before = play(kinds(0.35), [], scheduler=None, **options)
        after = play(kinds(0.35), [], scheduler=TurnScheduler(), **options)
        served = {0.7: 0, 1.7: 0}
        for engine in after.engines.values():
            served[engine.slowness] += engine.served
        fast, slow = served[0.7] / 16, served[1.7] / 8
        self.assertLess(before.credit(), 0.93)
        self.assertGreater(after.credit(), 0.97)
        self.assertGreater(fast, 1.5 * slow)
        self.assertGreater(slow, 0)


class LostLeaderTest(unittest.TestCase):
    """The leader is lost in a burst; the next one knows nothing of what is under way."""

    def test_callers_lose_little(self):
        bursts = CompetingKindsTest.BURSTS
        load = TurnLoad(kinds(), bursts, scheduler=TurnScheduler())
        for at in (5.0, 8.0):
            load.lose_leader_at(at)
        load.run()
        kept = play(kinds(), bursts, scheduler=TurnScheduler())
        self.assertGreater(load.credit(), kept.credit() - 0.04)
        self.assertGreater(load.credit("alarm"), 0.95)

    def test_no_place_is_held_for_good(self):
        load = TurnLoad(kinds(), CompetingKindsTest.BURSTS, scheduler=TurnScheduler())
        load.lose_leader_at(6.0)
        load.run()
        self.assertEqual(load.scheduler.figures("llm").running, 0)
