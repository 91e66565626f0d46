"""Order and timing of the retries of requests that wait for capacity."""

import unittest

from passlane.decisions.failure.retry_after import (
    MAX_CAPACITY_RETRY_S,
    MIN_CAPACITY_RETRY_S,
    ROOM_RETRY_SPREAD,
)
from passlane.decisions.order.capacity_queue import (
    PAUSE_SPREAD,
    CapacityQueue,
    PauseRange,
    WaitingCall,
)
from passlane.decisions.order.service_capacity import (
    ServiceCapacity,
)
from passlane.decisions.placement.request_placement import NodeLocation

PAUSES = PauseRange(shortest_s=0.005, longest_s=0.03)


def waiting_call(name="r", *, priority=2, arrived_at=0.0, give_up_at=1.0, refusals=0):
    return WaitingCall(
        request_id=name,
        priority=priority,
        arrived_at=arrived_at,
        give_up_at=give_up_at,
        joined_at=arrived_at,
        refusals=refusals,
    )


class QueueOrderTest(unittest.TestCase):
    def order_of(self, queue, now=0.5):
        names = []
        while (call := queue.offer(now)) is not None:
            names.append(call.request_id)
        return names

    def queue_of(self, *calls, demotes_refused=False):
        queue = CapacityQueue(demotes_refused=demotes_refused)
        for call in calls:
            queue.join(call, PAUSES, 0.0, 0.5)
        return queue

    def test_requests_are_ordered_by_priority_then_by_arrival(self):
        queue = self.queue_of(
            waiting_call("late", arrived_at=0.2),
            waiting_call("early", arrived_at=0.1),
            waiting_call("urgent", priority=0, arrived_at=0.3),
        )
        self.assertEqual(self.order_of(queue), ["urgent", "early", "late"])

    def test_a_refused_request_keeps_its_position(self):
        queue = self.queue_of(waiting_call("a", refusals=9), waiting_call("b", arrived_at=0.1))
        self.assertEqual(self.order_of(queue), ["a", "b"])

    def test_with_demotion_a_refused_request_moves_behind_the_others(self):
        queue = self.queue_of(
            waiting_call("a", refusals=1), waiting_call("b", arrived_at=0.1), demotes_refused=True
        )
        self.assertEqual(self.order_of(queue), ["b", "a"])

    def test_a_slot_is_not_offered_to_a_request_without_time_for_an_answer(self):
        queue = self.queue_of(waiting_call("a", give_up_at=0.4), waiting_call("b", arrived_at=0.1))
        self.assertEqual(self.order_of(queue, now=0.5), ["b"])


class PauseTest(unittest.TestCase):
    def test_only_the_first_request_retries(self):
        queue = CapacityQueue()
        first, second = waiting_call("a"), waiting_call("b", arrived_at=0.1)
        queue.join(first, PAUSES, 0.0, 0.5)
        queue.join(second, PAUSES, 0.0, 0.5)
        self.assertIsNone(queue.try_acquire_permit(second, PAUSES, 0.1))
        self.assertEqual(queue.wakes_at(second), second.give_up_at)
        self.assertIsNotNone(queue.try_acquire_permit(first, PAUSES, 0.1))

    def test_the_next_request_retries_once_a_refusal_would_have_been_received(self):
        queue = CapacityQueue()
        first, second = waiting_call("a"), waiting_call("b", arrived_at=0.1)
        queue.join(first, PAUSES, 0.0, 0.5)
        queue.join(second, PAUSES, 0.0, 0.5)
        queue.try_acquire_permit(first, PAUSES, 0.1)
        self.assertAlmostEqual(queue.wakes_at(second), 0.105)

    def pauses_after_refusals(self, count, draw):
        queue, call, now = CapacityQueue(), waiting_call(), 0.0
        pauses = []
        for _ in range(count):
            queue.join(call, PAUSES, now, draw)
            pauses.append(queue.wakes_at(call) - now)
            now = queue.wakes_at(call)
            self.assertIsNotNone(queue.try_acquire_permit(call, PAUSES, now))
            call.refusals += 1
        return [round(pause, 4) for pause in pauses]

    def test_pauses_grow_from_the_minimum_to_the_maximum(self):
        self.assertEqual(self.pauses_after_refusals(5, 0.5), [0.005, 0.01, 0.02, 0.03, 0.03])

    def test_pauses_have_jitter_in_both_directions(self):
        min_s, max_s = (self.pauses_after_refusals(5, draw)[-1] for draw in (0.0, 1.0))
        self.assertAlmostEqual(min_s, 0.03 * (1 - PAUSE_SPREAD))
        self.assertAlmostEqual(max_s, 0.03 * (1 + PAUSE_SPREAD))

    def test_an_answer_resets_the_pause(self):
        queue, call = CapacityQueue(), waiting_call(refusals=3)
        for now in (0.0, 0.1, 0.2):
            queue.join(call, PAUSES, now, 0.5)
            queue.leave(call)
        queue.note_answered(0.25)
        queue.join(call, PAUSES, 0.3, 0.5)
        self.assertAlmostEqual(queue.wakes_at(call), 0.305)

    def test_a_request_without_time_for_an_answer_gets_no_permit(self):
        queue, call = CapacityQueue(), waiting_call(give_up_at=0.2)
        queue.join(call, PAUSES, 0.0, 0.5)
        self.assertIsNone(queue.try_acquire_permit(call, PAUSES, 0.2))


class ServiceCapacityTest(unittest.TestCase):
    def setUp(self):
        self.room = ServiceCapacity(NodeLocation("node-1", "a"), is_for_model=False)

    def test_a_wait_ends_when_less_than_the_typical_time_of_the_route_is_left(self):
        for _ in range(100):
            self.room.note_answered("i-1", "quick", 0.01, 1.0)
            self.room.note_answered("i-1", "long", 0.2, 1.0)
        self.assertAlmostEqual(self.room.gives_up_at("quick", 5.0), 4.99, places=3)
        self.assertAlmostEqual(self.room.gives_up_at("long", 5.0), 4.8, places=3)

    def test_the_slot_of_an_ended_call_goes_to_the_first_waiting_request(self):
        first, second = waiting_call("a"), waiting_call("b", arrived_at=0.1)
        for call in (second, first):
            self.room.join(call, 0.1, 0.5, 6)
        self.assertIs(self.room.note_answered("i-1", "quick", 0.01, 0.11), first)
        self.assertIs(self.room.note_answered("i-1", "quick", 0.01, 0.12), second)
        self.assertIsNone(self.room.note_answered("i-1", "quick", 0.01, 0.13))

    def test_the_slot_of_an_engine_is_not_reassigned(self):
        room = ServiceCapacity(NodeLocation("node-1", "a"), is_for_model=True)
        room.join(waiting_call(), 0.0, 0.5, 6)
        self.assertIsNone(room.note_answered("i-1", "turn", 0.1, 0.1))

    def test_the_retry_after_time_follows_the_duration_of_the_shortage(self):
        self.assertEqual(self.room.retry_after_s(0.0, 0.0), MIN_CAPACITY_RETRY_S)
        self.room.join(waiting_call(arrived_at=0.0, give_up_at=9.0), 0.0, 0.5, 6)
        self.assertEqual(self.room.retry_after_s(0.3, 0.0), 0.3)
        self.assertEqual(self.room.retry_after_s(5.0, 0.0), MAX_CAPACITY_RETRY_S)

    def test_retry_after_times_have_jitter(self):
        min_s, max_s = (self.room.retry_after_s(0.0, draw) for draw in (0.0, 1.0))
        self.assertAlmostEqual(max_s, min_s * (1 + ROOM_RETRY_SPREAD))

    def test_a_recently_ended_wait_counts_for_one_second(self):
        self.room.note_wait_ended(waiting_call(arrived_at=0.0), 0.4)
        self.assertEqual(self.room.retry_after_s(0.5, 0.0), 0.4)
        self.assertEqual(self.room.retry_after_s(2.0, 0.0), MIN_CAPACITY_RETRY_S)
