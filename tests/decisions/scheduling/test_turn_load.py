"""Compares the turn scheduler with independent nodes under competing and uneven loads.

Each test runs a load with nodes that choose engines by their own view, and with the scheduler.
Seeds are fixed, so the results are reproducible.
"""

import unittest
from collections.abc import Sequence
from dataclasses import replace

from decisions.scheduling.turn_load import ALARM, SESSION, Burst, ProgramKind, TurnLoad
from passlane.decisions.scheduling.turn_scheduler import TurnScheduler

NORMAL_LOAD = 0.5
"""Share of the rates in ``turn_load``; 24 engines with six slots are then 70% busy."""


def kinds(share: float = NORMAL_LOAD, *, are_alike: bool = False) -> list[ProgramKind]:
    """Return both kinds at a share of their rates, with equal urgency if ``are_alike``."""
    scaled = [replace(kind, rate_per_s=kind.rate_per_s * share) for kind in (ALARM, SESSION)]
    return [replace(kind, urgency=0) for kind in scaled] if are_alike else scaled


def run_load(
    program_kinds: list[ProgramKind], bursts: Sequence[Burst], **options: object
) -> TurnLoad:
    load = TurnLoad(program_kinds, bursts, **options)
    load.run()
    return load


class CompetingKindsTest(unittest.TestCase):
    """Bursts: sessions at 2.5 times, alarms at 1.5 times, one tenant at 5.4 times its rate.

    Compares nodes that choose engines without ranks, nodes with ranks at the engines only, and
    the scheduler.
    """

    BURSTS = (
        Burst(3.7, 9.6, 2.5, kind="session"),
        Burst(6.6, 13.5, 5.4, tenant="t0"),
        Burst(12.0, 15.7, 1.5, kind="alarm"),
    )

    @classmethod
    def setUpClass(cls):
        cls.without_ranks = run_load(kinds(are_alike=True), cls.BURSTS, scheduler=None)
        cls.node_choice = run_load(kinds(), cls.BURSTS, scheduler=None)
        cls.scheduled = run_load(kinds(), cls.BURSTS, scheduler=TurnScheduler())

    def test_programs_achieve_more_utility(self):
        self.assertLess(self.without_ranks.utility_share(), 0.75)
        self.assertGreater(self.scheduled.utility_share(), self.node_choice.utility_share() + 0.05)
        self.assertGreater(self.scheduled.utility_share(), 0.93)

    def test_the_urgent_kind_is_not_harmed(self):
        self.assertGreater(self.scheduled.utility_share("alarm"), 0.97)
        self.assertGreater(self.scheduled.served_share("alarm"), 0.99)

    def test_the_less_urgent_kind_is_still_served(self):
        self.assertGreater(self.scheduled.utility_share("session"), 0.86)
        self.assertLess(self.scheduled.refused_share("session"), 0.03)

    def test_urgent_turns_wait_only_milliseconds(self):
        waits = sorted(self.scheduled.waits["alarm"])
        self.assertLess(waits[len(waits) // 2], 0.005)
        self.assertLess(waits[int(0.99 * len(waits))], 0.15)


class OneTenantTest(unittest.TestCase):
    """One tenant at 12 times its rate; the largest five of 20 tenants have half of the load."""

    BURSTS = (Burst(3.0, 9.0, 12.0, tenant="t1"),)

    def others(self, load: TurnLoad) -> float:
        other_programs = [program for program in load.programs if program.tenant != "t1"]
        return sum(load.utility_of(p) for p in other_programs) / sum(
            p.kind.utility for p in other_programs
        )

    def test_other_tenants_keep_their_utility(self):
        calm = run_load(kinds(), [], scheduler=TurnScheduler(), length_s=14.0)
        burst = run_load(kinds(), self.BURSTS, scheduler=TurnScheduler(), length_s=14.0)
        without = run_load(kinds(), self.BURSTS, scheduler=None, length_s=14.0)
        self.assertGreater(self.others(burst), self.others(calm) - 0.04)
        self.assertGreater(self.others(burst), self.others(without))

    def test_a_tenant_may_use_free_capacity(self):
        light = run_load(kinds(0.15), self.BURSTS, scheduler=TurnScheduler(), length_s=14.0)
        self.assertGreater(light.utility_share(tenant="t1"), 0.97)
        self.assertEqual(light.refused_share("alarm") + light.refused_share("session"), 0.0)


class UnevenEnginesTest(unittest.TestCase):
    """Two thirds of the engines take 0.7 times, one third 1.7 times as long; this is not reported.

    The scheduler must learn the speeds and send fewer turns to the slow engines.
    """

    def test_turns_are_distributed_by_engine_speed(self):
        options = {"slowdown": (0.7, 0.7, 1.7), "length_s": 14.0}
        independent = run_load(kinds(0.35), [], scheduler=None, **options)
        scheduled = run_load(kinds(0.35), [], scheduler=TurnScheduler(), **options)
        served = {0.7: 0, 1.7: 0}
        for engine in scheduled.engines.values():
            served[engine.slowdown] += engine.served
        fast, slow = served[0.7] / 16, served[1.7] / 8
        self.assertLess(independent.utility_share(), 0.93)
        self.assertGreater(scheduled.utility_share(), 0.97)
        self.assertGreater(fast, 1.5 * slow)
        self.assertGreater(slow, 0)


class LeaderFailureTest(unittest.TestCase):
    """The leader fails in a burst, and the next one does not know the running turns."""

    def test_utility_hardly_drops(self):
        bursts = CompetingKindsTest.BURSTS
        load = TurnLoad(kinds(), bursts, scheduler=TurnScheduler())
        for at in (5.0, 8.0):
            load.fail_leader_at(at)
        load.run()
        without_failure = run_load(kinds(), bursts, scheduler=TurnScheduler())
        self.assertGreater(load.utility_share(), without_failure.utility_share() - 0.04)
        self.assertGreater(load.utility_share("alarm"), 0.95)

    def test_every_slot_is_released(self):
        load = TurnLoad(kinds(), CompetingKindsTest.BURSTS, scheduler=TurnScheduler())
        load.fail_leader_at(6.0)
        load.run()
        self.assertEqual(load.scheduler.stats("llm").running, 0)
