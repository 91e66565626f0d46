"""Limits on heavy tenants that protect programs under way, and the counts they are based on."""

import random
import unittest

from passlane.configuration.documents import EngineBody
from passlane.decisions.inputs import call_events as events
from passlane.decisions.inputs import call_instructions as instructions
from passlane.decisions.inputs.call_scheduler_config import CrowdingConfig, SchedulerConfig
from passlane.decisions.order.attained_service import AttainedService
from passlane.decisions.order.tenant_shares import TenantShares
from passlane.decisions.scheduling.call_scheduler import Scheduler
from passlane.identifiers import CallId, EngineId, ProgramId, TenantId
from passlane.messages.common import Address

ENGINE = EngineId("e1")
CACHE_TOKENS = 20_000
FLOOD, SMALL = "flood", "small"


class CrowdingTest(unittest.TestCase):
    """One engine with a cache of 20 prompts; a flooding tenant and some small ones."""

    def setUp(self):
        self.scheduler = self.build(CrowdingConfig())
        self.number = 0

    def build(self, crowding: CrowdingConfig) -> Scheduler:
        config = SchedulerConfig(crowding=crowding)
        scheduler = Scheduler("a", random.Random(1), config, node_key="n1")
        body = EngineBody(
            address=Address(host="127.0.0.1", port=1),
            zone="a",
            models=("m",),
            max_batch=16,
            cache_tokens=CACHE_TOKENS,
        )
        scheduler.handle(events.EnginesChanged({ENGINE: body}), 0.0)
        return scheduler

    def call(self, tenant: str, now: float) -> list[CallId]:
        """Submit a call; return the calls that start as a result."""
        self.number += 1
        call_id = CallId(f"c{self.number}")
        arrived = events.CallArrived(
            call_id, ProgramId(f"p{self.number}"), TenantId(tenant), "m", 900, 64, 1e6
        )
        return self.started(self.scheduler.handle(arrived, now))

    def end(self, call_id: CallId, now: float) -> list[CallId]:
        return self.started(self.scheduler.handle(events.CallEnded(call_id, True, 900, 0, 64), now))

    def started(self, output) -> list[CallId]:
        return [item.call_id for item in output if isinstance(item, instructions.StartCall)]

    def flood(self, now: float) -> int:
        """Start programs of the flooding tenant until one must wait; return their number."""
        self.call(SMALL, now)
        self.call("other", now)
        for count in range(40):
            if not self.call(FLOOD, now):
                return count
        return 40

    def test_a_flooding_tenant_leaves_capacity_for_others(self):
        started = self.flood(0.0)
        self.assertLess(started, 9)
        for number in range(4):
            started = self.call(SMALL, 0.1 + number * 0.01)
            self.assertIn(f"c{self.number}", started)

    def test_without_the_limits_a_flooding_tenant_uses_all_slots(self):
        self.scheduler = self.build(CrowdingConfig(enabled=False))
        self.assertEqual(16, self.flood(0.0))
        self.assertEqual([], self.call(SMALL, 0.1))

    def test_a_delayed_program_starts_after_others_have_ended(self):
        self.flood(0.0)
        for number in range(1, self.number):
            self.scheduler.handle(events.ProgramEnded(ProgramId(f"p{number}")), 1.0)
            started = self.end(CallId(f"c{number}"), 1.0)
            if f"c{self.number}" in started:
                return
        self.fail("the waiting program never started")

    def test_a_single_tenant_is_never_delayed(self):
        started = sum(len(self.call(FLOOD, 0.0)) for _ in range(18))
        self.assertEqual(18, started)

    def test_a_new_program_of_a_heavy_tenant_waits_while_caches_thrash(self):
        """The program starts once the prefix that it would evict has become old enough."""
        for number in range(18):
            tenant = FLOOD if number < 5 else f"small-{number}"
            self.call(tenant, 0.0)
        for number in range(1, 16):
            self.end(CallId(f"c{number}"), 0.1)
        for number in range(4):
            self.call(f"late-{number}", 0.2)
        self.assertEqual([], self.call(FLOOD, 1.0))
        output = self.scheduler.handle(events.TimeAdvanced(), 3.2)
        self.assertEqual([CallId(f"c{self.number}")], self.started(output))


class OpenProgramsTest(unittest.TestCase):
    def test_counts_exclude_programs_that_end_or_are_evicted(self):
        programs = AttainedService(max_programs=3)
        for number in range(5):
            programs.open(programs.of(ProgramId(f"p{number}")), TenantId("t"))
        self.assertEqual({TenantId("t"): 3}, dict(programs.open_by_tenant))
        programs.close(ProgramId("p4"))
        programs.close(ProgramId("p4"))
        programs.forget(ProgramId("p3"))
        self.assertEqual({TenantId("t"): 1}, dict(programs.open_by_tenant))
        programs.forget(ProgramId("p2"))
        self.assertEqual({}, dict(programs.open_by_tenant))


class TenantSharesTest(unittest.TestCase):
    def test_shares_include_running_tenants_and_exclude_inactive_ones(self):
        shares = TenantShares(CrowdingConfig(active_s=10.0))
        shares.record_arrival(TenantId("runs"), 1.0, 0.0)
        shares.record_start(TenantId("runs"), 1.0, 0.0)
        shares.record_arrival(TenantId("left"), 2.0, 0.0)
        self.assertAlmostEqual(1 / 3, shares.fair_share(TenantId("runs")))
        shares.record_arrival(TenantId("new"), 3.0, 11.0)
        self.assertEqual(2, shares.active_tenants)
        self.assertAlmostEqual(3 / 4, shares.fair_share(TenantId("new")))
        shares.record_end(TenantId("runs"), 12.0)
        shares.record_end(TenantId("runs"), 12.0)
        self.assertEqual(0, shares.running)


if __name__ == "__main__":
    unittest.main()
