"""Order of waiting calls: class, fair share, attained service, aging, deadline."""

import unittest

from passlane.decisions.inputs.call_events import CallArrived
from passlane.decisions.inputs.call_scheduler_config import QueueConfig
from passlane.decisions.order.call_queue import CallQueue
from passlane.identifiers import CallId, ProgramId, TenantId

CONFIG = QueueConfig(
    class_step_s=5.0, ageing_tokens_per_s=100.0, max_attained_tokens=1_000, urgent_s=1.0
)


def call(name: str, tenant: str = "t", **changes) -> CallArrived:
    values = {"model": "m", "prompt_tokens": 10, "max_tokens": 10, "deadline": 10_000.0}
    return CallArrived(CallId(name), ProgramId(name), TenantId(tenant), **{**values, **changes})


def order(queue: CallQueue, now: float) -> list[str]:
    return [queued.call.call_id for queued in queue.in_order(now, 1_000)]


class CallQueueTest(unittest.TestCase):
    def test_lower_class_first_until_a_higher_class_has_aged(self):
        queue = CallQueue(CONFIG)
        queue.add(call("late", service_class=1), 0, 0.0)
        queue.add(call("first", service_class=0), 900, 4.0)
        self.assertEqual(["first", "late"], order(queue, 4.9))
        self.assertEqual(["late", "first"], order(queue, 5.0))

    def test_least_attained_service_first_with_aging(self):
        queue = CallQueue(CONFIG)
        queue.add(call("long"), 500, 0.0)
        queue.add(call("short"), 100, 3.0)
        queue.add(call("younger"), 100, 4.5)
        self.assertEqual(["short", "long", "younger"], order(queue, 5.0))

    def test_starvation_bound(self):
        """No call that arrives later by more than the bound overtakes, whatever its service."""
        self.assertEqual(10.0, CONFIG.starvation_bound_s)
        queue = CallQueue(CONFIG)
        queue.add(call("oldest"), 10**9, 0.0)
        for number in range(200):
            queue.add(call(f"n{number}"), 0, number * 0.1)
        ahead = order(queue, 20.0)[: order(queue, 20.0).index("oldest")]
        arrived = [int(name[1:]) * 0.1 for name in ahead]
        self.assertLessEqual(max(arrived), CONFIG.starvation_bound_s)

    def test_a_call_near_its_deadline_moves_to_the_front(self):
        queue = CallQueue(CONFIG)
        queue.add(call("patient"), 0, 0.0)
        queue.add(call("urgent", deadline=1.5), 1_000, 0.1)
        queue.add(call("most-urgent", deadline=0.9), 1_000, 0.1)
        self.assertEqual(["most-urgent", "patient", "urgent"], order(queue, 0.2))

    def test_tenants_share_by_weight(self):
        queue = CallQueue(CONFIG)
        for number in range(60):
            queue.add(call(f"a{number}", "a", weight=2.0), 0, 0.0)
            queue.add(call(f"b{number}", "b", weight=1.0), 0, 0.0)
        served = []
        for _ in range(30):
            queued = next(queue.in_order(1.0, 1))
            queue.remove(queued.call.call_id)
            queue.charge(queued.call, 100)
            served.append(queued.call.tenant_id)
        self.assertEqual(20, served.count(TenantId("a")))

    def test_an_idle_tenant_accumulates_no_credit(self):
        queue = CallQueue(CONFIG)
        for number in range(50):
            one = call(f"a{number}", "a")
            queue.add(one, 0, 0.0)
            queue.remove(one.call_id)
            queue.charge(one, 10)
        for number in range(20):
            queue.add(call(f"x{number}", "a"), 0, 1.0)
            queue.add(call(f"y{number}", "b"), 0, 1.0)
        first_ten = order(queue, 1.0)[:10]
        self.assertGreaterEqual(sum(name.startswith("x") for name in first_ten), 4)

    def test_expired_calls_are_removed_in_order_of_deadline(self):
        queue = CallQueue(CONFIG)
        for number in (3, 1, 2):
            queue.add(call(f"c{number}", deadline=float(number)), 0, 0.0)
        queue.remove(CallId("c1"))
        self.assertEqual(2.0, queue.next_deadline())
        expired = queue.take_expired(3.0)
        self.assertEqual(["c2", "c3"], [queued.call.call_id for queued in expired])
        self.assertEqual((0, None), (len(queue), queue.next_deadline()))


if __name__ == "__main__":
    unittest.main()
