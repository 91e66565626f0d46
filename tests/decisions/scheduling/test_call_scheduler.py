"""Tests of the call scheduler under load, failures, and stale or missing reports."""

import random
import unittest

from passlane.configuration.documents import EngineBody
from passlane.decisions.inputs import call_events as events
from passlane.decisions.inputs import call_instructions as instructions
from passlane.decisions.inputs.call_scheduler_config import QueueConfig, SchedulerConfig
from passlane.decisions.scheduling.call_scheduler import Scheduler
from passlane.errors import ErrorCode
from passlane.identifiers import CallId, EngineId, ProgramId, TenantId
from passlane.messages.backends import (
    CacheEntry,
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    CacheSnapshot,
    EngineLoad,
)
from passlane.messages.common import Address

E1, E2 = EngineId("e1"), EngineId("e2")


def engine(zone: str = "a", max_batch: int = 2) -> EngineBody:
    address = Address(host="127.0.0.1", port=1)
    return EngineBody(address=address, zone=zone, models=("m",), max_batch=max_batch)


def load(engine_id: EngineId, running: int = 0, incarnation: int = 1, age_s: float = 0.0):
    report = EngineLoad(engine_id, incarnation, running, 0, 0, 0, ("m",), age_s)
    return events.LoadReported(report)


def call(number: int, program: str = "", **changes) -> events.CallArrived:
    values = {
        "call_id": CallId(f"c{number}"),
        "program_id": ProgramId(program or f"p{number}"),
        "tenant_id": TenantId("t"),
        "model": "m",
        "prompt_tokens": 1_000,
        "max_tokens": 64,
        "deadline": 1_000.0,
    }
    return events.CallArrived(**{**values, **changes})


def ended(number: int, succeeded: bool = True) -> events.CallEnded:
    return events.CallEnded(CallId(f"c{number}"), succeeded, 1_000, 0, 64)


def starts(output):
    return [item for item in output if isinstance(item, instructions.StartCall)]


def refusals(output):
    return [item for item in output if isinstance(item, instructions.RefuseCall)]


class SchedulerTest(unittest.TestCase):
    def scheduler(self, engines=None, **config) -> Scheduler:
        config.setdefault("queue", QueueConfig(max_calls=10))
        scheduler = Scheduler("a", random.Random(1), SchedulerConfig(**config), node_key="n1")
        bodies = {E1: engine(), E2: engine()} if engines is None else engines
        scheduler.handle(events.EnginesChanged(bodies), 0.0)
        return scheduler

    def fill(self, scheduler: Scheduler, now: float = 0.0) -> int:
        """Start calls until the next one must wait; return how many were started."""
        for number in range(1_000, 1_100):
            if not starts(scheduler.handle(call(number, tenant_id=TenantId("filler")), now)):
                scheduler.handle(events.CallWithdrawn(CallId(f"c{number}")), now)
                return number - 1_000
        raise AssertionError("the engines did not fill up")

    def test_returns_to_the_engine_that_holds_the_prefix(self):
        scheduler = self.scheduler()
        first = starts(scheduler.handle(call(1, "p"), 0.0))[0].engine_id
        scheduler.handle(ended(1), 0.5)
        for number in range(2, 8):
            following = starts(scheduler.handle(call(number, "p"), float(number)))[0]
            self.assertEqual(first, following.engine_id)
            self.assertIn("1000 of 1000 prompt tokens cached", following.reason)
            scheduler.handle(ended(number), number + 0.5)

    def test_new_incarnation_has_an_empty_cache(self):
        scheduler = self.scheduler({E1: engine()})
        scheduler.handle(load(E1, incarnation=1), 0.0)
        scheduler.handle(call(1, "p"), 0.0)
        scheduler.handle(ended(1), 0.5)
        scheduler.handle(load(E1, incarnation=2), 1.0)
        following = starts(scheduler.handle(call(2, "p"), 1.1))[0]
        self.assertIn("0 of 1000 prompt tokens cached", following.reason)

    def test_gap_in_cache_events_requests_snapshots_until_a_valid_one(self):
        scheduler = self.scheduler({E1: engine()})
        stored = CacheEvent(5, CacheEventKind.STORED, ProgramId("p"), 900)
        gap = events.CacheEventsReported(E1, CacheEvents(1, (stored,)))
        self.assertIn(instructions.RequestCacheSnapshot(E1), scheduler.handle(gap, 0.0))
        stale = events.CacheSnapshotReported(E1, CacheSnapshot(1, 3, ()))
        self.assertIn(instructions.RequestCacheSnapshot(E1), scheduler.handle(stale, 0.1))
        entries = (CacheEntry(ProgramId("q"), 700),)
        whole = events.CacheSnapshotReported(E1, CacheSnapshot(1, 6, entries))
        self.assertEqual([], scheduler.handle(whole, 0.2))
        self.assertIn("700 of", starts(scheduler.handle(call(1, "q"), 0.3))[0].reason)
        self.assertIn("0 of", starts(scheduler.handle(call(2, "p"), 0.3))[0].reason)

    def test_stale_reports_are_corrected_by_own_calls(self):
        scheduler = self.scheduler()
        started = [starts(scheduler.handle(call(n), 1.0))[0].engine_id for n in range(4)]
        self.assertEqual(2, started.count(E1))
        # The report is older than the four calls, so it must neither hide nor duplicate them.
        for engine_id in (E1, E2):
            scheduler.handle(load(engine_id, running=0, age_s=0.5), 1.2)
        spread = [starts(scheduler.handle(call(n), 1.2))[0].engine_id for n in range(4, 8)]
        self.assertEqual(2, spread.count(E1))
        for engine_id in (E1, E2):
            scheduler.handle(load(engine_id, running=4, age_s=0.0), 1.3)
        self.assertEqual([], starts(scheduler.handle(call(9), 1.3)))
        self.assertEqual(1, len(starts(scheduler.handle(ended(4), 1.4))))

    def test_full_queue_refuses_at_once_and_keeps_capacity_for_others(self):
        scheduler = self.scheduler()
        self.fill(scheduler)
        outputs = [scheduler.handle(call(number), 0.0) for number in range(20)]
        refused = [item for output in outputs for item in refusals(output)]
        self.assertEqual(15, len(refused))
        self.assertEqual({ErrorCode.QUEUE_FULL}, {item.code for item in refused})
        self.assertTrue(all(item.retry_after_s for item in refused))
        other = scheduler.handle(call(50, tenant_id=TenantId("other")), 0.0)
        self.assertEqual([], refusals(other))

    def test_call_is_refused_when_its_deadline_passes(self):
        scheduler = self.scheduler()
        self.fill(scheduler)
        output = scheduler.handle(call(1, deadline=2.0), 0.0)
        self.assertIn(2.0, [i.time for i in output if isinstance(i, instructions.WakeAt)])
        self.assertEqual([], refusals(scheduler.handle(events.TimeAdvanced(), 1.99)))
        refused = refusals(scheduler.handle(events.TimeAdvanced(), 2.0))
        self.assertEqual(ErrorCode.DEADLINE_EXCEEDED, refused[0].code)
        self.assertEqual(0, scheduler.queued_calls)

    def test_leaving_engine_gets_no_new_work_and_its_cache_moves(self):
        scheduler = self.scheduler()
        first = starts(scheduler.handle(call(1, "p"), 0.0))[0].engine_id
        scheduler.handle(ended(1), 0.5)
        other = E2 if first == E1 else E1
        output = scheduler.handle(events.EnginesLeaving(frozenset({first})), 1.0)
        self.assertIn(instructions.MoveCache(ProgramId("p"), first, other), output)
        for number in range(2, 40):
            for start in starts(scheduler.handle(call(number, "p"), 1.0)):
                self.assertEqual(other, start.engine_id)

    def test_calls_are_placed_when_the_whole_watched_subset_leaves(self):
        engines = {EngineId(f"e{number}"): engine() for number in range(20)}
        scheduler = self.scheduler(engines, watched_engines_per_model=4)
        first = starts(scheduler.handle(call(1, "p"), 0.0))[0].engine_id
        output = scheduler.handle(events.EnginesChanged(engines), 0.0)
        watched = next(i for i in output if isinstance(i, instructions.WatchEngines)).engine_ids
        output = scheduler.handle(events.EnginesLeaving(watched), 1.0)
        now_watched = next(i for i in output if isinstance(i, instructions.WatchEngines))
        self.assertEqual(4, len(now_watched.engine_ids - watched))
        start = starts(scheduler.handle(call(2), 1.0))[0]
        self.assertNotIn(start.engine_id, watched)
        # The call that was running there still succeeds and frees its slot.
        self.assertEqual(1, scheduler.in_flight_at(first))
        scheduler.handle(ended(1), 1.5)
        self.assertEqual(0, scheduler.in_flight_at(first))
        self.assertEqual(1, scheduler.running_calls)

    def test_failing_engine_is_ejected_then_probed_with_one_call(self):
        scheduler = self.scheduler({E1: engine()})
        for number in range(3):
            self.assertEqual(1, len(starts(scheduler.handle(call(number), 0.0))))
            scheduler.handle(ended(number, succeeded=False), 0.1)
        output = scheduler.handle(call(10), 0.2)
        scheduler.handle(call(11), 0.2)
        self.assertEqual([], starts(output))
        wake_at = next(i.time for i in output if isinstance(i, instructions.WakeAt))
        self.assertEqual(1, len(starts(scheduler.handle(events.TimeAdvanced(), wake_at))))
        self.assertEqual(1, len(starts(scheduler.handle(ended(10), wake_at + 0.1))))

    def test_cache_is_released_at_the_end_and_when_the_program_is_overdue(self):
        scheduler = self.scheduler({E1: engine(max_batch=100)})
        now = 0.0
        for number in range(100):
            now += 1.0
            scheduler.handle(call(number, "p"), now)
            scheduler.handle(ended(number), now + 0.2)
            scheduler.handle(events.ProgramPaused(ProgramId("p"), 0.8), now + 0.2)
        for number, program in enumerate(("gone", "back")):
            scheduler.handle(call(200 + number, program), now)
            scheduler.handle(ended(200 + number), now + 0.2)
            scheduler.handle(events.ProgramPaused(ProgramId(program), 0.8), now + 0.2)
        self.assertNotIn("Release", str(scheduler.handle(call(300, "back"), now + 1.0)))
        scheduler.handle(ended(300), now + 1.2)
        scheduler.handle(events.ProgramPaused(ProgramId("p"), 0.8), now + 1.2)
        scheduler.handle(events.ProgramEnded(ProgramId("p")), now + 1.2)
        output = scheduler.handle(events.TimeAdvanced(), now + 3.0)
        released = [i for i in output if isinstance(i, instructions.ReleaseCache)]
        self.assertEqual([instructions.ReleaseCache(ProgramId("gone"), E1)], released)
        output = scheduler.handle(events.ProgramEnded(ProgramId("back")), now + 3.1)
        self.assertIn(instructions.ReleaseCache(ProgramId("back"), E1), output)

    def test_flooding_tenant_does_not_delay_another(self):
        scheduler = self.scheduler(queue=QueueConfig(max_calls=200))
        self.fill(scheduler)
        for number in range(90):
            scheduler.handle(call(number, tenant_id=TenantId("flood")), 0.0)
        scheduler.handle(call(500, tenant_id=TenantId("small")), 0.1)
        started = starts(scheduler.handle(ended(1_000), 0.2))
        started += starts(scheduler.handle(ended(1_001), 0.3))
        self.assertIn(CallId("c500"), [start.call_id for start in started])

    def test_same_events_give_the_same_instructions(self):
        outputs = []
        for _ in range(2):
            scheduler = self.scheduler()
            output = [scheduler.handle(call(n), n * 0.01) for n in range(12)]
            output += [scheduler.handle(ended(n), 1 + n * 0.01) for n in range(12)]
            outputs.append(output)
        self.assertEqual(outputs[0], outputs[1])


if __name__ == "__main__":
    unittest.main()
