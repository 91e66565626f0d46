"""Invariants of the call scheduler under any mix of events, and defects that must be detected."""

import random
import unittest
from collections.abc import Iterable

from hypothesis import given, settings
from hypothesis import strategies as st

from passlane.configuration.documents import EngineBody
from passlane.decisions.backends.engine_view import EngineView
from passlane.decisions.inputs import call_events as events
from passlane.decisions.inputs import call_instructions as instructions
from passlane.decisions.inputs.call_scheduler_config import QueueConfig, SchedulerConfig
from passlane.decisions.order.call_queue import CallQueue
from passlane.decisions.placement.call_placement import Estimate, Placement
from passlane.decisions.scheduling.call_scheduler import Scheduler
from passlane.identifiers import CallId, EngineId, ProgramId, TenantId
from passlane.messages.backends import CacheEvent, CacheEventKind, CacheEvents, EngineLoad
from passlane.messages.common import Address

DETERMINISTIC = settings(derandomize=True, database=None, deadline=None, max_examples=60)
ENGINES = tuple(EngineId(f"e{number}") for number in range(5))
BODY = EngineBody(address=Address(host="127.0.0.1", port=1), zone="a", models=("m",), max_batch=2)
CALL_TIMEOUT_S = 3.0
STEPS = st.lists(st.tuples(st.integers(0, 9), st.integers(0, 10**6)), min_size=20, max_size=120)


def call(
    number: int, program: int, tenant: int, deadline: float, service_class: int = 1
) -> events.CallArrived:
    return events.CallArrived(
        call_id=CallId(f"c{number}"),
        program_id=ProgramId(f"p{program}"),
        tenant_id=TenantId(f"t{tenant}"),
        model="m",
        prompt_tokens=500,
        max_tokens=32,
        deadline=deadline,
        service_class=service_class,
    )


class SchedulerRun:
    """Feeds a scheduler with generated events and checks each of its instructions."""

    def __init__(self, placement: Placement | None = None) -> None:
        config = SchedulerConfig(queue=QueueConfig(max_calls=12), watched_engines_per_model=3)
        self.scheduler = Scheduler(
            "a", random.Random(1), config, node_key="n1", placement=placement
        )
        self.now = 0.0
        self.leaving: frozenset[EngineId] = frozenset()
        self.waiting: set[CallId] = set()
        self.running: dict[CallId, EngineId] = {}
        self.arrived = 0
        self.wake_at: float | None = None
        self.violations: list[str] = []
        self.send(events.EnginesChanged(dict.fromkeys(ENGINES, BODY)))

    def step(self, choice: int, value: int) -> None:
        self.advance(0.01 + value % 7 * 0.05)
        if choice <= 3:
            self.arrive(value)
        elif choice <= 6 and self.running:
            self.end(value, succeeded=value % 11 != 0)
        elif choice == 7:
            self.leaving = frozenset(one for one in ENGINES if value >> ENGINES.index(one) & 1)
            self.send(events.EnginesLeaving(self.leaving))
        elif choice == 8:
            engine = ENGINES[value % len(ENGINES)]
            load = EngineLoad(engine, 1, value % 3, 0, 500, 1, ("m",), 0.2)
            self.send(events.LoadReported(load))
        else:
            event = CacheEvent(value % 50, CacheEventKind.STORED, ProgramId(f"p{value % 5}"), 400)
            engine = ENGINES[value % len(ENGINES)]
            self.send(events.CacheEventsReported(engine, CacheEvents(1, (event,))))

    def arrive(self, value: int) -> None:
        self.arrived += 1
        arrived = call(self.arrived, value % 5, value % 3, self.now + CALL_TIMEOUT_S)
        self.waiting.add(arrived.call_id)
        self.send(arrived)

    def end(self, value: int, *, succeeded: bool) -> None:
        call_id = sorted(self.running)[value % len(self.running)]
        del self.running[call_id]
        self.send(events.CallEnded(call_id, succeeded, 500, 0, 20))

    def advance(self, seconds: float) -> None:
        """Advance the time, and wake the scheduler when it requested that."""
        until = self.now + seconds
        while self.wake_at is not None and self.wake_at <= until:
            self.now = max(self.now, self.wake_at)
            self.wake_at = None
            self.send(events.TimeAdvanced())
        self.now = until

    def finish(self) -> None:
        """End all calls and wait until each waiting call is started or refused."""
        for number in range(200):
            if not self.running and not self.waiting:
                return
            if self.running:
                self.end(number, succeeded=True)
            self.advance(0.1)
        self.violations.append(f"neither started nor refused: {sorted(self.waiting)}")

    def send(self, event: events.Event) -> None:
        for instruction in self.scheduler.handle(event, self.now):
            match instruction:
                case instructions.StartCall(call_id, engine_id):
                    self.check_start(call_id, engine_id)
                case instructions.RefuseCall(call_id):
                    self.check_decided(call_id)
                case instructions.WakeAt(time):
                    self.wake_at = time

    def check_start(self, call_id: CallId, engine_id: EngineId) -> None:
        self.check_decided(call_id)
        self.running[call_id] = engine_id
        if engine_id in self.leaving:
            self.violations.append(f"{call_id} was sent to {engine_id}, which is leaving")
        slots = BODY.max_batch + SchedulerConfig().engine.slots_over_batch
        if list(self.running.values()).count(engine_id) > slots:
            self.violations.append(f"{engine_id} has more calls than slots")

    def check_decided(self, call_id: CallId) -> None:
        if call_id not in self.waiting:
            self.violations.append(f"{call_id} was started or refused twice")
        self.waiting.discard(call_id)


class PlacementOnLeavingEngines(Placement):
    """A defective placement that keeps sending calls to leaving engines."""

    def estimates(
        self, call: events.CallArrived, engines: Iterable[EngineView], now: float
    ) -> list[Estimate]:
        found = [self.estimate(call, engine, now) for engine in engines]
        return sorted(found, key=lambda estimate: estimate.cost_s)


class AnyEventsTest(unittest.TestCase):
    @DETERMINISTIC
    @given(STEPS)
    def test_each_call_is_decided_once_and_never_sent_to_a_leaving_engine(self, steps):
        run = SchedulerRun()
        for choice, value in steps:
            run.step(choice, value)
        run.finish()
        self.assertEqual([], run.violations)

    def test_sending_calls_to_leaving_engines_is_detected(self):
        generator = random.Random(1)
        run = SchedulerRun(PlacementOnLeavingEngines("a", random.Random(2), SchedulerConfig()))
        for _ in range(120):
            run.step(generator.randrange(10), generator.randrange(10**6))
        self.assertIn("which is leaving", " ".join(run.violations))


def max_overtaking_s(config: QueueConfig) -> float:
    """Serve an overloaded queue; return for how long later calls overtook the first one.

    The first call belongs to a program with far more attained service than all others; calls
    of new programs arrive twice as fast as calls are served. The result is the arrival time
    of the last call served before the first one, which arrived at 0.
    """
    queue = CallQueue(config)
    queue.add(call(0, 0, 0, 10_000.0, service_class=0), 10**9, 0.0)
    number, now = 0, 0.0
    latest_arrival_s = 0.0
    while now < 60.0:
        for _ in range(2):
            number += 1
            queue.add(call(number, number, 0, 10_000.0, service_class=0), 0, now)
        first = next(queue.in_order(now, 1))
        queue.remove(first.call.call_id)
        queue.charge(first.call, 100)
        if first.call.call_id == "c0":
            return latest_arrival_s
        latest_arrival_s = first.arrived_at
        now += 0.1
    return float("inf")


def lower_class_wait_s(config: QueueConfig) -> float:
    """Return how long a call of class 2 waits while calls of class 0 saturate the queue."""
    queue = CallQueue(config)
    low_class_call = events.CallArrived(
        CallId("low"), ProgramId("low"), TenantId("low"), "m", 500, 32, 10_000.0, service_class=2
    )
    queue.add(low_class_call, 0, 0.0)
    number, now = 0, 0.0
    while now < 60.0:
        number += 1
        queue.add(call(number, number, 0, 10_000.0, service_class=0), 0, now)
        first = next(queue.in_order(now, 1))
        queue.remove(first.call.call_id)
        queue.charge(first.call, 100)
        if first.call is low_class_call:
            return now
        now += 0.1
    return float("inf")


class StarvationTest(unittest.TestCase):
    """The starvation bounds hold with the default parameters."""

    def test_no_later_call_is_served_first_after_the_bound(self):
        config = QueueConfig()
        self.assertEqual(10.0, config.starvation_bound_s)
        self.assertLessEqual(max_overtaking_s(config), 10.0)

    def test_a_queue_without_ageing_is_detected(self):
        without_ageing = QueueConfig(ageing_tokens_per_s=1e-9)
        self.assertGreater(max_overtaking_s(without_ageing), 10.0)

    def test_a_lower_class_is_served_after_a_step_for_each_class(self):
        config = QueueConfig()
        self.assertLessEqual(lower_class_wait_s(config), 2 * config.class_step_s + 0.2)

    def test_classes_without_ageing_are_detected(self):
        self.assertGreater(lower_class_wait_s(QueueConfig(class_step_s=0.0)), 20.0)


if __name__ == "__main__":
    unittest.main()
